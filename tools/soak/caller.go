package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	requestInterval = 60 * time.Millisecond
	resolveTimeout  = time.Second
	// resolveInterval is how long a caller uses an answer of the directory.
	resolveInterval = 2 * time.Second
	connectTimeout  = time.Second
	host            = "api.example"
)

// team is a team's name and API key.
type team struct{ name, key string }

// requestDeadlines are the deadlines that callers choose from. The longest is as long as
// the timeout of the routes, and nearly as long as a daemon may take to stop.
var requestDeadlines = []time.Duration{3 * time.Second, routeTimeout, routeTimeout, routeTimeout}

// Parts of prompts. All prompts begin with one of firstParts, and end with a part of
// their own; the others are shared.
var (
	firstParts  = []simulator.PromptPart{{ID: "a0", Tokens: 40}, {ID: "a1", Tokens: 60}}
	middleParts = []simulator.PromptPart{{ID: "b0", Tokens: 300}, {ID: "b1", Tokens: 200}, {ID: "b2", Tokens: 250}}
	crashPart   = simulator.PromptPart{ID: "dd", Tokens: 220}
)

const (
	// maxPause is the longest time for which pausing callers are silent. It exceeds the
	// time for which a stopping daemon accepts connections, so that requests arrive at
	// any time of a stop, on connections that were kept or on which nothing was sent.
	maxPause = 5 * time.Second
	// pausingCallerFactor is the number of pausing callers for each other caller. They
	// send few requests.
	pausingCallerFactor = 2

	ownTokens = 160
	// crashRequestShare is the share of requests with crashPart, as its reciprocal.
	crashRequestShare = 16
)

var teams = []team{{"red", "key-red"}, {"blue", "key-blue"}}

// caller sends requests one at a time, as the platform's clients do: it asks a
// directory for entry VMs, connects to one of them and reuses the connection.
// Fields are set before run.
type caller struct {
	Cluster *cluster
	Rand    *rand.Rand
	Name    string
	Team    team
	// KeepsConnection makes the caller use its connection until it breaks, even if
	// the directory no longer lists the entry VM.
	KeepsConnection bool
	// MaxPause is the longest time for which the connection is idle before each
	// request, also before the first.
	MaxPause time.Duration

	transport *http.Transport
	// opened holds a connection on which nothing was sent yet, if there is one.
	opened chan net.Conn
	// connected is set if a connection was opened for a pause.
	connected bool
	// entry is the index of the entry VM, -1 if none is chosen.
	entry        int
	resolvedAt   time.Time
	addresses    []string
	sentRequests int
}

func (c *caller) run(ctx context.Context) {
	c.transport = &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, DialContext: c.dial, IdleConnTimeout: 4*time.Second + c.MaxPause,
	}
	c.opened = make(chan net.Conn, 1)
	c.entry = -1
	waiter.Every(ctx, requestInterval, func(time.Time) {
		if c.ensureEntry() && c.pause(ctx) {
			c.sendRequest()
		}
	})
	c.closeConnections()
}

// pause waits before a request, with an open connection. It returns false if there is
// no connection or ctx ends.
func (c *caller) pause(ctx context.Context) bool {
	if c.MaxPause == 0 {
		return true
	}
	if !c.connected {
		conn, err := c.dial(ctx, "tcp", c.Cluster.entryAddress(c.entry))
		if err != nil {
			c.forgetEntry()
			return false
		}
		c.opened <- conn
		c.connected = true
	}
	return waiter.Wait(ctx, randomDuration(c.Rand, c.MaxPause))
}

func (c *caller) closeConnections() {
	c.transport.CloseIdleConnections()
	c.connected = false
	select {
	case conn := <-c.opened:
		_ = conn.Close()
	default:
	}
}

// dial connects to an entry VM through the proxy in front of it.
func (c *caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case conn := <-c.opened:
		return conn, nil
	default:
	}
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, network, c.Cluster.entryProxyAddress(address))
}

// ensureEntry keeps the current entry VM while the directory lists it, and
// chooses another one otherwise. It reports whether there is an entry VM.
func (c *caller) ensureEntry() bool {
	if c.entry >= 0 && (c.KeepsConnection || time.Since(c.resolvedAt) < resolveInterval) {
		return true
	}
	if addresses, err := c.resolve(); err == nil {
		c.addresses, c.resolvedAt = addresses, time.Now()
	}
	if len(c.addresses) == 0 {
		return false
	}
	if c.entry >= 0 && strings.Contains(strings.Join(c.addresses, " "), c.Cluster.entryAddress(c.entry)) {
		return true
	}
	c.chooseEntry()
	return true
}

// chooseEntry picks one of the listed entry VMs at random.
func (c *caller) chooseEntry() {
	c.closeConnections()
	c.entry = c.Cluster.entryIndex(c.addresses[c.Rand.IntN(len(c.addresses))])
}

// resolve asks a random directory for the addresses of entry VMs.
func (c *caller) resolve() ([]string, error) {
	directory := c.Cluster.directoryAddress(c.Rand.IntN(c.Cluster.Entries))
	return simulator.Resolve(&http.Client{Timeout: resolveTimeout}, directory, host, failureDomain(0))
}

func (c *caller) nextRequest() *request {
	c.sentRequests++
	rt := []route{routeStream, routeStream, routeOrder, routeLookup}[c.Rand.IntN(4)]
	r := newRequest(fmt.Sprintf("%s-%d", c.Name, c.sentRequests), rt, strings.Repeat("b", 1+c.Rand.IntN(600)), c.Team, c.entry)
	r.Deadline = requestDeadlines[c.Rand.IntN(len(requestDeadlines))]
	prompt := []simulator.PromptPart{firstParts[c.Rand.IntN(len(firstParts))]}
	for _, part := range middleParts {
		if c.Rand.IntN(2) == 0 {
			prompt = append(prompt, part)
		}
	}
	crashes, position := c.Rand.IntN(crashRequestShare) == 0, c.Rand.IntN(len(prompt)+1)
	if rt.Kind != matcher.Streaming {
		return r
	}
	if crashes && c.Team == teams[0] && c.Cluster.partCrashes.Load() {
		prompt, r.Crashes = slices.Insert(prompt, position, crashPart), true
	}
	prompt = append(prompt, simulator.PromptPart{ID: fmt.Sprintf("%x", r.ID), Tokens: ownTokens})
	r.Prompt = prompt
	return r
}

// newRequest returns a request from a team to an entry VM.
func newRequest(id string, rt route, body string, t team, entry int) *request {
	r := &request{
		Request: simulator.Request{ID: id, Host: host, Path: rt.Prefix + id, Body: body, Key: t.key, Deadline: requestDeadlines[0]},
		Route:   rt, Team: t.name, Entry: entry, Sent: time.Now(),
	}
	if rt.Kind == matcher.Streaming {
		r.Model = model
	}
	return r
}

// sendRequest sends one request and records how it ended.
func (c *caller) sendRequest() {
	r := c.nextRequest()
	ck := c.Cluster.Checker
	ck.recordSent(r)
	served, err := c.roundTrip(r)
	if !r.Crashes {
		ck.recordResult(served, time.Now())
	}
	var mixed *simulator.ResponseMismatchError
	var order *simulator.EventOrderError
	switch {
	case errors.As(err, &mixed):
		ck.addViolation("MIXED", "%s: %v", r.ID, err)
	case errors.As(err, &order):
		ck.addViolation("ORDER", "%s: %v", r.ID, err)
	case err != nil && !errors.Is(err, context.DeadlineExceeded):
		ck.checkLostConnection(r, time.Now())
	}
	if err != nil {
		c.forgetEntry()
	}
}

// forgetEntry makes the caller send the next request on a new connection.
func (c *caller) forgetEntry() {
	c.closeConnections()
	c.entry = -1
	c.resolvedAt = time.Time{}
}

// roundTrip sends the request and checks its response. One stream in 20 is
// abandoned after a random number of events.
func (c *caller) roundTrip(r *request) (served bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+schedulingSlack)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			c.Cluster.Checker.recordWritten(r, time.Now())
		}
	}})
	resp, err := simulator.Send(ctx, c.transport, c.Cluster.entryAddress(r.Entry), r.Request)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	c.Cluster.Checker.recordHead(r, simulator.RespondingReplica(resp), time.Now())
	if strings.HasPrefix(r.Route.Name, extraRoutePrefix) {
		c.Cluster.Checker.checkProbe(r, resp.StatusCode)
	} else {
		c.Cluster.Checker.checkStatus(r, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return false, err
	}
	if r.Route.Kind == matcher.Streaming {
		eventsToRead := 0
		if c.Rand.IntN(20) == 0 {
			eventsToRead = 1 + c.Rand.IntN(simulator.StreamEvents)
		}
		err = simulator.CheckStream(r.ID, eventsToRead, resp)
	} else {
		err = simulator.CheckPlain(r.Route.Service, r.ID, resp)
	}
	return err == nil, err
}

// probeInterval is the time between two probes of an entry VM.
const probeInterval = 400 * time.Millisecond

// prober requests extra routes from one entry VM to check that it applies
// configuration changes in time. Fields are set before run.
type prober struct {
	Cluster *cluster
	Entry   int
	Rand    *rand.Rand
}

func (p *prober) run(ctx context.Context) {
	c := &caller{Cluster: p.Cluster, Rand: p.Rand}
	n := 0
	waiter.Every(ctx, probeInterval, func(time.Time) {
		name, ok := p.Cluster.Checker.randomExtraRoute(p.Rand.IntN)
		if !ok {
			return
		}
		n++
		r := newRequest(fmt.Sprintf("p%d-%d", p.Entry, n), extraRoute(name), "b", teams[0], p.Entry)
		p.Cluster.Checker.recordSent(r)
		// Each probe opens a new connection, so that it does not reach a process
		// that is stopping. roundTrip checks the status of the response; errors of
		// the connection do not matter here.
		c.transport = &http.Transport{DisableKeepAlives: true, DialContext: c.dial}
		_, _ = c.roundTrip(r)
	})
}
