package placer

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStandingOfRefusal guards against a refusal that can't be traced: its reason must come with the share
// of slots, the free slots and the admitted share of the daemon at that time.
func TestStandingOfRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Placer{VM: "vm0", FailureDomain: "a"}
	p.SetPeerLoad("vm1", map[string]Load{"r": {Requests: 3}}, now)
	p.Update([]Replica{
		{ID: "r", Address: "r", Service: "llm", FailureDomain: "a", Slots: 4, Engine: &Engine{Stride: 1}, PreferredBy: []string{"vm0", "vm1"}},
		{ID: "leaving", Address: "leaving", Service: "llm", FailureDomain: "a", Slots: 4, Engine: &Engine{Stride: 1}, Draining: true},
	}, now)
	q := Query{Service: "llm"}
	_, err := p.Place(context.Background(), q, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, p.Standing(now), qt.Equals, Standing{OwnSlots: 2, OwnUsed: 1, AdmittedShare: 1})
	_, err = p.Place(context.Background(), q, now)
	var refused *RefusedError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.Shed, qt.IsFalse)
	qt.Check(t, refused.Standing, qt.Equals, Standing{OwnSlots: 2, OwnUsed: 1, AdmittedShare: 1})
}
