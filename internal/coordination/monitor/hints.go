package monitor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// listEvery is the interval of reads of the VM list, by relays only: the list
// names every VM, so that a read by each daemon would cost more than its share
// of control traffic.
const listEvery = 10 * time.Second

// maxListLag is how far the list may lag behind a restart.
const maxListLag = time.Minute

// hint is a VM that the list calls leaving. It counts for the incarnation that
// was known at the first sight, because the list may lag behind a restart.
type hint struct {
	incarnation string
	seen        time.Time
}

// hintReader reads the list of VMs while this daemon is a relay.
type hintReader struct {
	*Monitor
}

func (m hintReader) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if m.VMList == nil {
		return
	}
	for ctx.Err() == nil {
		if m.IsRelay(time.Now()) {
			m.readList(ctx)
		}
		timer := time.NewTimer(listEvery/2 + time.Duration(m.jitter()*float64(listEvery)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (m *Monitor) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listEvery/2)
	defer cancel()
	vms, err := m.VMList.List(ctx)
	if err != nil {
		m.Log.Info("VM list not read", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyList(vms, time.Now())
}

// applyList takes the VM list and sends hints to the daemons with a session
// of a leaving VM's agent.
func (m *Monitor) applyList(vms []adapter.ListedVM, now time.Time) {
	for _, listed := range vms {
		r := m.replicas[listed.VM]
		h := m.hints[listed.VM]
		if !listed.Leaving {
			delete(m.hints, listed.VM)
			if h != nil && r != nil && !r.isGone() {
				m.takeHint(hintOf(listed.VM, false), nil)
			}
			continue
		}
		if r == nil || r.isGone() {
			continue
		}
		if h == nil {
			h = newHint(r.record, now)
			m.hints[listed.VM] = h
		}
		h.seen = now
		if h.incarnation == r.record.GetIncarnation() && r.record.GetState() != messenger.ReplicaState_REPLICA_STATE_DRAINING {
			m.takeHint(hintOf(listed.VM, true), nil)
		}
	}
	for vm, h := range m.hints {
		if now.Sub(h.seen) >= retainRemoved {
			delete(m.hints, vm)
		}
	}
}

// newHint returns the hint for the present incarnation, or for none when it
// has just started: a lagging list still speaks of its predecessor then. An
// agent that leaves in its first minute is announced by its own reports.
func newHint(record *messenger.Replica, now time.Time) *hint {
	if now.Sub(time.UnixMilli(record.GetStartedMs())) < maxListLag {
		return &hint{}
	}
	return &hint{incarnation: record.GetIncarnation()}
}

// hintOf returns the hint that a VM leaves, or the withdrawal of one, in the
// form in which it travels. Agents number their loads from one, so no load of
// an agent looks like it.
func hintOf(vm string, leaving bool) *messenger.ReplicaLoad {
	return &messenger.ReplicaLoad{Vm: vm, Load: &messenger.Load{Draining: leaving}}
}

func isHint(load *messenger.Load) bool {
	return load.GetSequence() == 0 && load.GetRate() == 0 &&
		load.GetQueued() == 0 && load.GetRunning() == 0 && load.GetVersion() == ""
}

// takeHint tells the agent, if it has a session here, and passes the hint on.
func (m *Monitor) takeHint(load *messenger.ReplicaLoad, from *link) {
	r := m.replicas[load.GetVm()]
	leaving := load.GetLoad().GetDraining()
	if r.session != nil && r.session.hinted != leaving {
		r.session.hinted = leaving
		r.session.wake()
	}
	m.spread(key{kindHint, load.GetVm()}, load, from)
}
