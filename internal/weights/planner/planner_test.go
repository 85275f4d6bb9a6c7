package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
)

var epoch = time.Unix(1_800_000_000, 0)

func peers(region string, n int) []planner.Peer {
	var out []planner.Peer
	for i := range n {
		vm := fmt.Sprintf("%s-%02d", region, i)
		out = append(out, planner.Peer{VM: vm, Address: vm, Region: region})
	}
	return out
}

func none(int) bool { return false }

func newPlanner(self planner.Peer, chunks int, all []planner.Peer) *planner.Planner {
	p := &planner.Planner{
		Self:         self,
		Digest:       "d",
		Chunks:       chunks,
		Policy:       planner.PolicyTime,
		OriginRegion: "central",
		Random:       rand.New(rand.NewPCG(1, 2)),
	}
	p.Start(none, epoch)
	p.SetPeers(all, epoch)
	return p
}

// markAllReachable marks all watched agents as reachable holders of the given chunks.
func markAllReachable(p *planner.Planner, now time.Time, chunks ...uint32) {
	for _, peer := range p.Watched() {
		p.MarkReachable(peer.VM, now)
		p.AddChunks(peer.VM, chunks, now)
	}
	p.Tick(now)
}

// startAll returns all requests that can start now.
func startAll(p *planner.Planner, now time.Time) []planner.Request {
	var out []planner.Request
	for {
		req, ok := p.Next(now)
		if !ok {
			return out
		}
		out = append(out, req)
	}
}

// Guards against agents that compute different importers for a chunk, and
// against an uneven distribution of chunks over the importers.
func TestImportOrderIsCommonAndBalanced(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 40)
	counts := map[string]int{}
	a := newPlanner(all[0], 800, all)
	b := newPlanner(all[39], 800, all)
	for i := range 800 {
		c.Assert(a.ImportOrder(i), qt.DeepEquals, b.ImportOrder(i))
		counts[a.ImportOrder(i)[0].VM]++
	}
	c.Assert(counts, qt.HasLen, planner.DefaultImporters)
	for vm, n := range counts {
		c.Check(n > 60 && n < 140, qt.IsTrue, qt.Commentf("%s imports %d of 800", vm, n))
	}
}

// Guards against an uneven neighbour graph, with agents that no other agent
// reads from or that all others read from.
func TestNeighboursAreBalanced(t *testing.T) {
	for _, n := range []int{2, 5, 9, 16, 64, 140} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			all := peers("central", n)
			readers := map[string]int{}
			for _, self := range all {
				p := newPlanner(self, 1, all)
				p.Importers = 1
				p.SetPeers(all, epoch)
				for _, peer := range p.Watched() {
					readers[peer.VM]++
				}
			}
			for _, peer := range all {
				got := readers[peer.VM]
				c.Check(got >= min(n-1, 8) && got <= 9, qt.IsTrue, qt.Commentf("%s has %d readers", peer.VM, got))
			}
		})
	}
}

// Guards against an unreachable neighbour that is not replaced, or that is
// selected again at the next tick.
func TestUnreachableNeighbourIsReplaced(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 40)
	p := newPlanner(all[0], 1, all)
	p.Importers = 1
	p.SetPeers(all, epoch)
	markAllReachable(p, epoch)
	before := p.Watched()
	dead := before[3]
	p.MarkUnreachable(dead.VM, epoch)
	for at := 2 * time.Second; at < 10*time.Second; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		p.Tick(now)
		c.Assert(p.Watched(), qt.HasLen, len(before))
		for _, peer := range p.Watched() {
			c.Assert(peer.VM, qt.Not(qt.Equals), dead.VM)
			p.MarkReachable(peer.VM, now)
		}
	}
}

// Guards against an agent that has no neighbours because it started before all
// other agents and could not reach them.
func TestUnreachableNeighboursAreKeptWithoutAlternatives(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 12)
	p := newPlanner(all[0], 1, all)
	for at := time.Second; at < time.Minute; at += time.Second {
		p.Tick(epoch.Add(at))
		c.Assert(len(p.Watched()) >= planner.DefaultNeighbours, qt.IsTrue)
	}
}

// Guards against chunks that stay assigned to an importer that failed or
// stalled, and against a takeover while the importer makes progress.
func TestTakeoverOnlyAfterStallOrFailure(t *testing.T) {
	all := peers("central", 2)
	tests := []struct {
		name string
		// event is called with a time one second after the start.
		event func(p *planner.Planner, now time.Time)
		after time.Duration
		takes bool
	}{
		{"no progress for 5 s", func(*planner.Planner, time.Time) {}, 5 * time.Second, false},
		{"no progress for 15 s", func(*planner.Planner, time.Time) {}, 15 * time.Second, true},
		{"importer becomes unreachable", func(p *planner.Planner, now time.Time) { p.MarkUnreachable(all[1].VM, now) }, 3 * time.Second, true},
		{"importer restarts within 100 ms", func(p *planner.Planner, now time.Time) {
			p.MarkUnreachable(all[1].VM, now)
			p.MarkReachable(all[1].VM, now.Add(100*time.Millisecond))
		}, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPlanner(all[0], 40, all)
			markAllReachable(p, epoch)
			others := 0
			for i := range 40 {
				if p.ImportOrder(i)[0].VM == all[1].VM {
					others++
				}
			}
			test.event(p, epoch.Add(time.Second))
			// The agent's own imports make progress; a stalled agent takes over
			// no chunks.
			now := epoch
			taken := 0
			for now.Before(epoch.Add(test.after)) {
				now = now.Add(200 * time.Millisecond)
				p.Tick(now)
				for _, req := range startAll(p, now) {
					if req.Reason == planner.ReasonTakeover {
						taken++
					}
					p.Finish(req, planner.Done, now)
				}
			}
			c.Assert(taken > 0, qt.Equals, test.takes, qt.Commentf("%d taken of %d", taken, others))
		})
	}
}

// Guards against a sender of corrupt chunks that is avoided after its first
// corrupt chunk, never, or permanently.
func TestSenderIsAvoidedAfterSecondCorruptChunk(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 2)
	p := newPlanner(all[0], 20, all)
	held := make([]uint32, 20)
	for i := range held {
		held[i] = uint32(i)
	}
	markAllReachable(p, epoch, held...)
	for range 2 {
		c.Assert(p.Avoided(), qt.HasLen, 0)
		req, ok := p.Next(epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(req.VM, qt.Equals, all[1].VM)
		p.Finish(req, planner.Corrupt, epoch)
	}
	c.Assert(p.Avoided(), qt.DeepEquals, []planner.Avoided{{VM: all[1].VM, Until: epoch.Add(planner.AvoidDuration)}})
	during := epoch.Add(planner.AvoidDuration - time.Second)
	p.Tick(during)
	for _, req := range startAll(p, during) {
		c.Assert(req.Kind, qt.Equals, planner.FromOrigin)
		p.Finish(req, planner.Cancelled, during)
	}
	after := epoch.Add(planner.AvoidDuration)
	p.Tick(after)
	asked := 0
	for _, req := range startAll(p, after) {
		if req.VM == all[1].VM {
			asked++
		}
	}
	c.Assert(asked, qt.Equals, planner.DefaultPerPeer)
}

// Guards against requesting common chunks before rare ones, and against
// exceeding the limits of requests in total and per peer.
func TestNextTakesRarestChunksFirst(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 6)
	p := newPlanner(all[0], 30, all)
	watched := p.Watched()
	for i, peer := range watched {
		p.MarkReachable(peer.VM, epoch)
		// Chunk 10+i is held by one agent, chunks 0 to 9 by all.
		p.AddChunks(peer.VM, []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, uint32(10 + i)}, epoch)
	}
	reqs := startAll(p, epoch)
	c.Assert(reqs, qt.HasLen, planner.DefaultInFlight)
	perPeer := map[string]int{}
	for i, req := range reqs {
		c.Check(req.Chunk >= 10, qt.Equals, i < len(watched), qt.Commentf("request %d is for chunk %d", i, req.Chunk))
		perPeer[req.VM]++
		c.Check(perPeer[req.VM] <= planner.DefaultPerPeer, qt.IsTrue)
	}
}

// Guards against a last chunk that waits for one slow sender, and against
// duplicate requests while more than the last chunks are missing.
func TestEndgameAsksSecondSender(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 4)
	p := newPlanner(all[0], 12, all)
	held := []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	markAllReachable(p, epoch, held...)
	now := epoch
	var slow planner.Request
	var endgame []planner.Request
	for range 10 {
		reqs := startAll(p, now)
		now = now.Add(50 * time.Millisecond)
		for _, req := range reqs {
			switch {
			case req.Reason == planner.ReasonEndgame:
				endgame = append(endgame, req)
			case req.Chunk == 11:
				slow = req
			default:
				p.Finish(req, planner.Done, now)
			}
		}
	}
	c.Assert(p.MissingChunks(), qt.Equals, 1)
	c.Assert(endgame, qt.HasLen, 1)
	c.Assert(endgame[0].Chunk, qt.Equals, 11)
	c.Assert(endgame[0].VM, qt.Not(qt.Equals), slow.VM)
	c.Assert(endgame[0].StartedAt.Sub(slow.StartedAt) >= 100*time.Millisecond, qt.IsTrue)
}

// Guards against a region that reads from the origin under policy origin-bytes
// although agents of the origin's region can serve it, and against one that
// waits indefinitely if there are no such agents.
func TestPolicyOriginBytesImportsAcrossRegions(t *testing.T) {
	c := qt.New(t)
	north := peers("north", 3)
	all := append(peers("central", 3), north...)
	p := newPlanner(north[0], 30, all)
	p.Policy = planner.PolicyOriginBytes
	p.SetPeers(all, epoch)
	for _, peer := range p.Watched() {
		p.MarkReachable(peer.VM, epoch)
	}
	p.Tick(epoch)
	c.Assert(startAll(p, epoch), qt.HasLen, 0)
	for _, peer := range all[:3] {
		p.AddChunks(peer.VM, []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, epoch)
	}
	p.Tick(epoch)
	reqs := startAll(p, epoch)
	c.Assert(len(reqs) > 0, qt.IsTrue)
	for _, req := range reqs {
		c.Check(req.Kind, qt.Equals, planner.AcrossRegions)
		c.Check(p.ImportOrder(req.Chunk)[0].VM, qt.Equals, north[0].VM)
	}
	alone := newPlanner(north[0], 30, north)
	alone.Policy = planner.PolicyOriginBytes
	alone.SetPeers(north, epoch)
	markAllReachable(alone, epoch)
	c.Assert(startAll(alone, epoch)[0].Kind, qt.Equals, planner.FromOrigin)
}
