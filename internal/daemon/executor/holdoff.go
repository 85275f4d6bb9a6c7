package executor

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/pauser"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// malformedLogInterval is the time between two log lines about malformed headers of the
// backend server.
const malformedLogInterval = time.Minute

// holdOff refuses new and waiting attempts for the longest of the times for which the backend
// server wants no calls, as it says in a response. A restart of an engine ends it. It returns
// the refusal of the call that has the response, or nil.
func (e *Executor) holdOff(responseStatus int, retryAfter []string, now time.Time) *refusal {
	if responseStatus != http.StatusServiceUnavailable {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var longest time.Duration
	for _, value := range retryAfter {
		wait, err := pauser.Parse(value)
		if err != nil && now.Sub(e.malformedAt) >= malformedLogInterval {
			e.malformedAt = now
			e.Log.Warn("malformed header of the backend server", zap.Error(err))
		}
		longest = max(longest, wait)
	}
	if until := now.Add(longest); longest > 0 && until.After(e.heldUntil) {
		e.heldUntil = until
		e.Metrics.HeldOff.Add(1)
		e.Log.Info("backend server holds calls off", zap.Duration("wait", longest), zap.Int("waiting", e.table.waitingCount()), zap.Time("at", now))
		e.table.refuseWaiting(*e.heldRefusal(now), now)
	}
	return e.heldRefusal(now)
}

// heldRefusal returns the refusal of calls while the backend server wants none, or nil. It is
// called with the lock held.
func (e *Executor) heldRefusal(now time.Time) *refusal {
	left := e.heldUntil.Sub(now)
	if left <= 0 {
		return nil
	}
	return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_OVERLOADED, detail: "the backend server wants no calls", retryAfter: left}
}
