package placer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndedRequestsFillReplica guards against a daemon that refuses requests for lack of a place
// although the replica is idle, because requests that have ended count for its idle peers.
func TestEndedRequestsFillReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlacer(now, Replica{ID: "r", Service: "s", FailureDomain: "a", Slots: 8})
	for _, vm := range []string{"vm-1", "vm-2"} {
		p.SetPeerLoad(vm, nil, now)
	}
	for i := range 40 {
		now = now.Add(25 * time.Millisecond)
		placed, err := p.Place(context.Background(), Query{Service: "s"}, now)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("request %d", i))
		placed.Done(Succeeded, now.Add(20*time.Millisecond))
	}
}
