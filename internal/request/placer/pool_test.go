package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

// TestPooledSlots guards against a daemon that refuses requests because its one or two slots are in use,
// although the other daemons of its failure domain leave theirs free. It also guards against the use of
// free slots of which nothing recent is known, or that belong to another failure domain.
func TestPooledSlots(t *testing.T) {
	const ms = time.Millisecond
	// The replica has 12 slots, 4 for each of three failure domains. Of those of domain a, this daemon has
	// two and the others one each. The daemons of the other failure domains use three each.
	tests := []struct {
		name string
		// used are the requests of each of the two other daemons of the failure domain.
		used   int
		age    time.Duration
		class  shedder.Class
		placed int
	}{
		{"others leave their slots free", 0, 100 * ms, shedder.Class{}, 4},
		{"others use a slot each", 1, 100 * ms, shedder.Class{}, 2},
		{"others use more than their slots", 2, 100 * ms, shedder.Class{}, 2},
		{"reports are late", 0, 800 * ms, shedder.Class{}, 2},
		{"returning requests", 0, 100 * ms, shedder.Class{Returning: true}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			p := &Placer{VM: "a1", FailureDomain: "a", Random: func() float64 { return 0 }}
			replica := Replica{
				ID: "r", Address: "r", Service: "s", FailureDomain: "b", Slots: 12,
				Engine: &Engine{PrefillTokensPerSecond: 30000, Step: 7 * ms, Stride: 7},
			}
			p.Update([]Replica{replica}, now)
			for _, vm := range []string{"a0", "a2"} {
				p.SetPeerLoad(vm, map[string]Load{"r": {Requests: tc.used}}, now)
				p.SetPeerDemand(vm, map[string]float64{"s": 1}, now)
			}
			for _, domain := range []string{"b", "c"} {
				p.SetDomainLoad(domain, map[string]Load{"r": {Requests: 3}}, now)
				p.SetDomainDemand(domain, map[string]float64{"s": 3}, now)
			}
			p.Update([]Replica{replica}, now)
			c.Assert(p.byID["r"].ownSlots, qt.Equals, 2)
			p.recordHold("s", time.Second)
			now = now.Add(tc.age)
			placed := 0
			for ; placed < 12; placed++ {
				if _, w, err := p.placeOrQueue(Query{Service: "s", Class: tc.class}, now); w != nil || err != nil {
					break
				}
			}
			c.Check(placed, qt.Equals, tc.placed)
		})
	}
}
