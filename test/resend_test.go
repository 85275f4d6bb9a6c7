package test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slowServiceArgs make calls long enough that a fault can hit one in progress.
// The stand-in stores a record before it waits.
var slowServiceArgs = []string{"--latency", "500ms"}

// recordInProgress sends a record through the first entry daemon and waits
// until the service has stored it, while the call is still in progress.
func (s *system) recordInProgress(key, body string) *pendingRequest {
	before := s.recordCount()
	c := s.sendRecord(key, body)
	s.waitUntil(body+" is stored", func() bool {
		select {
		case <-c.done:
			// A call that was not run may be sent again.
			if c.response.outcome == "not-run" {
				s.t.Logf("%s was not run: %s", body, c.response.body)
				c = s.sendRecord(key, body)
			}
		default:
		}
		return s.recordCount() > before
	})
	return c
}

// resend sends a record through the second entry daemon again until it is
// answered, as its caller would.
func (s *system) resend(key, body string) response {
	var a response
	s.waitUntil(body+" is answered", func() bool {
		a = s.postRecord(1, key, body)
		return a.status == http.StatusCreated
	})
	return a
}

// recordCount returns the number of records on all replicas of the service.
func (s *system) recordCount() int {
	all := 0
	for k := range s.Services {
		all += s.recordCountAt(k)
	}
	return all
}

func (s *system) recordCountAt(k int) int {
	var count struct {
		Records int `json:"records"`
	}
	s.c.Assert(json.Unmarshal(s.get("http://"+s.serviceIP(k)+":8000/records/count"), &count), qt.IsNil)
	return count.Records
}

// Guards against a record that is stored twice when its caller sends it again
// through another entry daemon: while the call is in progress, while the
// answers of the object API are lost or late or the API is down, and after the
// entry daemon of the first call died.
func TestResendThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 2, ServiceArgs: slowServiceArgs}
	s.start(t)

	first := s.recordInProgress("twice", "sent twice")
	second := s.postRecord(1, "twice", "sent twice")
	c.Assert(second.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", second.body))
	c.Assert(second.body, qt.Equals, first.wait().body)
	c.Assert(s.storedRecords("sent twice"), qt.Equals, 1)

	// The answer to the write of the claim is lost.
	s.injectFaults(7000, `{"lose-answers":2}`)
	a := s.postRecord(0, "lost", "lost answer")
	b := s.resend("lost", "lost answer")
	if a.outcome == "served" {
		c.Assert(b.body, qt.Equals, a.body)
	}
	c.Assert(s.storedRecords("lost answer"), qt.Equals, 1)

	// The object API is slow.
	s.injectFaults(7000, `{"delay-ms":300}`)
	first = s.sendRecord("late", "late claim")
	second = s.resend("late", "late claim")
	if a = first.wait(); a.outcome == "served" {
		c.Assert(second.body, qt.Equals, a.body)
	}
	c.Assert(s.storedRecords("late claim"), qt.Equals, 1)
	s.injectFaults(7000, `{"delay-ms":0}`)

	// The object API is down when the call ends, so its outcome is not written.
	first = s.recordInProgress("down", "ends while down")
	s.injectFaults(7000, `{"down":true}`)
	a = first.wait()
	c.Assert(a.outcome, qt.Equals, "served", qt.Commentf("%s", a.body))
	unclaimed := s.postRecord(1, "unclaimed", "never claimed")
	c.Assert(unclaimed.outcome, qt.Equals, "not-run", qt.Commentf("%s", unclaimed.body))
	s.injectFaults(7000, `{"down":false}`)
	b = s.resend("down", "ends while down")
	c.Assert(b.body, qt.Equals, a.body)
	c.Assert(s.storedRecords("ends while down"), qt.Equals, 1)
	c.Assert(s.storedRecords("never claimed"), qt.Equals, 0)

	// The entry daemon dies between dispatch and answer while the object API is
	// down.
	first = s.recordInProgress("killed", "entry killed")
	s.injectFaults(7000, `{"down":true}`)
	s.process(entryName(0)).Kill()
	c.Assert(first.wait().err, qt.IsNotNil)
	s.injectFaults(7000, `{"down":false}`)
	s.resend("killed", "entry killed")
	c.Assert(s.storedRecords("entry killed"), qt.Equals, 1)
	other := s.postRecord(1, "killed", "another body")
	c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(other.outcome, qt.Equals, "not-run")
	c.Assert(s.storedRecords("another body"), qt.Equals, 0)
}

// Guards against a second run of a call whose agent or service died: of a call
// with a key when its caller sends it again, and of a call without a key by a
// retry.
func TestResendAfterAgentDied(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 1, ServiceArgs: slowServiceArgs}
	s.start(t)

	// The agent dies, and the service stores the record.
	first := s.recordInProgress("agent", "agent died")
	s.process(serviceAgentName(0)).Kill()
	a := first.wait()
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	a = s.postRecord(1, "agent", "agent died")
	c.Assert(a.status, qt.Not(qt.Equals), http.StatusCreated)
	s.startServiceAgent(0)
	s.waitServing("v1")
	a = s.postRecord(1, "agent", "agent died")
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	c.Assert(s.storedRecords("agent died"), qt.Equals, 1)

	// A call without a key must not be retried on the second replica either.
	s.Services = 2
	s.startService(1)
	s.startServiceAgent(1)
	s.waitUntil("both replicas are ready", func() bool {
		ready := 0
		for _, d := range s.statuses() {
			if d.Fleet == "records" && d.State == "ready" {
				ready++
			}
		}
		return ready == 2
	})
	atFirst := s.recordCountAt(0)
	first = s.recordInProgress("", "without a key")
	storedBy := 1
	if s.recordCountAt(0) > atFirst {
		storedBy = 0
	}
	s.process(serviceAgentName(storedBy)).Kill()
	a = first.wait()
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	c.Assert(s.storedRecords("without a key"), qt.Equals, 1)

	// The agent and the service die. The new service has no record, but the
	// call must not run on it, because the former one may have acted on it.
	s.startServiceAgent(storedBy)
	s.waitServing("v1")
	first = s.recordInProgress("both", "both died")
	for k := range s.Services {
		s.process(serviceName(k)).Kill()
		s.process(serviceAgentName(k)).Kill()
		s.startService(k)
		s.startServiceAgent(k)
	}
	a = first.wait()
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	s.waitServing("v1")
	a = s.postRecord(1, "both", "both died")
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	c.Assert(s.storedRecords("both died"), qt.Equals, 0)
}
