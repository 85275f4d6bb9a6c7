package forwarder

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// ending describes how an attempt ended.
type ending interface {
	ending()
}

// neverSent means that no byte of the attempt left this process.
type neverSent struct{ cause error }

// notPermitted means that regions or an evacuation have kept the attempt from being
// sent. No part of the request left this process.
type notPermitted struct{ cause error }

// refused means that the agent reported that the attempt has not started and will
// not start.
type refused struct{ *messenger.AttemptRefused }

// completed means that the complete model answer has arrived.
type completed struct{ *messenger.AttemptEnd }

// answered means that the complete answer of a service call has arrived.
type answered struct{ *messenger.ServiceAnswer }

// broken means that the attempt started and the agent reported that it did not
// complete.
type broken struct{ *messenger.AttemptBroken }

// lost means that the stream ended or timed out without a final event, or its
// events were inconsistent. The attempt may still be running.
type lost struct{ reason string }

// requestEnded means that the caller disconnected or is too slow, that the deadline of
// the request has passed, or that the daemon stops.
type requestEnded struct{ cause error }

// superseded means that another attempt of the request serves the caller. The attempt may
// still be running.
type superseded struct{}

func (neverSent) ending()    {}
func (notPermitted) ending() {}
func (refused) ending()      {}
func (completed) ending()    {}
func (answered) ending()     {}
func (broken) ending()       {}
func (lost) ending()         {}
func (requestEnded) ending() {}
func (superseded) ending()   {}

// releaseServer releases the picked server and reports to the picker what the
// ending shows about the server. An attempt that ended because of the caller or of
// another attempt, or that was refused because of load or a planned change, shows nothing
// about the server's health.
func (a *attempt) releaseServer(e ending, now time.Time) {
	switch e := e.(type) {
	case completed, answered:
		a.choice.Done(true, now)
		return
	case requestEnded, superseded, notPermitted:
		a.choice.Release()
		return
	case neverSent:
		a.choice.Unreachable(now)
		return
	case refused:
		if e.GetReason() != messenger.RefuseReason_REFUSE_REASON_NOT_READY {
			a.choice.Release()
			return
		}
	}
	a.choice.Done(false, now)
}

// isPlannedChange reports whether a refusal is due to a planned change, such as a drain
// or a version switch. Retries on other servers then use no retry budget, so that a
// rollout does not consume the budget for failures.
func isPlannedChange(r messenger.RefuseReason) bool {
	switch r {
	case messenger.RefuseReason_REFUSE_REASON_DRAINING,
		messenger.RefuseReason_REFUSE_REASON_WRONG_VERSION,
		messenger.RefuseReason_REFUSE_REASON_WRONG_INCARNATION,
		messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED:
		return true
	}
	return false
}
