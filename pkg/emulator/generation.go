package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// generation is one running request of an Engine.
type generation struct {
	engine  *Engine
	req     generateRequest
	version string
	// versionCtx ends when the engine replaces the version.
	versionCtx context.Context
	w          http.ResponseWriter
	controller *http.ResponseController
}

// run streams the tokens. The request has ended when the caller reads the last line, so
// that the caller can use its ID again.
func (g *generation) run(ctx context.Context) {
	g.w.Header().Set("Content-Type", contentTypeTokenStream)
	g.w.WriteHeader(http.StatusOK)
	_ = g.controller.Flush()
	last := g.generate(ctx)
	g.engine.removeRequest(g.req.ID)
	if last != nil {
		g.writeLine(*last)
	}
}

// generate waits for a slot, emulates the prefill and streams the tokens. It returns the
// last line of the stream, or nil if there is none.
func (g *generation) generate(ctx context.Context) *generateLine {
	defer g.engine.recordLoad()
	queueCtx, leaveQueue := context.WithCancel(ctx)
	defer context.AfterFunc(g.versionCtx, leaveQueue)()
	defer leaveQueue()
	g.engine.recordLoad()
	if err := g.engine.slots.acquire(queueCtx, g.req.Priority); err != nil {
		return g.errorLine("canceled in the queue")
	}
	defer g.engine.slots.release()
	g.engine.recordLoad()
	if g.engine.shouldCrash(g.req.Prompt) {
		g.engine.Crash()
		return nil
	}
	prefill := time.Duration(g.engine.cachePrompt(g.req.Prompt)) * g.engine.PrefillTime
	if reason := g.sleep(ctx, prefill); reason != "" {
		return g.errorLine(reason)
	}
	return g.writeTokens(ctx)
}

// writeTokens streams the tokens, and returns the last line of the stream.
func (g *generation) writeTokens(ctx context.Context) *generateLine {
	finishReason := finishReasonLength
	limit := g.req.MaxTokens
	if n := g.engine.AnswerTokens; n > 0 && n < limit {
		limit = n
		finishReason = finishReasonStop
	}
	offset := g.req.ResumeOffset
	for ; offset < limit; offset++ {
		if reason := g.sleep(ctx, g.engine.TokenTime); reason != "" {
			return g.errorLine(reason)
		}
		token := Token(g.version, g.req.Prompt, offset, g.req.Seed)
		if g.containsStopSequence(token) {
			finishReason = finishReasonStop
			break
		}
		if !g.writeLine(generateLine{Offset: offset, Tokens: []string{token}, Version: g.version}) && !g.engine.IgnoreCancel {
			return nil
		}
		g.countToken()
	}
	return &generateLine{
		Offset: offset, End: true, TokenCount: offset, PromptTokens: countPromptTokens(g.req.Prompt),
		FinishReason: finishReason, Version: g.version,
	}
}

// sleep waits for d. It returns why the request ends if it was canceled or the version was
// replaced.
func (g *generation) sleep(ctx context.Context, d time.Duration) (endReason string) {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-g.versionCtx.Done():
		}
	}
	if g.versionCtx.Err() != nil {
		return "the engine switched to another version"
	}
	if ctx.Err() != nil {
		return "canceled"
	}
	return ""
}

func (g *generation) containsStopSequence(token string) bool {
	for _, stop := range g.req.Stop {
		if stop != "" && strings.Contains(token, stop) {
			return true
		}
	}
	return false
}

func (g *generation) errorLine(reason string) *generateLine {
	return &generateLine{Version: g.version, Error: reason}
}

func (g *generation) countToken() {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	g.engine.generatedTokens++
}

func (g *generation) writeLine(line generateLine) bool {
	encoded, err := json.Marshal(line)
	if err != nil {
		return false
	}
	if _, err := g.w.Write(append(encoded, '\n')); err != nil {
		return false
	}
	return g.controller.Flush() == nil
}
