package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	draftService   = "drafting"
	recordsService = "records"
	// engineSlots and engines are the slots and the number of the model replicas of sscf-lentil.
	engineSlots = 16
	engines     = 14
	// streamsPerSecond is the rate of streams of the callers.
	streamsPerSecond = 100
	troubleTime      = 40 * time.Second
	// headBytes is the size of the head of an answer without end, and fieldTime the time between two lines
	// of its body.
	headBytes   = 62 << 10
	fieldTime   = 100 * time.Millisecond
	keptCallers = 60
	// troubleShare is the share x of srv_grey that "fleetbench kinds" gives.
	troubleShare = 0.4
	// orderWork is within the 110 ms that an order of sscf-lentil takes at most.
	orderWork = 30 * time.Millisecond
	// recordsReplicas and recordsSlots are those of the service records of sscf-lentil.
	recordsReplicas = 3
	recordsSlots    = 6
	samplePause     = 20 * time.Millisecond
	memoryStepMB    = 50
	restartDelay    = time.Second
	// maxLost is the limit of the rule LOST.
	maxLost      = 3
	maxBodyBytes = 4 << 20
)

// junkFields returns many short header fields.
func junkFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var out strings.Builder
	for i := 0; out.Len() < headBytes; i++ {
		fmt.Fprintf(&out, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/36/36%36])
	}
	return out.String()
}

// writeWithoutEnd answers with a head of many fields, and a body that does not end until the caller
// closes the connection.
func writeWithoutEnd(w http.ResponseWriter, q *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := q.Header.Get("X-Attempt-Id")
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n%s\r\nid: 1\ndata: %s/1\n\n", id, id, junkFields(), id); err != nil {
		return
	}
	for {
		time.Sleep(fieldTime)
		if _, err := conn.Write([]byte("data: x\n")); err != nil {
			return
		}
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// keptCaller is a caller that sends one order after the other on a connection that it keeps.
type keptCaller struct {
	site  *site
	name  string
	until time.Time
	// pause is the time between two orders.
	pause time.Duration
	// sent and answered are the orders on the kept connection, without the first one.
	sent, answered []string
}

func (c *keptCaller) run() {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; time.Now().Before(c.until); n++ {
		time.Sleep(c.pause)
		id := fmt.Sprintf("%s-%d", c.name, n)
		// Each order has a body of its own, so that net/http does not send it again.
		q, err := http.NewRequest(http.MethodPost, "http://"+c.site.callerAddress()+"/records/order", io.NopCloser(strings.NewReader("order "+id)))
		if err != nil {
			return
		}
		q.Host, q.ContentLength = callerHost, int64(len("order "+id))
		q.Header.Set("X-Attempt-Id", id)
		q.Header.Set("X-Key", callerKey)
		q.Header.Set("X-Deadline-Ms", "1000")
		kept := false
		q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}))
		resp, err := transport.RoundTrip(q)
		if kept {
			c.sent = append(c.sent, id)
		}
		if err != nil {
			c.site.record.add("%s: POST /records/order, connection kept: %t: %v", id, kept, err)
			time.Sleep(pollInterval)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		c.site.record.add("%s: POST /records/order, connection kept: %t: status %d", id, kept, resp.StatusCode)
		if kept && err == nil {
			c.answered = append(c.answered, id)
		}
	}
}

// streamCallers send streams at a steady rate.
type streamCallers struct {
	site                    *site
	wait                    sync.WaitGroup
	served, refused, failed atomic.Int64
}

func (c *streamCallers) send(n int) {
	a := c.site.send(call{ID: fmt.Sprintf("stream-%d", n), Method: http.MethodPost, Path: "/draft/x", Body: "draft", Deadline: 6 * time.Second, Header: map[string]string{
		"X-Model": modelName, "X-Token-Count": "100,30", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:60", n),
	}})
	c.site.record.add("stream-%d: POST /draft/x: %v", n, a)
	switch {
	case a.Err == nil && a.Status == http.StatusOK:
		c.served.Add(1)
	case a.Status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// run sends streams until a time.
func (c *streamCallers) run(until time.Time) {
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		c.wait.Go(func() { c.send(n) })
	}
}

// platform ends the process of the machine if it exceeds the memory of its settings, and starts it
// again after a short delay.
type platform struct {
	site *site
	most int
	// ends is the number of times that it has ended the process.
	ends int
	err  error
}

func (p *platform) run(until time.Time) {
	for before := 0; time.Now().Before(until) && p.err == nil; time.Sleep(samplePause) {
		mb := residentMB(p.site.entry.PID())
		if mb/memoryStepMB > before/memoryStepMB {
			p.site.record.add("resident memory of the entry daemon: %d MB", mb)
		}
		before = max(before, mb)
		p.most = max(p.most, mb)
		if mb <= memoryMB {
			continue
		}
		p.site.entry.Kill()
		p.ends++
		p.site.record.add("the platform ends the entry daemon, whose memory of %d MB exceeds MemoryMb = %d", mb, memoryMB)
		time.Sleep(restartDelay)
		p.err = p.site.startEntry()
		before = 0
	}
}

// answersWithoutEnd plays model replicas of which each answers a share of its requests with a head of many
// fields and a body without end, beside sound replicas of another service.
func answersWithoutEnd(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	routes := []route{
		{Name: "r-draft", Host: callerHost, PathPrefix: "/draft/", Kind: "streaming", Service: draftService, TimeoutMs: 6000, TargetLatencyMs: 500, GapTargetMs: 400, Priority: 1, MaxAttempts: 2, Sticky: true, Resumable: true},
		{Name: "r-records", Host: callerHost, PathPrefix: "/records/", Kind: "non_idempotent", Service: recordsService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
	}
	services := []service{{Name: draftService, HealthPath: "/healthz", MaxConns: 274, Engine: engine(engineSlots)}, {Name: recordsService, HealthPath: "/healthz", MaxConns: 110}}
	if err := s.configure(1, maxBodyBytes, routes, services); err != nil {
		return err
	}
	var sound []*replica
	for i := range engines + recordsReplicas {
		r := &replica{service: draftService, slots: engineSlots, isEngine: true}
		if i >= engines {
			r = &replica{service: recordsService, slots: recordsSlots, work: orderWork}
			sound = append(sound, r)
		} else if s.trouble {
			r.trouble, r.share = writeWithoutEnd, troubleShare
		}
		if err := s.startReplica(r, i); err != nil {
			return err
		}
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	until := time.Now().Add(troubleTime)
	p, streams := &platform{site: s}, &streamCallers{site: s}
	var callers sync.WaitGroup
	var kept []*keptCaller
	for i := range keptCallers {
		c := &keptCaller{site: s, name: fmt.Sprintf("order-%d", i), until: until}
		kept = append(kept, c)
		callers.Go(c.run)
	}
	callers.Go(func() { p.run(until) })
	streams.run(until)
	callers.Wait()
	streams.wait.Wait()
	s.record.add("streams: %d served, %d refused, %d failed; peak memory %d MB, ended %d times for its memory", streams.served.Load(), streams.refused.Load(), streams.failed.Load(), p.most, p.ends)
	if p.err != nil {
		return p.err
	}
	return judgeLost(s, kept, sound)
}

// judgeLost judges the rule LOST for requests on kept connections.
func judgeLost(s *site, kept []*keptCaller, sound []*replica) error {
	ran := map[string]bool{}
	for _, r := range sound {
		for _, run := range r.ran() {
			ran[run.ID] = true
		}
	}
	sent, lost := 0, 0
	for _, c := range kept {
		for _, id := range c.sent {
			sent++
			if ran[id] && !slices.Contains(c.answered, id) {
				lost++
				s.record.add("%s was passed on to a sound replica, which ran it, and its kept connection was closed without an answer", id)
			}
		}
	}
	s.record.add("orders on kept connections: %d sent, %d run and without an answer", sent, lost)
	if lost > maxLost {
		return &brokenError{What: fmt.Sprintf("%d requests from kept connections without an answer", lost)}
	}
	return nil
}
