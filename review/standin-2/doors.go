package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBodyBytes is the limit of bodies in the configuration.
	smallBodyBytes = 64 << 10
	crowdClients   = 1300
	crowdTime      = 12 * time.Second
	// ordinaryCallers send a request each every ordinaryPause.
	ordinaryCallers = 8
	ordinaryPause   = 100 * time.Millisecond
	reconnectPause  = 100 * time.Millisecond
	// stableWindow is StableWindowMs.
	stableWindow = 3 * time.Second
	// minTrying is the number of callers of the rule RECOVER.
	minTrying = 7
)

// crowdClient sends the head of a request whose body exceeds the limit, and nothing of the body.
type crowdClient struct {
	site  *site
	until time.Time
	head  string
}

func (c *crowdClient) run() {
	for ; time.Now().Before(c.until); time.Sleep(reconnectPause) {
		conn, err := net.DialTimeout("tcp4", c.site.callerAddress(), time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(c.until)
		if _, err := conn.Write([]byte(c.head)); err == nil {
			_, _ = bufio.NewReader(conn).ReadByte()
		}
		_ = conn.Close()
	}
}

// try is an ordinary request on a new connection.
type try struct {
	caller int
	at     time.Time
	answer answer
}

// ordinaryCaller sends requests on new connections.
type ordinaryCaller struct {
	site   *site
	number int
	until  time.Time
	tries  []try
}

func (c *ordinaryCaller) run() {
	for n := 0; time.Now().Before(c.until); n++ {
		t := try{caller: c.number, at: time.Now()}
		t.answer = c.site.send(call{ID: fmt.Sprintf("caller-%d-%d", c.number, n), Method: http.MethodPost, Path: "/records/order", Body: "order", Deadline: time.Second})
		c.site.record.add("caller-%d-%d: POST /records/order on a new connection: %v", c.number, n, t.answer)
		c.tries = append(c.tries, t)
		time.Sleep(ordinaryPause)
	}
}

// unreadBody plays clients that announce a body over the limit and do not send it.
func unreadBody(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	routes := []route{
		{Name: "r-records", Host: callerHost, PathPrefix: "/records/", Kind: "non_idempotent", Service: recordsService, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
		{Name: "r-uploads", Host: callerHost, PathPrefix: "/uploads/", Kind: "non_idempotent", Service: recordsService, TimeoutMs: 6000, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 1},
	}
	if err := s.configure(1, smallBodyBytes, routes, []service{{Name: recordsService, HealthPath: "/healthz", MaxConns: 110}}); err != nil {
		return err
	}
	for i := range recordsReplicas {
		if err := s.startReplica(&replica{service: recordsService, slots: recordsSlots}, i); err != nil {
			return err
		}
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	until := time.Now().Add(crowdTime)
	var wait sync.WaitGroup
	if s.trouble {
		s.record.add("%d clients announce a body of %d bytes, where %d are allowed, and send none of it", crowdClients, smallBodyBytes+1, smallBodyBytes)
		for i := range crowdClients {
			c := &crowdClient{site: s, until: until, head: fmt.Sprintf("POST /uploads/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d\r\nX-Key: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", callerHost, i, callerKey, smallBodyBytes+1)}
			wait.Go(c.run)
		}
	}
	var callers []*ordinaryCaller
	for i := range ordinaryCallers {
		c := &ordinaryCaller{site: s, number: i, until: until}
		callers = append(callers, c)
		wait.Go(c.run)
	}
	var unready atomic.Int64
	wait.Go(func() {
		for time.Now().Before(until) {
			ready := s.isReady()
			s.record.add("readiness: %t", ready)
			if !ready {
				unready.Add(1)
			}
			time.Sleep(time.Second)
		}
	})
	wait.Wait()
	return judgeDoor(s, callers, unready.Load())
}

// judgeDoor judges the rule RECOVER for new connections: it returns an error if no request on a new one was
// answered for stableWindow, while the daemon said that it was ready and all callers tried.
func judgeDoor(s *site, callers []*ordinaryCaller, unready int64) error {
	answered, failed := 0, 0
	var all []try
	for _, c := range callers {
		all = append(all, c.tries...)
	}
	slices.SortFunc(all, func(a, b try) int { return a.at.Compare(b.at) })
	var gapBegan time.Time
	var longest time.Duration
	tried := map[int]bool{}
	most := 0
	for _, t := range all {
		if t.answer.Err == nil {
			answered++
			gapBegan, tried = time.Time{}, map[int]bool{}
			continue
		}
		failed++
		if gapBegan.IsZero() {
			gapBegan = t.at
		}
		tried[t.caller] = true
		if gap := t.at.Sub(gapBegan); gap > longest {
			longest, most = gap, len(tried)
		}
	}
	s.record.add("ordinary requests on new connections: %d answered, %d without an answer; longest time without an answered one %.1f s, tried by %d callers; readiness denied %d times",
		answered, failed, longest.Seconds(), most, unready)
	if longest > stableWindow && most >= minTrying && unready == 0 {
		return &brokenError{What: fmt.Sprintf("no new connection for %.1f s", longest.Seconds())}
	}
	return nil
}
