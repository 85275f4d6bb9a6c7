package planner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watched is another agent whose bitmap this agent follows.
type watched struct {
	peer      Peer
	neighbour bool
	remote    bool
	up        bool
	// answered is set once the agent was reached or a try has failed.
	answered bool
	// downAt is when the stream broke; zero before it was ever up.
	downAt time.Time
	since  time.Time
	has    bitset
	// candidates are chunks that the agent announced and that may be missing
	// here. Entries are removed lazily.
	candidates []int32
	inFlight   int
	corrupt    int
	busyUntil  time.Time
	avoidUntil time.Time
	// uncounted is set while the agent is avoided: a chunk that only it holds
	// is imported as if nobody held it.
	uncounted bool
	// lastImport is when the agent last showed a chunk that it imports.
	lastImport time.Time
}

type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

func (b bitset) has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

func (b bitset) set(i int) { b[i/64] |= 1 << (i % 64) }

func (b bitset) clear(i int) { b[i/64] &^= 1 << (i % 64) }

// drop forgets that the agent holds a chunk.
func (w *watched) drop(i int, p *Planner) {
	if !w.has.has(i) {
		return
	}
	w.has.clear(i)
	if w.counts() {
		p.chunks[i].holders--
	}
}

// counts tells whether the agent counts as a holder in this region.
func (w *watched) counts() bool { return !w.remote && !w.uncounted }

// avoid stops counting the agent as a holder until the time is over.
func (w *watched) avoid(p *Planner, until time.Time) {
	w.avoidUntil = until
	if !w.counts() {
		return
	}
	w.uncounted = true
	for i := range p.chunks {
		if w.has.has(i) {
			p.chunks[i].holders--
		}
	}
}

// endAvoidance counts the agent as a holder again.
func (w *watched) endAvoidance(p *Planner, now time.Time) {
	if !w.uncounted || now.Before(w.avoidUntil) {
		return
	}
	w.uncounted = false
	for i := range p.chunks {
		if w.has.has(i) {
			p.noteHolder(i, now)
		}
	}
}

// SetPeers replaces the list of agents that hold or want the version. Self may
// be in it.
func (p *Planner) SetPeers(peers []Peer, now time.Time) {
	p.region = []Peer{p.Self}
	p.remote = nil
	for _, peer := range peers {
		switch {
		case peer.VM == p.Self.VM:
		case peer.Region == p.Self.Region:
			p.region = append(p.region, peer)
		case peer.Region == p.OriginRegion:
			p.remote = append(p.remote, peer)
		}
	}
	sortBy(p.region, func(peer Peer) uint64 { return weight(p.Digest, -1, peer.VM) })
	sortBy(p.remote, func(peer Peer) uint64 { return weight(p.Self.VM, -1, peer.VM) })
	p.extraImporters = 0
	clear(p.away)
	p.setImporters()
	p.refreshWatched(now)
}

// ImportOrder returns the agents that may import a chunk, first the one that
// should.
func (p *Planner) ImportOrder(i int) []Peer {
	n := len(p.importers)
	out := make([]Peer, 0, n)
	for _, index := range p.order[i*n : (i+1)*n] {
		out = append(out, p.importers[index])
	}
	return out
}

// Watched returns the agents whose bitmaps this agent should follow, in the
// order of their names.
func (p *Planner) Watched() []Peer {
	out := make([]Peer, 0, len(p.list))
	for _, w := range p.list {
		out = append(out, w.peer)
	}
	return out
}

// MarkReachable records that a watched agent was reached.
func (p *Planner) MarkReachable(vm string, now time.Time) {
	w := p.watched[vm]
	if w == nil {
		return
	}
	w.up = true
	w.answered = true
	w.lastImport = now
}

// MarkUnreachable records that a watched agent could not be reached or that its stream
// broke.
func (p *Planner) MarkUnreachable(vm string, now time.Time) {
	w := p.watched[vm]
	if w == nil {
		return
	}
	w.answered = true
	if !w.up {
		return
	}
	w.up = false
	w.downAt = now
	w.forget(p)
}

// AddChunks records chunks that a watched agent announced.
func (p *Planner) AddChunks(vm string, added []uint32, now time.Time) {
	w := p.watched[vm]
	if w == nil || !w.up {
		return
	}
	for _, index := range added {
		i := int(index)
		if i >= len(p.chunks) || w.has.has(i) {
			continue
		}
		w.has.set(i)
		p.noteImport(w, i, now)
		if w.counts() {
			p.noteHolder(i, now)
		}
		if !p.chunks[i].held {
			w.candidates = append(w.candidates, int32(i))
		}
	}
}

func (p *Planner) noteHolder(i int, now time.Time) {
	c := &p.chunks[i]
	if c.holders == 0 {
		c.seenAt = now
		p.lastNews = now
	}
	c.holders++
}

func (p *Planner) noteImport(w *watched, i int, now time.Time) {
	if len(p.importers) == 0 || w.remote {
		return
	}
	if p.importers[p.order[i*len(p.importers)]].VM == w.peer.VM {
		w.lastImport = now
	}
}

func (w *watched) forget(p *Planner) {
	for i := range p.chunks {
		w.drop(i, p)
	}
	w.candidates = nil
}

func (p *Planner) setImporters() {
	n := min(len(p.region), p.Importers+p.extraImporters, 255)
	p.importers = slices.Clone(p.region[:n])
	p.order = make([]uint8, n*p.Chunks)
	first := min(n, p.Importers)
	weights := make([]uint64, n)
	for i := range p.Chunks {
		part := p.order[i*n : (i+1)*n]
		for k := range part {
			part[k] = uint8(k)
			weights[k] = weight(p.Digest, i, p.importers[k].VM)
		}
		byWeight := func(a, b uint8) int { return cmp.Compare(weights[b], weights[a]) }
		slices.SortFunc(part[:first], byWeight)
		slices.SortFunc(part[first:], byWeight)
	}
}

// refreshWatched chooses the agents to follow and keeps what is known of those
// that stay.
func (p *Planner) refreshWatched(now time.Time) {
	for vm := range p.watched {
		if p.unreachable(vm, now) && !now.Before(p.away[vm]) {
			p.away[vm] = now.Add(awayFor)
		}
	}
	wanted := map[string]*watched{}
	for _, peer := range p.chooseNeighbours(now) {
		wanted[peer.VM] = &watched{peer: peer, neighbour: true}
	}
	if p.isImporter() {
		p.addImporters(wanted)
	}
	for vm, w := range p.watched {
		fresh := wanted[vm]
		if fresh == nil || fresh.peer != w.peer {
			w.forget(p)
			delete(p.watched, vm)
			continue
		}
		w.neighbour = fresh.neighbour
	}
	for vm, w := range wanted {
		if p.watched[vm] == nil {
			w.since = now
			w.has = newBitset(p.Chunks)
			p.watched[vm] = w
		}
	}
	p.list = slices.Collect(maps.Values(p.watched))
	slices.SortFunc(p.list, func(a, b *watched) int { return cmp.Compare(a.peer.VM, b.peer.VM) })
}

// addImporters makes importers follow each other, to see who makes progress,
// and the agents of the origin's region that they import from.
func (p *Planner) addImporters(wanted map[string]*watched) {
	for _, peer := range p.importers {
		if peer.VM != p.Self.VM && wanted[peer.VM] == nil {
			wanted[peer.VM] = &watched{peer: peer}
		}
	}
	if !p.importsAcross() {
		return
	}
	for _, peer := range p.remote[:min(len(p.remote), p.Neighbours)] {
		wanted[peer.VM] = &watched{peer: peer, remote: true}
	}
}

// chooseNeighbours takes agents at distances 1, 2, 4, … on a ring. Every agent
// then has as many readers as neighbours, and a chunk reaches all agents in a
// number of hops that grows with the logarithm of their number.
func (p *Planner) chooseNeighbours(now time.Time) []Peer {
	n := len(p.region)
	self := slices.IndexFunc(p.region, func(peer Peer) bool { return peer.VM == p.Self.VM })
	chosen := map[int]bool{self: true}
	var out []Peer
	for distance := 1; len(out) < p.Neighbours && len(chosen) < n; distance *= 2 {
		i := (self + distance) % n
		for tries := 0; tries < n && (chosen[i] || p.unreachable(p.region[i].VM, now)); tries++ {
			i = (i + 1) % n
		}
		if chosen[i] || p.unreachable(p.region[i].VM, now) {
			break
		}
		chosen[i] = true
		out = append(out, p.region[i])
		if distance > n {
			distance = 1
		}
	}
	return p.fillNeighbours(out, chosen, self)
}

// fillNeighbours takes unreachable agents when there are too few others: they
// may not have received their orders yet.
func (p *Planner) fillNeighbours(out []Peer, chosen map[int]bool, self int) []Peer {
	n := len(p.region)
	for distance := 1; distance < n && len(out) < p.Neighbours; distance++ {
		if i := (self + distance) % n; !chosen[i] {
			chosen[i] = true
			out = append(out, p.region[i])
		}
	}
	return out
}

// unreachable tells whether a watched agent has been away for longer than the
// grace time.
func (p *Planner) unreachable(vm string, now time.Time) bool {
	w := p.watched[vm]
	if w != nil && w.up {
		return false
	}
	if now.Before(p.away[vm]) {
		return true
	}
	if w == nil {
		return false
	}
	if w.downAt.IsZero() {
		return now.Sub(w.since) > startGrace
	}
	return now.Sub(w.downAt) > downGrace
}

func (p *Planner) isImporter() bool {
	return slices.ContainsFunc(p.importers, func(peer Peer) bool { return peer.VM == p.Self.VM })
}

// importsAcross tells whether this region imports from the origin's region.
func (p *Planner) importsAcross() bool {
	return p.Policy == PolicyOriginBytes && p.OriginRegion != "" && p.Self.Region != p.OriginRegion
}

// weight is the rendezvous weight of a VM for a chunk; the chunk is -1 for the
// version as a whole.
func weight(digest string, i int, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(digest)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(int64(i)))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

func sortBy(peers []Peer, key func(Peer) uint64) {
	slices.SortFunc(peers, func(a, b Peer) int {
		if c := cmp.Compare(key(b), key(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
}

// Rank returns the position of a VM in the rendezvous order of a version among
// the other agents of its region.
func Rank(digest, vm string, others []Peer) int {
	rank := 0
	own := weight(digest, -1, vm)
	for _, peer := range others {
		if weight(digest, -1, peer.VM) > own {
			rank++
		}
	}
	return rank
}

// Ranked returns the peers in the rendezvous order of a version.
func Ranked(digest string, peers []Peer) []Peer {
	out := slices.Clone(peers)
	sortBy(out, func(peer Peer) uint64 { return weight(digest, -1, peer.VM) })
	return out
}
