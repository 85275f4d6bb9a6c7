package forwarder

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// ending is how one attempt ended.
type ending interface {
	ending()
}

// neverSent: no byte of the attempt left this process.
type neverSent struct{ cause error }

// refused: the agent said that the attempt has not started and never will.
type refused struct{ *messenger.AttemptRefused }

// completed: the whole model answer has arrived.
type completed struct{ *messenger.AttemptEnd }

// answered: the whole answer of a plain service has arrived.
type answered struct{ *messenger.ServiceAnswer }

// broken: the attempt started and the agent said that it did not complete.
type broken struct{ *messenger.AttemptBroken }

// lost: nothing is known but what arrived before; the attempt may be running.
type lost struct{ reason string }

// unwanted: the caller has gone, is too slow, or its deadline has passed.
type unwanted struct{ cause error }

func (neverSent) ending() {}
func (refused) ending()   {}
func (completed) ending() {}
func (answered) ending()  {}
func (broken) ending()    {}
func (lost) ending()      {}
func (unwanted) ending()  {}

// giveBack returns the place on the server with what the ending says about
// it. An attempt that the caller ended, or that was refused for load or for a
// planned change, says nothing about the server's health.
func (a *attempt) giveBack(e ending, now time.Time) {
	switch e := e.(type) {
	case completed, answered:
		a.choice.Done(true, now)
		return
	case unwanted:
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

// planned reports whether a refusal follows from a planned change, such as a
// drain or a switch of versions. Trying elsewhere costs no retry budget then:
// a rollout must not use up the budget for failures.
func planned(r messenger.RefuseReason) bool {
	switch r {
	case messenger.RefuseReason_REFUSE_REASON_DRAINING,
		messenger.RefuseReason_REFUSE_REASON_WRONG_VERSION,
		messenger.RefuseReason_REFUSE_REASON_WRONG_INCARNATION,
		messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED:
		return true
	}
	return false
}
