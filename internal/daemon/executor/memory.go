package executor

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// advance expires reservations, forgets old records and starts what waits.
func (t *table) advance(now time.Time) {
	for e := t.reservations.Front(); e != nil; e = t.reservations.Front() {
		rec := e.Value.(*record)
		if now.Before(rec.expires) {
			break
		}
		t.dropReservation(rec)
		t.settle(rec, phaseNeverStarted, nil, now)
	}
	t.forget(t.finished, now)
	t.forget(t.neverStarted, now)
	t.promote(now)
}

func (t *table) dropReservation(rec *record) {
	for e := t.reservations.Front(); e != nil; e = e.Next() {
		if e.Value.(*record) == rec {
			t.reservations.Remove(e)
			t.reserved--
			return
		}
	}
}

// settle remembers how an attempt ended.
func (t *table) settle(rec *record, p phase, answer *messenger.ServiceAnswer, now time.Time) {
	rec.phase = p
	rec.settled = now
	rec.cancel = nil
	rec.fingerprint = ""
	rec.version = ActiveVersion{}
	if p == phaseNeverStarted {
		t.rememberNeverStarted(rec)
	} else {
		t.rememberFinished(rec, answer, now)
	}
	t.announceChange()
}

// settleNotStarted forgets an attempt that was refused, unless its caller has
// canceled it or has asked for a reservation. Its only start has come, and
// under overload such records would leave no room for those of cancels.
func (t *table) settleNotStarted(rec *record, now time.Time) {
	if rec.canceled || rec.reservation != "" {
		t.settle(rec, phaseNeverStarted, nil, now)
		return
	}
	rec.phase = phaseNeverStarted
	delete(t.records, rec.key)
	t.announceChange()
}

func (t *table) announceChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// rememberNeverStarted keeps a record so that a late start is refused. A full
// table drops the new record, which no caller has been told of: Cancel checks
// for room first, and a refused or expired attempt has had its only start.
func (t *table) rememberNeverStarted(rec *record) {
	if t.neverStarted.Len() >= MaxRemembered {
		delete(t.records, rec.key)
		return
	}
	t.neverStarted.PushBack(rec)
}

func (t *table) rememberFinished(rec *record, answer *messenger.ServiceAnswer, now time.Time) {
	if t.finished.Len() >= MaxRemembered {
		t.drop(t.finished, t.finished.Front())
		t.dropped = now
	}
	t.finished.PushBack(rec)
	if answer == nil || proto.Size(answer) > MaxAnswerBytes {
		return
	}
	rec.answer = answer
	t.answers.PushBack(rec)
	t.answerBytes += proto.Size(answer)
	for t.answerBytes > MaxAnswersBytes {
		t.dropAnswer(t.answers.Front())
	}
}

func (t *table) forget(settled *list.List, now time.Time) {
	for e := settled.Front(); e != nil; e = settled.Front() {
		if now.Sub(e.Value.(*record).settled) < MemoryTime {
			return
		}
		t.drop(settled, e)
	}
}

func (t *table) drop(settled *list.List, e *list.Element) {
	rec := settled.Remove(e).(*record)
	delete(t.records, rec.key)
	if front := t.answers.Front(); front != nil && front.Value.(*record) == rec {
		t.dropAnswer(front)
	}
}

func (t *table) dropAnswer(e *list.Element) {
	rec := t.answers.Remove(e).(*record)
	t.answerBytes -= proto.Size(rec.answer)
	rec.answer = nil
}
