package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/internal/shared/piper"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// slowService answers each call after a given time.
type slowService struct {
	takes  time.Duration
	answer adapter.ServiceAnswer
}

func (s *slowService) Call(ctx context.Context, _ adapter.ServiceCall) (adapter.ServiceAnswer, error) {
	select {
	case <-time.After(s.takes):
		return s.answer, nil
	case <-ctx.Done():
		return adapter.ServiceAnswer{}, &adapter.ServiceError{Started: true, Cause: ctx.Err()}
	}
}

func (s *slowService) Healthy(context.Context) error { return nil }

// attemptStream is the server side of an Attempt call in memory.
type attemptStream struct {
	grpc.ServerStream
	ctx    context.Context
	frames chan *messenger.AttemptFrame
	ended  chan struct{}

	mu   sync.Mutex
	last *messenger.AttemptEvent
}

func (s *attemptStream) run(e *executor.Executor) {
	defer close(s.ended)
	_ = e.Attempt(s)
}

func (s *attemptStream) Context() context.Context { return s.ctx }

func (s *attemptStream) Recv() (*messenger.AttemptFrame, error) {
	select {
	case f := <-s.frames:
		return f, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *attemptStream) Send(event *messenger.AttemptEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = event
	return nil
}

func (s *attemptStream) lastEvent() *messenger.AttemptEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// drainingAgent is an agent without connections that is drained by a test.
type drainingAgent struct {
	*Agent
	t *testing.T
	// err is the result of the drain, valid when ended is closed.
	err   error
	ended chan struct{}
}

// newDebugListener returns a listener that nobody connects to.
func newDebugListener() *listener.Listener {
	out := listener.NewGroup(listener.Process{}, zap.NewNop()).New("debug", 1, nil)
	out.Listener = piper.New()
	return out
}

func newDrainingAgent(t *testing.T, drainTimeout, takes time.Duration) *drainingAgent {
	a := &drainingAgent{t: t, ended: make(chan struct{})}
	a.Agent = &Agent{
		Settings: Settings{VM: "model-1", Service: "ledger", DrainTimeout: drainTimeout, MaxRunning: 1},
		Service:  &slowService{takes: takes, answer: adapter.ServiceAnswer{Status: 201}}, Log: zap.NewNop(),
	}
	a.initComponents(piper.New(), newDebugListener(), time.Now())
	a.executor.SetBackend(executor.BackendState{Up: true})
	return a
}

func (a *drainingAgent) runDrain() {
	a.err = a.drain(a.t.Context())
	close(a.ended)
}

func (a *drainingAgent) run(ctx context.Context) {
	a.err = a.serve(ctx)
	close(a.ended)
}

// connect runs the agent and returns a connection that delays each read, and a function
// that stops the agent.
func (a *drainingAgent) connect(c *qt.C, delay time.Duration) (*grpc.ClientConn, context.CancelFunc) {
	a.Out = io.Discard
	listener := piper.New()
	listener.ReadDelay = delay
	a.initComponents(listener, newDebugListener(), time.Now())
	ctx, stop := context.WithCancel(a.t.Context())
	go a.run(ctx)
	conn, err := grpc.NewClient("passthrough:///agent", grpc.WithContextDialer(listener.DialContext), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	// The agent learns that its service answers.
	time.Sleep(time.Second)
	return conn, stop
}

func (a *drainingAgent) reserve(c *qt.C, request string) *messenger.ReserveReply {
	reply, err := a.executor.Reserve(a.t.Context(), &messenger.ReserveRequest{
		Id: &messenger.AttemptId{RequestId: request, Number: 1}, Incarnation: a.executor.Incarnation, Service: "ledger",
	})
	c.Assert(err, qt.IsNil)
	return reply
}

// attempt starts an attempt, which may not be repeated if it has a reservation.
func (a *drainingAgent) attempt(request, reservation string, remaining time.Duration) *attemptStream {
	s := &attemptStream{ctx: a.t.Context(), frames: make(chan *messenger.AttemptFrame, 1), ended: make(chan struct{})}
	s.frames <- &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: &messenger.AttemptStart{
		Id: &messenger.AttemptId{RequestId: request, Number: 1}, Incarnation: a.executor.Incarnation,
		Reservation: reservation, RemainingMs: remaining.Milliseconds(),
		Call: &messenger.AttemptStart_Service{Service: &messenger.ServiceCall{
			Service: "ledger", Method: "POST", Path: "/records", Idempotent: reservation == "",
		}},
	}}}
	go s.run(a.executor)
	synctest.Wait()
	return s
}

// TestDrainCutsAttemptTakenAfterSIGTERM guards against attempts that a draining agent
// takes although they may outlast the drain, and then cuts.
func TestDrainCutsAttemptTakenAfterSIGTERM(t *testing.T) {
	const draining = messenger.RefuseReason_REFUSE_REASON_DRAINING
	tests := []struct {
		name         string
		drainTimeout time.Duration
		// reserve and start are times after SIGTERM. Without a reservation the attempt
		// may be repeated.
		reserved       bool
		reserve, start time.Duration
		remaining      time.Duration
		takes          time.Duration
		refused        bool
	}{
		{"reserved during the drain", 30 * time.Second, true, time.Second, time.Second, 40 * time.Second, 35 * time.Second, true},
		{"reserved before the drain", 30 * time.Second, true, -time.Second, time.Second, 40 * time.Second, 35 * time.Second, true},
		{"reservation that ends in time", 90 * time.Second, true, time.Second, 3 * time.Second, 40 * time.Second, 50 * time.Second, false},
		{"deadline after the drain", 30 * time.Second, false, 0, time.Second, 40 * time.Second, 35 * time.Second, true},
		{"no deadline", 30 * time.Second, false, 0, time.Second, 0, 35 * time.Second, true},
		{"deadline before the end of the drain", 30 * time.Second, false, 0, time.Second, 25 * time.Second, 20 * time.Second, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := newDrainingAgent(t, tc.drainTimeout, tc.takes)
				began := time.Now().Add(2 * time.Second)
				time.AfterFunc(time.Until(began), a.runDrain)
				reservation := ""
				if tc.reserved {
					time.Sleep(time.Until(began.Add(tc.reserve)))
					reply := a.reserve(c, "r1")
					if tc.refused && tc.reserve > 0 {
						c.Check(reply.GetRefused().GetReason(), qt.Equals, draining)
					}
					reservation = reply.GetReservation()
				}
				var s *attemptStream
				if !tc.reserved || reservation != "" {
					time.Sleep(time.Until(began.Add(tc.start)))
					s = a.attempt("r1", reservation, tc.remaining)
				}
				<-a.ended
				c.Check(a.err, qt.IsNil)
				if s == nil {
					return
				}
				<-s.ended
				c.Check(s.lastEvent().GetRefused().GetReason() == draining, qt.Equals, tc.refused)
				c.Check(s.lastEvent().GetAnswer() != nil, qt.Equals, !tc.refused)
			})
		})
	}
}

// TestDrainStartsWaitingAttemptThatOutlastsIt guards against an attempt that has waited
// for a slot since before the drain, starts during it and is cut at its end.
func TestDrainStartsWaitingAttemptThatOutlastsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newDrainingAgent(t, 30*time.Second, 35*time.Second)
		first := a.attempt("r1", "", 40*time.Second)
		time.Sleep(34 * time.Second)
		waiting := a.attempt("r2", "", 40*time.Second)
		go a.runDrain()
		<-a.ended
		c.Check(a.err, qt.IsNil)
		<-waiting.ended
		c.Check(first.lastEvent().GetAnswer(), qt.IsNotNil)
		c.Check(waiting.lastEvent().GetRefused().GetReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
	})
}

// TestDrainCutsAnswerOfSlowReader guards against an agent that exits before the answer of
// a finished call has reached the entry daemon.
func TestDrainCutsAnswerOfSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newDrainingAgent(t, time.Minute, time.Second)
		a.Service = &slowService{takes: time.Second, answer: adapter.ServiceAnswer{Status: 201, Body: make([]byte, maxServiceAnswerBytes)}}
		conn, stop := a.connect(c, 40*time.Millisecond)
		defer time.Sleep(time.Second)
		defer conn.Close()
		stream, err := messenger.NewAgentClient(conn).Attempt(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(stream.Send(&messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: &messenger.AttemptStart{
			Id: &messenger.AttemptId{RequestId: "r1", Number: 1}, Incarnation: a.executor.Incarnation, RemainingMs: 30_000,
			Call: &messenger.AttemptStart_Service{Service: &messenger.ServiceCall{Service: "ledger", Method: "GET", Path: "/", Idempotent: true}},
		}}}), qt.IsNil)
		event, err := stream.Recv()
		c.Assert(err, qt.IsNil)
		c.Assert(event.GetAccepted(), qt.IsNotNil, qt.Commentf("%v", event))
		stop()
		event, err = stream.Recv()
		c.Check(err, qt.IsNil)
		c.Check(event.GetAnswer().GetBody(), qt.HasLen, maxServiceAnswerBytes)
		<-a.ended
		c.Check(a.err, qt.IsNil)
	})
}

// watchedChunks sends nothing on Have streams.
type watchedChunks struct {
	messenger.UnimplementedChunksServer
}

func (watchedChunks) Have(_ *messenger.HaveRequest, stream grpc.ServerStreamingServer[messenger.HaveReply]) error {
	<-stream.Context().Done()
	return stream.Context().Err()
}

// TestDrainWaitsForWatchingPeer guards against an agent that stops only at --drain-timeout
// because a peer watches its chunks.
func TestDrainWaitsForWatchingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newDrainingAgent(t, time.Minute, time.Second)
		a.Chunks = watchedChunks{}
		conn, stop := a.connect(c, 0)
		defer time.Sleep(time.Second)
		defer conn.Close()
		_, err := messenger.NewChunksClient(conn).Have(t.Context(), &messenger.HaveRequest{})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		stop()
		began := time.Now()
		<-a.ended
		c.Check(a.err, qt.IsNil)
		c.Check(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	})
}

// TestDrainEndsAttemptWithoutEvent guards against attempts that are cut at the end of the
// drain and whose entry daemons are not informed that they broke.
func TestDrainEndsAttemptWithoutEvent(t *testing.T) {
	for _, reserved := range []bool{false, true} {
		t.Run(fmt.Sprintf("reserved=%t", reserved), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := newDrainingAgent(t, 30*time.Second, 50*time.Second)
				reservation := ""
				if reserved {
					reservation = a.reserve(c, "r1").GetReservation()
				}
				s := a.attempt("r1", reservation, time.Minute)
				go a.runDrain()
				<-a.ended
				var timeout *DrainTimeoutError
				c.Check(errors.As(a.err, &timeout), qt.IsTrue)
				c.Check(timeout.Running, qt.Equals, 1)
				c.Check(s.lastEvent().GetBroken().GetDetail(), qt.Equals, "the agent stopped")
				<-s.ended
			})
		})
	}
}
