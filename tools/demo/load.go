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
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

const (
	defaultTokens = 24
	outcomeHeader = "lentil-outcome"
	versionHeader = "lentil-model-version"
)

// load sends requests at a fixed rate, whether or not earlier ones have been
// answered, and checks every answer to the last token.
type load struct {
	system  *system
	route   string
	service string
	// callers and recorders are teams, each as often as its weight.
	callers   []string
	recorders []string
	rate      float64
	// tokens is the length of each answer.
	tokens   int
	versions map[string]string // version name to digest

	mu         sync.Mutex
	outcomes   outcomes
	firstToken *hdrhistogram.Histogram
	pending    sync.WaitGroup
	next       int
}

// outcomes counts what callers were told and what they found.
type outcomes struct {
	sent, served, notRun, unknown int
	wrong                         int
	byVersion                     map[string]int
	recordsSent, recordsServed    int
	examples                      []string
}

func (l *load) start(ctx context.Context) {
	l.outcomes.byVersion = map[string]int{}
	l.firstToken = hdrhistogram.New(1, 60_000_000, 3)
	l.pending.Add(1)
	go l.run(ctx)
}

func (l *load) run(ctx context.Context) {
	defer l.pending.Done()
	interval := time.Duration(float64(time.Second) / l.rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.next++
		c := &call{load: l, number: l.next, entry: l.system.entries[l.next%len(l.system.entries)]}
		l.pending.Add(1)
		go c.run()
	}
}

// result waits for the requests in progress and returns the counts.
func (l *load) result() outcomes {
	l.pending.Wait()
	return l.outcomes
}

// call is one request of the load.
type call struct {
	load   *load
	number int
	entry  vm
}

func (c *call) run() {
	defer c.load.pending.Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var err error
	var outcome, version string
	if c.load.service != "" && c.number%10 == 0 {
		outcome, err = c.record(ctx)
	} else {
		outcome, version, err = c.complete(ctx)
	}
	c.load.note(c.number, outcome, version, err)
}

// complete asks for a completion, every second one as a stream.
func (c *call) complete(ctx context.Context) (outcome, version string, err error) {
	random := rand.New(rand.NewPCG(c.load.system.opts.Seed, uint64(c.number)))
	prompt := fmt.Sprintf("mould %d: draft the specification %d", random.IntN(20), c.number)
	stream := c.number%2 == 0
	body, err := json.Marshal(map[string]any{
		"model": c.load.route, "prompt": prompt, "max_tokens": c.load.tokens, "stream": stream, "seed": c.number,
	})
	if err != nil {
		return "", "", err
	}
	started := time.Now()
	resp, err := c.post(ctx, c.team(c.load.callers), "/v1/completions", body, nil)
	if err != nil {
		return "unknown", "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return resp.Header.Get(outcomeHeader), "", fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	var text string
	if stream {
		text, err = c.readStream(resp.Body, started)
	} else {
		text, err = readCompletion(resp.Body)
	}
	if err != nil {
		return resp.Trailer.Get(outcomeHeader), "", err
	}
	version = resp.Header.Get(versionHeader)
	digest := c.load.versions[version]
	if digest == "" {
		digest = version
	}
	want := strings.Join(emulator.Answer(digest, prompt, c.load.tokens, int64(c.number)), "")
	if text != want {
		return "served", version, &wrongAnswerError{version: version, got: text, want: want}
	}
	return "served", version, nil
}

// record files one record under an idempotency key.
func (c *call) record(ctx context.Context) (string, error) {
	key := fmt.Sprintf("demo-%d", c.number)
	header := http.Header{"Idempotency-Key": {key}}
	resp, err := c.post(ctx, c.team(c.load.recorders), "/services/"+c.load.service+"/records", []byte("order "+key), header)
	if err != nil {
		return "unknown", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unknown", err
	}
	outcome := resp.Header.Get(outcomeHeader)
	if resp.StatusCode != http.StatusCreated {
		return outcome, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	if !bytes.Contains(text, []byte(key)) {
		return outcome, &wrongAnswerError{got: string(text), want: key}
	}
	c.load.mu.Lock()
	c.load.outcomes.recordsServed++
	c.load.mu.Unlock()
	return outcome, nil
}

// team picks the team that sends this request.
func (c *call) team(teams []string) string {
	random := rand.New(rand.NewPCG(c.load.system.opts.Seed+1, uint64(c.number)))
	return teams[random.IntN(len(teams))]
}

func (c *call) post(ctx context.Context, team, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.ip+":8080"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.load.system.keyOf(team))
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

func (c *call) readStream(r io.Reader, started time.Time) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, isEvent := strings.CutPrefix(scanner.Text(), "data: ")
		if !isEvent {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		chunk, err := parseCompletion([]byte(data))
		if err != nil {
			return "", err
		}
		if text.Len() == 0 && chunk != "" {
			c.load.mu.Lock()
			_ = c.load.firstToken.RecordValue(time.Since(started).Microseconds())
			c.load.mu.Unlock()
		}
		text.WriteString(chunk)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", fmt.Errorf("stream ended without [DONE] after %d bytes", text.Len())
}

func readCompletion(r io.Reader) (string, error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	return parseCompletion(body)
}

// completion is the part of an OpenAI completion that the demo reads.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func parseCompletion(data []byte) (string, error) {
	var parsed completion
	if err := json.Unmarshal(data, &parsed); err != nil {
		return "", err
	}
	if parsed.Error != nil {
		return "", fmt.Errorf("error event: %s", parsed.Error.Message)
	}
	if len(parsed.Choices) == 0 {
		return "", nil
	}
	return parsed.Choices[0].Text, nil
}

func (l *load) note(number int, outcome, version string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.outcomes
	o.sent++
	if l.service != "" && number%10 == 0 {
		o.recordsSent++
	}
	switch outcome {
	case "served":
		o.served++
	case "not-run":
		o.notRun++
	default:
		o.unknown++
	}
	if version != "" {
		o.byVersion[version]++
	}
	if err == nil {
		return
	}
	var wrong *wrongAnswerError
	if errors.As(err, &wrong) {
		o.wrong++
	}
	if len(o.examples) < 5 {
		o.examples = append(o.examples, fmt.Sprintf("request %d (%s): %v", number, outcome, err))
	}
}

// wrongAnswerError reports an answer that is not the whole answer to its own
// request from one version.
type wrongAnswerError struct {
	version, got, want string
}

func (e *wrongAnswerError) Error() string {
	return fmt.Sprintf("wrong answer from version %q: got %q, want %q", e.version, e.got, e.want)
}
