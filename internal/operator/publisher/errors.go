package publisher

import (
	"fmt"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// ConflictError reports an object that another operator changed after the
// revision on which the edit is based.
type ConflictError struct {
	Object parser.Ref
	// Fields are those that the other operator changed and that this edit sets
	// to something else. They are empty when the other deleted the object.
	Fields []string
	// BaseRevision is the revision on which the edit is based.
	BaseRevision uint64
	// OtherRevision is the revision in which the other operator changed the
	// object, OtherAuthor the name that the operator gave.
	OtherRevision uint64
	OtherAuthor   string
	// OtherDeleted is set when the other operator deleted the object.
	OtherDeleted bool
}

func (e *ConflictError) Error() string {
	what := e.Object.String()
	if len(e.Fields) > 0 {
		what += ": " + strings.Join(e.Fields, ", ")
	}
	verb := "changed"
	if e.OtherDeleted {
		verb = "deleted"
	}
	return fmt.Sprintf("%s: %s by %s in revision %d, after revision %d on which this edit is based",
		what, verb, e.OtherAuthor, e.OtherRevision, e.BaseRevision)
}

// StaleBaseError reports an edit that is based on a revision whose later
// changes are no longer known.
type StaleBaseError struct {
	BaseRevision uint64
	OldestKnown  uint64
	Current      uint64
}

func (e *StaleBaseError) Error() string {
	if e.BaseRevision > e.Current {
		return fmt.Sprintf("revision %d does not exist, the current one is %d", e.BaseRevision, e.Current)
	}
	return fmt.Sprintf("changes after revision %d are not known, only those after revision %d; the current one is %d",
		e.BaseRevision, e.OldestKnown, e.Current)
}

// UnknownOutcomeError reports a publish that may have taken effect: the answer
// was lost and the head could not be read back.
type UnknownOutcomeError struct {
	Revision uint64
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("revision %d may have been published: %v", e.Revision, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CorruptError reports an object of the configuration that cannot be used.
type CorruptError struct {
	Key     string
	Message string
	Cause   error
}

func (e *CorruptError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("object %q: %s: %v", e.Key, e.Message, e.Cause)
	}
	return fmt.Sprintf("object %q: %s", e.Key, e.Message)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// SetTooLargeError reports a set that does not fit into a revision.
type SetTooLargeError struct {
	Parts int
}

func (e *SetTooLargeError) Error() string {
	return fmt.Sprintf("the set needs %d parts of %d bytes, the limit is %d", e.Parts, maxPartBytes, maxParts)
}
