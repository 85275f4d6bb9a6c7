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
	defaultAnswerTokens = 24
	outcomeHeader       = "lentil-outcome"
	versionHeader       = "lentil-model-version"
)

// load sends requests at a fixed rate without waiting for responses (open loop)
// and verifies the full text of every answer.
type load struct {
	system  *system
	route   string
	service string
	// completionTeams and recordTeams list the teams that send completions and
	// records; a team occurs as many times as its weight.
	completionTeams []string
	recordTeams     []string
	rate            float64
	// answerTokens is the length of each answer in tokens.
	answerTokens     int
	digestsByVersion map[string]string // version name to digest

	mu         sync.Mutex
	counts     loadCounts
	firstToken *hdrhistogram.Histogram
	pending    sync.WaitGroup
	lastNumber int
}

// loadCounts counts requests by the outcome reported to the caller and by the
// result of verification.
type loadCounts struct {
	sent, served, notRun, unknown int
	wrong                         int
	byVersion                     map[string]int
	recordsSent, recordsServed    int
	examples                      []string
}

func (l *load) start(ctx context.Context) {
	l.counts.byVersion = map[string]int{}
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
		l.lastNumber++
		c := &call{load: l, number: l.lastNumber, entry: l.system.entries[l.lastNumber%len(l.system.entries)]}
		l.pending.Add(1)
		go c.run()
	}
}

// wait waits for the requests in progress and returns the counts.
func (l *load) wait() loadCounts {
	l.pending.Wait()
	return l.counts
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
		outcome, err = c.storeRecord(ctx)
	} else {
		outcome, version, err = c.requestCompletion(ctx)
	}
	c.load.recordCall(c.number, outcome, version, err)
}

// requestCompletion requests a completion, every second one as a stream, and
// verifies the answer.
func (c *call) requestCompletion(ctx context.Context) (outcome, version string, err error) {
	rng := rand.New(rand.NewPCG(c.load.system.opts.Seed, uint64(c.number)))
	prompt := fmt.Sprintf("mould %d: draft the specification %d", rng.IntN(20), c.number)
	stream := c.number%2 == 0
	body, err := json.Marshal(map[string]any{
		"model": c.load.route, "prompt": prompt, "max_tokens": c.load.answerTokens, "stream": stream, "seed": c.number,
	})
	if err != nil {
		return "", "", err
	}
	started := time.Now()
	resp, err := c.post(ctx, c.randomTeam(c.load.completionTeams), "/v1/completions", body, nil)
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
	digest := c.load.digestsByVersion[version]
	if digest == "" {
		digest = version
	}
	want := strings.Join(emulator.Answer(digest, prompt, c.load.answerTokens, int64(c.number)), "")
	if text != want {
		return "served", version, &wrongAnswerError{version: version, got: text, want: want}
	}
	return "served", version, nil
}

// storeRecord sends one record with an idempotency key.
func (c *call) storeRecord(ctx context.Context) (string, error) {
	key := fmt.Sprintf("demo-%d", c.number)
	header := http.Header{"Idempotency-Key": {key}}
	resp, err := c.post(ctx, c.randomTeam(c.load.recordTeams), "/services/"+c.load.service+"/records", []byte("order "+key), header)
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
	c.load.counts.recordsServed++
	c.load.mu.Unlock()
	return outcome, nil
}

// randomTeam returns the team that sends this request.
func (c *call) randomTeam(teams []string) string {
	rng := rand.New(rand.NewPCG(c.load.system.opts.Seed+1, uint64(c.number)))
	return teams[rng.IntN(len(teams))]
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

// completion holds the fields of an OpenAI completion that the demo uses.
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

func (l *load) recordCall(number int, outcome, version string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := &l.counts
	counts.sent++
	if l.service != "" && number%10 == 0 {
		counts.recordsSent++
	}
	switch outcome {
	case "served":
		counts.served++
	case "not-run":
		counts.notRun++
	default:
		counts.unknown++
	}
	if version != "" {
		counts.byVersion[version]++
	}
	if err == nil {
		return
	}
	var wrong *wrongAnswerError
	if errors.As(err, &wrong) {
		counts.wrong++
	}
	if len(counts.examples) < 5 {
		counts.examples = append(counts.examples, fmt.Sprintf("request %d (%s): %v", number, outcome, err))
	}
}

// wrongAnswerError reports an answer that is not the complete answer of a single
// model version to its request.
type wrongAnswerError struct {
	version, got, want string
}

func (e *wrongAnswerError) Error() string {
	return fmt.Sprintf("wrong answer from version %q: got %q, want %q", e.version, e.got, e.want)
}
