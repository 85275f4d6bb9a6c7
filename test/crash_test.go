package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// exitedCount returns how many of the first n processes of a kind have exited.
func (s *system) exitedCount(n int, name func(int) string) int {
	ended := 0
	for k := range n {
		select {
		case <-s.process(name(k)).Exited():
			ended++
		default:
		}
	}
	return ended
}

// Guards against a request that crashes more than two backend servers, also
// when it is sent again through another entry daemon, and against failures of
// the requests that run beside it. Operators can unblock the request.
func TestCrashingRequestIsBlocked(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{
		Entries: 2, Engines: 4, Services: 3,
		EngineArgs:  []string{"--token-time", "20ms", "--crash-on", "BOOM"},
		ServiceArgs: []string{"--crash-on", "BOOM"},
	}
	s.start(t)

	// Prompts with a common prefix are routed to the same engine.
	common := strings.Repeat("a drawing of a mould ", 20)
	bad := common + "BOOM"
	var prompts []string
	var calls []*pendingRequest
	for k := range 6 {
		prompts = append(prompts, fmt.Sprint(common, k))
		calls = append(calls, s.sendCompletion(k%2, prompts[k], longResponseTokens, true))
	}
	s.waitUntil("requests are in progress", func() bool {
		total := uint64(0)
		for k := range s.Engines {
			total += s.generatedTokens(k)
		}
		return total >= 10*uint64(len(calls))
	})
	a := s.postCompletion(0, bad, 5, false, 1)
	c.Assert(a.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("%s", a.body))
	c.Assert(a.outcome, qt.Equals, "unknown")
	c.Assert(a.body, qt.Contains, `"code":"request-blocked"`)
	for entry := range s.Entries {
		a = s.postCompletion(entry, bad, 5, false, 1)
		c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%s", a.body))
		c.Assert(a.body, qt.Contains, `"code":"request-blocked"`)
	}
	c.Assert(s.exitedCount(s.Engines, engineName), qt.Equals, 2)
	for k, prompt := range prompts {
		s.checkComplete(calls[k].wait(), prompt, longResponseTokens)
	}

	// A non-idempotent call is sent again under new keys and without a pause,
	// so that the entry daemons have no time to exchange what they know of
	// crashes.
	const maxSent = 500
	blocked := false
	for sent := 0; !blocked && sent < maxSent; sent++ {
		a = s.postRecord(sent%2, fmt.Sprint("boom-", sent/2), "BOOM order")
		c.Assert(a.outcome, qt.Not(qt.Equals), "served", qt.Commentf("%s", a.body))
		blocked = a.outcome == "not-run" && strings.Contains(a.body, `"code":"request-blocked"`)
	}
	for entry := range s.Entries {
		a = s.postRecord(entry, "boom-last", "BOOM order")
		c.Assert(a.body, qt.Contains, `"code":"request-blocked"`)
	}
	c.Assert(s.exitedCount(s.Services, serviceName), qt.Equals, 2)

	// Restart the engines without the fault, as a supervisor starts a newer
	// release.
	s.EngineArgs = nil
	for k := range s.Engines {
		s.process(engineName(k)).Kill()
		s.startEngine(k)
		s.waitReady(k)
	}
	a = s.postCompletion(1, bad, 5, false, 1)
	c.Assert(a.body, qt.Contains, `"code":"request-blocked"`)
	var blocks []parser.Block
	s.waitUntil("both blocks are listed", func() bool {
		blocks = nil
		c.Assert(json.Unmarshal(s.mustLentil("get", "blocks", "-o", "json"), &blocks), qt.IsNil)
		return len(blocks) == 2
	})
	for _, b := range blocks {
		c.Check(b.VMs, qt.HasLen, 2)
		c.Check(time.UnixMilli(b.UntilMillis).After(time.Now()), qt.IsTrue)
		s.mustLentil("delete", "block", b.Fingerprint)
	}
	c.Assert(string(s.mustLentil("get", "blocks")), qt.Equals, "no requests are blocked\n")
	for entry := range s.Entries {
		s.waitUntil("the request runs again", func() bool {
			a = s.postCompletion(entry, bad, 5, false, 1)
			return a.status == http.StatusOK
		})
		s.checkComplete(a, bad, 5)
	}
}
