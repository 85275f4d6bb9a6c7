package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

func testOptions() *options {
	o := &options{}
	flags := o.flagSet()
	_ = flags.Parse([]string{"-entries", "http://127.0.0.1:1", "-keys", "k"})
	return o
}

// Guards against latencies that are measured from the time of sending instead of
// the due time, which would hide stalls of the sender (coordinated omission).
func TestLatencyCountsFromDueTime(t *testing.T) {
	c := qt.New(t)
	dueAt := time.Unix(1000, 0)
	g := newGenerator(testOptions())
	sent := g.newCall(1, dueAt)
	sent.tokenTimes = []time.Time{dueAt.Add(3 * time.Second), dueAt.Add(4 * time.Second)}
	g.results.recordCall(sent, callResult{outcome: "served"}, dueAt.Add(5*time.Second))
	c.Assert(g.results.firstToken.Max() >= 3_000_000, qt.IsTrue)
	c.Assert(g.results.interToken.Max() < 1_100_000, qt.IsTrue)
	c.Assert(g.results.total.Max() >= 5_000_000, qt.IsTrue)
}

// Guards against runs that differ despite the same seed, and against an arrival
// rate other than the configured one.
func TestArrivals(t *testing.T) {
	tests := []struct {
		arrivals string
	}{{arrivalsPoisson}, {arrivalsFixed}}
	for _, test := range tests {
		t.Run(test.arrivals, func(t *testing.T) {
			c := qt.New(t)
			o := testOptions()
			o.arrivals, o.rate = test.arrivals, 100
			first, second := newGenerator(o), newGenerator(o)
			total := time.Duration(0)
			const arrivals = 10_000
			for i := range arrivals {
				d := first.nextInterval()
				c.Assert(second.nextInterval(), qt.Equals, d)
				c.Assert(second.newCall(i, time.Time{}).prompt, qt.Equals, first.newCall(i, time.Time{}).prompt)
				total += d
			}
			rate := arrivals / total.Seconds()
			c.Assert(rate > 95 && rate < 105, qt.IsTrue, qt.Commentf("%.1f per second", rate))
		})
	}
}

// answerWrongly returns the completion of another prompt.
func answerWrongly(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcomeHeader, "served")
	w.Header().Set(versionHeader, "v1")
	text := strings.Join(emulator.Answer("d1", "another prompt", 8, 1), "")
	fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, text)
}

// Guards against wrong answers that are counted as answered and do not fail the
// run.
func TestWrongAnswerFailsTheRun(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(answerWrongly))
	defer server.Close()
	var out, errs bytes.Buffer
	args := []string{
		"-entries", server.URL, "-keys", "k", "-arrivals", "fixed", "-rate", "1000", "-duration", "10ms",
		"-stream-share", "0", "-verify", "v1=d1",
	}
	c.Assert(run(t.Context(), args, &out, &errs), qt.Equals, exitFailed)
	c.Assert(out.String(), qt.Contains, "load/answered 0 requests")
	c.Assert(errs.String(), qt.Contains, "answers were wrong")
}

// Guards against invalid flags that are accepted.
func TestWrongUsage(t *testing.T) {
	tests := []struct {
		args []string
		want string
	}{
		{nil, "--entries needs"},
		{[]string{"-entries", "x"}, "--keys needs"},
		{[]string{"-entries", "x", "-keys", "k", "-arrivals", "burst"}, "--arrivals must be"},
		{[]string{"-entries", "x", "-keys", "k", "-verify", "v1"}, "--verify must be"},
	}
	for _, test := range tests {
		c := qt.New(t)
		var out, errs bytes.Buffer
		c.Assert(run(t.Context(), test.args, &out, &errs), qt.Equals, exitUsageError)
		c.Assert(errs.String(), qt.Contains, test.want)
	}
}
