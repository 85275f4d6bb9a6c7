package router

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/internal/shared/piper"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// slowAgent is an agent in memory whose attempts take a given time. A frozen one does
// not answer cancels.
type slowAgent struct {
	messenger.AgentClient
	takes  time.Duration
	frozen bool

	mu       sync.Mutex
	attempts int
}

func (a *slowAgent) Attempt(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts++
	return &slowStream{ctx: ctx, agent: a}, nil
}

func (a *slowAgent) Reserve(context.Context, *messenger.ReserveRequest, ...grpc.CallOption) (*messenger.ReserveReply, error) {
	return &messenger.ReserveReply{Reservation: "r"}, nil
}

func (a *slowAgent) Cancel(ctx context.Context, _ *messenger.CancelRequest, _ ...grpc.CallOption) (*messenger.CancelReply, error) {
	if a.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &messenger.CancelReply{State: messenger.AttemptState_ATTEMPT_STATE_RUNNING}, nil
}

func (a *slowAgent) AttemptStatus(context.Context, *messenger.AttemptStatusRequest, ...grpc.CallOption) (*messenger.AttemptStatusReply, error) {
	return &messenger.AttemptStatusReply{State: messenger.AttemptState_ATTEMPT_STATE_RUNNING}, nil
}

func (a *slowAgent) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts
}

// slowStream is the client side of an Attempt call to a slowAgent. A model answer has a
// token every second.
type slowStream struct {
	grpc.ClientStream
	ctx   context.Context
	agent *slowAgent
	start *messenger.AttemptStart
	end   time.Time
	// sent is the number of events sent.
	sent int
}

func (s *slowStream) Send(f *messenger.AttemptFrame) error {
	s.start = f.GetStart()
	s.end = time.Now().Add(s.agent.takes)
	return nil
}

func (s *slowStream) Recv() (*messenger.AttemptEvent, error) {
	event := &messenger.AttemptEvent{Id: s.start.GetId()}
	s.sent++
	if s.sent == 1 {
		event.Event = &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{Version: "d1"}}
		return event, nil
	}
	wait := time.Until(s.end)
	if s.start.GetModel() != nil {
		wait = min(wait, time.Second)
	}
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-time.After(wait):
	}
	switch tokens := s.sent - 2; {
	case s.start.GetService() != nil:
		event.Event = &messenger.AttemptEvent_Answer{Answer: &messenger.ServiceAnswer{Status: 201}}
	case time.Now().Before(s.end):
		event.Event = &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{Offset: uint32(tokens), Tokens: []string{"a"}}}
	default:
		event.Event = &messenger.AttemptEvent_End{End: &messenger.AttemptEnd{TokenCount: uint32(tokens), Version: "d1", FinishReason: "stop"}}
	}
	return event, nil
}

// stoppingDaemon is an entry daemon that serves callers over connections in memory and
// is stopped by a test.
type stoppingDaemon struct {
	*daemon
	listener *piper.Listener
	agent    *slowAgent
	// err is the result of leave, valid when stopped is closed.
	err     error
	stopped chan struct{}
}

// newStoppingDaemon returns a daemon that is listed for 33 s after the signal.
func newStoppingDaemon(drainTimeout time.Duration, agent *slowAgent) *stoppingDaemon {
	digest := sha256.Sum256([]byte("key-1"))
	set := parser.NewSet()
	set.Add(&parser.Team{Name: "moulds", KeyDigests: []string{hex.EncodeToString(digest[:])}})
	set.Add(&parser.Model{Name: "mould"})
	set.Add(&parser.Route{Name: "assistant", Model: "mould"})
	set.Add(&parser.Service{Name: "ledger"})
	d := &stoppingDaemon{
		daemon:   &daemon{cfg: &settings{EntriesValid: 30 * time.Second, DrainTimeout: drainTimeout}, log: zap.NewNop()},
		listener: piper.New(), agent: agent, stopped: make(chan struct{}),
	}
	d.membership = &monitor.Monitor{Self: &messenger.EntryVM{Vm: "entry-1"}, Log: d.log}
	d.picker = &picker.Picker{VM: "entry-1", Region: "north", FailureDomain: "n1"}
	d.requests = &Requests{
		Config:  func() *parser.Revision { return &parser.Revision{Number: 1, Set: set} },
		Entries: d.membership.Entries, Picker: d.picker,
		Dial: func(string) (messenger.AgentClient, error) { return agent, nil },
	}
	public := listener.NewGroup(listener.Process{}, d.log).New("public", publicShare, accepter.ListenerLimits)
	public.Listener = d.listener
	d.public = &drainer.Server{HTTP: accepter.Server(d.requests.Handler(), public), Listener: public, Log: d.log}
	d.requests.forwarder.FirstTokenTimeout = time.Hour
	d.picker.Update([]picker.Candidate{
		{Replica: &messenger.Replica{Vm: "vm1", Address: "a", Model: "mould", Version: "d1", State: messenger.ReplicaState_REPLICA_STATE_READY}},
		{Replica: &messenger.Replica{Vm: "vm2", Address: "b", Service: "ledger", State: messenger.ReplicaState_REPLICA_STATE_READY}},
	}, time.Now())
	go d.public.Run()
	return d
}

// stop stops the daemon and closes its connections, as the exit of the process does.
func (d *stoppingDaemon) stop() {
	d.err = d.leave(time.Now())
	_ = d.public.HTTP.Close()
	close(d.stopped)
}

// keepBusy sends a request on a connection of its own.
func (d *stoppingDaemon) keepBusy() {
	conn, err := d.listener.Dial()
	if err != nil {
		return
	}
	plainRequest.send(conn)
	_ = conn.Close()
}

// reuseConnection sends requests on a connection until one is not served.
func (d *stoppingDaemon) reuseConnection() {
	conn, err := d.listener.Dial()
	if err != nil {
		return
	}
	for plainRequest.with(10*time.Second, 0).send(conn).status == 200 {
	}
	_ = conn.Close()
}

// sentRequest is a request and the time between its head and its body.
type sentRequest struct {
	path, body string
	timeout    time.Duration
	bodyDelay  time.Duration
}

var (
	plainRequest  = sentRequest{path: "/v1/completions", body: `{"model":"assistant","prompt":"p"}`}
	streamRequest = sentRequest{path: "/v1/completions", body: `{"model":"assistant","prompt":"p","stream":true}`}
	orderRequest  = sentRequest{path: "/services/ledger/orders", body: "order"}
)

// with returns the request with a timeout and a time between its head and its body.
func (r sentRequest) with(timeout, bodyDelay time.Duration) sentRequest {
	r.timeout, r.bodyDelay = timeout, bodyDelay
	return r
}

// ending is the end of a request as its caller sees it.
type ending struct {
	status  int
	outcome string
	body    string
	// err is set if the answer is not complete.
	err error
}

func (r sentRequest) send(conn net.Conn) ending {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n", r.path, len(r.body))
	if r.timeout > 0 {
		head += fmt.Sprintf("%s: %d\r\n", accepter.HeaderTimeout, r.timeout.Milliseconds())
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return ending{err: err}
	}
	time.Sleep(r.bodyDelay)
	if _, err := io.WriteString(conn, r.body); err != nil {
		return ending{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ending{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return ending{resp.StatusCode, resp.Header.Get("lentil-outcome") + resp.Trailer.Get("lentil-outcome"), string(body), err}
}

// stopTest is a request to a stopping daemon.
type stopTest struct {
	name string
	// connect and send are times after the signal. A connection that is made before it
	// has served a request.
	connect, send time.Duration
	request       sentRequest
	// status is 0 if the connection is refused, and 503 if the request is.
	status int
}

func (tc stopTest) run(t *testing.T) {
	c := qt.New(t)
	d := newStoppingDaemon(time.Minute, &slowAgent{takes: 8 * time.Second})
	began := time.Now().Add(10 * time.Second)
	time.AfterFunc(time.Until(began), d.stop)
	time.AfterFunc(time.Until(began.Add(30*time.Second)), d.keepBusy)
	time.Sleep(time.Until(began.Add(tc.connect)))
	conn, err := d.listener.Dial()
	if err == nil && tc.connect < 0 {
		c.Assert(plainRequest.send(conn).status, qt.Equals, 200)
	}
	time.Sleep(time.Until(began.Add(tc.send)))
	attempts := d.agent.count()
	if tc.status == 0 {
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	} else {
		c.Assert(err, qt.IsNil)
		got := tc.request.send(conn)
		_ = conn.Close()
		c.Check(got.err, qt.IsNil)
		c.Check(got.status, qt.Equals, tc.status)
		if tc.status == 503 {
			c.Check(got.outcome, qt.Equals, "not-run")
			c.Check(got.body, qt.Contains, `"code":"entry-stopping"`)
			c.Check(d.agent.count(), qt.Equals, attempts)
		}
	}
	<-d.stopped
	c.Check(d.err, qt.IsNil)
}

func runStopTests(t *testing.T, tests []stopTest) {
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, tc.run) })
	}
}

// TestStopTakesRequestThatMayOutlastIt guards against taking a request, after the callers
// have been asked to leave, that may last longer than the daemon.
func TestStopTakesRequestThatMayOutlastIt(t *testing.T) {
	runStopTests(t, []stopTest{
		{"while callers know the address", 2 * time.Second, 2 * time.Second, plainRequest, 200},
		{"body comes too late", 32 * time.Second, 32 * time.Second, plainRequest.with(0, 3*time.Second), 503},
		{"body comes late, ends in time", 32 * time.Second, 32 * time.Second, plainRequest.with(10*time.Second, 3*time.Second), 200},
	})
}

// TestStopDropsRequestOnOpenConnection guards against connections that a stopping daemon
// closes without an answer to the request that it has read.
func TestStopDropsRequestOnOpenConnection(t *testing.T) {
	runStopTests(t, []stopTest{
		{"ends in time", -9 * time.Second, 34 * time.Second, plainRequest.with(10*time.Second, 0), 200},
		{"may outlast the daemon", -9 * time.Second, 34 * time.Second, plainRequest, 503},
		{"first request of the connection", 32 * time.Second, 34 * time.Second, plainRequest.with(10*time.Second, 0), 200},
		{"new connection", 34 * time.Second, 34 * time.Second, plainRequest.with(10*time.Second, 0), 0},
	})
}

// TestStopWaitsForReusedConnections guards against a stop that lasts too long because
// callers send one request after the other on the connections that exist.
func TestStopWaitsForReusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newStoppingDaemon(time.Minute, &slowAgent{takes: 8 * time.Second})
		began := time.Now().Add(10 * time.Second)
		time.AfterFunc(time.Until(began), d.stop)
		for i := range 4 {
			time.AfterFunc(time.Duration(2*i)*time.Second, d.reuseConnection)
		}
		<-d.stopped
		c.Check(d.err, qt.IsNil)
		c.Check(time.Since(began) < 45*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	})
}

// TestStopCutsRequestInProgress guards against requests that end without an answer, or
// with a wrong outcome, because they outlast the stop of the daemon.
func TestStopCutsRequestInProgress(t *testing.T) {
	tests := []struct {
		name    string
		request sentRequest
		frozen  bool
		status  int
		code    string
	}{
		{"whole answer", plainRequest, false, 503, "entry-stopping"},
		{"stream", streamRequest, false, 200, "entry-stopping"},
		{"call that must not be repeated", orderRequest, false, 502, "outcome-unknown"},
		{"agent that does not answer", plainRequest, true, 503, "entry-stopping"},
		{"call that must not be repeated, agent that does not answer", orderRequest, true, 502, "outcome-unknown"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newStoppingDaemon(time.Minute, &slowAgent{takes: 4 * time.Minute, frozen: tc.frozen})
				conn, err := d.listener.Dial()
				c.Assert(err, qt.IsNil)
				time.AfterFunc(time.Second, d.stop)
				got := tc.request.send(conn)
				_ = conn.Close()
				c.Check(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, tc.status)
				c.Check(got.outcome, qt.Equals, "unknown")
				c.Check(got.body, qt.Contains, `"code":"`+tc.code+`"`)
				<-d.stopped
				c.Check(d.err, qt.IsNotNil)
			})
		})
	}
}

// runningComponent runs a component of a daemon until ctx ends.
type runningComponent struct {
	component
	ctx context.Context
}

func (r runningComponent) run() { _ = r.serve(r.ctx) }

// TestStopCutsClaimOfOtherDaemon guards against calls of other entry daemons that are in
// progress when the daemon exits and end without an answer.
func TestStopCutsClaimOfOtherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newStoppingDaemon(time.Minute, &slowAgent{})
		api := &emulator.MemoryObjects{}
		api.SetDelay(100 * time.Millisecond)
		d.claims = &claimer.Claimer{API: api, VM: "entry-1", Log: d.log}
		ctx, cancel := context.WithCancel(t.Context())
		d.rpc = d.rpcServer()
		context.AfterFunc(ctx, d.rpc.Stop)
		listener := piper.New()
		go runningComponent{component{"rpc", func(context.Context) error { return d.rpc.Serve(listener) }}, ctx}.run()
		go runningComponent{component{"claims", d.claims.Run}, ctx}.run()
		conn, err := grpc.NewClient("passthrough:///entry", grpc.WithContextDialer(listener.DialContext), grpc.WithTransportCredentials(insecure.NewCredentials()))
		c.Assert(err, qt.IsNil)
		defer time.Sleep(time.Second)
		defer conn.Close()
		client := messenger.NewEntryClient(conn)
		session, err := client.Session(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(session.Send(&messenger.AgentReport{Replica: &messenger.Replica{Vm: "vm1", Incarnation: "i"}}), qt.IsNil)
		took := make(chan time.Duration, 1)
		time.AfterFunc(150*time.Millisecond, func() {
			began := time.Now()
			d.stopComponents(cancel)
			took <- time.Since(began)
		})
		reply, err := client.Claim(t.Context(), &messenger.ClaimRequest{
			Key: "k", Attempt: &messenger.AttemptId{RequestId: "r1", Number: 1}, AgentAddress: "a",
		})
		c.Check(err, qt.IsNil)
		c.Check(reply.GetState(), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		c.Check(<-took < rpcStopTimeout, qt.IsTrue, qt.Commentf("an open session prolongs the stop"))
		c.Check(ctx.Err(), qt.IsNotNil)
		d.stop()
	})
}
