package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

func contextWithCancel() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return ctx, cancel
}

func decodeJSON(r io.Reader, out any) error { return json.NewDecoder(r).Decode(out) }

// clients send requests to random entry daemons at a rate.
type clients struct {
	cluster *cluster
	// Name begins the ids of the requests.
	Name string
	// PerSecond is the mean rate.
	PerSecond float64
	// Next returns the request with a number, without its id.
	Next func(n int) simulator.Request
	// Retries is how often a request that failed is sent again at once.
	Retries int
	// Burst and Every replace the rate by that many requests at once, with that pause.
	Burst int
	Every time.Duration

	transport http.Transport
	sent      atomic.Int64
	whole     atomic.Int64
	wg        sync.WaitGroup
}

// run sends requests until ctx ends, and returns when all are answered.
func (c *clients) run(ctx context.Context) {
	for n := 1; ; n++ {
		pause := time.Duration(rand.ExpFloat64() / c.PerSecond * float64(time.Second))
		if c.Burst > 0 {
			pause = 0
			if n%c.Burst == 1 {
				pause = c.Every
			}
		}
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return
		case <-time.After(pause):
		}
		c.wg.Go(func() { c.send(n) })
	}
}

func (c *clients) send(n int) {
	r := c.Next(n)
	r.Host, r.Key, r.Model, r.Deadline = host, apiKey, model, deadline
	for try := 0; try <= c.Retries; try++ {
		r.ID = fmt.Sprintf("%s-%d-%d-%08x", c.Name, n, try, rand.Uint32())
		if c.sendOnce(r) {
			return
		}
	}
}

// sendOnce sends a request and reports whether the client got the whole stream.
func (c *clients) sendOnce(r simulator.Request) bool {
	machine, entry := c.cluster.randomEntry()
	c.sent.Add(1)
	c.cluster.record.sentTo(r.ID, machine)
	c.cluster.record.add("sent", "%s to %s", r.ID, entry)
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	resp, err := simulator.Send(ctx, &c.transport, entry, r)
	if err != nil {
		c.cluster.record.add("answered", "%s no answer: %v", r.ID, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.cluster.record.add("answered", "%s status %d", r.ID, resp.StatusCode)
		return false
	}
	if err := checkStream(r.ID, resp); err != nil {
		c.cluster.record.add("answered", "%s broken: %v", r.ID, err)
		return false
	}
	c.whole.Add(1)
	c.cluster.record.add("answered", "%s whole, from %s version %s", r.ID, resp.Header.Get("X-Replica-Id"), resp.Header.Get("X-Weight-Versions"))
	return true
}

// checkStream reads a stream, which has each event once and in order.
func checkStream(id string, resp *http.Response) error {
	if got := resp.Header.Get("X-Replica-Seal"); got != seal(id) {
		return fmt.Errorf("seal %q", got)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var want []byte
	for n := 1; n <= events; n++ {
		want = append(want, event(id, n)...)
	}
	if !bytes.Equal(body, want) {
		return fmt.Errorf("the stream has %d bytes that differ from the replica's %d", len(body), len(want))
	}
	return nil
}

// Parts of the prompts.
var (
	systemPart = simulator.PromptPart{ID: "a0", Tokens: 40}
	subjects   = []simulator.PromptPart{{ID: "b0", Tokens: 410}, {ID: "b1", Tokens: 380}, {ID: "b2", Tokens: 500}}
)

// soundRequest returns a request like the drafting requests of the deployments.
func soundRequest(n int) simulator.Request {
	return simulator.Request{
		Path: fmt.Sprintf("%s%x", path, n), Body: fmt.Sprintf("request %d", n),
		Prompt: []simulator.PromptPart{systemPart, subjects[n%len(subjects)], {ID: fmt.Sprintf("c%x", n), Tokens: 860}},
	}
}
