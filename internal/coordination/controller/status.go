package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	statusInterval = time.Second
	statusTimeout  = time.Second
)

// statusWriter writes the progress of one rollout into the object API, the
// latest value at most once an interval.
type statusWriter struct {
	last    parser.RolloutStatus
	version uint64
	loaded  string
	writeAt time.Time
}

func (w *statusWriter) write(ctx context.Context, c *Controller, in input, now time.Time) {
	if now.Before(w.writeAt) {
		return
	}
	w.writeAt = now.Add(statusInterval)
	if err := w.load(ctx, c.API, in.rollout.Name); err != nil {
		c.Log.Warn("rollout status not read", zap.String("rollout", in.rollout.Name), zap.Error(err))
		return
	}
	status := nextStatus(in, w.last, now)
	if status == w.last {
		return
	}
	if err := w.store(ctx, c.API, status); err != nil {
		// Another holder may have written; read again before the next write.
		w.loaded = ""
		c.Log.Warn("rollout status not written", zap.String("rollout", in.rollout.Name), zap.Error(err))
		return
	}
	if status.Phase != w.last.Phase {
		c.Log.Info("rollout phase", zap.String("rollout", status.Rollout), zap.String("phase", status.Phase),
			zap.Int("replicas", status.Replicas), zap.Int("active", status.Active))
	}
	w.last = status
}

func (w *statusWriter) load(ctx context.Context, api adapter.ObjectAPI, rollout string) error {
	if w.loaded == rollout {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	o, err := api.Get(callCtx, rolloutKey(rollout))
	var notFound *adapter.NotFoundError
	switch {
	case errors.As(err, &notFound):
		w.last, w.version = parser.RolloutStatus{}, 0
	case err != nil:
		return err
	default:
		var status parser.RolloutStatus
		if err := json.Unmarshal(o.Value, &status); err != nil {
			status = parser.RolloutStatus{}
		}
		w.last, w.version = status, o.Version
	}
	w.loaded = rollout
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
	if w.version == 0 {
		o, err = api.Create(callCtx, rolloutKey(status.Rollout), value)
	} else {
		o, err = api.Update(callCtx, rolloutKey(status.Rollout), value, w.version)
	}
	if err != nil {
		return err
	}
	w.version = o.Version
	return nil
}

// nextStatus counts the progress of a rollout. The start time is kept while
// the version stays the same.
func nextStatus(in input, last parser.RolloutStatus, now time.Time) parser.RolloutStatus {
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
		t := transferOf(m, in.target.Digest)
		status.BytesFromOrigin += t.GetBytesFromOrigin()
		isActive := m.Replica.GetVersion() == in.target.Digest
		if isActive {
			status.Active++
		}
		if isActive || t.GetComplete() {
			status.Transferred++
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
	status.Phase = phaseOf(in, status, failed)
	if status.Phase == parser.PhaseDone && status.DoneMillis == 0 {
		status.DoneMillis = now.UnixMilli()
	}
	return status
}

// phaseOf returns the phase of a rollout. It has failed when as many replicas
// as may be away at once could not activate the version, because no further
// one is ordered to then.
func phaseOf(in input, status parser.RolloutStatus, failed int) string {
	enough := len(in.members) > 0 && len(in.members) >= in.fleet.Replicas-in.maxUnavailable()
	switch {
	case in.rollout.State == parser.RolloutAborted:
		return parser.PhaseAborted
	case in.rollout.State == parser.RolloutPaused:
		return parser.PhasePaused
	case failed >= in.maxUnavailable():
		return parser.PhaseFailed
	case enough && status.Active == status.Replicas:
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
