package forwarder

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/generic"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var errConnectionLost = status.Error(codes.Unavailable, "the connection was cut")

// fakeAgent is an in-memory agent. It runs script for each attempt.
type fakeAgent struct {
	messenger.AgentClient
	script func(s *fakeStream, start *messenger.AttemptStart) error
	// cancelState is the state that Cancel returns. If it is unspecified, Cancel
	// blocks until its context ends.
	cancelState messenger.AttemptState
	// state returns the reply to status queries, which fail if it is nil.
	state func() (*messenger.AttemptStatusReply, error)
	// refusal makes Reserve refuse.
	refusal *messenger.AttemptRefused
	// unreachable makes Attempt fail.
	unreachable bool

	mu       sync.Mutex
	starts   []*messenger.AttemptStart
	cancels  int
	reserves int
}

func (a *fakeAgent) Attempt(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent], error) {
	if a.unreachable {
		return nil, errConnectionLost
	}
	return &fakeStream{ctx: ctx, agent: a, events: make(chan *messenger.AttemptEvent), done: make(chan struct{})}, nil
}

func (a *fakeAgent) Reserve(context.Context, *messenger.ReserveRequest, ...grpc.CallOption) (*messenger.ReserveReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserves++
	return &messenger.ReserveReply{Reservation: "r1", Refused: a.refusal}, nil
}

func (a *fakeAgent) Cancel(ctx context.Context, _ *messenger.CancelRequest, _ ...grpc.CallOption) (*messenger.CancelReply, error) {
	a.mu.Lock()
	a.cancels++
	a.mu.Unlock()
	if a.cancelState == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &messenger.CancelReply{State: a.cancelState}, nil
}

func (a *fakeAgent) AttemptStatus(context.Context, *messenger.AttemptStatusRequest, ...grpc.CallOption) (*messenger.AttemptStatusReply, error) {
	if a.state == nil {
		return nil, errConnectionLost
	}
	return a.state()
}

// fakeStream is the stream of one attempt on a fakeAgent.
type fakeStream struct {
	grpc.ClientStream
	ctx    context.Context
	agent  *fakeAgent
	start  *messenger.AttemptStart
	events chan *messenger.AttemptEvent
	done   chan struct{}
	err    error
}

func (s *fakeStream) Send(f *messenger.AttemptFrame) error {
	s.start = f.GetStart()
	s.agent.mu.Lock()
	s.agent.starts = append(s.agent.starts, s.start)
	s.agent.mu.Unlock()
	go s.run()
	return nil
}

func (s *fakeStream) run() {
	s.err = s.agent.script(s, s.start)
	close(s.done)
}

func (s *fakeStream) Recv() (*messenger.AttemptEvent, error) {
	select {
	case e := <-s.events:
		return e, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-s.done:
	}
	if s.err == nil {
		return nil, io.EOF
	}
	return nil, s.err
}

// send sends events. It sets the identifier of this attempt on events without one.
func (s *fakeStream) send(events ...*messenger.AttemptEvent) {
	for _, e := range events {
		if e.Id == nil {
			e.Id = s.start.GetId()
		}
		select {
		case s.events <- e:
		case <-s.ctx.Done():
		}
	}
}

func accepted(version string) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{Version: version, VersionName: version}}}
}

func tokens(offset int, texts ...string) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{Offset: uint32(offset), Tokens: texts}}}
}

func end(count int, version string) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_End{End: &messenger.AttemptEnd{TokenCount: uint32(count), Version: version, FinishReason: "stop"}}}
}

func refusal(r messenger.RefuseReason) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Refused{Refused: &messenger.AttemptRefused{Reason: r}}}
}

func crash(fingerprints ...string) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Broken{Broken: &messenger.AttemptBroken{BackendCrashed: true, InProgress: fingerprints}}}
}

func answer(body string) *messenger.AttemptEvent {
	return &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Answer{Answer: &messenger.ServiceAnswer{Status: 200, Body: []byte(body)}}}
}

// withFirstAttemptID sets the identifier of an event to the first attempt of a
// request.
func withFirstAttemptID(request string, e *messenger.AttemptEvent) *messenger.AttemptEvent {
	e.Id = &messenger.AttemptId{RequestId: request, Number: 1}
	return e
}

var words = []string{"a", "b", "c", "d"}

// serveWords answers a model request with words, starting at the resume offset.
func serveWords(s *fakeStream, start *messenger.AttemptStart) error {
	at := int(start.GetModel().GetResumeOffset())
	s.send(accepted("v1"), tokens(at, words[at:]...), end(len(words), "v1"))
	return nil
}

// serveStored answers a service call with the body "stored".
func serveStored(s *fakeStream, _ *messenger.AttemptStart) error {
	s.send(accepted(""), answer("stored"))
	return nil
}

// playEvents returns a script that sends the events and then cuts the stream.
func playEvents(events ...func() *messenger.AttemptEvent) func(*fakeStream, *messenger.AttemptStart) error {
	return func(s *fakeStream, _ *messenger.AttemptStart) error {
		for _, e := range events {
			s.send(e())
		}
		return errConnectionLost
	}
}

func event(e func(string) *messenger.AttemptEvent, arg string) func() *messenger.AttemptEvent {
	return func() *messenger.AttemptEvent { return e(arg) }
}

func blockUntilCanceled(s *fakeStream, _ *messenger.AttemptStart) error {
	<-s.ctx.Done()
	return s.ctx.Err()
}

// sink collects the tokens of one request.
type sink struct {
	text string
}

func (s *sink) Tokens(_ context.Context, texts []string) error {
	for _, t := range texts {
		s.text += t
	}
	return nil
}

func (s *sink) Version(string, string) {}

// fixture is a forwarder whose agents, claims and isolation are fakes.
type fixture struct {
	*Forwarder
	agents    map[string]*fakeAgent
	counts    map[string]*generic.Counter
	claims    *fakeClaims
	isolation *fakeIsolation
}

// newFixture returns a forwarder whose picker selects the agents in the given order,
// because each one reports a longer queue than the previous one.
func newFixture(t *testing.T, versions string, agents ...*fakeAgent) *fixture {
	t.Helper()
	f := &fixture{agents: map[string]*fakeAgent{}, counts: map[string]*generic.Counter{}, claims: &fakeClaims{}, isolation: &fakeIsolation{}}
	p := &picker.Picker{VM: "entry", Region: "north", FailureDomain: "n1", Policy: picker.LeastReported{}}
	var all []picker.Candidate
	for i, a := range agents {
		vm := fmt.Sprintf("vm%d", i)
		f.agents[vm] = a
		version := "v1"
		if i < len(versions) {
			version = "v" + versions[i:i+1]
		}
		for _, replica := range []*messenger.Replica{{Model: "m", Version: version}, {Service: "ledger"}} {
			replica.Vm, replica.Address, replica.Incarnation = vm, vm, "i"+replica.GetModel()
			replica.State = messenger.ReplicaState_REPLICA_STATE_READY
			all = append(all, picker.Candidate{Replica: replica, Load: &messenger.Load{Queued: uint32(i), Rate: 1}})
		}
	}
	p.Update(all, time.Now())
	f.Forwarder = &Forwarder{
		Picker: p, Dial: f.dial, Claims: f.claims, Isolation: f.isolation,
		Budget: budgeter.New(), Counters: NewCounters(f.counter),
	}
	return f
}

func (f *fixture) dial(address string) (messenger.AgentClient, error) {
	if a := f.agents[address]; a != nil {
		return a, nil
	}
	return nil, errConnectionLost
}

func (f *fixture) counter(name string) metrics.Counter {
	c := generic.NewCounter(name)
	f.counts[name] = c
	return c
}

func modelRequest() *identifier.Request {
	return &identifier.Request{
		ID: "req", Team: &parser.Team{Name: "moulds"}, Target: identifier.Target{Model: "m"},
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Fingerprint: "f1", Idempotent: true,
		Call: &identifier.Completion{Prompt: "p", MaxTokens: 10, Seed: 7},
	}
}

func orderRequest(key string) *identifier.Request {
	r := modelRequest()
	r.Target = identifier.Target{Service: "ledger"}
	r.Call = &identifier.ServiceCall{Service: "ledger", Method: "POST", Path: "/orders", Body: []byte("order")}
	r.Idempotent, r.ClaimKey = false, key
	return r
}

// fakeClaims returns its replies in order, the last one repeatedly, and records the
// requests.
type fakeClaims struct {
	replies   []*messenger.ClaimReply
	err       error
	asked     []*messenger.ClaimRequest
	completed []*messenger.CompleteClaimRequest
}

func (c *fakeClaims) Claim(_ context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	c.asked = append(c.asked, req)
	if c.err != nil {
		return nil, c.err
	}
	if len(c.replies) == 0 {
		return &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_GRANTED}, nil
	}
	r := c.replies[0]
	if len(c.replies) > 1 {
		c.replies = c.replies[1:]
	}
	return r, nil
}

func (c *fakeClaims) CompleteClaim(_ context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	c.completed = append(c.completed, req)
	return &messenger.CompleteClaimReply{Recorded: true}, nil
}

// fakeIsolation blocks requests after the second crash.
type fakeIsolation struct {
	mu      sync.Mutex
	down    bool
	crashes int
	trials  int
	cleared bool
}

func (i *fakeIsolation) Blocked(_ string, now time.Time) (time.Time, bool, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Add(time.Minute), i.crashes >= 2, i.crashes == 1
}

func (i *fakeIsolation) Suspect(_ context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, errConnectionLost
	}
	reply := &messenger.SuspectReply{}
	switch {
	case req.GetCrashed():
		i.crashes++
		reply.Blocked = i.crashes >= 2
	case req.GetAskTrial():
		i.trials++
		reply.TrialGranted, reply.Trial = true, "t1"
	case req.GetSucceeded():
		i.cleared = true
	}
	return reply, nil
}

// count returns the number of reported crashes.
func (i *fakeIsolation) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.crashes
}
