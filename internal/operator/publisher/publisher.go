// Package publisher publishes whole sets of objects as revisions on the object
// API and reads them back. A revision consists of content-addressed parts and
// comes into force by one conditional update of the head.
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
	// maxPublishTries bounds how often an edit is applied again to a head that
	// others moved.
	maxPublishTries = 20
	// firstRacePause and maxRacePause bound the random pause after a lost race. A
	// write of the object API takes a few milliseconds. Without a pause one of
	// eight operators lost all of its tries in a fifth of the runs of
	// TestRaceOnDifferentObjects with the race detector.
	firstRacePause = 5 * time.Millisecond
	maxRacePause   = 200 * time.Millisecond
	// maxCallTries bounds the tries of one call whose answer was lost.
	maxCallTries    = 6
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Publisher publishes and reads revisions.
type Publisher struct {
	Objects adapter.ObjectAPI
	// Author is the operator's name, shown to others in conflicts.
	Author string
	// Validate checks a set before it is published; nil accepts any. It is
	// called again for a set that includes another operator's edits.
	Validate func(before, after *parser.Set) error
	// NewWriter returns the identifier of one publish; random when nil.
	NewWriter func() string
	// PartBytes bounds one part; 900,000 when zero.
	PartBytes int
}

// Edit replaces, creates or deletes one object.
type Edit struct {
	Ref parser.Ref
	// After is the object to store; nil deletes it.
	After parser.Object
}

// Request is a set of edits that come into force together.
type Request struct {
	Edits []Edit
	// BaseRevision is the revision that the operator saw. An object that was
	// changed in a later revision is a conflict.
	BaseRevision uint64
}

// Result tells what a publish did.
type Result struct {
	Revision uint64
	// Changed is false when the set already had the edits.
	Changed bool
	// Merged is set when the revision includes edits of other operators after
	// the base revision.
	Merged bool
}

// Publish brings the edits into force as the next revision. Edits of other
// operators to other objects are merged by reading the set again; an edit of
// the same object is a *ConflictError. Nothing is published on an error,
// except that an *UnknownOutcomeError leaves it open.
func (p *Publisher) Publish(ctx context.Context, now time.Time, request Request) (Result, error) {
	writer := p.newWriter()
	pauses := &backoff.ExponentialBackOff{
		InitialInterval: firstRacePause, MaxInterval: maxRacePause, Multiplier: 2, RandomizationFactor: 1,
	}
	pauses.Reset()
	for range maxPublishTries {
		result, err := p.publishOnce(ctx, now, request, writer)
		var moved *headMovedError
		if !errors.As(err, &moved) {
			return result, err
		}
		if !waiter.Wait(ctx, pauses.NextBackOff()) {
			return Result{}, ctx.Err()
		}
	}
	return Result{}, &adapter.ConflictError{Key: HeadKey}
}

// headMovedError reports that another writer moved the head first.
type headMovedError struct{}

func (*headMovedError) Error() string { return "the head was moved by another writer" }

func (p *Publisher) publishOnce(ctx context.Context, now time.Time, request Request, writer string) (Result, error) {
	current, head, headVersion, err := p.loadWithHead(ctx)
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
	entry := HistoryEntry{Revision: head.Revision + 1, Writer: writer, Author: p.Author, TimeMillis: now.UnixMilli(), Changes: changes}
	newHead := Head{Revision: entry.Revision, Parts: digests, Writer: writer, History: addHistory(head.History, entry)}
	revision, err := p.moveHead(ctx, newHead, headVersion)
	if err != nil {
		return Result{}, err
	}
	return Result{Revision: revision, Changed: true, Merged: head.Revision != request.BaseRevision}, nil
}

func checkBase(head Head, base uint64) error {
	if base > head.Revision || base < head.oldestBase() {
		return &StaleBaseError{BaseRevision: base, OldestKnown: head.oldestBase(), Current: head.Revision}
	}
	return nil
}

// applyEdits returns a new set with the edits and what they change.
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
			return nil, nil, conflictError(edit, request.BaseRevision, entry, other, fields)
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

// changedFields leaves kind and name out, which differ only when the object is
// created or deleted.
func changedFields(before, after parser.Object) []string {
	var fields []string
	for _, difference := range parser.Differences(before, after) {
		if difference.Field != "kind" && difference.Field != "name" {
			fields = append(fields, difference.Field)
		}
	}
	return fields
}

// conflictError names the fields that the other operator changed and that the
// edit, which differs from the current object in the own fields, would change.
func conflictError(edit Edit, base uint64, entry HistoryEntry, other HistoryChange, own []string) error {
	e := &ConflictError{
		Object: edit.Ref, BaseRevision: base,
		OtherRevision: entry.Revision, OtherAuthor: entry.Author, OtherDeleted: other.Deleted,
	}
	for _, field := range other.Fields {
		if !other.Deleted && slices.Contains(own, field) {
			e.Fields = append(e.Fields, field)
		}
	}
	return e
}

func (p *Publisher) writeParts(ctx context.Context, now time.Time, next *parser.Set, head Head) ([]string, error) {
	limit := p.PartBytes
	if limit <= 0 {
		limit = maxPartBytes
	}
	parts, err := splitSet(next, limit)
	if err != nil {
		return nil, err
	}
	referenced := map[string]bool{}
	for _, digest := range head.Parts {
		referenced[digest] = true
	}
	digests := make([]string, len(parts))
	for i, piece := range parts {
		if err := p.writePart(ctx, now, piece, referenced[piece.digest]); err != nil {
			return nil, err
		}
		digests[i] = piece.digest
	}
	return digests, nil
}

// moveHead makes the revision the current one. After a lost answer it repeats
// the same conditional update: if the first took effect, the repetition finds
// another version, and the head or its history names this writer.
func (p *Publisher) moveHead(ctx context.Context, head Head, version uint64) (uint64, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	uncertain := false
	err = p.retry(ctx, func() error {
		var err error
		if version == 0 {
			_, err = p.Objects.Create(ctx, HeadKey, value)
		} else {
			_, err = p.Objects.Update(ctx, HeadKey, value, version)
		}
		var unavailable *adapter.UnavailableError
		if errors.As(err, &unavailable) && !unavailable.Refused {
			uncertain = true
		}
		return err
	})
	if err == nil {
		return head.Revision, nil
	}
	var conflict *adapter.ConflictError
	if errors.As(err, &conflict) {
		return p.resolveConflict(ctx, head, uncertain, err)
	}
	if uncertain {
		return 0, &UnknownOutcomeError{Revision: head.Revision, Cause: err}
	}
	return 0, err
}

// resolveConflict tells a lost race from an own update whose answer was lost.
func (p *Publisher) resolveConflict(ctx context.Context, head Head, uncertain bool, cause error) (uint64, error) {
	if !uncertain {
		return 0, &headMovedError{}
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
	if revision := found.wroteRevision(head.Writer); revision > 0 {
		return revision, nil
	}
	// The own update did not take effect and cannot any more, because the
	// version that it is conditional on is gone. With the own entry already
	// out of the history the outcome would be open.
	if found.oldestBase() >= head.Revision {
		return 0, &UnknownOutcomeError{Revision: head.Revision, Cause: cause}
	}
	return 0, &headMovedError{}
}

// retry repeats a call without an answer a few times.
func (p *Publisher) retry(ctx context.Context, call func() error) error {
	delays := &backoff.ExponentialBackOff{
		InitialInterval: firstRetryDelay, MaxInterval: maxRetryDelay,
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

func (p *Publisher) newWriter() string {
	if p.NewWriter != nil {
		return p.NewWriter()
	}
	return rand.Text()
}
