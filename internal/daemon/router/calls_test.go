package router

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// callsAgent answers ClaimedCalls with one call. It fails without a key.
type callsAgent struct {
	messenger.UnimplementedAgentServer
	key        string
	incomplete bool
}

func (a callsAgent) ClaimedCalls(context.Context, *messenger.ClaimedCallsRequest) (*messenger.ClaimedCallsReply, error) {
	if a.key == "" {
		return nil, status.Error(codes.Internal, "failed")
	}
	return &messenger.ClaimedCallsReply{
		Calls:      []*messenger.ClaimedCall{{Key: a.key, Attempt: &messenger.AttemptId{RequestId: "r1", Number: 1}, AgeMs: 2000}},
		Incomplete: a.incomplete,
	}, nil
}

// Guards against calls that are missed because one of many agents fails, never
// answers or has forgotten some, without the claimer being informed of the service.
func TestCallsOfAllAgentsAreCollected(t *testing.T) {
	c := qt.New(t)
	connections := &forwarder.Connections{}
	t.Cleanup(connections.Close)
	collector := &callCollector{Dial: connections.Dial, Log: zap.NewNop()}
	add := func(service, address string) {
		collector.Agents = append(collector.Agents, &messenger.Replica{Vm: service, Service: service, Address: address, Incarnation: "i1"})
	}
	start := func(a callsAgent) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		s := grpc.NewServer()
		messenger.RegisterAgentServer(s, a)
		go s.Serve(l) //nolint:errcheck // Serve ends with an error at Stop.
		t.Cleanup(s.Stop)
		return l.Addr().String()
	}
	for n := range 20 {
		add("ledger", start(callsAgent{key: fmt.Sprint("ledger-", n)}))
	}
	add("records", start(callsAgent{}))
	add("records", start(callsAgent{key: "records"}))
	add("portal", start(callsAgent{key: "portal", incomplete: true}))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = silent.Close() })
	add("office", silent.Addr().String())

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	found := collector.collect(ctx, []uint32{1})
	c.Assert(found.Unanswered, qt.DeepEquals, []string{"office", "portal", "records"})
	c.Assert(found.Calls, qt.HasLen, 22)
	for _, call := range found.Calls {
		c.Check(call.Claim.GetAgentAddress(), qt.Not(qt.Equals), "")
		c.Check(call.Claim.GetAgentIncarnation(), qt.Equals, "i1")
		c.Check(time.Since(call.StartedAt) >= 2*time.Second, qt.IsTrue)
	}
}

// Guards against a daemon that starts while all others are down, and grants claims
// before the agent that ran the call has found it.
func TestCallsOfUnknownAgentsAreMissing(t *testing.T) {
	set := parser.NewSet()
	set.Add(&parser.Fleet{Name: "ledger-a", Service: "ledger", Replicas: 2})
	set.Add(&parser.Fleet{Name: "ledger-b", Service: "ledger", Replicas: 1})
	set.Add(&parser.Fleet{Name: "records", Service: "records", Replicas: 1})
	set.Add(&parser.Fleet{Name: "drafting", Model: "draft", Replicas: 4})
	tests := []struct {
		name            string
		ledger, records int
		want            []string
	}{
		{"none", 0, 0, []string{"ledger", "records"}},
		{"one is missing", 2, 1, []string{"ledger"}},
		{"all", 3, 1, nil},
		{"more than configured", 4, 2, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			agents := append(slices.Repeat([]*messenger.Replica{{Service: "ledger"}}, tt.ledger),
				slices.Repeat([]*messenger.Replica{{Service: "records"}}, tt.records)...)
			got := incompleteServices(set, agents)
			slices.Sort(got)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}
