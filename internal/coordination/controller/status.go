package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// statusInterval is the minimum time between two writes of a status.
	statusInterval = time.Second
	// statusTimeout limits a call to the object API.
	statusTimeout = time.Second
)

// statusWriter writes the status of one rollout to the object API, at most once per
// statusInterval.
type statusWriter struct {
	// last is the stored status, and objectVersion the version of its object; 0 if
	// there is no object.
	last          parser.RolloutStatus
	objectVersion uint64
	// loadedRollout is the rollout that last belongs to; empty if the status has to
	// be read again.
	loadedRollout string
	nextWrite     time.Time
}

// write computes the status and writes it if it has changed.
func (w *statusWriter) write(ctx context.Context, c *Controller, in planInput, now time.Time) {
	if now.Before(w.nextWrite) {
		return
	}
	w.nextWrite = now.Add(statusInterval)
	if err := w.load(ctx, c.API, in.rollout.Name); err != nil {
		c.Log.Warn("rollout status not read", zap.String("rollout", in.rollout.Name), zap.Error(err))
		return
	}
	status := computeStatus(in, w.last, now)
	if status == w.last {
		return
	}
	if err := w.store(ctx, c.API, status); err != nil {
		// Another holder may have written the object, so read it before the next write.
		w.loadedRollout = ""
		c.Log.Warn("rollout status not written", zap.String("rollout", in.rollout.Name), zap.Error(err))
		return
	}
	if status.Phase != w.last.Phase {
		c.Log.Info("rollout phase", zap.String("rollout", status.Rollout), zap.String("phase", status.Phase),
			zap.Int("replicas", status.Replicas), zap.Int("active", status.Active))
	}
	w.last = status
}

// load reads the stored status of the rollout unless it is loaded already. A stored
// value that cannot be decoded counts as empty and is overwritten.
func (w *statusWriter) load(ctx context.Context, api adapter.ObjectAPI, rollout string) error {
	if w.loadedRollout == rollout {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	o, err := api.Get(callCtx, rolloutKey(rollout))
	var notFound *adapter.NotFoundError
	switch {
	case errors.As(err, &notFound):
		w.last, w.objectVersion = parser.RolloutStatus{}, 0
	case err != nil:
		return err
	default:
		var status parser.RolloutStatus
		if err := json.Unmarshal(o.Value, &status); err != nil {
			status = parser.RolloutStatus{}
		}
		w.last, w.objectVersion = status, o.Version
	}
	w.loadedRollout = rollout
	return nil
}

func (w *statusWriter) store(ctx context.Context, api adapter.ObjectAPI, status parser.RolloutStatus) error {
	value, err := json.Marshal(status)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var o adapter.Object
	if w.objectVersion == 0 {
		o, err = api.Create(callCtx, rolloutKey(status.Rollout), value)
	} else {
		o, err = api.Update(callCtx, rolloutKey(status.Rollout), value, w.objectVersion)
	}
	if err != nil {
		return err
	}
	w.objectVersion = o.Version
	return nil
}

// computeStatus computes the status of a rollout. The start time is kept as long as
// the version stays the same.
func computeStatus(in planInput, last parser.RolloutStatus, now time.Time) parser.RolloutStatus {
	status := parser.RolloutStatus{
		Rollout:       in.rollout.Name,
		Fleet:         in.fleet.Name,
		Version:       in.target.Name,
		Digest:        in.target.Digest,
		Replicas:      len(in.members),
		StartedMillis: now.UnixMilli(),
	}
	if last.Digest == in.target.Digest {
		status.StartedMillis = last.StartedMillis
		status.DoneMillis = last.DoneMillis
	}
	failed := 0
	for _, m := range in.members {
		t := findTransfer(m, in.target.Digest)
		status.BytesFromOrigin += t.GetBytesFromOrigin()
		isActive := m.Replica.GetVersion() == in.target.Digest
		if isActive {
			status.Active++
		}
		if isActive || t.GetComplete() {
			status.Transferred++
		}
		if in.isEvacuated(m) && !isActive {
			status.Evacuated++
			continue
		}
		if m.LastOrderError != "" && !isActive && t.GetComplete() {
			failed++
		}
		if t.GetError() != "" {
			status.Message = m.Replica.GetVm() + ": " + t.GetError()
		} else if m.LastOrderError != "" && !isActive {
			status.Message = m.Replica.GetVm() + ": " + m.LastOrderError
		}
	}
	if status.Message == "" && status.Evacuated > 0 {
		status.Message = fmt.Sprintf("%d replicas in evacuated failure domains are left out", status.Evacuated)
	}
	status.Phase = rolloutPhase(in, status, failed)
	if status.Phase == parser.PhaseDone && status.DoneMillis == 0 {
		status.DoneMillis = now.UnixMilli()
	}
	return status
}

// rolloutPhase returns the phase of a rollout. A rollout has failed if max-unavailable
// replicas could not activate the version, because no other replica is switched
// from then on. It is done without the replicas of evacuated failure domains. Their
// VMs may be gone, so that during an evacuation the number of the others is not known.
func rolloutPhase(in planInput, status parser.RolloutStatus, failed int) string {
	wanted := status.Replicas - status.Evacuated
	enoughReplicas := wanted > 0 && (len(in.evacuated) > 0 || len(in.members) >= in.fleet.Replicas-in.maxUnavailable())
	switch {
	case in.rollout.State == parser.RolloutAborted:
		return parser.PhaseAborted
	case in.rollout.State == parser.RolloutPaused:
		return parser.PhasePaused
	case failed >= in.maxUnavailable():
		return parser.PhaseFailed
	case enoughReplicas && status.Active == wanted:
		return parser.PhaseDone
	case status.Active > 0:
		return parser.PhaseActivating
	case status.Replicas > 0:
		return parser.PhaseTransferring
	}
	return parser.PhasePending
}

func rolloutKey(name string) string {
	return "rollouts/" + name
}
