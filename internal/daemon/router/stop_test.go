package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// listOtherDaemon makes another entry daemon known as live.
func (d *stoppingDaemon) listOtherDaemon() {
	d.requests.Entries = func(now time.Time) []*messenger.EntryVM {
		return append(d.membership.Entries(now), &messenger.EntryVM{Vm: "entry-2"})
	}
}

func (d *stoppingDaemon) connectOrFail(c *qt.C) net.Conn {
	conn, err := d.listener.Dial()
	c.Assert(err, qt.IsNil)
	return conn
}

// TestStopCutsCallThatRunsOnce guards against a call that a stopping daemon takes although
// it may outlast it, and whose caller cannot send it again after the cut.
func TestStopCutsCallThatRunsOnce(t *testing.T) {
	tests := []struct {
		name    string
		request sentRequest
		alone   bool
		status  int
	}{
		{"must end in time", orderRequest.with(30*time.Second, 0), false, 201},
		{"may outlast the stop", orderRequest, false, 503},
		{"no other daemon", orderRequest, true, 201},
		{"may be repeated", plainRequest, false, 200},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newStoppingDaemon(time.Minute, &slowAgent{takes: 8 * time.Second})
				if !tc.alone {
					d.listOtherDaemon()
				}
				time.AfterFunc(time.Second, d.stop)
				time.Sleep(2 * time.Second)
				conn := d.connectOrFail(c)
				got := tc.request.send(conn)
				_ = conn.Close()
				c.Check(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, tc.status)
				if tc.status == http.StatusServiceUnavailable {
					c.Check(got.outcome, qt.Equals, "not-run")
					c.Check(d.agent.count(), qt.Equals, 0)
				}
				<-d.stopped
				c.Check(d.err, qt.IsNil)
			})
		})
	}
}

// TestStopStartsWaitingCall guards against a call that waits for a server when the stop
// begins, and is started although it may outlast the stop.
func TestStopStartsWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newStoppingDaemon(time.Minute, &slowAgent{takes: 8 * time.Second})
		d.listOtherDaemon()
		d.requests.admitter.Capacity = func(identifier.Target, matcher.Regions, time.Time) int { return 1 }
		running, waiting := d.connectOrFail(c), d.connectOrFail(c)
		go orderRequest.send(running)
		time.AfterFunc(2*time.Second, d.stop)
		time.Sleep(time.Second)
		got := orderRequest.send(waiting)
		c.Check(got.err, qt.IsNil)
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(got.outcome, qt.Equals, "not-run")
		c.Check(d.agent.count(), qt.Equals, 1)
		_, _ = running.Close(), waiting.Close()
		<-d.stopped
	})
}

// TestStopClosesConnectionWithinBody guards against a connection that is closed without an
// answer because the body of its request is not complete when the requests end.
func TestStopClosesConnectionWithinBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newStoppingDaemon(0, &slowAgent{})
		time.AfterFunc(time.Second, d.stop)
		time.Sleep(15 * time.Second)
		conn := d.connectOrFail(c)
		_, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: 1000\r\n\r\n{")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(resp.Header.Get("lentil-outcome"), qt.Equals, "not-run")
		c.Check(string(body), qt.Contains, "entry-stopping")
		_ = conn.Close()
		<-d.stopped
	})
}
