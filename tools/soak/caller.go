package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	callerDeadline = 3 * time.Second
	callerPause    = 60 * time.Millisecond
	resolveTimeout = time.Second
	connectTimeout = time.Second
	host           = "api.example"
)

// team is a team with its key.
type team struct{ name, key string }

var teams = []team{{"red", "key-red"}, {"blue", "key-blue"}}

// caller sends requests one after the other, as the platform's clients do: it
// asks where to connect, keeps the answer and its connection. Fields are set
// before run.
type caller struct {
	Cluster *cluster
	Rand    *rand.Rand
	Name    string
	Team    team
	// Stays is set for a caller that uses its connection until it ends, whatever
	// a new answer says.
	Stays bool

	transport *http.Transport
	entry     int
	resolved  time.Time
	addresses []string
	n         int
}

func (c *caller) run(ctx context.Context) {
	c.transport = &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, DialContext: c.dial, IdleConnTimeout: 4 * time.Second,
	}
	c.entry = -1
	waiter.Every(ctx, callerPause, func(time.Time) {
		if c.locate() {
			c.request()
		}
	})
	c.transport.CloseIdleConnections()
}

// dial connects to an entry VM through its proxy.
func (c *caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, network, c.Cluster.frontProxy(address))
}

// locate chooses an entry VM and keeps it while the answer names it.
func (c *caller) locate() bool {
	if c.entry >= 0 && (c.Stays || time.Since(c.resolved) < 2*time.Second) {
		return true
	}
	if addresses, err := c.resolve(); err == nil {
		c.addresses, c.resolved = addresses, time.Now()
	}
	if len(c.addresses) == 0 {
		return false
	}
	if c.entry >= 0 && strings.Contains(strings.Join(c.addresses, " "), c.Cluster.entryAddress(c.entry)) {
		return true
	}
	c.connect()
	return true
}

func (c *caller) connect() {
	c.transport.CloseIdleConnections()
	c.entry = c.Cluster.entryIndex(c.addresses[c.Rand.IntN(len(c.addresses))])
}

func (c *caller) resolve() ([]string, error) {
	registry := c.Cluster.directoryAddress(c.Rand.IntN(c.Cluster.Entries))
	return simulator.Resolve(&http.Client{Timeout: resolveTimeout}, registry, host, domain(0))
}

func (c *caller) next() *request {
	c.n++
	rt := []route{routeStream, routeStream, routeOrder, routeLook}[c.Rand.IntN(4)]
	return newRequest(fmt.Sprintf("%s-%d", c.Name, c.n), rt, strings.Repeat("b", 1+c.Rand.IntN(600)), c.Team, c.entry)
}

// newRequest returns a request of a team to an entry VM.
func newRequest(id string, rt route, body string, t team, entry int) *request {
	r := &request{
		Request: simulator.Request{ID: id, Host: host, Path: rt.Prefix + id, Body: body, Key: t.key, Deadline: callerDeadline},
		Route:   rt, Team: t.name, Entry: entry, Sent: time.Now(),
	}
	if rt.Kind == matcher.Streaming {
		r.Model = model
	}
	return r
}

// request sends one request and checks its end.
func (c *caller) request() {
	r := c.next()
	l := c.Cluster.Ledger
	l.send(r)
	served, err := c.exchange(r)
	l.ended(served, time.Now())
	var mixed *simulator.ResponseMismatchError
	var order *simulator.EventOrderError
	switch {
	case errors.As(err, &mixed):
		l.violate("MIXED", "%s: %v", r.ID, err)
	case errors.As(err, &order):
		l.violate("ORDER", "%s: %v", r.ID, err)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		l.cut(r)
	}
	if err != nil {
		// The next request is sent on a new connection.
		c.transport.CloseIdleConnections()
		c.entry = -1
		c.resolved = time.Time{}
	}
}

// exchange sends the request and reads its answer. Some callers leave in the
// middle of a stream.
func (c *caller) exchange(r *request) (served bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+machineSlack)
	defer cancel()
	resp, err := simulator.Send(ctx, c.transport, c.Cluster.entryAddress(r.Entry), r.Request)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if strings.HasPrefix(r.Route.Name, extraPrefix) {
		c.Cluster.Ledger.probed(r, resp.StatusCode)
	} else {
		c.Cluster.Ledger.answered(r, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return false, err
	}
	if r.Route.Kind == matcher.Streaming {
		leave := 0
		if c.Rand.IntN(20) == 0 {
			leave = 1 + c.Rand.IntN(simulator.StreamEvents)
		}
		err = simulator.CheckStream(r.ID, leave, resp)
	} else {
		err = simulator.CheckPlain(r.Route.Service, r.ID, resp)
	}
	return err == nil, err
}

// probeInterval is the time between two probes of an entry VM.
const probeInterval = 400 * time.Millisecond

// prober asks an entry VM for routes that were added or removed. Fields are set
// before run.
type prober struct {
	Cluster *cluster
	Entry   int
	Rand    *rand.Rand
}

func (p *prober) run(ctx context.Context) {
	c := &caller{Cluster: p.Cluster, Rand: p.Rand}
	n := 0
	waiter.Every(ctx, probeInterval, func(time.Time) {
		name, ok := p.Cluster.Ledger.pickRoute(p.Rand.IntN)
		if !ok {
			return
		}
		n++
		r := newRequest(fmt.Sprintf("p%d-%d", p.Entry, n), extraRoute(name), "b", teams[0], p.Entry)
		p.Cluster.Ledger.send(r)
		// Each probe has a new connection, so that it does not go to a process
		// that stops. Whether it is answered does not matter.
		c.transport = &http.Transport{DisableKeepAlives: true, DialContext: c.dial}
		_, _ = c.exchange(r)
	})
}
