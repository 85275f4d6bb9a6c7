package planner

import "time"

// Tick re-examines who is present, who imports and which chunks to import. It
// is called a few times per second.
func (p *Planner) Tick(now time.Time) {
	for _, w := range p.list {
		w.endAvoidance(p, now)
	}
	p.extendImporters(now)
	p.refreshWatched(now)
	p.queueImports(now)
}

// Next returns the next request to start, if any may start now.
func (p *Planner) Next(now time.Time) (Request, bool) {
	if req, ok := p.nextImport(now); ok {
		return p.started(req, now), true
	}
	if p.peerInFlight >= p.InFlight {
		return Request{}, false
	}
	if req, ok := p.nextRarest(now); ok {
		return p.started(req, now), true
	}
	if req, ok := p.nextStarved(now); ok {
		return p.started(req, now), true
	}
	if req, ok := p.nextEndgame(now); ok {
		return p.started(req, now), true
	}
	return Request{}, false
}

func (p *Planner) started(req Request, now time.Time) Request {
	req.StartedAt = now
	p.chunks[req.Chunk].inFlight++
	p.chunks[req.Chunk].askedAt = now
	if w := p.watched[req.VM]; w != nil {
		w.inFlight++
	}
	if req.Kind == FromPeer {
		p.peerInFlight++
	} else {
		p.importInFlight++
	}
	return req
}

// extendImporters adds importers when nothing new became known for long: all
// importers may have died before the list of peers was corrected.
func (p *Planner) extendImporters(now time.Time) {
	if p.missing == 0 || now.Sub(p.lastNews) < 3*p.importTime.stall() {
		return
	}
	if len(p.importers) == len(p.region) || p.selfStalled(now) {
		return
	}
	p.lastNews = now
	p.extraImporters += p.Importers
	p.setImporters()
}

// queueImports lists the chunks that this agent should import now.
func (p *Planner) queueImports(now time.Time) {
	p.importQueue = p.importQueue[:0]
	if !p.isImporter() || !p.looked(now) {
		return
	}
	n := len(p.importers)
	present := make([]bool, n)
	self := 0
	for k, peer := range p.importers {
		if peer.VM == p.Self.VM {
			self = k
		}
		present[k] = p.importerPresent(peer.VM, now)
	}
	progress := make([]bool, n)
	stalled := p.selfStalled(now)
	for i := range p.chunks {
		c := &p.chunks[i]
		if c.held || c.holders > 0 || c.inFlight > 0 || !p.importable(i, now) {
			continue
		}
		first := p.order[i*n]
		progress[first] = true
		k, ok := p.importerOf(i, present)
		if ok && int(k) == self && (k == first || !stalled) {
			p.importQueue = append(p.importQueue, i)
		}
	}
	p.restartIdleImporters(progress, now)
	p.Random.Shuffle(len(p.importQueue), func(a, b int) {
		p.importQueue[a], p.importQueue[b] = p.importQueue[b], p.importQueue[a]
	})
}

// restartIdleImporters resets the progress time of importers that have nothing
// to import at present, so that they do not count as stalled later.
func (p *Planner) restartIdleImporters(busy []bool, now time.Time) {
	for k, peer := range p.importers {
		if busy[k] {
			continue
		}
		if w := p.watched[peer.VM]; w != nil {
			w.lastImport = now
		}
		if peer.VM == p.Self.VM && p.importInFlight == 0 {
			p.lastOwnImport = now
		}
	}
}

func (p *Planner) importerOf(i int, present []bool) (uint8, bool) {
	n := len(p.importers)
	for _, k := range p.order[i*n : (i+1)*n] {
		if present[k] {
			return k, true
		}
	}
	return 0, false
}

// importerPresent tells whether an importer is reachable and makes progress.
func (p *Planner) importerPresent(vm string, now time.Time) bool {
	if vm == p.Self.VM {
		return true
	}
	w := p.watched[vm]
	if w == nil || p.unreachable(vm, now) || now.Before(w.avoidUntil) {
		return false
	}
	return !w.up || now.Sub(w.lastImport) <= p.importTime.stall()
}

// selfStalled tells whether this agent's own imports make no progress. It then
// takes over no chunks of others.
func (p *Planner) selfStalled(now time.Time) bool {
	return p.importInFlight > 0 && now.Sub(p.lastOwnImport) > p.importTime.stall()
}

// looked tells whether every watched agent has answered once, so that a chunk
// that is already in the region is not imported again.
func (p *Planner) looked(now time.Time) bool {
	if now.Sub(p.startedAt) > firstLook {
		return true
	}
	for _, w := range p.list {
		if !w.answered && !w.remote {
			return false
		}
	}
	return true
}

// importable tells whether some sender outside the region can deliver a chunk.
func (p *Planner) importable(i int, now time.Time) bool {
	if !p.importsAcross() || p.noRemote(now) {
		return true
	}
	for _, w := range p.list {
		if w.remote && w.up && w.has.has(i) {
			return true
		}
	}
	return false
}

// noRemote tells whether the origin's region has no agent to import from.
func (p *Planner) noRemote(now time.Time) bool {
	if len(p.remote) == 0 {
		return true
	}
	for _, w := range p.list {
		if w.remote && (w.up || !p.unreachable(w.peer.VM, now)) {
			return false
		}
	}
	return now.Sub(p.startedAt) > unknownStall
}

func (p *Planner) nextImport(now time.Time) (Request, bool) {
	if p.importInFlight >= p.ImportInFlight {
		return Request{}, false
	}
	for at, i := range p.importQueue {
		c := &p.chunks[i]
		if c.held || c.holders > 0 || c.inFlight > 0 || now.Before(p.importBackoff[i].until) {
			continue
		}
		req, ok := p.importFrom(i, now)
		if !ok {
			continue
		}
		p.importQueue = append(p.importQueue[:at], p.importQueue[at+1:]...)
		return req, true
	}
	return Request{}, false
}

func (p *Planner) importFrom(i int, now time.Time) (Request, bool) {
	req := Request{Kind: FromOrigin, Chunk: i, Reason: ReasonFirst}
	for _, peer := range p.ImportOrder(i) {
		if peer.VM == p.Self.VM {
			break
		}
		req.Reason = ReasonTakeover
		req.Alternatives = append(req.Alternatives, peer.VM)
	}
	if !p.importsAcross() {
		return req, true
	}
	if p.noRemote(now) {
		req.Reason = ReasonNoOriginVM
		return req, true
	}
	req.Kind = AcrossRegions
	w := p.leastLoaded(i, now, func(w *watched) bool { return w.remote })
	if w == nil {
		return Request{}, false
	}
	req.VM = w.peer.VM
	return req, true
}

func (w *watched) usable(limit int, now time.Time) bool {
	return w.up && w.inFlight < limit && !now.Before(w.busyUntil) && !now.Before(w.avoidUntil)
}

// leastLoaded returns a usable holder of a chunk with the fewest requests in
// flight. It chooses at random between equals: all importers of a region would
// otherwise ask the same agent.
func (p *Planner) leastLoaded(i int, now time.Time, eligible func(*watched) bool) *watched {
	var best *watched
	equals := 0
	for _, w := range p.list {
		if !eligible(w) || !w.usable(p.PerPeer, now) || !w.has.has(i) {
			continue
		}
		if best != nil && w.inFlight > best.inFlight {
			continue
		}
		if best == nil || w.inFlight < best.inFlight {
			equals = 0
		}
		equals++
		if p.Random.IntN(equals) == 0 {
			best = w
		}
	}
	return best
}

// nextRarest compares the rarest chunk of each usable neighbour and takes the
// rarest of them, from the neighbour with the fewest requests in flight.
func (p *Planner) nextRarest(now time.Time) (Request, bool) {
	var best *watched
	bestChunk := -1
	for _, w := range p.list {
		if !w.neighbour || !w.usable(p.PerPeer, now) {
			continue
		}
		i := p.rarestOf(w)
		if i < 0 {
			continue
		}
		if best == nil || p.better(i, w, bestChunk, best) {
			best, bestChunk = w, i
		}
	}
	if best == nil {
		return Request{}, false
	}
	return Request{Kind: FromPeer, Chunk: bestChunk, VM: best.peer.VM, Reason: ReasonRarest}, true
}

func (p *Planner) better(i int, w *watched, bestChunk int, best *watched) bool {
	if w.inFlight != best.inFlight {
		return w.inFlight < best.inFlight
	}
	return p.chunks[i].holders < p.chunks[bestChunk].holders
}

// rarestOf returns the rarest wanted chunk of a random sample of what the
// agent announced, or -1. Entries that are held by now are removed.
func (p *Planner) rarestOf(w *watched) int {
	best := -1
	for tries := 0; tries < sampleChunks && len(w.candidates) > 0; {
		at := p.Random.IntN(len(w.candidates))
		if len(w.candidates) <= sampleChunks {
			at = min(tries, len(w.candidates)-1)
		}
		i := int(w.candidates[at])
		c := &p.chunks[i]
		if c.held || !w.has.has(i) {
			last := len(w.candidates) - 1
			w.candidates[at] = w.candidates[last]
			w.candidates = w.candidates[:last]
			continue
		}
		tries++
		if c.inFlight > 0 {
			continue
		}
		if best < 0 || c.holders < p.chunks[best].holders || c.holders == p.chunks[best].holders && p.Random.IntN(2) == 0 {
			best = i
		}
	}
	return best
}

// nextStarved asks an agent that is no neighbour for a chunk that no neighbour
// has had for some time.
func (p *Planner) nextStarved(now time.Time) (Request, bool) {
	for _, w := range p.list {
		if w.neighbour || w.remote || !w.usable(p.PerPeer, now) {
			continue
		}
		i := p.rarestOf(w)
		if i >= 0 && now.Sub(p.chunks[i].seenAt) > starvedAfter {
			return Request{Kind: FromPeer, Chunk: i, VM: w.peer.VM, Reason: ReasonStarved}, true
		}
	}
	return Request{}, false
}

// nextEndgame asks a second sender for one of the last chunks when the first
// takes twice as long as usual.
func (p *Planner) nextEndgame(now time.Time) (Request, bool) {
	if p.missing > endgameChunks || p.peerTime.value == 0 {
		return Request{}, false
	}
	for i := range p.chunks {
		c := &p.chunks[i]
		if c.held || c.inFlight != 1 || now.Sub(c.askedAt) < 2*p.peerTime.value {
			continue
		}
		w := p.leastLoaded(i, now, func(w *watched) bool { return !w.remote && w.inFlight == 0 })
		if w != nil {
			return Request{Kind: FromPeer, Chunk: i, VM: w.peer.VM, Reason: ReasonEndgame}, true
		}
	}
	return Request{}, false
}
