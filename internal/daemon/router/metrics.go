package router

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// metricsInterval is the time between updates of the gauges.
const metricsInterval = time.Second

// coordinationMetrics holds the metrics of configuration, membership and leases.
type coordinationMetrics struct {
	lowerRevisions metrics.Counter
	pullFailures   metrics.Counter
	revision       metrics.Gauge
	revisionAge    metrics.Gauge
	entries        metrics.Gauge
	replicas       metrics.Gauge
	suspects       metrics.Gauge
	leases         metrics.Gauge
	relay          metrics.Gauge
	evacuations    metrics.Gauge
}

// daemonMetrics returns the metrics of this process. expvar panics when a name
// is published twice, so they are created once.
var daemonMetrics = sync.OnceValue(newCoordinationMetrics)

func newCoordinationMetrics() *coordinationMetrics {
	return &coordinationMetrics{
		lowerRevisions: expvar.NewCounter("configuration.lower-revisions"),
		pullFailures:   expvar.NewCounter("configuration.pull-failures"),
		revision:       expvar.NewGauge("configuration.revision"),
		revisionAge:    expvar.NewGauge("configuration.seconds-since-confirmed"),
		entries:        expvar.NewGauge("membership.entries"),
		replicas:       expvar.NewGauge("membership.replicas"),
		suspects:       expvar.NewGauge("membership.suspect-replicas"),
		leases:         expvar.NewGauge("leases.held"),
		relay:          expvar.NewGauge("membership.is-relay"),
		evacuations:    expvar.NewGauge("evacuations.now"),
	}
}

// updateMetrics updates the gauges until ctx ends.
func (d *daemon) updateMetrics(ctx context.Context) error {
	for {
		d.setGauges(daemonMetrics(), time.Now())
		if !waiter.Wait(ctx, metricsInterval) {
			return ctx.Err()
		}
	}
}

func (d *daemon) setGauges(m *coordinationMetrics, now time.Time) {
	status := d.configuration.Status()
	m.revision.Set(float64(status.Revision))
	if !status.Confirmed.IsZero() {
		m.revisionAge.Set(now.Sub(status.Confirmed).Seconds())
	}
	m.entries.Set(float64(len(d.membership.Entries(now))))
	replicas, suspects := 0, 0
	for _, v := range d.membership.Replicas(now) {
		if v.Replica.GetState() == messenger.ReplicaState_REPLICA_STATE_GONE {
			continue
		}
		replicas++
		if v.Suspect {
			suspects++
		}
	}
	m.replicas.Set(float64(replicas))
	m.suspects.Set(float64(suspects))
	held := 0
	for _, shard := range leaseShards(d.cfg.Region) {
		if d.holdsLease(shard, now) {
			held++
		}
	}
	m.leases.Set(float64(held))
	m.evacuations.Set(float64(d.picker.Evacuations()))
	m.relay.Set(0)
	if d.membership.IsRelay(now) {
		m.relay.Set(1)
	}
}
