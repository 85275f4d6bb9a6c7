package dispatcher

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// TestColdOnEveryPath guards against a request that reaches a cold replica without a token on a path other than that of the
// first attempt: the replicas turn cold while the request runs.
func TestColdOnEveryPath(t *testing.T) {
	const ms = time.Millisecond
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	tests := []struct {
		name    string
		kind    matcher.Kind
		scripts [][]part
		calls   []string
		// domains are the failure domains that attempts reached.
		domains []string
	}{
		{"first attempt", matcher.Streaming, [][]part{{{event: "1"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"a"}},
		{"refused", matcher.NonIdempotent, [][]part{{{outcome: refused}}, {{outcome: answered(200, "x")}}}, []string{"respond"}, []string{"a", "b"}},
		{"resumed", matcher.Streaming, [][]part{{{event: "1"}, {err: errBroken}}, {{event: "2"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"a", "b"}},
		{"silent", matcher.Streaming, [][]part{silentStream(1900 * ms), {{event: "2"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"a", "b"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sender := &coldSender{silentSender: silentSender{scripts: tc.scripts}}
				d := newPlacedDispatcher(sender, &budgeter.Budget{Burst: 10}, "a", "b")
				sender.placer = d.Placer
				d.Placer.Warmer = &warmer.Warmer{}
				sink := dispatchModel(d, newRequest(tc.kind, true, 3, time.Now()))
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(reachedDomains(sender.sent), qt.DeepEquals, tc.domains)
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// coldSender makes the replicas of failure domain a cold at the first attempt.
type coldSender struct {
	silentSender
	placer *placer.Placer
}

func (s *coldSender) Send(ctx context.Context, a Attempt) Outcome {
	if a.Number == 1 {
		setCold(s.placer)
	}
	return s.silentSender.Send(ctx, a)
}
