package planner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watchedPeer is another agent whose chunk bitmap this agent follows.
type watchedPeer struct {
	peer Peer
	// neighbour marks agents of the region that chunks are regularly requested
	// from.
	neighbour bool
	// remote marks agents of the origin's region that chunks are imported from.
	remote bool
	// up is set while the stream of bitmaps is connected.
	up bool
	// contacted is set once a connection attempt has succeeded or failed.
	contacted bool
	// downAt is when the stream broke; zero if it was never connected.
	downAt time.Time
	// watchedSince is when the agent was added to the watched peers.
	watchedSince time.Time
	// bitmap holds the chunks that the agent announced.
	bitmap bitset
	// candidates are announced chunks that this agent may not hold yet. Chunks
	// that it holds are removed lazily.
	candidates []int32
	// inFlight is the number of requests to the agent in progress.
	inFlight int
	// corrupt is the number of corrupt chunks since the agent was last avoided.
	corrupt int
	// busyUntil is the end of the pause after a busy response or a failure.
	busyUntil  time.Time
	avoidUntil time.Time
	// excluded is set while the agent is avoided and not counted in
	// chunk.holders: a chunk that only excluded agents hold is imported again.
	excluded bool
	// lastImport is when the agent last made progress as an importer: it
	// announced a chunk for which it is the first importer, had nothing to import,
	// or connected.
	lastImport time.Time
}

// bitset is a set of chunk indexes.
type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

func (b bitset) has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

func (b bitset) set(i int) { b[i/64] |= 1 << (i % 64) }

func (b bitset) clear(i int) { b[i/64] &^= 1 << (i % 64) }

// removeChunk records that the agent does not hold a chunk.
func (w *watchedPeer) removeChunk(i int, p *Planner) {
	if !w.bitmap.has(i) {
		return
	}
	w.bitmap.clear(i)
	if w.countsAsHolder() {
		p.chunks[i].holders--
	}
}

// countsAsHolder reports whether the agent is counted in chunk.holders.
func (w *watchedPeer) countsAsHolder() bool { return !w.remote && !w.excluded }

// exclude avoids the agent as a sender until the given time and stops counting
// it as a holder.
func (w *watchedPeer) exclude(p *Planner, until time.Time) {
	w.avoidUntil = until
	if !w.countsAsHolder() {
		return
	}
	w.excluded = true
	for i := range p.chunks {
		if w.bitmap.has(i) {
			p.chunks[i].holders--
		}
	}
}

// endExclusion counts the agent as a holder again once avoidUntil has passed.
func (w *watchedPeer) endExclusion(p *Planner, now time.Time) {
	if !w.excluded || now.Before(w.avoidUntil) {
		return
	}
	w.excluded = false
	for i := range p.chunks {
		if w.bitmap.has(i) {
			p.addHolder(i, now)
		}
	}
}

// SetPeers replaces the list of agents that hold or want the version. The list
// may include Self.
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
	sortByWeight(p.region, func(peer Peer) uint64 { return rendezvousWeight(p.Digest, -1, peer.VM) })
	sortByWeight(p.remote, func(peer Peer) uint64 { return rendezvousWeight(p.Self.VM, -1, peer.VM) })
	p.extraImporters = 0
	clear(p.unreachableUntil)
	p.assignImporters()
	p.updateWatched(now)
}

// ImportOrder returns the agents that may import a chunk, in order of
// preference.
func (p *Planner) ImportOrder(i int) []Peer {
	n := len(p.importers)
	out := make([]Peer, 0, n)
	for _, index := range p.importerOrder[i*n : (i+1)*n] {
		out = append(out, p.importers[index])
	}
	return out
}

// Watched returns the agents whose bitmaps this agent should follow, sorted by
// VM name.
func (p *Planner) Watched() []Peer {
	out := make([]Peer, 0, len(p.watchedList))
	for _, w := range p.watchedList {
		out = append(out, w.peer)
	}
	return out
}

// MarkReachable records that the stream of a watched agent is connected.
func (p *Planner) MarkReachable(vm string, now time.Time) {
	w := p.watched[vm]
	if w == nil {
		return
	}
	w.up = true
	w.contacted = true
	w.lastImport = now
}

// MarkUnreachable records that a watched agent could not be reached or that its
// stream broke.
func (p *Planner) MarkUnreachable(vm string, now time.Time) {
	w := p.watched[vm]
	if w == nil {
		return
	}
	w.contacted = true
	if !w.up {
		return
	}
	w.up = false
	w.downAt = now
	w.removeAllChunks(p)
}

// AddChunks records chunks that a watched agent announced.
func (p *Planner) AddChunks(vm string, added []uint32, now time.Time) {
	w := p.watched[vm]
	if w == nil || !w.up {
		return
	}
	for _, index := range added {
		i := int(index)
		if i >= len(p.chunks) || w.bitmap.has(i) {
			continue
		}
		w.bitmap.set(i)
		p.recordImport(w, i, now)
		if w.countsAsHolder() {
			p.addHolder(i, now)
		}
		if !p.chunks[i].held {
			w.candidates = append(w.candidates, int32(i))
		}
	}
}

// addHolder counts one more holder of a chunk.
func (p *Planner) addHolder(i int, now time.Time) {
	c := &p.chunks[i]
	if c.holders == 0 {
		c.firstSeenAt = now
		p.lastProgress = now
	}
	c.holders++
}

// recordImport updates the import progress of an agent that announced a chunk.
func (p *Planner) recordImport(w *watchedPeer, i int, now time.Time) {
	if len(p.importers) == 0 || w.remote {
		return
	}
	if p.importers[p.importerOrder[i*len(p.importers)]].VM == w.peer.VM {
		w.lastImport = now
	}
}

// removeAllChunks records that the agent holds no chunks.
func (w *watchedPeer) removeAllChunks(p *Planner) {
	for i := range p.chunks {
		w.removeChunk(i, p)
	}
	w.candidates = nil
}

// assignImporters selects the importers of the region and computes the order of
// importers for each chunk. Importers that were added by extendImporters come
// after the others.
func (p *Planner) assignImporters() {
	// The indexes in importerOrder are bytes.
	n := min(len(p.region), p.Importers+p.extraImporters, math.MaxUint8)
	p.importers = slices.Clone(p.region[:n])
	p.importerOrder = make([]uint8, n*p.Chunks)
	regular := min(n, p.Importers)
	weights := make([]uint64, n)
	for i := range p.Chunks {
		order := p.importerOrder[i*n : (i+1)*n]
		for k := range order {
			order[k] = uint8(k)
			weights[k] = rendezvousWeight(p.Digest, i, p.importers[k].VM)
		}
		byWeight := func(a, b uint8) int { return cmp.Compare(weights[b], weights[a]) }
		slices.SortFunc(order[:regular], byWeight)
		slices.SortFunc(order[regular:], byWeight)
	}
}

// updateWatched selects the agents to follow. The state of agents that were
// followed before is kept.
func (p *Planner) updateWatched(now time.Time) {
	for vm := range p.watched {
		if p.unreachable(vm, now) && !now.Before(p.unreachableUntil[vm]) {
			p.unreachableUntil[vm] = now.Add(neighbourRetryInterval)
		}
	}
	wanted := map[string]*watchedPeer{}
	for _, peer := range p.chooseNeighbours(now) {
		wanted[peer.VM] = &watchedPeer{peer: peer, neighbour: true}
	}
	if p.isImporter() {
		p.addImporters(wanted)
	}
	for vm, w := range p.watched {
		selected := wanted[vm]
		if selected == nil || selected.peer != w.peer {
			w.removeAllChunks(p)
			delete(p.watched, vm)
			continue
		}
		w.neighbour = selected.neighbour
	}
	for vm, w := range wanted {
		if p.watched[vm] == nil {
			w.watchedSince = now
			w.bitmap = newBitset(p.Chunks)
			p.watched[vm] = w
		}
	}
	p.watchedList = slices.Collect(maps.Values(p.watched))
	slices.SortFunc(p.watchedList, func(a, b *watchedPeer) int { return cmp.Compare(a.peer.VM, b.peer.VM) })
}

// addImporters adds the other importers, whose progress this importer monitors,
// and the agents of the origin's region that it imports from.
func (p *Planner) addImporters(wanted map[string]*watchedPeer) {
	for _, peer := range p.importers {
		if peer.VM != p.Self.VM && wanted[peer.VM] == nil {
			wanted[peer.VM] = &watchedPeer{peer: peer}
		}
	}
	if !p.importsAcrossRegions() {
		return
	}
	for _, peer := range p.remote[:min(len(p.remote), p.Neighbours)] {
		wanted[peer.VM] = &watchedPeer{peer: peer, remote: true}
	}
}

// chooseNeighbours selects the agents at distances 1, 2, 4, … on a ring. Every
// agent then has as many readers as neighbours, and a chunk reaches all agents
// in a number of hops that is logarithmic in the number of agents.
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
		// After one round the search starts again at the next free positions.
		if distance > n {
			distance = 1
		}
	}
	return p.fillNeighbours(out, chosen, self)
}

// fillNeighbours adds unreachable agents if there are too few reachable ones:
// they may not have received their orders yet.
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

// unreachable reports whether an agent has been disconnected for longer than
// its grace period or is still waiting for its next connection attempt.
func (p *Planner) unreachable(vm string, now time.Time) bool {
	w := p.watched[vm]
	if w != nil && w.up {
		return false
	}
	if now.Before(p.unreachableUntil[vm]) {
		return true
	}
	if w == nil {
		return false
	}
	if w.downAt.IsZero() {
		return now.Sub(w.watchedSince) > connectGracePeriod
	}
	return now.Sub(w.downAt) > disconnectGracePeriod
}

func (p *Planner) isImporter() bool {
	return slices.ContainsFunc(p.importers, func(peer Peer) bool { return peer.VM == p.Self.VM })
}

// importsAcrossRegions reports whether this region imports from agents of the
// origin's region.
func (p *Planner) importsAcrossRegions() bool {
	return p.Policy == PolicyOriginBytes && p.OriginRegion != "" && p.Self.Region != p.OriginRegion
}

// rendezvousWeight returns the rendezvous hashing weight of a VM for a chunk, or
// for the whole version if the chunk index is -1.
func rendezvousWeight(digest string, i int, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(digest)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(int64(i)))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// sortByWeight sorts peers by descending weight and then by VM.
func sortByWeight(peers []Peer, weight func(Peer) uint64) {
	slices.SortFunc(peers, func(a, b Peer) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
}

// Rank returns the position of a VM in the rendezvous order of a version,
// relative to the other agents of its region.
func Rank(digest, vm string, others []Peer) int {
	rank := 0
	own := rendezvousWeight(digest, -1, vm)
	for _, peer := range others {
		if rendezvousWeight(digest, -1, peer.VM) > own {
			rank++
		}
	}
	return rank
}

// Ranked returns the peers sorted in the rendezvous order of a version.
func Ranked(digest string, peers []Peer) []Peer {
	out := slices.Clone(peers)
	sortByWeight(out, func(peer Peer) uint64 { return rendezvousWeight(digest, -1, peer.VM) })
	return out
}
