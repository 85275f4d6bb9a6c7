package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	historyReplicas = 3
	// errorShare is the share of lookups that a sound replica answers with 500, as in sscf-lentil.
	errorShare = 0.14
	// faultyReplicas and extraShare are within the share and x of garble, which are 0.5 and 0.02.
	faultyReplicas = 1
	extraShare     = 0.02
	lookupsPerS    = 100
	lookupSeed     = 2
	lookupTime     = 60 * time.Second
)

// historyReplica is a replica of lookups. After a complete answer it sometimes sends the first bytes of a second
// copy of it, late: where the next answer on the connection is expected.
type historyReplica struct {
	site     *site
	id       string
	address  string
	isFaulty bool

	mu     sync.Mutex
	random *rand.Rand
	// answered counts the answers, and extras the broken-off second copies.
	answered, extras int
	// failed holds the requests that the replica has answered with 500.
	failed map[string]bool
}

func (r *historyReplica) register(born int64, seq int) error {
	return r.site.put("servers", r.id, map[string]any{
		"Service": recordsService, "Address": r.address, "Zone": zone, "Version": "v1", "Slots": recordsSlots, "State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": born,
	})
}

func (r *historyReplica) loop(born int64) {
	for seq := 2; ; seq++ {
		time.Sleep(heartbeatInterval)
		if r.register(born, seq) != nil {
			return
		}
	}
}

func (r *historyReplica) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// isExtraDue reports whether a second copy of the present answer follows.
func (r *historyReplica) isExtraDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isFaulty || r.random.Float64() >= extraShare {
		return false
	}
	r.extras++
	return true
}

// serve answers the requests of a connection.
func (r *historyReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	extra := ""
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		time.Sleep(plainTime)
		id := q.Header.Get("X-Attempt-Id")
		if q.Header.Get("X-Expect-Replica") != r.id {
			id = ""
		}
		r.mu.Lock()
		r.answered++
		status, body := "200 OK", "history for "+id+"\n"
		if r.random.Float64() < errorShare {
			status, body = "500 Internal Server Error", "no history for "+id+"\n"
			r.failed[id] = true
		}
		head := "HTTP/1.1 " + status + "\r\n"
		r.mu.Unlock()
		if extra != "" {
			r.site.record.add("%s sends the first bytes of a second copy of its last answer, %q, and then answers %s with %s", r.id, extra, id, status)
		}
		answer := fmt.Sprintf("%s%sX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nX-Replica-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", extra, head, id, r.id, id, len(body), body)
		if id == "" {
			answer = fmt.Sprintf("%sHTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", extra, r.id)
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		extra = ""
		if r.isExtraDue() {
			// The copy is broken off before the end of its first line.
			extra = head[:len(head)-2]
		}
	}
}

// secondCopies plays a replica that sends the first bytes of a second copy of some of its answers.
func secondCopies(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	routes := []route{{Name: "r-history", Host: callerHost, PathPrefix: "/history/", Kind: "idempotent", Service: recordsService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 2}}
	if err := s.configure(1, maxBodyBytes, routes, []service{{Name: recordsService, HealthPath: "/healthz", MaxConns: 110}}); err != nil {
		return err
	}
	var replicas []*historyReplica
	for i := range historyReplicas {
		r := &historyReplica{site: s, id: fmt.Sprintf("i-history-%d", i), address: fmt.Sprintf("%s.%d:8740", s.network, firstReplica+i), isFaulty: s.trouble && i < faultyReplicas, failed: map[string]bool{}, random: rand.New(rand.NewPCG(lookupSeed, uint64(i)))}
		l, err := net.Listen("tcp4", r.address)
		if err != nil {
			return err
		}
		s.closers = append(s.closers, func() { _ = l.Close() })
		go r.run(l)
		born := time.Now().UnixMilli()
		if err := r.register(born, 1); err != nil {
			return err
		}
		go r.loop(born)
		replicas = append(replicas, r)
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	answers := &lookups{site: s, answers: map[string]answer{}}
	answers.run(time.Now().Add(lookupTime))
	return answers.judge(replicas)
}

// lookups are the requests of the callers.
type lookups struct {
	site *site
	wait sync.WaitGroup

	mu      sync.Mutex
	answers map[string]answer
}

func (c *lookups) run(until time.Time) {
	ticker := time.NewTicker(time.Second / lookupsPerS)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		c.wait.Go(func() {
			id := fmt.Sprintf("lookup-%d", n)
			a := c.site.send(call{ID: id, Method: http.MethodGet, Path: "/history/door-7", Deadline: time.Second})
			c.site.record.add("%s: GET /history/door-7: %v", id, a)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers[id] = a
		})
	}
	c.wait.Wait()
}

// judge judges the rule MIXED: a success where the replica had answered with a failure, or the other way round.
func (c *lookups) judge(replicas []*historyReplica) error {
	counts := map[int]int{}
	mixed := 0
	for id, a := range c.answers {
		counts[a.Status]++
		isSuccess := a.Body == "history for "+id+"\n"
		if a.Err != nil || a.Body == "" || isSuccess == (a.Status == http.StatusOK) {
			continue
		}
		mixed++
		c.site.record.add("%s got status %d with the body %q", id, a.Status, a.Body)
	}
	for _, r := range replicas {
		r.mu.Lock()
		c.site.record.add("%s: %d answers, %d of them 500, %d second copies broken off", r.id, r.answered, len(r.failed), r.extras)
		r.mu.Unlock()
	}
	c.site.record.add("answers by status: %v", counts)
	if mixed > 0 {
		return &brokenError{What: fmt.Sprintf("%d callers got another status than the replica gave", mixed)}
	}
	return nil
}
