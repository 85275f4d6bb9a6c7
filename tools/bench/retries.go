package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	retriesSeed              = 1
	retriesReplicas          = 16
	retriesRequests          = 8000
	retriesRequestsPerSecond = 2000
	fixedMaxAttempts         = 3
	failureInterval          = 500 * time.Millisecond
)

var errConnectionLost = status.Error(codes.Unavailable, "connection lost")

// retriesRun sends requests at a constant rate while some replicas fail.
type retriesRun struct {
	name      string
	forwarder *forwarder.Forwarder
	agents    map[string]*stubAgent
	// fixedAttempts makes up to fixedMaxAttempts attempts for each request, without
	// a retry budget, instead of using the forwarder.
	fixedAttempts bool

	attempts atomic.Int64
	served   atomic.Int64
	pending  sync.WaitGroup
}

// benchRetries measures the extra load from retries, as attempts beyond the
// first of each request. The baseline retries without a budget.
func benchRetries(w io.Writer) error {
	fmt.Fprintf(w, "retries/seed %d number\n", retriesSeed)
	for _, r := range []*retriesRun{{name: "budget"}, {name: "fixed-3-tries", fixedAttempts: true}} {
		for _, f := range []failure{{failing: 0}, {failing: retriesReplicas / 2}, {failing: retriesReplicas / 2, alternating: true}, {failing: retriesReplicas}} {
			r.measure(w, f)
		}
	}
	return nil
}

// failure describes which replicas fail. With alternating, the failing replicas
// and the healthy ones swap roles every failureInterval, so that the picker's
// view of them is out of date.
type failure struct {
	failing     int
	alternating bool
}

func (f failure) name() string {
	name := fmt.Sprintf("failing-%d-of-%d", f.failing, retriesReplicas)
	if f.alternating {
		name += "-moving"
	}
	return name
}

// affects reports whether replica i fails at the given time after the start.
func (f failure) affects(i int, elapsed time.Duration) bool {
	if f.alternating && elapsed/failureInterval%2 == 1 {
		return i >= f.failing
	}
	return i < f.failing
}

func (r *retriesRun) measure(w io.Writer, f failure) {
	r.setUp(f)
	started := time.Now()
	for n := range retriesRequests {
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / retriesRequestsPerSecond)))
		request := &retriedRequest{retries: r, number: n}
		r.pending.Add(1)
		go request.run()
	}
	r.pending.Wait()
	name := fmt.Sprintf("retries/%s/%s", r.name, f.name())
	fmt.Fprintf(w, "%s/extra-load %.1f %%\n", name, 100*(float64(r.attempts.Load())/retriesRequests-1))
	fmt.Fprintf(w, "%s/served %.1f %%\n", name, 100*float64(r.served.Load())/retriesRequests)
}

func (r *retriesRun) setUp(f failure) {
	random := rand.New(rand.NewPCG(retriesSeed, uint64(f.failing)))
	locked := &lockedRandom{random: random}
	p := &picker.Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Random: locked.next}
	r.agents = map[string]*stubAgent{}
	r.attempts.Store(0)
	r.served.Store(0)
	var all []picker.Candidate
	for i := range retriesReplicas {
		entry := readyReplica(i)
		r.agents[entry.GetAddress()] = &stubAgent{attempts: &r.attempts, failure: f, number: i, started: time.Now()}
		all = append(all, picker.Candidate{Replica: entry, Load: &messenger.Load{Rate: 1}})
	}
	p.Update(all, time.Now())
	r.forwarder = &forwarder.Forwarder{
		Picker: p, Dial: r.dial, Budget: budgeter.New(),
		Counters: forwarder.NewCounters(func(string) metrics.Counter { return discard.NewCounter() }),
	}
}

// lockedRandom is a seeded random source for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lockedRandom) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Uint64()
}

func (r *retriesRun) dial(address string) (messenger.AgentClient, error) {
	return r.agents[address], nil
}

// retriedRequest is one request.
type retriedRequest struct {
	retries *retriesRun
	number  int
}

func (r *retriedRequest) run() {
	defer r.retries.pending.Done()
	if r.retries.fixedAttempts {
		r.runFixedAttempts()
		return
	}
	now := time.Now()
	result := r.retries.forwarder.Run(context.Background(), &identifier.Request{
		ID: fmt.Sprintf("req-%d", r.number), Team: &parser.Team{Name: "presses"}, Target: identifier.Target{Model: benchModel},
		Arrived: now, Deadline: now.Add(10 * time.Second), Idempotent: true,
		Call: &identifier.Completion{Prompt: "p", MaxTokens: 1},
	}, discardSink{})
	if result.Outcome == identifier.OutcomeServed {
		r.retries.served.Add(1)
	}
}

// runFixedAttempts tries up to fixedMaxAttempts servers, whatever the success
// rate of other requests.
func (r *retriedRequest) runFixedAttempts() {
	query := picker.Query{Target: identifier.Target{Model: benchModel}}
	for range fixedMaxAttempts {
		choice, ok := r.retries.forwarder.Picker.Pick(&query, time.Now())
		if !ok {
			return
		}
		agent := r.retries.agents[choice.Address]
		r.retries.attempts.Add(1)
		agent.simulateWork()
		failed := agent.isFailing(time.Now())
		choice.Done(!failed, time.Now())
		if !failed {
			r.retries.served.Add(1)
			return
		}
		query.Exclude = append(query.Exclude, choice.Server)
	}
}

// discardSink discards the answer.
type discardSink struct{}

func (discardSink) Tokens(context.Context, []string) error { return nil }

func (discardSink) Version(string, string) {}

// stubAgent is an agent client in memory that answers each attempt with one
// token or with an error.
type stubAgent struct {
	messenger.AgentClient
	attempts *atomic.Int64
	failure  failure
	number   int
	started  time.Time
}

func (a *stubAgent) isFailing(now time.Time) bool {
	return a.failure.affects(a.number, now.Sub(a.started))
}

func (a *stubAgent) simulateWork() { time.Sleep(2 * time.Millisecond) }

func (a *stubAgent) Attempt(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent], error) {
	a.attempts.Add(1)
	return &stubAttempt{agent: a}, nil
}

func (a *stubAgent) Cancel(context.Context, *messenger.CancelRequest, ...grpc.CallOption) (*messenger.CancelReply, error) {
	return &messenger.CancelReply{}, nil
}

// stubAttempt is the stream of one attempt.
type stubAttempt struct {
	grpc.ClientStream
	agent *stubAgent
	id    *messenger.AttemptId
	step  int
}

func (s *stubAttempt) Send(f *messenger.AttemptFrame) error {
	s.id = f.GetStart().GetId()
	return nil
}

func (s *stubAttempt) Recv() (*messenger.AttemptEvent, error) {
	s.step++
	switch s.step {
	case 1:
		s.agent.simulateWork()
		if s.agent.isFailing(time.Now()) {
			return nil, errConnectionLost
		}
		return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{Version: "v1"}}}, nil
	case 2:
		return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{Tokens: []string{"t"}}}}, nil
	}
	return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_End{End: &messenger.AttemptEnd{TokenCount: 1, Version: "v1", FinishReason: "stop"}}}, nil
}
