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
