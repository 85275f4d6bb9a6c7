package drainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// maxSilence is how long after the intake a stop waits for connections that have
	// sent nothing yet.
	maxSilence = time.Second
	// minAnswerTime is the least time between the end of the last requests and the close
	// of their connections, also if the daemon was suspended and is late.
	minAnswerTime = 50 * time.Millisecond
)

// Server serves requests and stops without dropping one that it has read. The Shutdown
// of net/http closes the connections on which it has just read the head of a request, so
// it is called only once no request is under way. The context of a request that lasts
// too long ends with a StoppedError, so that its caller is informed what became of it.
type Server struct {
	// HTTP is the server to run. Serve sets its BaseContext and adds to its ConnState.
	HTTP     *http.Server
	Listener net.Listener
	Log      *logger.Logger

	once sync.Once
	// followed is the ConnState that the server had, if any.
	followed func(net.Conn, http.ConnState)
	// baseContext is the context of all requests, and endRequests ends it.
	baseContext context.Context
	endRequests context.CancelCauseFunc
	// stopping is set before the listener is closed, and accepted is closed when no more
	// connections are accepted.
	stopping atomic.Bool
	accepted chan struct{}

	mu sync.Mutex
	// connections holds the state of the connections that are not idle: StateNew if they
	// have sent nothing yet, and StateActive if a request is under way.
	connections map[net.Conn]http.ConnState
	// changed is closed when a connection becomes idle or is closed, if somebody waits
	// for it.
	changed chan struct{}
}

// initialize creates the context, which Drain may use before Serve.
func (s *Server) initialize() {
	s.once.Do(func() {
		s.baseContext, s.endRequests = context.WithCancelCause(context.Background())
		s.accepted = make(chan struct{})
		s.connections = map[net.Conn]http.ConnState{}
	})
}

// Run serves until Drain and logs an error of the listener.
func (s *Server) Run() {
	if err := s.Serve(); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Error("server failed", zap.Stringer("address", s.Listener.Addr()), zap.Error(err))
	}
}

// Serve serves until Drain, and then returns http.ErrServerClosed.
func (s *Server) Serve() error {
	s.initialize()
	defer close(s.accepted)
	s.followed = s.HTTP.ConnState
	s.HTTP.ConnState = s.recordState
	s.HTTP.BaseContext = func(net.Listener) context.Context { return s.baseContext }
	err := s.HTTP.Serve(s.Listener)
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) recordState(c net.Conn, state http.ConnState) {
	if s.followed != nil {
		s.followed(c, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		s.connections[c] = state
		return
	}
	delete(s.connections, c)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Drain stops the server by a plan. It returns when the requests have ended and the
// connections are closed, and reports whether no request had to be ended by the plan.
func (s *Server) Drain(ctx context.Context, plan Plan) bool {
	s.initialize()
	waiter.Wait(ctx, time.Until(plan.IntakeEnds))
	requests := s.waitForRequests(ctx, plan)
	closing := time.Now().Add(minAnswerTime)
	if requests > 0 {
		s.Log.Warn("requests end because the daemon stops", zap.Int("requests", requests))
		if plan.ConnectionsClose.After(closing) {
			closing = plan.ConnectionsClose
		}
	}
	// A first request that a silent connection sends now is answered too.
	s.endRequests(&StoppedError{After: time.Since(plan.Began)})
	s.waitUntil(ctx, closing, s.isIdle)
	s.close(ctx, closing)
	return requests == 0
}

// waitForRequests accepts no more connections, waits for the requests until RequestsEnd,
// and returns the number of those still under way.
func (s *Server) waitForRequests(ctx context.Context, plan Plan) int {
	ctx, cancel := context.WithDeadline(ctx, plan.RequestsEnd)
	defer cancel()
	s.stopAccepting(ctx)
	if !s.waitUntil(ctx, plan.IntakeEnds.Add(maxSilence), s.isIdle) {
		s.waitUntil(ctx, plan.RequestsEnd, s.hasNoRequest)
	}
	requests, _ := s.count()
	return requests
}

// stopAccepting closes the listener and waits until the last accepted connection is
// known.
func (s *Server) stopAccepting(ctx context.Context) {
	s.stopping.Store(true)
	if err := s.Listener.Close(); err != nil {
		s.Log.Warn("listener not closed", zap.Error(err))
	}
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

// close closes all connections, at the time limit also those that are not idle.
func (s *Server) close(ctx context.Context, limit time.Time) {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	err := s.HTTP.Shutdown(ctx)
	if err == nil {
		return
	}
	requests, silent := s.count()
	s.Log.Info("connections closed that are not idle", zap.Error(err), zap.Int("requests", requests), zap.Int("silent", silent))
	if err := s.HTTP.Close(); err != nil {
		s.Log.Warn("connections not closed", zap.Error(err))
	}
}

// waitUntil waits until a condition on the connections holds, and reports whether it did
// before the time limit.
func (s *Server) waitUntil(ctx context.Context, limit time.Time, holds func() bool) bool {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	for {
		changed := s.nextChange()
		if holds() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// count returns the number of requests under way and of connections that have sent
// nothing yet.
func (s *Server) count() (requests, silent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.connections {
		if state == http.StateNew {
			silent++
		} else {
			requests++
		}
	}
	return requests, silent
}

// isIdle reports whether no connection has a request under way or has yet to send its
// first.
func (s *Server) isIdle() bool {
	requests, silent := s.count()
	return requests+silent == 0
}

func (s *Server) hasNoRequest() bool {
	requests, _ := s.count()
	return requests == 0
}
