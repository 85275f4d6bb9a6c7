package executor_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const incarnation = "incarnation-2"

// fakeStream is the server side of one Attempt call.
type fakeStream struct {
	grpc.ServerStream
	executor   *executor.Executor
	ctx        context.Context
	disconnect context.CancelFunc
	frames     chan *messenger.AttemptFrame

	mu     sync.Mutex
	events []*messenger.AttemptEvent
	ended  chan struct{}
}

func openAttempt(t *testing.T, e *executor.Executor, start *messenger.AttemptStart) *fakeStream {
	s := &fakeStream{executor: e, frames: make(chan *messenger.AttemptFrame, 4), ended: make(chan struct{})}
	s.ctx, s.disconnect = context.WithCancel(context.Background())
	t.Cleanup(s.disconnect)
	if start != nil {
		s.frames <- &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: start}}
	}
	go s.run()
	synctest.Wait()
	return s
}

func (s *fakeStream) run() {
	defer close(s.ended)
	defer s.disconnect()
	_ = s.executor.Attempt(s)
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Recv() (*messenger.AttemptFrame, error) {
	select {
	case f := <-s.frames:
		return f, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *fakeStream) Send(event *messenger.AttemptEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	s.events = append(s.events, event)
	return nil
}

func (s *fakeStream) last() *messenger.AttemptEvent {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) == 0 {
		return nil
	}
	return s.events[len(s.events)-1]
}

func (s *fakeStream) tokens() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tokens []string
	for _, e := range s.events {
		tokens = append(tokens, e.GetTokens().GetTokens()...)
	}
	return tokens
}

func (s *fakeStream) refuseReason() messenger.RefuseReason {
	return s.last().GetRefused().GetReason()
}

// fakeEngine sends the pieces that a test gives it. Its streams ignore contexts,
// like an engine that ignores cancels.
type fakeEngine struct {
	adapter.Engine
	mu   sync.Mutex
	dead bool
	// pausedUntil is until when State does not answer.
	pausedUntil time.Time
	// refusal is returned by Generate, if set.
	refusal  error
	streams  map[string]*fakeTokens
	started  []string
	canceled []string
}

type fakeTokens struct {
	pieces chan adapter.GeneratedTokens
	broken chan struct{}
	closed chan struct{}
	once   sync.Once
}

var errReset = &adapter.EngineError{Operation: "generate", Started: true, Crashed: true, Cause: io.ErrUnexpectedEOF}

func (e *fakeEngine) Generate(_ context.Context, req adapter.GenerateRequest) (adapter.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, &adapter.EngineError{Operation: "generate", Cause: errors.New("connection refused")}
	}
	if e.refusal != nil {
		return nil, e.refusal
	}
	if e.streams == nil {
		e.streams = map[string]*fakeTokens{}
	}
	s := &fakeTokens{pieces: make(chan adapter.GeneratedTokens, 16), broken: make(chan struct{}), closed: make(chan struct{})}
	e.streams[req.ID] = s
	e.started = append(e.started, req.ID)
	return s, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, id)
	return nil
}

func (e *fakeEngine) State(ctx context.Context) (adapter.EngineState, error) {
	e.mu.Lock()
	pause := time.Until(e.pausedUntil)
	e.mu.Unlock()
	select {
	case <-time.After(pause):
	case <-ctx.Done():
		return adapter.EngineState{}, &adapter.EngineError{Operation: "state", Started: true, Cause: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return adapter.EngineState{}, &adapter.EngineError{Operation: "state", Cause: errors.New("connection refused")}
	}
	return adapter.EngineState{Instance: "engine-1", Version: "v1"}, nil
}

func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for _, s := range e.streams {
		close(s.broken)
	}
}

func (e *fakeEngine) startedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.started...)
}

func (e *fakeEngine) sendPiece(id string, piece adapter.GeneratedTokens) {
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	s.pieces <- piece
	synctest.Wait()
}

func (e *fakeEngine) sendEnd(id string, count int) {
	e.sendPiece(id, adapter.GeneratedTokens{End: true, TokenCount: count, Offset: count, Version: "v1"})
}

func (s *fakeTokens) Next() (adapter.GeneratedTokens, error) {
	select {
	case p := <-s.pieces:
		return p, nil
	case <-s.broken:
		return adapter.GeneratedTokens{}, errReset
	case <-s.closed:
		return adapter.GeneratedTokens{}, errReset
	}
}

func (s *fakeTokens) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// fakeService holds its calls until a test answers them.
type fakeService struct {
	mu      sync.Mutex
	calls   int
	answers chan adapter.ServiceAnswer
}

func (s *fakeService) Call(ctx context.Context, _ adapter.ServiceCall) (adapter.ServiceAnswer, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	select {
	case a := <-s.answers:
		return a, nil
	case <-ctx.Done():
		return adapter.ServiceAnswer{}, &adapter.ServiceError{Started: true, Cause: ctx.Err()}
	}
}

func (s *fakeService) Healthy(context.Context) error { return nil }

func (s *fakeService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type fakeVersions struct {
	mu      sync.Mutex
	version string
}

func (v *fakeVersions) Ready(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version != "" && (version == "" || version == v.version)
}

func (v *fakeVersions) ActiveVersion() executor.ActiveVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return executor.ActiveVersion{Model: "drafter", Digest: v.version}
}

func newModelExecutor(maxRunning int) (*executor.Executor, *fakeEngine) {
	engine := &fakeEngine{}
	e := &executor.Executor{
		Incarnation: incarnation, Engine: engine, Versions: &fakeVersions{version: "v1"}, MaxRunning: maxRunning, MaxWaiting: 2,
	}
	e.SetBackend(executor.BackendState{Up: true, Instance: "engine-1"})
	return e, engine
}

func newServiceExecutor() (*executor.Executor, *fakeService) {
	service := &fakeService{answers: make(chan adapter.ServiceAnswer, 1)}
	e := &executor.Executor{Incarnation: incarnation, Service: service, ServiceName: "ledger"}
	e.SetBackend(executor.BackendState{Up: true})
	return e, service
}

func idOf(request string) *messenger.AttemptId {
	return &messenger.AttemptId{RequestId: request, Number: 1}
}

func modelStart(request string) *messenger.AttemptStart {
	return &messenger.AttemptStart{
		Id: idOf(request), Incarnation: incarnation, Priority: messenger.Priority_PRIORITY_STANDARD, Fingerprint: "fingerprint-" + request,
		Call: &messenger.AttemptStart_Model{Model: &messenger.ModelCall{Model: "drafter", Prompt: request, MaxTokens: 4}},
	}
}

func serviceStart(request, reservation string) *messenger.AttemptStart {
	return &messenger.AttemptStart{
		Id: idOf(request), Incarnation: incarnation, Reservation: reservation,
		Call: &messenger.AttemptStart_Service{Service: &messenger.ServiceCall{Service: "ledger", Method: "POST", Path: "/records"}},
	}
}

func cancelAttempt(e *executor.Executor, request string) messenger.AttemptState {
	reply, err := e.Cancel(context.Background(), &messenger.CancelRequest{Id: idOf(request), Incarnation: incarnation})
	if err != nil {
		return messenger.AttemptState_ATTEMPT_STATE_UNSPECIFIED
	}
	return reply.GetState()
}

func reserve(e *executor.Executor, request string) *messenger.ReserveReply {
	reply, err := e.Reserve(context.Background(), &messenger.ReserveRequest{Id: idOf(request), Incarnation: incarnation, Service: "ledger"})
	if err != nil {
		return nil
	}
	return reply
}

func statusOf(e *executor.Executor, request string) *messenger.AttemptStatusReply {
	reply, err := e.AttemptStatus(context.Background(), &messenger.AttemptStatusRequest{Id: idOf(request), Incarnation: incarnation})
	if err != nil {
		return nil
	}
	return reply
}
