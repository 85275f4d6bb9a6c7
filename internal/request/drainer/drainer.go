// Package drainer decides which requests a stopping daemon still takes.
//
// A process is killed at a fixed time after the signal to stop, and a request may last
// until its deadline. Callers reach a stopping daemon until their list of addresses
// expires. During that time it takes all requests that can be sent again if they are cut:
// most of them end long before the process does. Of the others it takes only those that
// cannot outlast it, as it does of all requests later. The rest is refused at once, while
// the callers have time to turn to another daemon.
package drainer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// maxIntakeShare bounds the intake to a share of the time until RequestsEnd.
	maxIntakeShare = 0.5
	// exitShare is the share of the stop time that is reserved for the last answers and
	// the exit of the process, at most maxExitTime.
	exitShare   = 1.0 / 12
	maxExitTime = 700 * time.Millisecond
	// RetryAfter is the retry-after time of a request that is refused because of the stop.
	// Another daemon can take it at once.
	RetryAfter = 10 * time.Millisecond
)

// Plan is the schedule of a stop.
type Plan struct {
	Began time.Time
	// IntakeEnds is the end of the time in which requests are taken that may outlast the
	// stop.
	IntakeEnds time.Time
	// RequestsEnd is when the requests that are still in progress are ended.
	RequestsEnd time.Time
	// ConnectionsClose is when the last connections are closed. Until then, callers of
	// the ended requests get their answers.
	ConnectionsClose time.Time
	// HasOtherDaemon reports, if set, whether another daemon can take requests.
	HasOtherDaemon func(now time.Time) bool
}

// NewPlan returns the schedule of a stop that began at a time. Callers come until
// listedTime has passed, and the process is killed after stopTime.
func NewPlan(began time.Time, listedTime, stopTime time.Duration) Plan {
	exitTime := min(maxExitTime, time.Duration(exitShare*float64(stopTime)))
	available := stopTime - exitTime
	return Plan{
		Began:       began,
		IntakeEnds:  began.Add(min(listedTime, time.Duration(maxIntakeShare*float64(available)))),
		RequestsEnd: began.Add(available),
		// Half of the exit time is left for the process.
		ConnectionsClose: began.Add(stopTime - exitTime/2),
	}
}

// Takes reports whether a request is taken now that has not run and may last until its
// deadline. A request that is not repeatable cannot be sent again after it was cut.
func (p *Plan) Takes(deadline time.Time, repeatable bool, now time.Time) bool {
	if !deadline.After(p.RequestsEnd) {
		return true
	}
	return now.Before(p.IntakeEnds) && (repeatable || !p.hasOtherDaemon(now))
}

func (p *Plan) hasOtherDaemon(now time.Time) bool {
	return p.HasOtherDaemon != nil && p.HasOtherDaemon(now)
}

// StoppedError is the cause with which the context of a request ends when the daemon
// cannot wait for it any longer.
type StoppedError struct {
	// After is the time since the signal to stop.
	After time.Duration
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("the daemon stopped %s after its signal", e.After)
}

// StopCause returns the StoppedError with which a context has ended, or nil if it has not
// ended or for another reason.
func StopCause(ctx context.Context) *StoppedError {
	var stopped *StoppedError
	if errors.As(context.Cause(ctx), &stopped) {
		return stopped
	}
	return nil
}
