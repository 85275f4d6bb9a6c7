package fetcher_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// repeat returns a list of n times the same region.
func repeat(region string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = region
	}
	return out
}

// assertComplete asserts that all agents but the given ones hold the content of the
// origin.
func (s *swarm) assertComplete(c *qt.C, except ...*testAgent) {
	for _, a := range s.agents {
		if contains(except, a) {
			continue
		}
		c.Assert(a.err, qt.IsNil, qt.Commentf("%s: %v", a.vm, a.transfer.Progress()))
		r, n, err := a.store.Reader(s.source.ref().GetDigest())
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(r)
		c.Assert(err, qt.IsNil)
		c.Assert(int64(len(data)), qt.Equals, n)
		c.Assert(string(data) == string(s.source.content), qt.IsTrue)
	}
}

func contains(list []*testAgent, a *testAgent) bool {
	for _, other := range list {
		if other == a {
			return true
		}
	}
	return false
}

// Guards against agents that together read more than one copy per region from the
// origin, or more than one copy in all with the policy origin-bytes.
func TestTransferReadsOneCopyPerRegion(t *testing.T) {
	tests := []struct {
		name    string
		policy  string
		regions []string
		copies  float64
	}{
		{"one region", "time", repeat("central", 16), 1},
		{"three regions, time", "time", append(append(repeat("central", 8), repeat("north", 8)...), repeat("east", 8)...), 3},
		{"three regions, origin bytes", "origin-bytes", append(append(repeat("central", 8), repeat("north", 8)...), repeat("east", 8)...), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				s := newSwarm(newFakeSource(100), test.policy, test.regions...)
				s.start(ctx)
				s.wg.Wait()
				s.assertComplete(c)
				c.Assert(s.source.copiesRead() <= 1.05*test.copies, qt.IsTrue, qt.Commentf("%f copies", s.source.copiesRead()))
			})
		})
	}
}

// Guards against storing or serving a corrupt chunk, and against requesting it from
// the same peer again and again. One agent sends only corrupt chunks, and the origin
// corrupts the first read of each chunk.
func TestTransferFetchesCorruptChunksElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		s := newSwarm(newFakeSource(100), "time", repeat("central", 10)...)
		corrupt := s.agents[3]
		s.network.corrupt[corrupt.vm] = true
		s.source.corruptReads = 1
		started := time.Now()
		s.start(ctx)
		s.wg.Wait()
		s.assertComplete(c)
		// Chunks that only the avoided peer holds are imported again at once.
		c.Assert(time.Since(started) < planner.AvoidDuration, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
		var total uint32
		for _, a := range s.agents {
			n := a.transfer.Progress().GetCorruptChunks()
			total += n
			c.Check(n > 40, qt.IsFalse, qt.Commentf("%s received %d corrupt chunks", a.vm, n))
		}
		c.Assert(total > 100, qt.IsTrue, qt.Commentf("%d corrupt chunks in total", total))
	})
}

// Guards against chunks that no agent imports after their importer has been killed,
// and against remaining agents that read many more chunks again than were lost.
func TestTransferContinuesWhenImportersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		s := newSwarm(newFakeSource(400), "time", repeat("central", 20)...)
		s.start(ctx)
		for s.source.copiesRead() < 0.6 {
			c.Assert(waitChunkTime(ctx), qt.IsNil)
		}
		stopped := firstImporters(s, 2)
		for _, a := range stopped {
			s.kill(a)
		}
		s.wg.Wait()
		s.assertComplete(c, stopped...)
		c.Assert(s.source.copiesRead() <= 1.2, qt.IsTrue, qt.Commentf("%f copies", s.source.copiesRead()))
	})
}

// firstImporters returns up to n agents that have read from the origin.
func firstImporters(s *swarm, n int) []*testAgent {
	var out []*testAgent
	for _, a := range s.agents {
		if len(out) < n && a.transfer.Progress().GetBytesFromOrigin() > 0 {
			out = append(out, a)
		}
	}
	return out
}

// Guards against waiting for an importer that is reachable but whose reads from the
// origin stall.
func TestTransferTakesOverFromStalledImporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		s := newSwarm(newFakeSource(200), "time", repeat("central", 6)...)
		stalled := &stallingSource{fakeSource: s.source, remaining: 10}
		s.agents[2].transfer.Source = stalled
		started := time.Now()
		s.start(ctx)
		s.wg.Wait()
		s.assertComplete(c)
		c.Assert(s.agents[2].transfer.Progress().GetBytesFromOrigin() <= 10*1024, qt.IsTrue)
		c.Assert(time.Since(started) < 6*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
		c.Assert(s.source.copiesRead() <= 1.2, qt.IsTrue, qt.Commentf("%f copies", s.source.copiesRead()))
	})
}

// Guards against agents that all import the same chunks after the origin has stalled
// for all of them.
func TestTransferSurvivesStalledOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		s := newSwarm(newFakeSource(400), "time", repeat("central", 20)...)
		s.source.stalledFrom = time.Now().Add(10 * chunkTime)
		s.source.stalledUntil = s.source.stalledFrom.Add(15 * time.Second)
		s.start(ctx)
		s.wg.Wait()
		s.assertComplete(c)
		c.Assert(s.source.copiesRead() <= 1.05, qt.IsTrue, qt.Commentf("%f copies", s.source.copiesRead()))
	})
}

// Guards against reading chunks again that the store already holds when a new Transfer
// resumes an interrupted one.
func TestTransferResumesFromBitmap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSwarm(newFakeSource(100), "time", "central")
		a := s.agents[0]
		ctx, cancel := context.WithTimeout(t.Context(), 30*chunkTime)
		c.Assert(a.transfer.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
		cancel()
		_, progress, err := a.store.HeldChunks(s.source.ref().GetDigest())
		c.Assert(err, qt.IsNil)
		c.Assert(progress.Held > 10 && progress.Held < 100, qt.IsTrue, qt.Commentf("%d held", progress.Held))
		interrupted := a.transfer
		resumed := &fetcher.Transfer{Version: interrupted.Version, Self: interrupted.Self, Source: s.source, Dial: interrupted.Dial, Store: a.store, Seed: 1}
		c.Assert(resumed.Run(t.Context()), qt.IsNil)
		s.assertComplete(c)
		// The interruption may cancel two requests in flight.
		c.Assert(s.source.bytes <= s.source.version.SizeBytes+2*1024, qt.IsTrue)
	})
}

// Guards against accepting content that was changed at the origin after its manifest
// was published.
func TestTransferRefusesChangedContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		s := newSwarm(newFakeSource(10), "time", repeat("central", 3)...)
		s.source.content[5*1024] ^= 1
		s.start(ctx)
		s.wg.Wait()
		for _, a := range s.agents {
			c.Assert(a.err, qt.ErrorIs, context.DeadlineExceeded)
			_, _, err := a.store.Reader(s.source.ref().GetDigest())
			var incomplete *storer.IncompleteError
			c.Assert(errors.As(err, &incomplete), qt.IsTrue)
			c.Assert(incomplete.Held, qt.Equals, 9)
		}
	})
}

// Guards against accepting a manifest whose digest is not that of the version.
func TestTransferRefusesOtherManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := newSwarm(newFakeSource(10), "time", "central")
		a := s.agents[0]
		a.transfer.Version.Digest = verifier.Sum([]byte("other"))
		c.Assert(a.transfer.Run(ctx), qt.ErrorIs, context.DeadlineExceeded)
		c.Assert(a.transfer.Progress().GetError(), qt.Matches, "manifest has digest .*")
		c.Assert(a.store.Versions(), qt.HasLen, 0)
	})
}
