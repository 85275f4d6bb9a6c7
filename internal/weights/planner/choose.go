package planner

import "time"

// Tick updates the watched peers, the importers and the queue of chunks to
// import. It is called a few times per second.
func (p *Planner) Tick(now time.Time) {
	for _, w := range p.watchedList {
		w.endExclusion(p, now)
	}
	p.extendImporters(now)
	p.updateWatched(now)
	p.updateImportQueue(now)
}

// Next returns the next request to start: an import, or else a request to a peer. It
// returns false if the limits allow no further request or no chunk can be requested
// now.
func (p *Planner) Next(now time.Time) (Request, bool) {
	if req, ok := p.nextImport(now); ok {
		return p.recordStart(req, now), true
	}
	if p.peerInFlight >= p.InFlight {
		return Request{}, false
	}
	if req, ok := p.nextRarest(now); ok {
		return p.recordStart(req, now), true
	}
	if req, ok := p.nextStarved(now); ok {
		return p.recordStart(req, now), true
	}
	if req, ok := p.nextEndgame(now); ok {
		return p.recordStart(req, now), true
	}
	return Request{}, false
}

// recordStart updates the counters for a request that starts now.
func (p *Planner) recordStart(req Request, now time.Time) Request {
	req.StartedAt = now
	p.chunks[req.Chunk].inFlight++
	p.chunks[req.Chunk].requestedAt = now
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

// extendImporters adds importers after a long time without progress: all
// importers may have failed before the list of peers was updated.
func (p *Planner) extendImporters(now time.Time) {
	if p.missing == 0 || now.Sub(p.lastProgress) < 3*p.importTime.stallTimeout() {
		return
	}
	if len(p.importers) == len(p.region) || p.selfStalled(now) {
		return
	}
	p.lastProgress = now
	p.extraImporters += p.Importers
	p.assignImporters()
}

// updateImportQueue collects the chunks that this agent should import now, in
// random order.
func (p *Planner) updateImportQueue(now time.Time) {
	p.importQueue = p.importQueue[:0]
	if !p.isImporter() || !p.initialBitmapsKnown(now) {
		return
	}
	n := len(p.importers)
	available := make([]bool, n)
	self := 0
	for k, peer := range p.importers {
		if peer.VM == p.Self.VM {
			self = k
		}
		available[k] = p.importerAvailable(peer.VM, now)
	}
	assigned := make([]bool, n)
	stalled := p.selfStalled(now)
	for i := range p.chunks {
		c := &p.chunks[i]
		if c.held || c.holders > 0 || c.inFlight > 0 || !p.importable(i, now) {
			continue
		}
		first := p.importerOrder[i*n]
		assigned[first] = true
		k, ok := p.importerOf(i, available)
		if ok && int(k) == self && (k == first || !stalled) {
			p.importQueue = append(p.importQueue, i)
		}
	}
	p.resetIdleImporters(assigned, now)
	p.Random.Shuffle(len(p.importQueue), func(a, b int) {
		p.importQueue[a], p.importQueue[b] = p.importQueue[b], p.importQueue[a]
	})
}

// resetIdleImporters resets the progress time of importers that have nothing
// to import, so that they are not considered stalled when they get chunks to
// import later. assigned tells for each importer whether it is the first in the order
// of a chunk that can be imported.
func (p *Planner) resetIdleImporters(assigned []bool, now time.Time) {
	for k, peer := range p.importers {
		if assigned[k] {
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

// importerOf returns the index of the first available importer of a chunk.
func (p *Planner) importerOf(i int, available []bool) (uint8, bool) {
	n := len(p.importers)
	for _, k := range p.importerOrder[i*n : (i+1)*n] {
		if available[k] {
			return k, true
		}
	}
	return 0, false
}

// importerAvailable reports whether an importer is reachable and makes progress.
func (p *Planner) importerAvailable(vm string, now time.Time) bool {
	if vm == p.Self.VM {
		return true
	}
	w := p.watched[vm]
	if w == nil || p.unreachable(vm, now) || now.Before(w.avoidUntil) {
		return false
	}
	return !w.up || now.Sub(w.lastImport) <= p.importTime.stallTimeout()
}

// selfStalled reports whether this agent's own imports make no progress. A
// stalled agent does not take over chunks of other importers.
func (p *Planner) selfStalled(now time.Time) bool {
	return p.importInFlight > 0 && now.Sub(p.lastOwnImport) > p.importTime.stallTimeout()
}

// initialBitmapsKnown reports whether all watched agents of the region have been
// contacted once or initialBitmapTimeout has passed. Imports wait for it, so that
// a chunk that is already in the region is not imported again.
func (p *Planner) initialBitmapsKnown(now time.Time) bool {
	if now.Sub(p.startedAt) > initialBitmapTimeout {
		return true
	}
	for _, w := range p.watchedList {
		if !w.contacted && !w.remote {
			return false
		}
	}
	return true
}

// importable reports whether a chunk can be imported: from the origin or from an
// agent of the origin's region that holds it.
func (p *Planner) importable(i int, now time.Time) bool {
	if !p.importsAcrossRegions() || p.noRemoteAgents(now) {
		return true
	}
	for _, w := range p.watchedList {
		if w.remote && w.up && w.bitmap.has(i) {
			return true
		}
	}
	return false
}

// noRemoteAgents reports whether no agent of the origin's region is available to
// import from.
func (p *Planner) noRemoteAgents(now time.Time) bool {
	if len(p.remote) == 0 {
		return true
	}
	for _, w := range p.watchedList {
		if w.remote && (w.up || !p.unreachable(w.peer.VM, now)) {
			return false
		}
	}
	return now.Sub(p.startedAt) > defaultStallTimeout
}

// nextImport returns a request for the first chunk of the import queue that can be
// imported now.
func (p *Planner) nextImport(now time.Time) (Request, bool) {
	if p.importInFlight >= p.ImportInFlight {
		return Request{}, false
	}
	for position, i := range p.importQueue {
		c := &p.chunks[i]
		if c.held || c.holders > 0 || c.inFlight > 0 || now.Before(p.importBackoff[i].until) {
			continue
		}
		req, ok := p.newImportRequest(i, now)
		if !ok {
			continue
		}
		p.importQueue = append(p.importQueue[:position], p.importQueue[position+1:]...)
		return req, true
	}
	return Request{}, false
}

// newImportRequest returns a request to import a chunk, or false if no agent that
// holds the chunk is usable.
func (p *Planner) newImportRequest(i int, now time.Time) (Request, bool) {
	req := Request{Kind: FromOrigin, Chunk: i, Reason: ReasonFirst}
	for _, peer := range p.ImportOrder(i) {
		if peer.VM == p.Self.VM {
			break
		}
		req.Reason = ReasonTakeover
		req.Alternatives = append(req.Alternatives, peer.VM)
	}
	if !p.importsAcrossRegions() {
		return req, true
	}
	if p.noRemoteAgents(now) {
		req.Reason = ReasonNoOriginVM
		return req, true
	}
	req.Kind = AcrossRegions
	w := p.leastLoaded(i, now, func(w *watchedPeer) bool { return w.remote })
	if w == nil {
		return Request{}, false
	}
	req.VM = w.peer.VM
	return req, true
}

// usable reports whether the agent can be sent another request.
func (w *watchedPeer) usable(limit int, now time.Time) bool {
	return w.up && w.inFlight < limit && !now.Before(w.busyUntil) && !now.Before(w.avoidUntil)
}

// leastLoaded returns the eligible and usable holder of a chunk with the fewest
// requests in flight, or nil. Ties are broken at random; otherwise all importers
// of a region would send their requests to the same agent.
func (p *Planner) leastLoaded(i int, now time.Time, eligible func(*watchedPeer) bool) *watchedPeer {
	var best *watchedPeer
	ties := 0
	for _, w := range p.watchedList {
		if !eligible(w) || !w.usable(p.PerPeer, now) || !w.bitmap.has(i) {
			continue
		}
		if best != nil && w.inFlight > best.inFlight {
			continue
		}
		if best == nil || w.inFlight < best.inFlight {
			ties = 0
		}
		ties++
		if p.Random.IntN(ties) == 0 {
			best = w
		}
	}
	return best
}

// nextRarest compares the rarest chunk of each usable neighbour. It prefers the
// neighbour with the fewest requests in flight, then the rarer chunk.
func (p *Planner) nextRarest(now time.Time) (Request, bool) {
	var best *watchedPeer
	bestChunk := -1
	for _, w := range p.watchedList {
		if !w.neighbour || !w.usable(p.PerPeer, now) {
			continue
		}
		i := p.rarestCandidate(w)
		if i < 0 {
			continue
		}
		if best == nil || p.preferable(i, w, bestChunk, best) {
			best, bestChunk = w, i
		}
	}
	if best == nil {
		return Request{}, false
	}
	return Request{Kind: FromPeer, Chunk: bestChunk, VM: best.peer.VM, Reason: ReasonRarest}, true
}

// preferable reports whether requesting chunk i from w is preferable to requesting
// bestChunk from best.
func (p *Planner) preferable(i int, w *watchedPeer, bestChunk int, best *watchedPeer) bool {
	if w.inFlight != best.inFlight {
		return w.inFlight < best.inFlight
	}
	return p.chunks[i].holders < p.chunks[bestChunk].holders
}

// rarestCandidate returns the chunk with the fewest holders in a random sample of the
// agent's candidates, or -1. It removes candidates that this agent now holds or
// that the agent no longer holds.
func (p *Planner) rarestCandidate(w *watchedPeer) int {
	best := -1
	for sampled := 0; sampled < sampleChunks && len(w.candidates) > 0; {
		position := p.Random.IntN(len(w.candidates))
		if len(w.candidates) <= sampleChunks {
			position = min(sampled, len(w.candidates)-1)
		}
		i := int(w.candidates[position])
		c := &p.chunks[i]
		if c.held || !w.bitmap.has(i) {
			last := len(w.candidates) - 1
			w.candidates[position] = w.candidates[last]
			w.candidates = w.candidates[:last]
			continue
		}
		sampled++
		if c.inFlight > 0 {
			continue
		}
		if best < 0 || c.holders < p.chunks[best].holders || c.holders == p.chunks[best].holders && p.Random.IntN(2) == 0 {
			best = i
		}
	}
	return best
}

// nextStarved requests a chunk from a watched agent that is not a neighbour, if
// the chunk has been in the region for longer than starvationTimeout and is
// still missing.
func (p *Planner) nextStarved(now time.Time) (Request, bool) {
	for _, w := range p.watchedList {
		if w.neighbour || w.remote || !w.usable(p.PerPeer, now) {
			continue
		}
		i := p.rarestCandidate(w)
		if i >= 0 && now.Sub(p.chunks[i].firstSeenAt) > starvationTimeout {
			return Request{Kind: FromPeer, Chunk: i, VM: w.peer.VM, Reason: ReasonStarved}, true
		}
	}
	return Request{}, false
}

// nextEndgame requests one of the last missing chunks from a second sender if
// the first request has taken twice the average time.
func (p *Planner) nextEndgame(now time.Time) (Request, bool) {
	if p.missing > endgameChunks || p.peerTime.value == 0 {
		return Request{}, false
	}
	for i := range p.chunks {
		c := &p.chunks[i]
		if c.held || c.inFlight != 1 || now.Sub(c.requestedAt) < 2*p.peerTime.value {
			continue
		}
		w := p.leastLoaded(i, now, func(w *watchedPeer) bool { return !w.remote && w.inFlight == 0 })
		if w != nil {
			return Request{Kind: FromPeer, Chunk: i, VM: w.peer.VM, Reason: ReasonEndgame}, true
		}
	}
	return Request{}, false
}
