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

// callers are concurrent callers that follow the interface as it is described
// to them: they use an answer of /v1/entries as long as it is valid, send to
// another entry VM when a connection is refused, and send again what was
// answered with not-run.
type callers struct {
	System *system
	Number int
	// Tokens is the length of each answer. Every second one is a stream.
	Tokens int

	done    chan struct{}
	running sync.WaitGroup

	mu     sync.Mutex
	served int
	// broken are answers that were neither whole nor refused with not-run.
	broken []string
	// mixed are answers with a text that no version gives.
	mixed []string
	// early are entry VMs that refused a connection while an answer that names
	// them was valid.
	early []string
}

// caller is one of them with its own answer of /v1/entries.
type caller struct {
	*callers
	number    int
	addresses []string
	expires   time.Time
}

func (f *callers) start() {
	f.done = make(chan struct{})
	for k := range f.Number {
		f.running.Add(1)
		go (&caller{callers: f, number: k}).run()
	}
}

// stop waits until each caller has its last answer.
func (f *callers) stop() {
	close(f.done)
	f.running.Wait()
}

func (f *callers) brokenCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.broken)
}

func (f *callers) note(list *[]string, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, what)
}

func (r *caller) run() {
	defer r.running.Done()
	for n := 0; ; n++ {
		select {
		case <-r.done:
			return
		default:
		}
		r.call(fmt.Sprintf("caller %d request %d", r.number, n), n%2 == 0)
	}
}

func (r *caller) call(prompt string, stream bool) {
	body, err := json.Marshal(map[string]any{"model": "draft", "prompt": prompt, "max_tokens": r.Tokens, "stream": stream, "seed": 7})
	if err != nil {
		panic(err) // A map of plain values always encodes.
	}
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		address := r.entry(time.Now())
		a := r.System.postTo(address, "/v1/completions", string(body), nil)
		switch {
		case errors.Is(a.err, syscall.ECONNREFUSED):
			r.refused(address, time.Now())
		case a.err == nil && a.outcome == "not-run":
			time.Sleep(pollEvery)
		default:
			r.check(a, prompt)
			return
		}
	}
	r.note(&r.broken, prompt+": refused until the end")
}

func (r *caller) check(a answer, prompt string) {
	text, complete := textOf(a)
	whole, prefix := false, false
	for version := range r.System.set.ModelVersions {
		expected := r.System.expectedText(version, prompt, r.Tokens, 7)
		whole = whole || text == expected
		prefix = prefix || strings.HasPrefix(expected, text)
	}
	shown := fmt.Sprintf("%s: status %d, outcome %s, error %v, %s", prompt, a.status, a.outcome, a.err, a.body)
	switch {
	case !prefix || a.status == http.StatusOK && complete && !whole:
		r.note(&r.mixed, shown)
	case a.err == nil && a.status == http.StatusOK && complete && a.outcome == "served":
		r.mu.Lock()
		defer r.mu.Unlock()
		r.served++
	default:
		r.note(&r.broken, shown)
	}
}

// entry returns the address of an entry VM, from a new answer of /v1/entries
// when the last has expired or none of its entry VMs is left.
func (r *caller) entry(now time.Time) string {
	if !now.Before(r.expires) || len(r.addresses) == 0 {
		r.refresh(now)
	}
	return r.addresses[rand.IntN(len(r.addresses))]
}

func (r *caller) refresh(now time.Time) {
	known := r.addresses
	for k := range r.System.Entries {
		known = append(known, r.System.entryIP(k)+":8080")
	}
	for _, address := range known {
		addresses, valid := r.System.entries(address)
		if len(addresses) > 0 {
			r.addresses, r.expires = addresses, now.Add(valid)
			return
		}
	}
	r.addresses, r.expires = known[:1], now
}

func (r *caller) refused(address string, now time.Time) {
	if now.Before(r.expires) {
		r.note(&r.early, fmt.Sprintf("%s refused a connection %s before the answer expired", address, r.expires.Sub(now)))
	}
	r.addresses = slices.DeleteFunc(r.addresses, func(a string) bool { return a == address })
	time.Sleep(pollEvery)
}

// entries asks an entry VM for the entry VMs to use and for how long.
func (s *system) entries(address string) ([]string, time.Duration) {
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

// postTo sends a request of the test's team to an entry VM and reads the
// whole answer.
func (s *system) postTo(address, path, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome := resp.Trailer.Get("lentil-outcome")
	if outcome == "" {
		outcome = resp.Header.Get("lentil-outcome")
	}
	return answer{
		status: resp.StatusCode, outcome: outcome, version: resp.Header.Get("lentil-model-version"),
		header: resp.Header, body: string(text), err: err,
	}
}

// streamUntil opens a stream of n tokens, acts once it began with the text, and
// returns its whole body. A stream that began with another text is closed.
func (s *system) streamUntil(entry int, prompt, begin string, n int, act func()) string {
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":%d,"stream":true,"seed":3}`, prompt, n)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
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
	text, _ := textOf(answer{header: resp.Header, body: first})
	if err != nil || !strings.HasPrefix(text, begin) {
		return ""
	}
	act()
	rest, _ := io.ReadAll(lines)
	return first + string(rest)
}

// rolloutPhase is the phase that the status of a rollout names.
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
	l.body = l.System.streamUntil(l.Entry, l.Prompt, "", l.Tokens, func() { close(l.opened) })
}

func (l *longStream) isOpen() bool {
	select {
	case <-l.ended:
		return false
	default:
		return true
	}
}

// isWhole waits for the end and reports whether the answer is one version's
// whole answer.
func (l *longStream) isWhole(version string) bool {
	<-l.ended
	text, complete := textOf(answer{header: http.Header{"Content-Type": {"text/event-stream"}}, body: l.body})
	return complete && text == l.System.expectedText(version, l.Prompt, l.Tokens, 3)
}
