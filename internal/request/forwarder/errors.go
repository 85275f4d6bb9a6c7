package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// statusClientClosed is the non-standard status, known from nginx, for a caller that
// closed the connection. It appears in logs only, as the caller can no longer receive
// it.
const statusClientClosed = 499

// Error codes of failed reservations that mayRetry and releaseUnreserved distinguish.
const (
	codeOverloaded    = "overloaded"
	codeServerLeaving = "server-leaving"
)

// SlowCallerError reports that a caller does not read its stream fast enough.
type SlowCallerError struct {
	Waited time.Duration
}

func (e *SlowCallerError) Error() string {
	return fmt.Sprintf("the caller has not read its stream for %v", e.Waited)
}

// serverError returns an error without an outcome. The outcome is set when the
// state of every attempt is known.
func serverError(status int, code, message string) *identifier.RequestError {
	return &identifier.RequestError{Status: status, Type: identifier.TypeServer, Code: code, Message: message}
}

// overloadError reports servers that refused a request because of their load.
func overloadError(retryAfter time.Duration) *identifier.RequestError {
	err := serverError(http.StatusServiceUnavailable, codeOverloaded, "the backend servers are overloaded")
	err.RetryAfter = orDefault(retryAfter, time.Second)
	return err
}

// blockedError reports a request that is blocked until a time because it crashed
// backend servers.
func blockedError(until, now time.Time, outcome identifier.Outcome) *identifier.RequestError {
	message := "the request is blocked because it crashed backend servers"
	if left := until.Sub(now); left > 0 {
		message += fmt.Sprintf("; it is blocked for another %v", left.Round(time.Second))
	}
	return &identifier.RequestError{
		Status: http.StatusUnprocessableEntity, Type: identifier.TypeInvalidRequest,
		Code: "request-blocked", Message: message, Outcome: outcome,
	}
}

// requestEndedError returns the error of a request that its caller, its deadline or the
// stop of the daemon has ended.
func requestEndedError(cause error) *identifier.RequestError {
	var slow *SlowCallerError
	var stopped *drainer.StoppedError
	switch {
	case errors.As(cause, &stopped):
		return identifier.StoppingError("")
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return serverError(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline of the request has passed")
	case errors.As(cause, &slow):
		return serverError(statusClientClosed, "slow-caller", slow.Error())
	}
	return serverError(statusClientClosed, "caller-gone", "the caller has closed the connection")
}

// FailedResult returns the result of a request that failed before its first attempt.
func FailedResult(err error) Result {
	var e *identifier.RequestError
	if !errors.As(err, &e) {
		e = serverError(http.StatusInternalServerError, "internal", err.Error())
		e.Outcome = identifier.OutcomeNotRun
	}
	return Result{Outcome: e.Outcome, Err: e}
}
