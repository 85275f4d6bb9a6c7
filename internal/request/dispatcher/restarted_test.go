package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestRestartedReplicaHidesCrash guards against crashes that do not count because the replica
// crashed before and has the same ID and address again.
func TestRestartedReplicaHidesCrash(t *testing.T) {
	c := qt.New(t)
	var b blocker.Blocker
	now := time.Unix(1000, 0)
	parts := []blocker.Fingerprint{7}
	for i := range 3 {
		x := &execution{Dispatcher: &Dispatcher{Blocker: &b}, request: &Request{Fingerprint: blocker.Fingerprint(i)}}
		now = now.Add(5 * time.Second)
		x.recordCrash(placer.Replica{ID: "r", Address: "a:1", StartedAtMs: now.UnixMilli()}, parts, now)
	}
	c.Assert(b.PartBlocked(parts, now), qt.IsTrue)
}
