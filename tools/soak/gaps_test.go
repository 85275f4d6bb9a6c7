package main

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGapExcuses guards against a checker that excuses a stream that is cut in a silence, and
// against one that reports a stream that the platform's callers have left.
func TestGapExcuses(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		// events are the times of the events, and cut that of the cut.
		events []time.Duration
		cut    time.Duration
		want   int
	}{
		{"in a silence", []time.Duration{0}, maxSilence - tick, 1},
		{"after a silence", []time.Duration{0, maxSilence - tick}, maxSilence, 1},
		{"before the first event", nil, callerPatience, 1},
		{"after as long as callers wait", []time.Duration{0}, callerPatience, 0},
		{"after an earlier gap as long as callers wait", []time.Duration{0, callerPatience}, callerPatience + tick, 0},
		{"after gaps that are longer only together", []time.Duration{0, callerPatience / 2}, callerPatience, 1},
	}
	for _, tc := range tests {
		c := newChecker(start)
		r := newRequest("c0-1", routeStream, "b", teams[0], 0)
		r.Deadline = routeTimeout
		c.recordSent(r)
		arrive(c, r, start)
		for _, d := range tc.events {
			c.Sent(firstReplica, r.ID, start.Add(d))
		}
		c.checkLostConnection(r, start.Add(tc.cut))
		qt.Check(t, c.violations, qt.HasLen, tc.want, qt.Commentf("%s: %v", tc.name, c.violations))
	}
}

// TestFirstReplicaEnds guards against a checker that reports a stream that the first of two
// replicas broke off, and against one that excuses a cut while the second one has taken over.
func TestFirstReplicaEnds(t *testing.T) {
	start := time.Now()
	at := func(n int) time.Time { return start.Add(time.Duration(n) * tick) }
	tests := []struct {
		name string
		// sender sends an event after the request has reached the second replica.
		sender string
		want   int
	}{
		{"the first replica goes on and ends", firstReplica, 0},
		{"the second replica has taken over", secondReplica, 1},
		{"none has gone on", "", 1},
	}
	for _, tc := range tests {
		c := newChecker(start)
		r := newRequest("c0-1", routeStream, "b", teams[0], 0)
		c.recordSent(r)
		arrive(c, r, start)
		c.Sent(firstReplica, r.ID, at(1))
		c.Arrived(secondReplica, r.ID, at(2))
		if tc.sender != "" {
			c.Sent(tc.sender, r.ID, at(3))
		}
		c.Ended(firstReplica, at(4))
		c.checkLostConnection(r, at(5))
		qt.Check(t, c.violations, qt.HasLen, tc.want, qt.Commentf("%s: %v", tc.name, c.violations))
	}
}

// TestStallIsHidden guards against a soak that does not say that it was stopped itself.
func TestStallIsHidden(t *testing.T) {
	start := time.Now()
	c := newChecker(start)
	w := &stallWatch{Checker: c}
	now := start
	for _, d := range []time.Duration{time.Hour, stallInterval, stallInterval + minStall - tick, stallInterval + minStall, stallInterval} {
		now = now.Add(d)
		w.check(now)
	}
	qt.Assert(t, c.stalls, qt.DeepEquals, []string{"3600.9s for 300ms"})
}

// TestProxyEndsConnectionOfSlowDial guards against a proxy that ends a connection because its
// own connection is not established in time.
func TestProxyEndsConnectionOfSlowDial(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = target.Close() }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	dials := 0
	p := &proxy{Listener: l, Target: target.Addr().String(), Dial: func(network, address string, timeout time.Duration) (net.Conn, error) {
		if dials++; dials < 3 {
			return nil, os.ErrDeadlineExceeded
		}
		return net.DialTimeout(network, address, timeout)
	}}
	defer p.close()
	go p.run()
	client, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = client.Close() }()
	server, err := target.Accept()
	qt.Assert(t, err, qt.IsNil)
	_, err = server.Write([]byte("a"))
	qt.Assert(t, err, qt.IsNil)
	_ = server.Close()
	got, err := io.ReadAll(client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "a")
}
