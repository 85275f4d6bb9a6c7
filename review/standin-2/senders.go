package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// slowClients is a little more than the connections that the daemon allows with MaxFds = 4,100.
	slowClients = 1300
	slowTime    = 30 * time.Second
	// slowPiece is what a slow client sends of its body in each slowPause.
	slowPiece = 2 << 10
	slowPause = 300 * time.Millisecond
	// orderCallers send an order each, and the next one orderPause after the answer.
	orderCallers = 40
	orderPause   = 10 * time.Millisecond
	// orderReplicas are enough for the orders of all callers at once.
	orderReplicas = 10
)

// slowClient sends a body of legal size slowly, again and again.
type slowClient struct {
	site  *site
	name  string
	until time.Time
}

func (c *slowClient) run() {
	for ; time.Now().Before(c.until); time.Sleep(reconnectPause) {
		if conn, err := net.DialTimeout("tcp4", c.site.callerAddress(), time.Second); err == nil {
			c.send(conn)
		}
	}
}

func (c *slowClient) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(c.until)
	_, err := fmt.Fprintf(conn, "POST /uploads/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", callerHost, c.name, callerKey, maxBodyBytes)
	piece := make([]byte, slowPiece)
	for ; err == nil && time.Now().Before(c.until); time.Sleep(slowPause) {
		_, err = conn.Write(piece)
	}
}

// watchReadiness records each second whether the daemon says that it is ready.
func (s *site) watchReadiness(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(time.Second) {
		s.record.add("readiness: %t", s.isReady())
	}
}

// slowSenders plays a crowd that sends bodies slowly, beside callers that keep their connections.
func slowSenders(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	routes := []route{
		{Name: "r-records", Host: callerHost, PathPrefix: "/records/", Kind: "non_idempotent", Service: recordsService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
		{Name: "r-uploads", Host: callerHost, PathPrefix: "/uploads/", Kind: "non_idempotent", Service: recordsService, TimeoutMs: 6000, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 1},
	}
	if err := s.configure(1, maxBodyBytes, routes, []service{{Name: recordsService, HealthPath: "/healthz", MaxConns: 110}}); err != nil {
		return err
	}
	var sound []*replica
	for i := range orderReplicas {
		r := &replica{service: recordsService, slots: recordsSlots}
		sound = append(sound, r)
		if err := s.startReplica(r, i); err != nil {
			return err
		}
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	until := time.Now().Add(slowTime)
	var wait sync.WaitGroup
	var kept []*keptCaller
	for i := range orderCallers {
		c := &keptCaller{site: s, name: fmt.Sprintf("order-%d", i), until: until, pause: orderPause}
		kept = append(kept, c)
		wait.Go(c.run)
	}
	if s.trouble {
		s.record.add("%d clients send bodies of %d bytes, %d bytes every %s", slowClients, maxBodyBytes, slowPiece, slowPause)
		for i := range slowClients {
			wait.Go((&slowClient{site: s, name: fmt.Sprintf("slow-%d", i), until: until}).run)
		}
	}
	wait.Go(func() { s.watchReadiness(until) })
	wait.Wait()
	return judgeLost(s, kept, sound)
}
