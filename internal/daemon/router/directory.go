package router

import (
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// maxChangeWait limits the wait for a change of the directory before the picker is
// updated again. Replicas become suspect over time without a change notification.
const maxChangeWait = time.Second

// updatePicker updates the picker after each change of the directory or of the
// configuration, and after maxChangeWait without one.
func (d *daemon) updatePicker(ctx context.Context) error {
	for {
		changed, configured := d.membership.Changed(), d.configuration.Changed()
		d.updateCandidates(time.Now())
		if !waiter.Wait(ctx, updateInterval) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-configured:
		case <-time.After(maxChangeWait):
		}
	}
}

// updateCandidates passes the replicas of the directory to the picker and
// closes the connections to agents that it no longer lists.
func (d *daemon) updateCandidates(now time.Time) {
	views := d.membership.Replicas(now)
	candidates := make([]picker.Candidate, 0, len(views))
	addresses := make(map[string]struct{}, len(views))
	for _, v := range views {
		candidates = append(candidates, picker.Candidate{Replica: v.Replica, Load: v.Load, LoadTime: v.LoadTime, Suspect: v.Suspect})
		addresses[v.Replica.GetAddress()] = struct{}{}
	}
	d.picker.Update(candidates, now)
	d.agents.Retain(addresses)
}

// rolloutReplicas converts the directory for the rollout controller.
func (d *daemon) rolloutReplicas(now time.Time) []controller.Replica {
	views := d.membership.Replicas(now)
	replicas := make([]controller.Replica, 0, len(views))
	for _, v := range views {
		replicas = append(replicas, controller.Replica{
			Replica: v.Replica, Transfers: v.Transfers, Suspect: v.Suspect, LastOrderError: v.LastOrderError,
		})
	}
	return replicas
}
