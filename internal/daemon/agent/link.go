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
	// A dead connection is closed after the sum of both.
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	connectTimeout   = 2 * time.Second
	maxNoticeBytes   = 4 << 20
	farewellTimeout  = 500 * time.Millisecond
)

// link is one session with an entry daemon. The fields of the second group
// belong to its sessions and are read under their lock.
type link struct {
	sessions *sessions
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  atomic.Bool
	signal   chan struct{}
	ended    chan struct{}

	connected bool
	confirmed bool
	hinted    bool
	told      messenger.ReplicaState
}

func newLink(ctx context.Context, s *sessions, address string) *link {
	l := &link{sessions: s, address: address, signal: make(chan struct{}, 1), ended: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// notify asks for a report soon. A report that has not been sent yet is built
// when it is sent, so that it is never older than the newest change.
func (l *link) notify() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

func (l *link) stop() {
	l.stopped.Store(true)
	l.cancel()
}

// run holds the session until it breaks or is stopped.
func (l *link) run() {
	defer close(l.ended)
	defer l.cancel()
	begin := time.Now()
	err := l.hold(begin)
	if l.ctx.Err() != nil {
		l.stopped.Store(true)
	}
	now := time.Now()
	l.sessions.closed(l, now.Sub(begin), err, now)
}

func (l *link) hold(begin time.Time) error {
	conn, err := grpc.NewClient("passthrough:///"+l.address,
		l.sessions.TLS.DialOption(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: grpcbackoff.DefaultConfig, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxNoticeBytes)),
	)
	if err != nil {
		return err
	}
	defer conn.Close()
	// The stream outlives the link's context by the farewell.
	ctx, cancel := context.WithCancel(context.WithoutCancel(l.ctx))
	defer cancel()
	defer context.AfterFunc(l.ctx, func() { time.AfterFunc(farewellTimeout, cancel) })()
	stream, err := messenger.NewEntryClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	l.sessions.opened(l)
	receiver := &noticeReceiver{link: l, stream: stream, ended: make(chan struct{})}
	go receiver.run()
	return l.send(stream, receiver, begin)
}

// send sends reports at the pace of the design.
func (l *link) send(stream messenger.Entry_SessionClient, receiver *noticeReceiver, begin time.Time) error {
	pace := time.NewTimer(0)
	defer pace.Stop()
	var events uint64
	var last time.Time
	waiting := true
	settled := false
	for {
		select {
		case <-l.ctx.Done():
			return l.farewell(stream, receiver)
		case <-receiver.ended:
			return receiver.err
		case <-l.signal:
			waiting = true
		case <-pace.C:
			waiting = waiting || time.Since(last) >= maxReportInterval
		}
		now := time.Now()
		if waiting && now.Sub(last) >= minReportInterval {
			report := l.sessions.Reports.build(now, events)
			if err := stream.Send(report); err != nil {
				return l.sendError(receiver, err)
			}
			l.sessions.sent(l, report.GetReplica().GetState())
			events = lastEvent(report, events)
			last = now
			waiting = len(report.GetCacheEvents()) == maxEventsPerReport
		}
		if !settled && now.Sub(begin) >= stableTime {
			settled = true
			l.sessions.settled(l)
		}
		pace.Reset(nextReport(last, waiting).Sub(now))
	}
}

// nextReport returns when the next report is due.
func nextReport(last time.Time, waiting bool) time.Time {
	if waiting {
		return last.Add(minReportInterval)
	}
	return last.Add(maxReportInterval)
}

func lastEvent(report *messenger.AgentReport, before uint64) uint64 {
	if n := len(report.GetCacheEvents()); n > 0 {
		return report.GetCacheEvents()[n-1].GetSequence()
	}
	return before
}

// farewell lets the last report arrive before the connection closes.
func (l *link) farewell(stream messenger.Entry_SessionClient, receiver *noticeReceiver) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	<-receiver.ended
	return nil
}

// sendError returns the reason for a broken stream, which only its receiver
// learns.
func (l *link) sendError(receiver *noticeReceiver, err error) error {
	if err == io.EOF { //nolint:errorlint // Send returns io.EOF itself.
		<-receiver.ended
		return receiver.err
	}
	return err
}

// noticeReceiver takes the notices of one session.
type noticeReceiver struct {
	link   *link
	stream messenger.Entry_SessionClient
	ended  chan struct{}
	err    error
}

func (r *noticeReceiver) run() {
	defer close(r.ended)
	for {
		notice, err := r.stream.Recv()
		if err != nil {
			r.err = err
			return
		}
		r.link.sessions.take(r.link, notice)
	}
}
