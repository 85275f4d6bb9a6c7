package monitor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// vmListInterval is the mean interval of reads of the VM list. Only relays
// read it: the list contains every VM, so reads by every daemon would exceed
// its share of control traffic.
const vmListInterval = 10 * time.Second

// maxVMListLag is how long the list may still describe the previous agent
// after a restart.
const maxVMListLag = time.Minute

// drainHint records that the list marks a VM as leaving. It applies only to
// the incarnation known when the mark first appeared, because the list may lag
// behind a restart.
type drainHint struct {
	incarnation string
	lastSeen    time.Time
}

// vmListReader reads the VM list while this daemon is a relay.
type vmListReader struct {
	*Monitor
}

func (m vmListReader) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if m.VMList == nil {
		return
	}
	for ctx.Err() == nil {
		if m.IsRelay(time.Now()) {
			m.readVMList(ctx)
		}
		timer := time.NewTimer(vmListInterval/2 + time.Duration(m.jitter()*float64(vmListInterval)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (m *Monitor) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval/2)
	defer cancel()
	vms, err := m.VMList.List(ctx)
	if err != nil {
		m.Log.Info("VM list not read", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyVMList(vms, time.Now())
}

// applyVMList broadcasts hints for the VMs that the list marks as leaving, and
// withdraws those of VMs that it no longer marks.
func (m *Monitor) applyVMList(vms []adapter.ListedVM, now time.Time) {
	for _, listed := range vms {
		r := m.replicas[listed.VM]
		h := m.hints[listed.VM]
		if !listed.Leaving {
			delete(m.hints, listed.VM)
			if h != nil && r != nil && !r.isGone() {
				m.applyHint(hintRecord(listed.VM, false), nil)
			}
			continue
		}
		if r == nil || r.isGone() {
			continue
		}
		if h == nil {
			h = newDrainHint(r.record, now)
			m.hints[listed.VM] = h
		}
		h.lastSeen = now
		if h.incarnation == r.record.GetIncarnation() && r.record.GetState() != messenger.ReplicaState_REPLICA_STATE_DRAINING {
			m.applyHint(hintRecord(listed.VM, true), nil)
		}
	}
	for vm, h := range m.hints {
		if now.Sub(h.lastSeen) >= removalRetention {
			delete(m.hints, vm)
		}
	}
}

// newDrainHint returns a hint for the current incarnation, or for none if it
// started less than maxVMListLag ago, when the list may still describe its
// predecessor. An agent that starts to drain within that time announces it in
// its own reports.
func newDrainHint(record *messenger.Replica, now time.Time) *drainHint {
	if now.Sub(time.UnixMilli(record.GetStartedMs())) < maxVMListLag {
		return &drainHint{}
	}
	return &drainHint{incarnation: record.GetIncarnation()}
}

// hintRecord returns the wire form of a hint that a VM is leaving, or of its
// withdrawal: a load with sequence zero. Agents number their loads from one,
// so it cannot be confused with the load of an agent.
func hintRecord(vm string, leaving bool) *messenger.ReplicaLoad {
	return &messenger.ReplicaLoad{Vm: vm, Load: &messenger.Load{Draining: leaving}}
}

// isHint reports whether the load is a hint as built by hintRecord.
func isHint(load *messenger.Load) bool {
	return load.GetSequence() == 0 && load.GetRate() == 0 &&
		load.GetQueued() == 0 && load.GetRunning() == 0 && load.GetVersion() == ""
}

// applyHint notifies the agent if it has a session with this daemon, and
// broadcasts the hint.
func (m *Monitor) applyHint(load *messenger.ReplicaLoad, from *link) {
	r := m.replicas[load.GetVm()]
	leaving := load.GetLoad().GetDraining()
	if r.session != nil && r.session.drainHinted != leaving {
		r.session.drainHinted = leaving
		r.session.wake()
	}
	m.broadcast(recordKey{kindHint, load.GetVm()}, load, from)
}
