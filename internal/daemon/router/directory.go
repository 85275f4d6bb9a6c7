package router

import (
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// updatePicker hands each change of the directory to the picker.
func (d *daemon) updatePicker(ctx context.Context) error {
	for {
		changed := d.membership.Changed()
		d.updateOnce(time.Now())
		if !waiter.Wait(ctx, updateInterval) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(time.Second):
			// Silence makes replicas suspect without a change.
		}
	}
}

func (d *daemon) updateOnce(now time.Time) {
	views := d.membership.Replicas(now)
	candidates := make([]picker.Candidate, 0, len(views))
	addresses := make(map[string]struct{}, len(views))
	for _, v := range views {
		candidates = append(candidates, picker.Candidate{Replica: v.Replica, Load: v.Load, LoadTime: v.LoadTime, Suspect: v.Suspect})
		addresses[v.Replica.GetAddress()] = struct{}{}
	}
	d.picker.Update(candidates, now)
	d.agents.Keep(addresses)
}

// rolloutReplicas is the directory as the rollout controller sees it.
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
