package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

const (
	outcomeHeader = "lentil-outcome"
	versionHeader = "lentil-model-version"
	// maxAnswerBytes bounds an answer that is read as a whole.
	maxAnswerBytes = 16 << 20
)

// call is one request.
type call struct {
	generator *generator
	due       time.Time
	entry     string
	key       string
	prompt    string
	maxTokens int
	stream    bool
	seed      int64

	tokens []time.Time
}

// answer is how a call ended.
type answer struct {
	outcome string
	status  int
	err     error
}

// WrongAnswerError reports an answer that is not the one to its request.
type WrongAnswerError struct {
	Version string
	Got     string
	Want    string
}

func (e *WrongAnswerError) Error() string {
	return fmt.Sprintf("wrong answer from version %q: got %q, want %q", e.Version, e.Got, e.Want)
}

// StatusError reports a refused request.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func (c *call) run(ctx context.Context) {
	defer c.generator.pending.Done()
	ctx, cancel := context.WithTimeout(ctx, c.generator.opts.timeout)
	defer cancel()
	got := c.ask(ctx)
	c.generator.results.note(c, got, time.Now())
	<-c.generator.slots
}

func (c *call) ask(ctx context.Context) answer {
	body, err := json.Marshal(map[string]any{
		"model": c.generator.opts.model, "prompt": c.prompt, "max_tokens": c.maxTokens, "stream": c.stream, "seed": c.seed,
	})
	if err != nil {
		return answer{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.generator.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got := answer{outcome: resp.Header.Get(outcomeHeader), status: resp.StatusCode}
	text, err := c.read(resp)
	if trailer := resp.Trailer.Get(outcomeHeader); trailer != "" {
		got.outcome = trailer
	}
	got.err = err
	if err == nil {
		got.err = c.verify(resp.Header.Get(versionHeader), text)
	}
	return got
}

func (c *call) read(resp *http.Response) (string, error) {
	if resp.StatusCode == http.StatusOK && c.stream {
		return c.readStream(resp.Body)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", &StatusError{resp.StatusCode, string(bytes.TrimSpace(body))}
	}
	return parse(body)
}

func (c *call) readStream(r io.Reader) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, isEvent := strings.CutPrefix(scanner.Text(), "data: ")
		if !isEvent {
			continue
		}
		if data == "[DONE]" {
			// The trailer is there once the body has been read to its end.
			_, err := io.Copy(io.Discard, r)
			return text.String(), err
		}
		part, err := parse([]byte(data))
		if err != nil {
			return "", err
		}
		if part != "" {
			c.tokens = append(c.tokens, time.Now())
		}
		text.WriteString(part)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", fmt.Errorf("the stream ended without [DONE] after %d bytes: %w", text.Len(), io.ErrUnexpectedEOF)
}

// completion is the part of an OpenAI completion that is read here.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func parse(data []byte) (string, error) {
	var parsed completion
	if err := json.Unmarshal(data, &parsed); err != nil {
		return "", err
	}
	if parsed.Error != nil {
		return "", &StatusError{http.StatusOK, parsed.Error.Message}
	}
	if len(parsed.Choices) == 0 {
		return "", nil
	}
	return parsed.Choices[0].Text, nil
}

// verify compares the answer with the one that the engine stand-in gives to
// this prompt and seed.
func (c *call) verify(version, text string) error {
	if c.generator.opts.verify == "" {
		return nil
	}
	digest := c.generator.opts.versionsByID[version]
	if digest == "" {
		digest = version
	}
	want := strings.Join(emulator.Answer(digest, c.prompt, c.maxTokens, c.seed), "")
	if text != want {
		return &WrongAnswerError{version, text, want}
	}
	return nil
}
