package agent

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	grpcbackoff "google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// A dead connection is closed after keepaliveTime and keepaliveTimeout.
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	connectTimeout   = 2 * time.Second
	maxNoticeBytes   = 4 << 20
	// closeTimeout limits the graceful close of a stopped session.
	closeTimeout = 500 * time.Millisecond
)

// session is a session with an entry daemon. The fields of the second group are
// guarded by the lock of the manager.
type session struct {
	manager *sessionManager
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	stopped atomic.Bool
	// reportRequested holds a value while a report is requested.
	reportRequested chan struct{}
	ended           chan struct{}

	connected      bool
	drainConfirmed bool
	drainHint      bool
	// reportedState is the replica state in the last report sent.
	reportedState messenger.ReplicaState
}

func newSession(ctx context.Context, m *sessionManager, address string) *session {
	s := &session{manager: m, address: address, reportRequested: make(chan struct{}, 1), ended: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// requestReport requests a report. Reports are built when they are sent, so
// a pending request also covers all later changes.
func (s *session) requestReport() {
	select {
	case s.reportRequested <- struct{}{}:
	default:
	}
}

func (s *session) stop() {
	s.stopped.Store(true)
	s.cancel()
}

// run serves the session until it fails or is stopped.
func (s *session) run() {
	defer close(s.ended)
	defer s.cancel()
	begin := time.Now()
	err := s.serve(begin)
	if s.ctx.Err() != nil {
		s.stopped.Store(true)
	}
	now := time.Now()
	s.manager.sessionClosed(s, now.Sub(begin), err, now)
}

// serve connects to the entry daemon and exchanges messages with it.
func (s *session) serve(begin time.Time) error {
	conn, err := grpc.NewClient("passthrough:///"+s.address,
		s.manager.TLS.DialOption(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: grpcbackoff.DefaultConfig, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxNoticeBytes)),
	)
	if err != nil {
		return err
	}
	defer conn.Close()
	// The stream outlives the session's context by closeTimeout, in which the
	// last report is delivered.
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	defer cancel()
	defer context.AfterFunc(s.ctx, func() { time.AfterFunc(closeTimeout, cancel) })()
	stream, err := messenger.NewEntryClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	s.manager.sessionOpened(s)
	receiver := &noticeReceiver{session: s, stream: stream, ended: make(chan struct{})}
	go receiver.run()
	return s.send(stream, receiver, begin)
}

// send sends a report when one is requested, but not more often than every
// minReportInterval, and at least every maxReportInterval.
func (s *session) send(stream messenger.Entry_SessionClient, receiver *noticeReceiver, begin time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events uint64
	var last time.Time
	pending := true
	stable := false
	for {
		select {
		case <-s.ctx.Done():
			return s.closeGracefully(stream, receiver)
		case <-receiver.ended:
			return receiver.err
		case <-s.reportRequested:
			pending = true
		case <-timer.C:
			pending = pending || time.Since(last) >= maxReportInterval
		}
		now := time.Now()
		if pending && now.Sub(last) >= minReportInterval {
			report := s.manager.Reports.build(now, events)
			if err := stream.Send(report); err != nil {
				return s.sendError(receiver, err)
			}
			s.manager.reportSent(s, report.GetReplica().GetState())
			events = lastEvent(report, events)
			last = now
			pending = len(report.GetCacheEvents()) == maxEventsPerReport
		}
		if !stable && now.Sub(begin) >= stableSessionDuration {
			stable = true
			s.manager.clearRetry(s)
		}
		timer.Reset(nextReport(last, pending).Sub(now))
	}
}

// nextReport returns when the next report is due.
func nextReport(last time.Time, pending bool) time.Time {
	if pending {
		return last.Add(minReportInterval)
	}
	return last.Add(maxReportInterval)
}

// lastEvent returns the sequence number of the last cache event in the report,
// or before when it has none.
func lastEvent(report *messenger.AgentReport, before uint64) uint64 {
	if n := len(report.GetCacheEvents()); n > 0 {
		return report.GetCacheEvents()[n-1].GetSequence()
	}
	return before
}

// closeGracefully closes the sending side and waits for the entry daemon to end
// the stream, so that the last report is delivered.
func (s *session) closeGracefully(stream messenger.Entry_SessionClient, receiver *noticeReceiver) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	<-receiver.ended
	return nil
}

// sendError returns the cause of a failed Send: for io.EOF, it is the error that
// the receiver got.
func (s *session) sendError(receiver *noticeReceiver, err error) error {
	if err == io.EOF { //nolint:errorlint // Send returns io.EOF itself.
		<-receiver.ended
		return receiver.err
	}
	return err
}

// noticeReceiver receives the notices of one session.
type noticeReceiver struct {
	session *session
	stream  messenger.Entry_SessionClient
	ended   chan struct{}
	err     error
}

func (r *noticeReceiver) run() {
	defer close(r.ended)
	for {
		notice, err := r.stream.Recv()
		if err != nil {
			r.err = err
			return
		}
		r.session.manager.handleNotice(r.session, notice)
	}
}
