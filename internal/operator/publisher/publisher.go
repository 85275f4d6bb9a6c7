// Package publisher stores sets of configuration objects as revisions in the
// object API and reads them back. A revision consists of content-addressed parts
// and comes into force by one conditional update of the head, which lists them.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// maxPublishTries limits how often an edit is applied to the current
	// revision. A try fails if another publish updates the head first.
	maxPublishTries = 20
	// initialConflictDelay and maxConflictDelay are the bounds of the randomized
	// backoff after such a conflict. A write to the object API takes a few
	// milliseconds. Without a delay, one of eight concurrent operators used up
	// all of its tries in a fifth of the runs of TestRaceOnDifferentObjects under
	// the race detector.
	initialConflictDelay = 5 * time.Millisecond
	maxConflictDelay     = 200 * time.Millisecond
	// maxCallTries limits the tries of one call to the object API that gets no
	// response.
	maxCallTries = 6
	// initialRetryDelay and maxRetryDelay are the bounds of the randomized
	// backoff between these tries.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Publisher publishes and reads revisions.
type Publisher struct {
	Objects adapter.ObjectAPI
	// Author is the operator's name, which other operators see in conflicts.
	Author string
	// Validate checks a set before it is published; nil accepts any set. It is
	// called again for a set that is merged with other operators' edits.
	Validate func(before, after *parser.Set) error
	// NewWriterID returns a unique identifier for one Publish call. Identifiers
	// are random if it is nil.
	NewWriterID func() string
	// MaxPartBytes is the maximum size of a part in bytes; 0 means 900,000.
	MaxPartBytes int
}

// Edit creates, replaces or deletes one object.
type Edit struct {
	Ref parser.Ref
	// After is the object to store; nil deletes the object.
	After parser.Object
}

// Request is a set of edits to publish atomically.
type Request struct {
	Edits []Edit
	// BaseRevision is the revision that the edits were made against. An edit of
	// an object that was changed in a later revision is a conflict.
	BaseRevision uint64
}

// Result is the outcome of a Publish call.
type Result struct {
	// Revision is the new revision, or the current one if nothing changed.
	Revision uint64
	// Changed is false if the current revision already contained the edits.
	Changed bool
	// Merged reports whether other operators published revisions after the base
	// revision, which the new revision includes.
	Merged bool
}

// Publish brings the edits into force as the next revision. It applies them to
// the current revision, and so merges them with other operators' edits of other
// objects since the base revision; edits of the same object are a
// *ConflictError. On an error nothing is published, except that after an
// *UnknownOutcomeError the revision may have been published.
func (p *Publisher) Publish(ctx context.Context, now time.Time, request Request) (Result, error) {
	writer := p.newWriterID()
	delays := &backoff.ExponentialBackOff{
		InitialInterval: initialConflictDelay, MaxInterval: maxConflictDelay, Multiplier: 2, RandomizationFactor: 1,
	}
	delays.Reset()
	for range maxPublishTries {
		result, err := p.publishOnce(ctx, now, request, writer)
		var headChanged *headChangedError
		if !errors.As(err, &headChanged) {
			return result, err
		}
		if !waiter.Wait(ctx, delays.NextBackOff()) {
			return Result{}, ctx.Err()
		}
	}
	return Result{}, &adapter.ConflictError{Key: HeadKey}
}

// headChangedError reports that another writer updated the head first.
type headChangedError struct{}

func (*headChangedError) Error() string { return "the head was updated by another writer" }

// publishOnce applies the edits to the current revision and publishes the
// result. It returns a *headChangedError if another writer updates the head
// first.
func (p *Publisher) publishOnce(ctx context.Context, now time.Time, request Request, writer string) (Result, error) {
	current, head, headVersion, err := p.loadCarriedOver(ctx)
	if err != nil {
		return Result{}, err
	}
	if err := checkBase(head, request.BaseRevision); err != nil {
		return Result{}, err
	}
	next, changes, err := applyEdits(current, head, request)
	if err != nil {
		return Result{}, err
	}
	if len(changes) == 0 {
		return Result{Revision: current.Number}, nil
	}
	if p.Validate != nil {
		if err := p.Validate(current.Set, next); err != nil {
			return Result{}, err
		}
	}
	digests, err := p.writeParts(ctx, now, next, head)
	if err != nil {
		return Result{}, err
	}
	entry := HistoryEntry{Revision: nextRevision(head.Revision, head.Era), Writer: writer, Author: p.Author, TimeMillis: now.UnixMilli(), Changes: changes}
	newHead := Head{Revision: entry.Revision, Parts: digests, Writer: writer, History: appendHistory(head.History, entry), Era: head.Era}
	revision, err := p.updateHead(ctx, newHead, headVersion)
	var restored *restoredError
	if errors.As(err, &restored) {
		// The store may have lost parts that the head lists now.
		if _, err := p.writeParts(ctx, now, next, Head{}); err != nil {
			return Result{}, &UnknownOutcomeError{Revision: newHead.Revision, Cause: err}
		}
		return Result{}, &headChangedError{}
	}
	if err != nil {
		return Result{}, err
	}
	return Result{Revision: revision, Changed: true, Merged: head.Revision != request.BaseRevision}, nil
}

// checkBase returns a *StaleBaseError if the history does not reach back to the
// base revision or the revision does not exist.
func checkBase(head Head, base uint64) error {
	if base > head.Revision || base < head.oldestKnownBase() {
		return &StaleBaseError{BaseRevision: base, OldestKnown: head.oldestKnownBase(), Current: head.Revision}
	}
	return nil
}

// applyEdits returns the current set with the edits applied, and the changes
// that they make. Edits that change nothing are skipped and never conflict.
func applyEdits(current *parser.Revision, head Head, request Request) (*parser.Set, []HistoryChange, error) {
	edits := map[parser.Ref]parser.Object{}
	var changes []HistoryChange
	for _, edit := range request.Edits {
		before := current.Set.Find(edit.Ref)
		if parser.Equal(before, edit.After) {
			continue
		}
		fields := changedFields(before, edit.After)
		if entry, other, changed := head.lastChange(edit.Ref, request.BaseRevision); changed {
			return nil, nil, newConflictError(edit, request.BaseRevision, entry, other, fields)
		}
		edits[edit.Ref] = edit.After
		changes = append(changes, HistoryChange{Kind: edit.Ref.Kind, Name: edit.Ref.Name, Fields: fields, Deleted: edit.After == nil})
	}
	next := parser.NewSet()
	for _, o := range current.Set.All() {
		if _, edited := edits[o.Ref()]; !edited {
			next.Add(o)
		}
	}
	for _, o := range edits {
		if o != nil {
			next.Add(o)
		}
	}
	return next, changes, nil
}

// changedFields returns the fields that differ, without kind and name: these
// differ only if the object is created or deleted.
func changedFields(before, after parser.Object) []string {
	var fields []string
	for _, difference := range parser.Differences(before, after) {
		if difference.Field != "kind" && difference.Field != "name" {
			fields = append(fields, difference.Field)
		}
	}
	return fields
}

// newConflictError returns a *ConflictError with the fields that are both in the
// other operator's change and in ownFields, the fields in which the edit differs
// from the current object.
func newConflictError(edit Edit, base uint64, entry HistoryEntry, otherChange HistoryChange, ownFields []string) error {
	e := &ConflictError{
		Object: edit.Ref, BaseRevision: base,
		OtherRevision: entry.Revision, OtherAuthor: entry.Author, OtherDeleted: otherChange.Deleted,
	}
	for _, field := range otherChange.Fields {
		if !otherChange.Deleted && slices.Contains(ownFields, field) {
			e.Fields = append(e.Fields, field)
		}
	}
	return e
}

// writeParts writes the parts of the set and returns their digests.
func (p *Publisher) writeParts(ctx context.Context, now time.Time, next *parser.Set, head Head) ([]string, error) {
	maxBytes := p.MaxPartBytes
	if maxBytes <= 0 {
		maxBytes = maxPartBytes
	}
	parts, err := splitSet(next, maxBytes)
	if err != nil {
		return nil, err
	}
	referenced := map[string]bool{}
	for _, digest := range head.Parts {
		referenced[digest] = true
	}
	digests := make([]string, len(parts))
	for i, part := range parts {
		if err := p.writePart(ctx, now, part, referenced[part.digest]); err != nil {
			return nil, err
		}
		digests[i] = part.digest
	}
	return digests, nil
}

// updateHead brings the revision into force. It returns a *restoredError if the
// store was restored since the head was read. If the response is lost, it repeats
// the same conditional update: if the first update was applied, the repetition
// fails with a conflict, and the head's history contains this writer.
func (p *Publisher) updateHead(ctx context.Context, head Head, version uint64) (uint64, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	mayHaveApplied := false
	var written adapter.Object
	err = p.retry(ctx, func() error {
		var err error
		if version == 0 {
			written, err = p.Objects.Create(ctx, HeadKey, value)
		} else {
			written, err = p.Objects.Update(ctx, HeadKey, value, version)
		}
		var unavailable *adapter.UnavailableError
		if errors.As(err, &unavailable) && !unavailable.Refused {
			mayHaveApplied = true
		}
		return err
	})
	if err == nil && written.Era != head.Era {
		return 0, &restoredError{era: written.Era}
	}
	if err == nil {
		return head.Revision, nil
	}
	var conflict *adapter.ConflictError
	if errors.As(err, &conflict) {
		return p.resolveHeadConflict(ctx, head, mayHaveApplied, err)
	}
	if mayHaveApplied {
		return 0, &UnknownOutcomeError{Revision: head.Revision, Cause: err}
	}
	return 0, err
}

// resolveHeadConflict handles a conflict on updating the head. It returns the
// revision if the update was in fact applied and only its response was lost, and
// a *headChangedError if another writer updated the head first.
func (p *Publisher) resolveHeadConflict(ctx context.Context, head Head, mayHaveApplied bool, cause error) (uint64, error) {
	if !mayHaveApplied {
		return 0, &headChangedError{}
	}
	var found Head
	err := p.retry(ctx, func() error {
		var err error
		found, _, err = p.ReadHead(ctx)
		return err
	})
	if err != nil {
		return 0, &UnknownOutcomeError{Revision: head.Revision, Cause: errors.Join(cause, err)}
	}
	if found.Era != head.Era {
		return 0, &restoredError{era: found.Era}
	}
	if revision := found.revisionBy(head.Writer); revision > 0 {
		return revision, nil
	}
	// The update was not applied and cannot be applied any more, because the head
	// has another version. This holds only if the history still covers the
	// revision; otherwise the entry of this writer may have been dropped.
	if found.oldestKnownBase() >= head.Revision {
		return 0, &UnknownOutcomeError{Revision: head.Revision, Cause: cause}
	}
	return 0, &headChangedError{}
}

// retry makes the call up to maxCallTries times, with backoff, as long as the
// object API is unavailable. Other errors are returned at once.
func (p *Publisher) retry(ctx context.Context, call func() error) error {
	delays := &backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, MaxInterval: maxRetryDelay,
		Multiplier: 2, RandomizationFactor: 0.5,
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := call()
		var unavailable *adapter.UnavailableError
		if err != nil && !errors.As(err, &unavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(maxCallTries))
	return err
}

// newWriterID returns the identifier of one Publish call.
func (p *Publisher) newWriterID() string {
	if p.NewWriterID != nil {
		return p.NewWriterID()
	}
	return rand.Text()
}
