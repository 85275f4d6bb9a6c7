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

// hint is a VM that the list calls leaving. It counts for the incarnation that
// was known at the first sight, because the list may lag behind a restart.
type hint struct {
	incarnation string
	seen        time.Time
}

func (m *Monitor) runHints(ctx context.Context, workers *sync.WaitGroup) {
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
		if !listed.Leaving {
			delete(m.hints, listed.VM)
			continue
		}
		if r == nil || r.isGone() {
			continue
		}
		h := m.hints[listed.VM]
		if h == nil {
			h = &hint{incarnation: r.record.GetIncarnation()}
			m.hints[listed.VM] = h
		}
		h.seen = now
		if h.incarnation == r.record.GetIncarnation() && r.record.GetState() != messenger.ReplicaState_REPLICA_STATE_DRAINING {
			m.takeHint(hintOf(listed.VM), nil)
		}
	}
	for vm, h := range m.hints {
		if now.Sub(h.seen) >= retainRemoved {
			delete(m.hints, vm)
		}
	}
}

// hintOf returns the hint in the form in which it travels. Agents number
// their loads from one, so no load of an agent looks like it.
func hintOf(vm string) *messenger.ReplicaLoad {
	return &messenger.ReplicaLoad{Vm: vm, Load: &messenger.Load{Draining: true}}
}

func isHint(load *messenger.Load) bool {
	return load.GetDraining() && load.GetSequence() == 0 && load.GetRate() == 0 &&
		load.GetQueued() == 0 && load.GetRunning() == 0 && load.GetVersion() == ""
}

// takeHint tells the agent, if it has a session here, and passes the hint on.
func (m *Monitor) takeHint(load *messenger.ReplicaLoad, from *link) {
	r := m.replicas[load.GetVm()]
	if r.session != nil && !r.session.hinted {
		r.session.hinted = true
		r.session.wake()
	}
	m.spread(key{kindHint, load.GetVm()}, load, from)
}
