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

type phase int

const (
	phaseReserved phase = iota
	phaseWaiting
	phaseRunning
	phaseFinished
	phaseBroken
	phaseNeverStarted
)

// record is what is known of one attempt.
type record struct {
	key         attemptKey
	phase       phase
	priority    messenger.Priority
	serial      uint64
	alone       bool
	deadline    time.Time
	fingerprint string
	version     ActiveVersion

	reservation string
	service     string
	expires     time.Time

	// granted is closed when the attempt may run or has been refused.
	granted  chan struct{}
	refused  *refusal
	canceled bool
	cancel   context.CancelFunc

	// dispatched is set once the call may have reached the backend server.
	dispatched bool
	instance   string
	crash      *crashRecord

	settled time.Time
	answer  *messenger.ServiceAnswer
}

// refusal is the reason why an attempt does not start.
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
	drainingRefusal   = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DRAINING, detail: "the backend server is draining"}
	duplicateRefusal  = refusal{reason: messenger.RefuseReason_REFUSE_REASON_DUPLICATE, detail: "an attempt with this identifier exists"}
)

// table holds the attempts that are reserved, wait, run, or are remembered.
// Its methods are called with the executor's lock held.
type table struct {
	maxRunning int
	maxWaiting int

	draining bool
	held     int
	running  int
	reserved int
	// aloneRunning is set while an attempt runs with no other beside it.
	aloneRunning bool

	records      map[attemptKey]*record
	waiting      []*record
	reservations *list.List
	serial       uint64

	// finished and neverStarted hold the settled records, oldest first.
	finished     *list.List
	neverStarted *list.List
	answers      *list.List
	answerBytes  int
	// dropped is when a finished record was last dropped before its time.
	dropped time.Time

	// changed is closed and replaced when an attempt settles.
	changed chan struct{}
}

func newTable(maxRunning, maxWaiting int) *table {
	return &table{
		maxRunning: maxRunning, maxWaiting: maxWaiting,
		records: map[attemptKey]*record{}, reservations: list.New(),
		finished: list.New(), neverStarted: list.New(), answers: list.New(),
		changed: make(chan struct{}),
	}
}

// reserve holds a place for an attempt that is to start soon.
func (t *table) reserve(key attemptKey, reservation, service string, now time.Time) *refusal {
	t.advance(now)
	if known := t.records[key]; known != nil {
		return refusalOfKnown(known)
	}
	if r := t.closed(); r != nil {
		return r
	}
	if !t.hasPlace() || len(t.waiting) > 0 {
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

// begin decides whether an attempt runs now, waits, or is refused.
func (t *table) begin(rec *record, reservation string, now time.Time) *refusal {
	t.advance(now)
	known := t.records[rec.key]
	if reservation != "" {
		if r := t.redeem(known, rec, reservation); r != nil {
			return r
		}
	} else {
		if known != nil {
			return refusalOfKnown(known)
		}
		if r := t.closed(); r != nil {
			return r
		}
	}
	t.serial++
	rec.serial = t.serial
	rec.granted = make(chan struct{})
	t.records[rec.key] = rec
	if reservation != "" && !rec.alone {
		t.grant(rec)
		return nil
	}
	rec.phase = phaseWaiting
	t.waiting = append(t.waiting, rec)
	t.promote(now)
	if len(t.waiting) > t.maxWaiting {
		t.displace(now)
	}
	return nil
}

// redeem uses up the reservation of an attempt. The reservation of another
// attempt or service, and one that was used before, are as good as none.
func (t *table) redeem(known, rec *record, reservation string) *refusal {
	if known == nil {
		return &expiredRefusal
	}
	if known.phase == phaseNeverStarted && known.reservation != "" && !known.canceled {
		return &expiredRefusal
	}
	if known.phase != phaseReserved {
		return refusalOfKnown(known)
	}
	if known.reservation != reservation || known.service != rec.service {
		return &expiredRefusal
	}
	t.dropReservation(known)
	return nil
}

// cancel records that an attempt will never start, or stops it. The second
// value is false when the agent cannot vouch for the first.
func (t *table) cancel(key attemptKey, now time.Time) (*record, bool) {
	t.advance(now)
	rec := t.records[key]
	if rec == nil {
		return t.cancelUnknown(key, now)
	}
	switch rec.phase {
	case phaseReserved:
		t.dropReservation(rec)
		rec.canceled = true
		t.settle(rec, phaseNeverStarted, nil, now)
	case phaseWaiting:
		rec.canceled = true
		t.refuse(rec, canceledRefusal, now)
	case phaseRunning:
		rec.canceled = true
	}
	return rec, true
}

// cancelUnknown records an attempt that has not arrived. It does not when the
// table is full, because dropping another canceled attempt would let that one
// start, and it cannot tell anything while the unknown attempt may be one
// whose record was dropped.
func (t *table) cancelUnknown(key attemptKey, now time.Time) (*record, bool) {
	if t.neverStarted.Len() >= MaxRemembered {
		return nil, false
	}
	if !t.dropped.IsZero() && now.Sub(t.dropped) < MemoryTime {
		return nil, false
	}
	rec := &record{key: key, canceled: true}
	t.records[key] = rec
	t.settle(rec, phaseNeverStarted, nil, now)
	return rec, true
}

// finish records the end of an attempt that ran.
func (t *table) finish(rec *record, p phase, answer *messenger.ServiceAnswer, now time.Time) {
	t.leave(rec)
	t.settle(rec, p, answer, now)
	t.promote(now)
}

// finishNotStarted records that the backend server did not take an attempt.
func (t *table) finishNotStarted(rec *record, now time.Time) {
	t.leave(rec)
	t.settleNotStarted(rec, now)
	t.promote(now)
}

func (t *table) leave(rec *record) {
	t.running--
	if rec.alone {
		t.aloneRunning = false
	}
}

// giveUpReservation ends the reservation of an attempt whose start has been
// refused.
func (t *table) giveUpReservation(known *record, now time.Time) {
	if known == nil || known.phase != phaseReserved {
		return
	}
	t.dropReservation(known)
	t.settle(known, phaseNeverStarted, nil, now)
}

// closed returns the refusal of an agent that takes no new attempts.
func (t *table) closed() *refusal {
	if t.draining {
		return &drainingRefusal
	}
	if t.held > 0 {
		return &switchingRefusal
	}
	return nil
}

func (t *table) hasPlace() bool {
	return !t.aloneRunning && t.running+t.reserved < t.maxRunning
}

// promote starts waiting attempts in order of priority, and of arrival among
// equals. An attempt that runs alone holds back those behind it.
func (t *table) promote(now time.Time) {
	for {
		rec := t.nextWaiting()
		if rec == nil {
			return
		}
		if !rec.deadline.IsZero() && !now.Before(rec.deadline) {
			t.refuse(rec, deadlineRefusal, now)
			continue
		}
		if !t.hasPlace() || rec.alone && t.running+t.reserved > 0 {
			return
		}
		t.removeWaiting(rec)
		t.grant(rec)
	}
}

func (t *table) grant(rec *record) {
	rec.phase = phaseRunning
	t.running++
	t.aloneRunning = t.aloneRunning || rec.alone
	close(rec.granted)
}

// displace refuses the waiting attempt that would start last.
func (t *table) displace(now time.Time) {
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

// refuse ends a waiting attempt before it starts.
func (t *table) refuse(rec *record, r refusal, now time.Time) {
	t.removeWaiting(rec)
	rec.refused = &r
	t.settleNotStarted(rec, now)
	close(rec.granted)
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

func startsBefore(a, b *record) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.serial < b.serial
}

func refusalOfKnown(known *record) *refusal {
	if known.phase == phaseNeverStarted {
		return &canceledRefusal
	}
	return &duplicateRefusal
}
