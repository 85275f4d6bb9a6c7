package placer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHeldReplicaGetsBurst guards against all queued requests being sent to a replica at the
// end of the time in which it wanted none, where it may refuse them again, and against a
// replica that gets one request at a time although it serves them.
func TestHeldReplicaGetsBurst(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// refused is the time after which the replica asks for no requests once more, or 0.
		refused time.Duration
		placed  int
		// waited is the time until the last of the requests has a place or is refused.
		waited time.Duration
	}{
		{"the replica serves again", 0, 4, time.Second + trialTime},
		{"it refuses the first request", 5 * ms, 1, time.Second + 5*ms},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				p := heldPlacer([]time.Duration{time.Second}, start)
				results := make(chan bool, 4)
				var last time.Duration
				var mu sync.Mutex
				for range 4 {
					go func() {
						placed, err := p.Place(context.Background(), Query{Service: "s", MaxWait: 3 * time.Second}, start)
						if err == nil && tc.refused > 0 {
							time.Sleep(tc.refused)
							p.HoldOff(placed.Replica, time.Now().Add(5*time.Second), time.Now())
							placed.Done(Full, time.Now())
						}
						mu.Lock()
						last = max(last, time.Since(start))
						mu.Unlock()
						results <- err == nil
					}()
				}
				// Lists and reports of loads make the placer look for places too.
				list := []Replica{{ID: "r0", Address: "r0:1", Service: "s", Slots: 4, StartedAtMs: 7}}
				for range 25 {
					time.Sleep(51 * ms)
					p.Update(list, time.Now())
				}
				n := 0
				for range 4 {
					if <-results {
						n++
					}
				}
				qt.Check(t, n, qt.Equals, tc.placed)
				qt.Check(t, last, qt.Equals, tc.waited)
			})
		})
	}
}

// TestAllReplicasRefuseAgain guards against a service that stays without replicas although they
// shed load for a moment only: each got a request as soon as its time ended, and all asked for no
// requests again.
func TestAllReplicasRefuseAgain(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// sheds is how long the replicas go on to shed load after the time that they asked for.
		sheds  time.Duration
		served time.Duration
		all    time.Duration
	}{
		{"not at all", 0, 20 * ms, 200 * ms},
		{"for half a second", 500 * ms, 500*ms + trialTime + trialPause, 800*ms + trialTime + trialPause},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				p := heldPlacer([]time.Duration{time.Second, time.Second, time.Second, time.Second}, start)
				free := start.Add(time.Second)
				var mu sync.Mutex
				var servedAt time.Duration
				served := map[string]bool{}
				request := func() {
					placed, err := p.Place(context.Background(), Query{Service: "s", MaxWait: 120 * ms}, time.Now())
					if err != nil {
						return
					}
					now := time.Now()
					if now.Sub(free) < tc.sheds {
						p.HoldOff(placed.Replica, now.Add(3*time.Second), now)
						placed.Done(Full, now)
						return
					}
					mu.Lock()
					if len(served) == 0 {
						servedAt = now.Sub(free)
					}
					served[placed.Replica.ID] = true
					mu.Unlock()
					time.Sleep(100 * ms)
					placed.Done(Succeeded, time.Now())
				}
				var all sync.WaitGroup
				for time.Since(free) < tc.all {
					all.Go(request)
					time.Sleep(10 * ms)
				}
				all.Wait()
				qt.Check(t, len(served) > 0 && servedAt <= tc.served, qt.IsTrue, qt.Commentf("first request served after %v", servedAt))
				qt.Check(t, len(served) >= 2, qt.IsTrue, qt.Commentf("%d replicas serve after %v", len(served), tc.all))
			})
		})
	}
}
