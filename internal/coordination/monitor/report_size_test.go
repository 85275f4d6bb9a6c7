package monitor_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// TestLargeReports guards against reports whose records and texts use up the memory of a daemon, and
// against the refusal of reports within the limits.
func TestLargeReports(t *testing.T) {
	text := strings.Repeat("x", 1<<10)
	adapters := strings.Split(strings.Repeat("adapter-of-a-team,", 100), ",")
	tests := []struct {
		name   string
		first  func(r *messenger.AgentReport)
		second func(r *messenger.AgentReport)
		limit  int
		code   codes.Code
		// known is set if the replica is known afterwards, and failure is its error.
		known   bool
		failure string
	}{
		{name: "ordinary", known: true},
		{name: "adapters", first: func(r *messenger.AgentReport) { r.Replica.Adapters = adapters }, known: true},
		{name: "large record", first: func(r *messenger.AgentReport) { r.Replica.Address = strings.Repeat(text, 8) }, code: codes.InvalidArgument},
		{name: "long error", first: func(r *messenger.AgentReport) { r.LastOrderError = text }, known: true, failure: text},
		{name: "error over the limit", first: func(r *messenger.AgentReport) { r.LastOrderError = strings.Repeat(text, 64) }, code: codes.InvalidArgument},
		{name: "raised limit", first: func(r *messenger.AgentReport) { r.LastOrderError = strings.Repeat(text, 64) }, limit: 1 << 20, known: true, failure: strings.Repeat(text, 64)},
		{name: "second report over the limit", second: func(r *messenger.AgentReport) { r.LastOrderError = strings.Repeat(text, 64) }, known: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newNetwork()
				daemon := network.start(t, &monitor.Monitor{Self: entryIn("a", "entry"), MaxReportBytes: tc.limit})
				ctx, cancel := context.WithCancel(t.Context())
				p := newPipe(ctx, &client{from: "agent", to: daemon.address, network: network}, daemon)
				for i, change := range []func(r *messenger.AgentReport){tc.first, tc.second} {
					if i > 0 && change == nil {
						continue
					}
					report := &messenger.AgentReport{Replica: replicaIn("a", "agent")}
					if change != nil {
						change(report)
					}
					p.reports <- report
				}
				var err error
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					err = daemon.Session(&sessionServer{pipe: p})
				}()
				synctest.Wait()
				view := viewOf(daemon, "agent")
				c.Check(view != nil, qt.Equals, tc.known)
				if view != nil {
					c.Check(view.LastOrderError == tc.failure, qt.IsTrue, qt.Commentf("%d bytes", len(view.LastOrderError)))
				}
				cancel()
				<-ended
				if tc.code != codes.OK {
					c.Check(status.Code(err), qt.Equals, tc.code)
				}
				daemon.stop()
			})
		})
	}
}
