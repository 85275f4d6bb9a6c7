package test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a record that is stored twice when its caller sends it again
// through another entry daemon, and against a call that runs without a claim
// while the object API is down.
func TestRecordRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 2}
	s.start(t)
	first := s.postRecord(0, "order-1", "order 1")
	c.Assert(first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))
	c.Assert(first.outcome, qt.Equals, "served")
	again := s.postRecord(1, "order-1", "order 1")
	c.Assert(again.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", again.body))
	c.Assert(again.body, qt.Equals, first.body)
	other := s.postRecord(1, "order-1", "order 2")
	c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(other.outcome, qt.Equals, "not-run")
	c.Assert(s.storedRecords("order 1"), qt.Equals, 1)

	s.injectFaults(7000, `{"down":true}`)
	refused := s.postRecord(0, "order-3", "order 3")
	c.Assert(refused.outcome, qt.Equals, "not-run", qt.Commentf("%s", refused.body))
	c.Assert(s.storedRecords("order 3"), qt.Equals, 0)
	s.injectFaults(7000, `{"down":false}`)
	s.waitUntil("claims are recorded again", func() bool {
		return s.postRecord(0, "order-3", "order 3").status == http.StatusCreated
	})
	c.Assert(s.storedRecords("order 3"), qt.Equals, 1)
}
