package test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// loadGenerator runs concurrent callers that follow the documented interface:
// they use an answer of /v1/entries as long as it is valid, send to another
// entry VM when a connection is refused, and send a request again that was
// answered with not-run.
type loadGenerator struct {
	System  *system
	Callers int
	// Tokens is the length of each answer. Every second answer is a stream.
	Tokens int
	// Addresses are the entry VMs to send to, instead of those of /v1/entries.
	Addresses []string

	done    chan struct{}
	running sync.WaitGroup

	mu     sync.Mutex
	served int
	// failed are responses that were neither complete nor refused with not-run.
	failed []string
	// unexpected are responses with a text that no version generates.
	unexpected []string
	// refusedEarly are connections that an entry VM refused while an answer of
	// /v1/entries that named it was valid.
	refusedEarly []string
}

// caller is one of the concurrent callers, with its own answer of /v1/entries.
type caller struct {
	*loadGenerator
	number    int
	addresses []string
	expires   time.Time
}

func (g *loadGenerator) start() {
	g.done = make(chan struct{})
	for k := range g.Callers {
		g.running.Add(1)
		c := &caller{loadGenerator: g, number: k}
		if len(g.Addresses) > 0 {
			c.addresses, c.expires = slices.Clone(g.Addresses), time.Now().Add(time.Hour)
		}
		go c.run()
	}
}

// stop stops the callers and waits until each has its last response.
func (g *loadGenerator) stop() {
	close(g.done)
	g.running.Wait()
}

// failures returns the requests that have failed so far.
func (g *loadGenerator) failures() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.failed)
}

func (g *loadGenerator) appendTo(list *[]string, description string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*list = append(*list, description)
}

func (c *caller) run() {
	defer c.running.Done()
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		default:
		}
		c.send(fmt.Sprintf("caller %d request %d", c.number, n), n%2 == 0)
	}
}

// send sends a completion until it is run and checks the response.
func (c *caller) send(prompt string, stream bool) {
	body, err := json.Marshal(map[string]any{"model": "draft", "prompt": prompt, "max_tokens": c.Tokens, "stream": stream, "seed": 7})
	if err != nil {
		panic(err) // A map of plain values always encodes.
	}
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		address := c.pickEntry(time.Now())
		a := c.System.postTo(address, "/v1/completions", string(body), nil)
		switch {
		case errors.Is(a.err, syscall.ECONNREFUSED):
			c.dropEntry(address, time.Now())
		case a.err == nil && a.outcome == "not-run":
			time.Sleep(pollInterval)
		default:
			c.check(a, prompt)
			return
		}
	}
	c.appendTo(&c.failed, prompt+": still refused after "+waitTimeout.String())
}

// check records whether the response is the complete answer of one version.
func (c *caller) check(a response, prompt string) {
	text, ended := textOf(a)
	complete, prefix := false, false
	for version := range c.System.set.ModelVersions {
		expected := c.System.expectedText(version, prompt, c.Tokens, 7)
		complete = complete || text == expected
		prefix = prefix || strings.HasPrefix(expected, text)
	}
	description := fmt.Sprintf("%s: status %d, outcome %s, error %v, %s", prompt, a.status, a.outcome, a.err, a.body)
	switch {
	case !prefix || a.status == http.StatusOK && ended && !complete:
		c.appendTo(&c.unexpected, description)
	case a.err == nil && a.status == http.StatusOK && ended && a.outcome == "served":
		c.mu.Lock()
		defer c.mu.Unlock()
		c.served++
	default:
		c.appendTo(&c.failed, description)
	}
}

// pickEntry returns the address of an entry VM. It refreshes the addresses when
// they have expired or none is left.
func (c *caller) pickEntry(now time.Time) string {
	if !now.Before(c.expires) || len(c.addresses) == 0 {
		c.refresh(now)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// refresh asks the known entry VMs, and then all of them, for the current entry
// VMs.
func (c *caller) refresh(now time.Time) {
	known := c.addresses
	for k := range c.System.Entries {
		known = append(known, c.System.entryIP(k)+":8080")
	}
	for _, address := range known {
		addresses, valid := c.System.listEntries(address)
		if len(addresses) > 0 {
			c.addresses, c.expires = addresses, now.Add(valid)
			return
		}
	}
	c.addresses, c.expires = known[:1], now
}

// dropEntry removes the address of an entry VM that refused a connection.
func (c *caller) dropEntry(address string, now time.Time) {
	if now.Before(c.expires) {
		c.appendTo(&c.refusedEarly, fmt.Sprintf("%s refused a connection %s before the answer expired", address, c.expires.Sub(now)))
	}
	c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == address })
	time.Sleep(pollInterval)
}

// listEntries asks an entry VM which entry VMs to use and for how long.
func (s *system) listEntries(address string) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		Valid int `json:"valid-for-seconds"`
	}
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil, 0
	}
	var addresses []string
	for _, e := range list.Entries {
		addresses = append(addresses, e.Address)
	}
	return addresses, time.Duration(list.Valid) * time.Second
}

// postTo sends a POST request with the key of the test's team to an address and
// reads the complete response.
func (s *system) postTo(address, path, body string, header map[string]string) response {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome := resp.Trailer.Get("lentil-outcome")
	if outcome == "" {
		outcome = resp.Header.Get("lentil-outcome")
	}
	return response{
		status: resp.StatusCode, outcome: outcome, version: resp.Header.Get("lentil-model-version"),
		header: resp.Header, body: string(text), err: err,
	}
}

// streamAndAct opens a stream of n tokens, calls act once the stream has begun
// with the given text, and returns the complete body. If the stream begins with
// another text, it closes the stream and returns an empty body.
func (s *system) streamAndAct(entry int, prompt, prefix string, n int, act func()) string {
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":%d,"stream":true,"seed":3}`, prompt, n)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entryIP(entry)+":8080/v1/completions", strings.NewReader(body))
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	text, _ := textOf(response{header: resp.Header, body: first})
	if err != nil || !strings.HasPrefix(text, prefix) {
		return ""
	}
	act()
	rest, _ := io.ReadAll(lines)
	return first + string(rest)
}

// rolloutPhase returns the phase in the status of a rollout, or an empty
// string.
func (s *system) rolloutPhase(name string) string {
	object, err := s.api.Get(context.Background(), parser.RolloutPrefix+name)
	if err != nil {
		return ""
	}
	status, err := parser.DecodeStatus[parser.RolloutStatus](object.Value)
	if err != nil {
		return ""
	}
	return status.Phase
}

// longStream is a stream that is open while a test acts.
type longStream struct {
	System *system
	Entry  int
	Prompt string
	Tokens int

	opened, ended chan struct{}
	body          string
}

// open returns once the first token has arrived.
func (l *longStream) open() *longStream {
	l.opened, l.ended = make(chan struct{}), make(chan struct{})
	go l.run()
	select {
	case <-l.opened:
	case <-l.ended:
	}
	return l
}

func (l *longStream) run() {
	defer close(l.ended)
	l.body = l.System.streamAndAct(l.Entry, l.Prompt, "", l.Tokens, func() { close(l.opened) })
}

func (l *longStream) isOpen() bool {
	select {
	case <-l.ended:
		return false
	default:
		return true
	}
}

// isComplete waits for the end of the stream and reports whether it was the
// complete answer of one version.
func (l *longStream) isComplete(version string) bool {
	<-l.ended
	text, complete := textOf(response{header: http.Header{"Content-Type": {"text/event-stream"}}, body: l.body})
	return complete && text == l.System.expectedText(version, l.Prompt, l.Tokens, 3)
}
