package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is an attempt of a caller.
type call struct {
	ID, Method, Path, Body string
	Deadline               time.Duration
	Header                 map[string]string
}

// answer is what the caller got.
type answer struct {
	Status int
	Body   string
	Err    error
}

func (a answer) String() string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return fmt.Sprintf("status %d, %d bytes", a.Status, len(a.Body))
}

// send sends an attempt on a connection of its own. The target is sent as it is.
func (s *site) send(c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+time.Second)
	defer cancel()
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.callerAddress(), io.NopCloser(strings.NewReader(c.Body)))
	if err != nil {
		return answer{Err: err}
	}
	q.URL.Opaque, q.Host, q.ContentLength = c.Path, callerHost, int64(len(c.Body))
	q.Header.Set("X-Attempt-Id", c.ID)
	q.Header.Set("X-Key", callerKey)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	for name, value := range c.Header {
		q.Header.Set(name, value)
	}
	resp, err := transport.RoundTrip(q)
	if err != nil {
		return answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Body: string(body), Err: err}
}
