package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// generation is one request of the engine stand-in.
type generation struct {
	engine    *Engine
	req       generateRequest
	version   string
	switching context.Context
	w         http.ResponseWriter
	flusher   *http.ResponseController
}

// run waits for a place, reads the prompt and writes the tokens.
func (g *generation) run(ctx context.Context) {
	g.w.Header().Set("Content-Type", contentTypeTokenStream)
	g.w.WriteHeader(http.StatusOK)
	_ = g.flusher.Flush()
	defer g.engine.recordLoad()
	waiting, stopWaiting := context.WithCancel(ctx)
	defer context.AfterFunc(g.switching, stopWaiting)()
	defer stopWaiting()
	g.engine.recordLoad()
	if err := g.engine.slots.acquire(waiting, g.req.Priority); err != nil {
		g.fail("canceled in the queue")
		return
	}
	defer g.engine.slots.release()
	g.engine.recordLoad()
	if g.engine.shouldCrash(g.req.Prompt) {
		g.engine.Crash()
		return
	}
	prefill := time.Duration(g.engine.prefill(g.req.Prompt)) * g.engine.PrefillTime
	if !g.wait(ctx, prefill) {
		return
	}
	g.writeTokens(ctx)
}

func (g *generation) writeTokens(ctx context.Context) {
	finish := finishReasonLength
	limit := g.req.MaxTokens
	if n := g.engine.AnswerTokens; n > 0 && n < limit {
		limit = n
		finish = finishReasonStop
	}
	i := g.req.ResumeOffset
	for ; i < limit; i++ {
		if !g.wait(ctx, g.engine.TokenTime) {
			return
		}
		token := Token(g.version, g.req.Prompt, i, g.req.Seed)
		if g.stopsAt(token) {
			finish = finishReasonStop
			break
		}
		if !g.write(generateLine{Offset: i, Tokens: []string{token}, Version: g.version}) && !g.engine.IgnoreCancel {
			return
		}
		g.count()
	}
	g.write(generateLine{
		Offset: i, End: true, TokenCount: i, PromptTokens: promptTokensOf(g.req.Prompt),
		FinishReason: finish, Version: g.version,
	})
}

// wait sleeps and reports whether the request goes on.
func (g *generation) wait(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-g.switching.Done():
		}
	}
	if g.switching.Err() != nil {
		g.fail("the engine switched to another version")
		return false
	}
	if ctx.Err() != nil {
		g.fail("canceled")
		return false
	}
	return true
}

func (g *generation) stopsAt(token string) bool {
	for _, stop := range g.req.Stop {
		if stop != "" && strings.Contains(token, stop) {
			return true
		}
	}
	return false
}

func (g *generation) fail(reason string) {
	g.write(generateLine{Version: g.version, Error: reason})
}

func (g *generation) count() {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	g.engine.generated++
}

func (g *generation) write(line generateLine) bool {
	encoded, err := json.Marshal(line)
	if err != nil {
		return false
	}
	if _, err := g.w.Write(append(encoded, '\n')); err != nil {
		return false
	}
	return g.flusher.Flush() == nil
}
