package executor

import (
	"container/list"
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// attemptKey identifies one attempt.
type attemptKey struct {
	requestID string
	number    uint32
}

func keyOf(id *messenger.AttemptId) attemptKey {
	return attemptKey{requestID: id.GetRequestId(), number: id.GetNumber()}
}

// phase is the state of an attempt.
type phase int

const (
	// phaseReserved is an attempt that holds a slot and has not arrived yet.
	phaseReserved phase = iota
	phaseWaiting
	phaseRunning
	phaseFinished
	// phaseBroken is an attempt that started and did not complete.
	phaseBroken
	// phaseNeverStarted is an attempt that will never start, even if its start
	// arrives later.
	phaseNeverStarted
)

// record is the entry of one attempt in the table.
type record struct {
	key      attemptKey
	phase    phase
	priority messenger.Priority
	// sequence is the order of arrival.
	sequence uint64
	// alone is set for an attempt that must run with no other at the same time.
	alone    bool
	deadline time.Time
	// limit is when the call to the backend server is ended, or zero.
	limit       time.Time
	fingerprint string
	version     ActiveVersion
	// claimKey and bodyDigest are the claim of a call that must not be repeated.
	claimKey   string
	bodyDigest []byte
	// earlier is the attempt that has used the claim key before this one.
	earlier *attemptKey

	// reservation, service and expires describe a reservation.
	reservation string
	service     string
	expires     time.Time

	// decided is closed when the attempt is started or refused; refused is nil
	// for a started one.
	decided  chan struct{}
	refused  *refusal
	canceled bool
	// cancel ends the call to the backend server. A caller may not cancel one that must
	// run to its end.
	cancel       context.CancelCauseFunc
	mustRunToEnd bool

	// dispatched is set before the call is sent to the backend server. instance
	// is the engine's instance when the attempt was admitted.
	dispatched bool
	instance   string
	crash      *crashRecord

	endedAt time.Time
	answer  *messenger.ServiceAnswer
}

// refusal is the reason why an attempt is not started.
type refusal struct {
	reason     messenger.RefuseReason
	detail     string
	retryAfter time.Duration
}

const (
	overloadedRetryAfter = 200 * time.Millisecond
	notReadyRetryAfter   = time.Second
)

var (
	overloadedRefusal = refusal{reason: messenger.RefuseReason_REFUSE_REASON_OVERLOADED, detail: "the backend server has no free place", retryAfter: overloadedRetryAfter}
	switchingRefusal  = refusal{reason: messenger.RefuseReason_REFUSE_REASON_NOT_READY, detail: "the engine switches versions", retryAfter: notReadyRetryAfter}
	deadlineRefusal   = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DEADLINE, detail: "the deadline passed before the attempt started"}
	canceledRefusal   = refusal{reason: messenger.RefuseReason_REFUSE_REASON_CANCELLED, detail: "the attempt was canceled before it started"}
	expiredRefusal    = refusal{reason: messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED, detail: "no reservation is held for the attempt"}
	evacuatedRefusal  = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DRAINING, detail: "the failure domain is evacuated"}
	drainingRefusal   = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DRAINING, detail: "the backend server is draining"}
	duplicateRefusal  = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DUPLICATE, detail: "an attempt with this identifier exists"}
)

// table holds the reserved, waiting, running and retained attempts. Its methods
// are called with the executor's lock held.
type table struct {
	maxRunning int
	maxWaiting int

	draining bool
	// drainEnd is when running attempts are cut by a drain, or zero.
	drainEnd time.Time
	// evacuated is set while the failure domain is evacuated.
	evacuated bool
	// holds counts the calls of Hold without a Release.
	holds    int
	running  int
	reserved int
	// aloneRunning is set while an attempt that must run alone is running.
	aloneRunning bool

	records      map[attemptKey]*record
	waiting      []*record
	reservations *list.List
	sequence     uint64

	// finished and neverStarted hold the records of ended attempts, answers
	// those with a retained answer. All are ordered by end time, oldest first.
	finished     *list.List
	neverStarted *list.List
	answers      *list.List
	answerBytes  int
	// lastEviction is when a finished record was last removed before
	// RetentionTime.
	lastEviction time.Time
	claims       claimedCalls

	// changed is closed and replaced when an attempt ends.
	changed chan struct{}
}

func newTable(maxRunning, maxWaiting int) *table {
	return &table{
		maxRunning: maxRunning, maxWaiting: maxWaiting,
		records: map[attemptKey]*record{}, reservations: list.New(),
		finished: list.New(), neverStarted: list.New(), answers: list.New(),
		changed: make(chan struct{}), claims: newClaimedCalls(),
	}
}

// reserve holds a slot for an attempt until the reservation expires.
func (t *table) reserve(key attemptKey, reservation, service string, now time.Time) *refusal {
	t.advance(now)
	if existing := t.records[key]; existing != nil {
		return refusalForExisting(existing)
	}
	if r := t.checkAccepting(); r != nil {
		return r
	}
	if !t.hasFreeSlot() || len(t.waiting) > 0 {
		return &overloadedRefusal
	}
	rec := &record{
		key: key, phase: phaseReserved, reservation: reservation, service: service,
		expires: now.Add(ReservationTime),
	}
	t.records[key] = rec
	t.reservations.PushBack(rec)
	t.reserved++
	return nil
}

// admit starts, queues or refuses an attempt. An attempt with a reservation uses
// its slot and is started also during a drain or a hold.
func (t *table) admit(rec *record, reservation string, now time.Time) *refusal {
	t.advance(now)
	existing := t.records[rec.key]
	if reservation != "" {
		if r := t.useReservation(existing, rec, reservation); r != nil {
			return r
		}
		if r := t.addClaimedCall(rec, existing, now); r != nil {
			return r
		}
	} else {
		if existing != nil {
			return refusalForExisting(existing)
		}
		if r := t.checkAccepting(); r != nil {
			return r
		}
	}
	t.sequence++
	rec.sequence = t.sequence
	rec.decided = make(chan struct{})
	t.records[rec.key] = rec
	if reservation != "" && !rec.alone {
		t.start(rec)
		return nil
	}
	rec.phase = phaseWaiting
	t.waiting = append(t.waiting, rec)
	t.startWaiting(now)
	if len(t.waiting) > t.maxWaiting {
		t.refuseLast(now)
	}
	return nil
}

// useReservation removes the reservation of an attempt that starts. It refuses a
// reservation of another attempt or service, an expired one and a used one.
func (t *table) useReservation(existing, rec *record, reservation string) *refusal {
	if existing == nil {
		return &expiredRefusal
	}
	if existing.phase == phaseNeverStarted && existing.reservation != "" && !existing.canceled {
		return &expiredRefusal
	}
	if existing.phase != phaseReserved {
		return refusalForExisting(existing)
	}
	if existing.reservation != reservation || existing.service != rec.service {
		return &expiredRefusal
	}
	t.removeReservation(existing)
	return nil
}

// cancel ends a reserved or waiting attempt, marks a running one as canceled,
// and returns its record. It returns false for an unknown attempt of which it
// cannot guarantee that it never starts.
func (t *table) cancel(key attemptKey, now time.Time) (*record, bool) {
	t.advance(now)
	rec := t.records[key]
	if rec == nil {
		return t.cancelUnknown(key, now)
	}
	switch rec.phase {
	case phaseReserved:
		t.removeReservation(rec)
		rec.canceled = true
		t.recordEnd(rec, phaseNeverStarted, nil, now)
	case phaseWaiting:
		rec.canceled = true
		t.refuse(rec, canceledRefusal, now)
	case phaseRunning:
		rec.canceled = true
	}
	return rec, true
}

// cancelUnknown adds a record for an attempt that has not arrived, so that its
// start is refused. It adds none when the limit is reached, because removing
// the record of another canceled attempt would allow that one to start, nor
// while the unknown attempt may be a finished one whose record was removed
// early.
func (t *table) cancelUnknown(key attemptKey, now time.Time) (*record, bool) {
	if t.neverStarted.Len() >= MaxRetainedRecords {
		return nil, false
	}
	if !t.lastEviction.IsZero() && now.Sub(t.lastEviction) < RetentionTime {
		return nil, false
	}
	rec := &record{key: key, canceled: true}
	t.records[key] = rec
	t.recordEnd(rec, phaseNeverStarted, nil, now)
	return rec, true
}

// finish records the end of a running attempt.
func (t *table) finish(rec *record, p phase, answer *messenger.ServiceAnswer, now time.Time) {
	t.releaseSlot(rec)
	t.recordEnd(rec, p, answer, now)
	t.startWaiting(now)
}

// finishNotStarted records that the backend server did not start an attempt.
func (t *table) finishNotStarted(rec *record, now time.Time) {
	t.releaseSlot(rec)
	t.recordNotStarted(rec, now)
	t.startWaiting(now)
}

func (t *table) releaseSlot(rec *record) {
	t.running--
	if rec.alone {
		t.aloneRunning = false
	}
}

// releaseReservation ends the reservation, if any, of an attempt whose start is
// refused.
func (t *table) releaseReservation(existing *record, now time.Time) {
	if existing == nil || existing.phase != phaseReserved {
		return
	}
	t.removeReservation(existing)
	t.recordEnd(existing, phaseNeverStarted, nil, now)
}

// checkAccepting returns the refusal of new attempts during a drain or a hold,
// or nil.
func (t *table) checkAccepting() *refusal {
	if t.draining {
		return &drainingRefusal
	}
	if t.evacuated {
		return &evacuatedRefusal
	}
	if t.holds > 0 {
		return &switchingRefusal
	}
	return nil
}

// outlastsDrain reports whether an attempt with a limit may run past the end of a drain.
func (t *table) outlastsDrain(limit time.Time) bool {
	return !t.drainEnd.IsZero() && (limit.IsZero() || limit.After(t.drainEnd))
}

func (t *table) hasFreeSlot() bool {
	return !t.aloneRunning && t.running+t.reserved < t.maxRunning
}

// startWaiting starts waiting attempts by priority, and by arrival within a
// priority. An attempt that must run alone blocks those after it until it can
// start.
func (t *table) startWaiting(now time.Time) {
	for {
		rec := t.nextWaiting()
		if rec == nil {
			return
		}
		if !rec.deadline.IsZero() && !now.Before(rec.deadline) {
			t.refuse(rec, deadlineRefusal, now)
			continue
		}
		if !t.hasFreeSlot() || rec.alone && t.running+t.reserved > 0 {
			return
		}
		t.removeWaiting(rec)
		t.start(rec)
	}
}

func (t *table) start(rec *record) {
	rec.phase = phaseRunning
	t.running++
	t.aloneRunning = t.aloneRunning || rec.alone
	close(rec.decided)
}

// refuseLast refuses the waiting attempt with the lowest priority, and among
// these the one that arrived last.
func (t *table) refuseLast(now time.Time) {
	last := t.waiting[0]
	for _, rec := range t.waiting[1:] {
		if startsBefore(last, rec) {
			last = rec
		}
	}
	t.refuse(last, overloadedRefusal, now)
}

func (t *table) refuseWaiting(r refusal, now time.Time) {
	for len(t.waiting) > 0 {
		t.refuse(t.waiting[len(t.waiting)-1], r, now)
	}
}

// refuse ends a waiting attempt.
func (t *table) refuse(rec *record, r refusal, now time.Time) {
	t.removeWaiting(rec)
	rec.refused = &r
	t.recordNotStarted(rec, now)
	close(rec.decided)
}

func (t *table) nextWaiting() *record {
	var next *record
	for _, rec := range t.waiting {
		if next == nil || startsBefore(rec, next) {
			next = rec
		}
	}
	return next
}

func (t *table) removeWaiting(rec *record) {
	for i, w := range t.waiting {
		if w == rec {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

func (t *table) waitingCount() int { return len(t.waiting) }

// startsBefore reports whether waiting attempt a is started before b.
func startsBefore(a, b *record) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.sequence < b.sequence
}

// refusalForExisting returns the refusal of an attempt that has a record
// already.
func refusalForExisting(existing *record) *refusal {
	if existing.phase == phaseNeverStarted {
		return &canceledRefusal
	}
	return &duplicateRefusal
}
