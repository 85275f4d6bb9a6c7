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
	retriesSeed     = 1
	retriesReplicas = 16
	retriesRequests = 8000
	retriesRate     = 2000
	fixedTries      = 3
	failureInterval = 500 * time.Millisecond
)

var errBenchCut = status.Error(codes.Unavailable, "the connection was cut")

// retriesRun sends requests while half of the replicas fail.
type retriesRun struct {
	name      string
	forwarder *forwarder.Forwarder
	agents    map[string]*shortAgent
	// fixed tries without a budget instead of using the forwarder.
	fixed bool

	attempts atomic.Int64
	served   atomic.Int64
	pending  sync.WaitGroup
}

// benchRetries measures the attempts beyond the first ones.
func benchRetries(w io.Writer) error {
	fmt.Fprintf(w, "retries/seed %d number\n", retriesSeed)
	for _, r := range []*retriesRun{{name: "budget"}, {name: "fixed-3-tries", fixed: true}} {
		for _, f := range []failure{{failing: 0}, {failing: retriesReplicas / 2}, {failing: retriesReplicas / 2, moving: true}, {failing: retriesReplicas}} {
			r.measure(w, f)
		}
	}
	return nil
}

// failure is which replicas fail. With moving the failing ones and the others
// change places, so that the picker's knowledge is out of date.
type failure struct {
	failing int
	moving  bool
}

func (f failure) name() string {
	name := fmt.Sprintf("failing-%d-of-%d", f.failing, retriesReplicas)
	if f.moving {
		name += "-moving"
	}
	return name
}

func (f failure) fails(i int, passed time.Duration) bool {
	if f.moving && passed/failureInterval%2 == 1 {
		return i >= f.failing
	}
	return i < f.failing
}

func (r *retriesRun) measure(w io.Writer, f failure) {
	r.setUp(f)
	started := time.Now()
	for n := range retriesRequests {
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / retriesRate)))
		c := &retriedCall{retries: r, number: n}
		r.pending.Add(1)
		go c.run()
	}
	r.pending.Wait()
	name := fmt.Sprintf("retries/%s/%s", r.name, f.name())
	fmt.Fprintf(w, "%s/extra-load %.1f %%\n", name, 100*(float64(r.attempts.Load())/retriesRequests-1))
	fmt.Fprintf(w, "%s/served %.1f %%\n", name, 100*float64(r.served.Load())/retriesRequests)
}

func (r *retriesRun) setUp(f failure) {
	random := rand.New(rand.NewPCG(retriesSeed, uint64(f.failing)))
	guarded := &lockedRandom{random: random}
	p := &picker.Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Random: guarded.next}
	r.agents = map[string]*shortAgent{}
	r.attempts.Store(0)
	r.served.Store(0)
	var all []picker.Candidate
	for i := range retriesReplicas {
		entry := replica(i)
		r.agents[entry.GetAddress()] = &shortAgent{attempts: &r.attempts, failure: f, number: i, started: time.Now()}
		all = append(all, picker.Candidate{Replica: entry, Load: &messenger.Load{Rate: 1}})
	}
	p.Update(all, time.Now())
	r.forwarder = &forwarder.Forwarder{
		Picker: p, Dial: r.dial, Budget: budgeter.New(),
		Counters: forwarder.NewCounters(func(string) metrics.Counter { return discard.NewCounter() }),
	}
}

// lockedRandom lets concurrent picks share one seeded source.
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

// retriedCall is one request.
type retriedCall struct {
	retries *retriesRun
	number  int
}

func (c *retriedCall) run() {
	defer c.retries.pending.Done()
	if c.retries.fixed {
		c.tryFixed()
		return
	}
	now := time.Now()
	result := c.retries.forwarder.Run(context.Background(), &identifier.Request{
		ID: fmt.Sprintf("req-%d", c.number), Team: &parser.Team{Name: "presses"}, Target: identifier.Target{Model: benchModel},
		Arrived: now, Deadline: now.Add(10 * time.Second), Idempotent: true,
		Call: &identifier.Completion{Prompt: "p", MaxTokens: 1},
	}, discardSink{})
	if result.Outcome == identifier.OutcomeServed {
		c.retries.served.Add(1)
	}
}

// tryFixed tries up to three servers, whatever happens to other requests.
func (c *retriedCall) tryFixed() {
	q := picker.Query{Target: identifier.Target{Model: benchModel}}
	for range fixedTries {
		choice, ok := c.retries.forwarder.Picker.Pick(&q, time.Now())
		if !ok {
			return
		}
		agent := c.retries.agents[choice.Address]
		c.retries.attempts.Add(1)
		agent.work()
		failed := agent.failing(time.Now())
		choice.Done(!failed, time.Now())
		if !failed {
			c.retries.served.Add(1)
			return
		}
		q.Exclude = append(q.Exclude, choice.Server)
	}
}

// discardSink drops the answer.
type discardSink struct{}

func (discardSink) Tokens(context.Context, []string) error { return nil }

func (discardSink) Version(string, string) {}

// shortAgent answers each attempt with one token, or breaks it.
type shortAgent struct {
	messenger.AgentClient
	attempts *atomic.Int64
	failure  failure
	number   int
	started  time.Time
}

func (a *shortAgent) failing(now time.Time) bool {
	return a.failure.fails(a.number, now.Sub(a.started))
}

func (a *shortAgent) work() { time.Sleep(2 * time.Millisecond) }

func (a *shortAgent) Attempt(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent], error) {
	a.attempts.Add(1)
	return &shortStream{agent: a}, nil
}

func (a *shortAgent) Cancel(context.Context, *messenger.CancelRequest, ...grpc.CallOption) (*messenger.CancelReply, error) {
	return &messenger.CancelReply{}, nil
}

// shortStream is one attempt.
type shortStream struct {
	grpc.ClientStream
	agent *shortAgent
	id    *messenger.AttemptId
	step  int
}

func (s *shortStream) Send(f *messenger.AttemptFrame) error {
	s.id = f.GetStart().GetId()
	return nil
}

func (s *shortStream) Recv() (*messenger.AttemptEvent, error) {
	s.step++
	switch s.step {
	case 1:
		s.agent.work()
		if s.agent.failing(time.Now()) {
			return nil, errBenchCut
		}
		return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{Version: "v1"}}}, nil
	case 2:
		return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{Tokens: []string{"t"}}}}, nil
	}
	return &messenger.AttemptEvent{Id: s.id, Event: &messenger.AttemptEvent_End{End: &messenger.AttemptEnd{TokenCount: 1, Version: "v1", FinishReason: "stop"}}}, nil
}
