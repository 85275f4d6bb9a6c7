package dispatcher

import (
	"context"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// placedReplicas returns replicas of one model, two in each of the failure domains.
func placedReplicas(domains ...string) []placer.Replica {
	var list []placer.Replica
	for _, domain := range domains {
		for i := range 2 {
			id := domain + "-" + strconv.Itoa(i)
			list = append(list, placer.Replica{
				ID: id, Address: id, Service: "s", FailureDomain: domain, Region: "region of " + domain, Slots: 2,
				Engine: &placer.Engine{Stride: 1}, Versions: map[string]int{"m": 1},
			})
		}
	}
	return list
}

// newPlacedDispatcher returns a dispatcher whose replicas, placedReplicas of the failure domains, have been
// usable for a minute.
func newPlacedDispatcher(s Sender, budget *budgeter.Budget, domains ...string) *Dispatcher {
	began := time.Now().Add(-time.Minute)
	d := newDispatcher(s, budget, began)
	d.Placer.Update(placedReplicas(domains...), began)
	return d
}

// dispatchModel dispatches a request for the model of placedReplicas.
func dispatchModel(d *Dispatcher, r *Request) *recordingSink {
	r.Model = "m"
	sink := &recordingSink{}
	d.Dispatch(context.Background(), r, sink)
	return sink
}

// reachedDomains returns the failure domains that attempts reached.
func reachedDomains(sent []Attempt) []string {
	var domains []string
	for _, a := range sent {
		domains = append(domains, a.Replica.FailureDomain)
	}
	return domains
}

// keepBusy takes all slots of the replicas in the regions, and returns them after a time. 0 takes none.
func keepBusy(p *placer.Placer, regions matcher.Regions, until time.Duration) {
	busy := &busySlots{until: until}
	for until > 0 {
		placed, err := p.Place(context.Background(), placer.Query{Service: "s", Regions: regions}, time.Now())
		if err != nil {
			break
		}
		busy.placements = append(busy.placements, placed)
	}
	go busy.run()
}

// setCold makes the replicas of failure domain a cold.
func setCold(p *placer.Placer) {
	until := time.Now().Add(10 * time.Second)
	p.SetCold(map[string]warmer.State{"a-0": {Until: until}, "a-1": {Until: until}}, time.Now())
}
