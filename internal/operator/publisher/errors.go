package publisher

import (
	"fmt"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// ConflictError reports an edit of an object that another operator has changed
// since the edit's base revision.
type ConflictError struct {
	Object parser.Ref
	// Fields are the fields that the other operator changed and that this edit
	// would set to other values. The list is empty if the other operator deleted
	// the object.
	Fields []string
	// BaseRevision is the revision that the edit was made against.
	BaseRevision uint64
	// OtherRevision is the revision in which the other operator changed the
	// object; OtherAuthor is that operator's name.
	OtherRevision uint64
	OtherAuthor   string
	// OtherDeleted reports whether the other operator deleted the object.
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

// StaleBaseError reports an edit whose base revision is older than the head's
// history, so that conflicts cannot be detected, or does not exist.
type StaleBaseError struct {
	BaseRevision uint64
	// OldestKnown is the lowest valid base revision.
	OldestKnown uint64
	// Current is the revision in the head.
	Current uint64
}

func (e *StaleBaseError) Error() string {
	if e.BaseRevision > e.Current {
		return fmt.Sprintf("revision %d does not exist, the current one is %d", e.BaseRevision, e.Current)
	}
	return fmt.Sprintf("changes after revision %d are not known, only those after revision %d; the current one is %d",
		e.BaseRevision, e.OldestKnown, e.Current)
}

// UnknownOutcomeError reports a publish that may have taken effect: the
// response to the update of the head was lost, and reading the head back failed
// or did not show whether the update was applied.
type UnknownOutcomeError struct {
	// Revision is the revision that the publish would have created.
	Revision uint64
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("revision %d may have been published: %v", e.Revision, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// EarlierEraError reports that the store was restored from an earlier copy and
// that no daemon has published its configuration again since then. The store may
// lack revisions that daemons have in force.
type EarlierEraError struct {
	// Revision is the revision in the head.
	Revision uint64
	// Era is the present era of the store.
	Era uint64
}

func (e *EarlierEraError) Error() string {
	return fmt.Sprintf("the object API was restored from a copy with revision %d, and no entry daemon has confirmed its configuration in era %d",
		e.Revision, e.Era)
}

// CorruptError reports a stored head or part that is malformed or does not match
// its digest.
type CorruptError struct {
	// Key is the key of the object in the object API.
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

// SetTooLargeError reports a set of objects that needs more than maxParts parts.
type SetTooLargeError struct {
	// Parts is the number of parts that the set needs.
	Parts int
}

func (e *SetTooLargeError) Error() string {
	return fmt.Sprintf("the set needs %d parts of %d bytes, the limit is %d", e.Parts, maxPartBytes, maxParts)
}
