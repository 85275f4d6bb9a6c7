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
	// maxResponseBytes bounds the body of a response that is not streamed.
	maxResponseBytes = 16 << 20
)

// call is one request.
type call struct {
	generator *generator
	dueAt     time.Time
	entry     string
	key       string
	prompt    string
	maxTokens int
	stream    bool
	seed      int64

	tokenTimes []time.Time
}

// callResult is the outcome of a call.
type callResult struct {
	outcome string
	status  int
	err     error
}

// WrongAnswerError reports a completion that differs from the expected one.
type WrongAnswerError struct {
	Version string
	Got     string
	Want    string
}

func (e *WrongAnswerError) Error() string {
	return fmt.Sprintf("wrong answer from version %q: got %q, want %q", e.Version, e.Got, e.Want)
}

// StatusError reports a response with an error status or an error event of a
// stream.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func (c *call) run(ctx context.Context) {
	defer c.generator.running.Done()
	ctx, cancel := context.WithTimeout(ctx, c.generator.opts.timeout)
	defer cancel()
	result := c.send(ctx)
	c.generator.results.recordCall(c, result, time.Now())
	<-c.generator.inFlight
}

func (c *call) send(ctx context.Context) callResult {
	body, err := json.Marshal(map[string]any{
		"model": c.generator.opts.model, "prompt": c.prompt, "max_tokens": c.maxTokens, "stream": c.stream, "seed": c.seed,
	})
	if err != nil {
		return callResult{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.generator.client.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	result := callResult{outcome: resp.Header.Get(outcomeHeader), status: resp.StatusCode}
	text, err := c.readBody(resp)
	if trailer := resp.Trailer.Get(outcomeHeader); trailer != "" {
		result.outcome = trailer
	}
	result.err = err
	if err == nil {
		result.err = c.verify(resp.Header.Get(versionHeader), text)
	}
	return result
}

func (c *call) readBody(resp *http.Response) (string, error) {
	if resp.StatusCode == http.StatusOK && c.stream {
		return c.readStream(resp.Body)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", &StatusError{resp.StatusCode, string(bytes.TrimSpace(body))}
	}
	return parseCompletion(body)
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
			// Trailers are available only after the body has been read to its end.
			_, err := io.Copy(io.Discard, r)
			return text.String(), err
		}
		chunk, err := parseCompletion([]byte(data))
		if err != nil {
			return "", err
		}
		if chunk != "" {
			c.tokenTimes = append(c.tokenTimes, time.Now())
		}
		text.WriteString(chunk)
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", fmt.Errorf("stream ended without [DONE] after %d bytes: %w", text.Len(), io.ErrUnexpectedEOF)
}

// completion holds the fields of an OpenAI completion that the load uses.
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
		return "", &StatusError{http.StatusOK, parsed.Error.Message}
	}
	if len(parsed.Choices) == 0 {
		return "", nil
	}
	return parsed.Choices[0].Text, nil
}

// verify compares the text with the completion that the engine stand-in generates
// for this prompt and seed.
func (c *call) verify(version, text string) error {
	if c.generator.opts.verify == "" {
		return nil
	}
	digest := c.generator.opts.digestsByVersion[version]
	if digest == "" {
		digest = version
	}
	want := strings.Join(emulator.Answer(digest, c.prompt, c.maxTokens, c.seed), "")
	if text != want {
		return &WrongAnswerError{version, text, want}
	}
	return nil
}
