package commander

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Exit codes of lentil.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed for a reason without a code of
	// its own.
	ExitFailed = 1
	// ExitUsage means that the arguments or flags are invalid.
	ExitUsage = 2
	// ExitProblems means that the check found problems. Nothing was published.
	ExitProblems = 3
	// ExitConflict means a conflict with another operator's changes, or a base
	// revision that is unknown or too old. Nothing was published.
	ExitConflict = 4
	// ExitUnavailable means that the object API was not available. The change may
	// have taken effect; the message says whether.
	ExitUnavailable = 5
	// ExitNotInForce means that the revision was published but did not come into
	// force at all daemons within --timeout.
	ExitNotInForce = 6
)

// UsageError reports invalid arguments.
type UsageError struct {
	Message string
	// Suggestion tells the operator what to type instead.
	Suggestion string
}

func (e *UsageError) Error() string { return e.Message + "; " + e.Suggestion }

// FailedError reports a command that failed although its arguments are valid.
type FailedError struct {
	Message string
	// Suggestion tells the operator what to do next.
	Suggestion string
}

func (e *FailedError) Error() string { return e.Message + "; " + e.Suggestion }

// NotInForceError reports a published revision that did not come into force at
// all daemons in time.
type NotInForceError struct {
	Revision uint64
	// InForce is the number of daemons that have the revision.
	InForce int
	// Daemons is the number of daemons that have reported their status.
	Daemons int
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is published but in force at only %d of %d daemons", e.Revision, e.InForce, e.Daemons)
}

// LostRevisionError reports a published revision that a restore of the object API
// has lost before any daemon had it.
type LostRevisionError struct {
	Revision uint64
	// Earlier is the revision with which daemons went on.
	Earlier uint64
}

func (e *LostRevisionError) Error() string {
	return fmt.Sprintf("revision %d was lost in a restore of the object API, daemons went on with revision %d", e.Revision, e.Earlier)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *UsageError
	var flagError *explainer.FlagError
	var address *adapter.AddressError
	var problems *parser.ProblemsError
	var conflict *publisher.ConflictError
	var stale *publisher.StaleBaseError
	var writeConflict *adapter.ConflictError
	var unavailable *adapter.UnavailableError
	var unknown *publisher.UnknownOutcomeError
	var notInForce *NotInForceError
	var lost *LostRevisionError
	var earlierEra *publisher.EarlierEraError
	switch {
	case errors.As(err, &usage), errors.As(err, &flagError), errors.As(err, &address):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitProblems
	case errors.As(err, &unknown), errors.As(err, &unavailable), errors.As(err, &earlierEra), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	case errors.As(err, &conflict), errors.As(err, &stale), errors.As(err, &writeConflict):
		return ExitConflict
	case errors.As(err, &notInForce), errors.As(err, &lost):
		return ExitNotInForce
	}
	return ExitFailed
}

// explainError returns the text of an error. For errors of other packages, it
// adds whether anything was published and what the operator can do.
func explainError(err error) string {
	var conflict *publisher.ConflictError
	var stale *publisher.StaleBaseError
	var writeConflict *adapter.ConflictError
	var unavailable *adapter.UnavailableError
	var unknown *publisher.UnknownOutcomeError
	var corrupt *publisher.CorruptError
	var tooLarge *publisher.SetTooLargeError
	var notInForce *NotInForceError
	var lost *LostRevisionError
	var earlierEra *publisher.EarlierEraError
	text := err.Error()
	switch {
	case errors.As(err, &conflict) && conflict.OtherDeleted:
		return fmt.Sprintf("%s; nothing was published; use --based-on %d to create it again", text, conflict.OtherRevision)
	case errors.As(err, &conflict):
		return fmt.Sprintf("%s; nothing was published; type lentil describe %s, edit again and use --based-on %d",
			text, conflict.Object, conflict.OtherRevision)
	case errors.As(err, &stale):
		return fmt.Sprintf("%s; type lentil diff, edit again and use --based-on %d", text, stale.Current)
	case errors.As(err, &unknown):
		return text + "; type lentil diff with the same files to see whether it was"
	case errors.As(err, &writeConflict):
		return text + "; other operators publish at the same time; repeat the command"
	case errors.As(err, &unavailable):
		outcome := "nothing was changed"
		if mayHaveChanged(unavailable) {
			outcome = "the change may have taken effect"
		}
		return text + "; " + outcome + "; check --object-api or LENTIL_OBJECT_API and repeat the command"
	case errors.Is(err, context.DeadlineExceeded):
		return text + "; repeat the command"
	case errors.As(err, &earlierEra):
		return text + "; nothing was published; start an entry daemon and repeat the command"
	case errors.As(err, &corrupt):
		return text + "; restore this object of the object API, or use a lentil of the version that published it"
	case errors.As(err, &tooLarge):
		return text + "; delete objects that are not used"
	case errors.As(err, &lost):
		return text + "; repeat the command"
	case errors.As(err, &notInForce):
		return text + "; type lentil status to see which daemons lag"
	}
	return text
}

// mayHaveChanged reports whether the call to the object API may have changed the
// configuration although it failed. It is false for writes of parts, which have
// no effect until the head lists them.
func mayHaveChanged(e *adapter.UnavailableError) bool {
	if e.Refused || strings.HasPrefix(e.Key, publisher.PartPrefix) {
		return false
	}
	return e.Operation == "create" || e.Operation == "update" || e.Operation == "delete"
}
