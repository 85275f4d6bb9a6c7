package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	callerDeadline = 3 * time.Second
	callerPause    = 60 * time.Millisecond
	resolveTimeout = time.Second
	connectTimeout = time.Second
	host           = "api.example"
)

// caller sends requests one after the other, as the platform's clients do: it
// asks where to connect, keeps the answer and its connection. Fields are set
// before run.
type caller struct {
	Cluster *cluster
	Rand    *rand.Rand
	Name    string
	Key     string
	Team    string
	// Stays is set for a caller that uses its connection until it ends, whatever
	// a new answer says.
	Stays bool

	transport *http.Transport
	entry     int
	resolved  time.Time
	addresses []string
	n         int
}

func (c *caller) run() {
	c.transport = &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, DialContext: c.dial, IdleConnTimeout: 4 * time.Second,
	}
	c.entry = -1
	for range ticks(c.Cluster.done, callerPause) {
		if !c.locate() {
			continue
		}
		c.request()
	}
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
	client := http.Client{Timeout: resolveTimeout}
	resp, err := client.Get("http://" + c.Cluster.directoryAddress(c.Rand.IntN(c.Cluster.Entries)) + "/-/resolve?Name=" + host + "&Region=r&Zone=z0")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct{ Addresses []string }
	return answer.Addresses, errors.Join(json.NewDecoder(resp.Body).Decode(&answer), func() error {
		if len(answer.Addresses) == 0 {
			return io.ErrUnexpectedEOF
		}
		return nil
	}())
}

func (c *caller) next() *request {
	c.n++
	id := fmt.Sprintf("%s-%d", c.Name, c.n)
	rt := []route{routeStream, routeStream, routeOrder, routeLook}[c.Rand.IntN(4)]
	return &request{
		ID: id, Route: rt, Path: rt.Prefix + id, Body: strings.Repeat("b", 1+c.Rand.IntN(600)),
		Key: c.Key, Team: c.Team, Entry: c.entry, Sent: time.Now(),
	}
}

// request sends one request and checks its end.
func (c *caller) request() {
	r := c.next()
	l := c.Cluster.Ledger
	l.send(r)
	served, err := c.exchange(r)
	l.ended(served, time.Now())
	var broken *mixedError
	switch {
	case errors.As(err, &broken):
		l.violate(broken.Rule, "%s: %s", r.ID, broken.Text)
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

// mixedError reports an answer that is not the replica's.
type mixedError struct{ Rule, Text string }

func (e *mixedError) Error() string { return e.Rule + ": " + e.Text }

func (c *caller) exchange(r *request) (served bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+machineSlack)
	defer cancel()
	// The type of the body keeps the client from sending the request twice.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Cluster.entryAddress(r.Entry)+r.Path, io.NopCloser(strings.NewReader(r.Body)))
	if err != nil {
		return false, err
	}
	q.Host, q.ContentLength = host, int64(len(r.Body))
	q.Header.Set("X-Attempt-Id", r.ID)
	q.Header.Set("X-Key", r.Key)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if r.Route.Kind == "streaming" {
		q.Header.Set("X-Model", model)
		q.Header.Set("X-Token-Count", "800,60")
	}
	resp, err := c.transport.RoundTrip(q)
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
	if r.Route.Kind == "streaming" {
		return c.checkStream(r, resp)
	}
	return checkPlain(r, resp)
}

func checkPlain(r *request, resp *http.Response) (bool, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	if want := plainBody(r.Route.Service, r.ID); !bytes.Equal(body, want) || resp.Header.Get("X-Replica-Seal") != seal(want) {
		return false, &mixedError{"MIXED", fmt.Sprintf("answer %q with seal %q", body, resp.Header.Get("X-Replica-Seal"))}
	}
	return true, nil
}

// checkStream checks that each event comes once and in order. Some callers
// leave in the middle.
func (c *caller) checkStream(r *request, resp *http.Response) (bool, error) {
	if resp.Header.Get("X-Replica-Seal") != seal([]byte(r.ID)) {
		return false, &mixedError{"MIXED", "stream with the seal " + resp.Header.Get("X-Replica-Seal")}
	}
	leave := 0
	if c.Rand.IntN(20) == 0 {
		leave = 1 + c.Rand.IntN(streamEvents)
	}
	in := bufio.NewReader(resp.Body)
	for n := 1; ; n++ {
		event, err := readEvent(in)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0 && n == streamEvents+1:
			return true, nil
		case errors.Is(err, io.EOF):
			return false, &mixedError{"ORDER", fmt.Sprintf("stream ends as complete before event %d", n)}
		case err != nil:
			return false, err
		case !bytes.Equal(event, streamEvent(r.ID, n)):
			return false, &mixedError{"ORDER", fmt.Sprintf("event %d is %q", n, event)}
		case n == leave:
			return true, nil
		}
	}
}

func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			return event, err
		}
		if len(line) == 1 {
			return event, nil
		}
	}
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

func (p *prober) run() {
	c := &caller{Cluster: p.Cluster, Rand: p.Rand, entry: p.Entry}
	n := 0
	for range ticks(p.Cluster.done, probeInterval) {
		name, ok := p.Cluster.Ledger.pickRoute(p.Rand.IntN)
		if !ok {
			continue
		}
		n++
		id := fmt.Sprintf("p%d-%d", p.Entry, n)
		r := &request{
			ID: id, Route: route{Name: name, Prefix: "/" + name + "/", Kind: "idempotent", Service: routeLook.Service, Attempts: 2},
			Path: "/" + name + "/" + id, Body: "b", Key: "key-red", Team: "red", Entry: p.Entry, Sent: time.Now(),
		}
		p.Cluster.Ledger.send(r)
		// Each probe has a new connection, so that it does not go to a process
		// that stops.
		c.transport = &http.Transport{DisableKeepAlives: true, DialContext: c.dial}
		if _, err := c.exchange(r); err != nil {
			continue
		}
	}
}
