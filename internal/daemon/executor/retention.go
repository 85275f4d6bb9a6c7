package executor

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// advance expires reservations, removes old records and starts waiting attempts.
func (t *table) advance(now time.Time) {
	for e := t.reservations.Front(); e != nil; e = t.reservations.Front() {
		rec := e.Value.(*record)
		if now.Before(rec.expires) {
			break
		}
		t.removeReservation(rec)
		t.recordEnd(rec, phaseNeverStarted, nil, now)
	}
	t.removeExpired(t.finished, now)
	t.removeExpired(t.neverStarted, now)
	t.startWaiting(now)
}

func (t *table) removeReservation(rec *record) {
	for e := t.reservations.Front(); e != nil; e = e.Next() {
		if e.Value.(*record) == rec {
			t.reservations.Remove(e)
			t.reserved--
			return
		}
	}
}

// recordEnd records the end of an attempt and retains its record.
func (t *table) recordEnd(rec *record, p phase, answer *messenger.ServiceAnswer, now time.Time) {
	rec.phase = p
	rec.endedAt = now
	rec.cancel = nil
	rec.fingerprint = ""
	rec.version = ActiveVersion{}
	if p == phaseNeverStarted {
		t.retainNeverStarted(rec)
	} else {
		t.retainFinished(rec, answer, now)
	}
	t.notifyChanged()
}

// recordNotStarted removes the record of a refused attempt, unless it was
// canceled or had a reservation. A refused attempt is not sent a second time, and
// under overload its records would leave no room for those of canceled attempts.
func (t *table) recordNotStarted(rec *record, now time.Time) {
	t.claims.remove(rec.claimKey, rec.key)
	if rec.canceled || rec.reservation != "" {
		t.recordEnd(rec, phaseNeverStarted, nil, now)
		return
	}
	rec.phase = phaseNeverStarted
	delete(t.records, rec.key)
	t.notifyChanged()
}

// notifyChanged wakes the calls of WaitIdle.
func (t *table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// retainNeverStarted retains a record so that a late start is refused. When the
// limit is reached it removes the new record. No reply becomes wrong by that:
// Cancel checks the limit first, and a refused or expired attempt is not started
// a second time.
func (t *table) retainNeverStarted(rec *record) {
	if t.neverStarted.Len() >= MaxRetainedRecords {
		delete(t.records, rec.key)
		return
	}
	t.neverStarted.PushBack(rec)
}

// retainFinished retains a record and, if it is small enough, its answer. At
// the limits it evicts the oldest records and answers.
func (t *table) retainFinished(rec *record, answer *messenger.ServiceAnswer, now time.Time) {
	if t.finished.Len() >= MaxRetainedRecords {
		t.removeRecord(t.finished, t.finished.Front())
		t.lastEviction = now
	}
	t.finished.PushBack(rec)
	if answer == nil || proto.Size(answer) > MaxAnswerBytes {
		return
	}
	rec.answer = answer
	t.answers.PushBack(rec)
	t.answerBytes += proto.Size(answer)
	for t.answerBytes > MaxTotalAnswerBytes {
		t.evictAnswer(t.answers.Front())
	}
}

// removeExpired removes the records of a list that are older than RetentionTime.
func (t *table) removeExpired(ended *list.List, now time.Time) {
	for e := ended.Front(); e != nil; e = ended.Front() {
		if now.Sub(e.Value.(*record).endedAt) < RetentionTime {
			return
		}
		t.removeRecord(ended, e)
	}
}

func (t *table) removeRecord(ended *list.List, e *list.Element) {
	rec := ended.Remove(e).(*record)
	delete(t.records, rec.key)
	if front := t.answers.Front(); front != nil && front.Value.(*record) == rec {
		t.evictAnswer(front)
	}
}

func (t *table) evictAnswer(e *list.Element) {
	rec := t.answers.Remove(e).(*record)
	t.answerBytes -= proto.Size(rec.answer)
	rec.answer = nil
}
