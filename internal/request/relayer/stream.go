package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// stream writes a model answer as server-sent events. Tokens go through a
// bounded buffer to a goroutine that writes them, so that a caller that reads
// slowly is noticed and its attempt cancelled.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  format
	slow    time.Duration

	// before and after surround the text of a chunk; only the text differs
	// between the chunks of one stream.
	before []byte
	after  []byte
	line   []byte

	begun  bool
	pieces chan string
	done   chan struct{}

	mu  sync.Mutex
	err error
}

func (r *Relayer) newStream(w http.ResponseWriter, f format) *stream {
	s := &stream{w: w, control: http.NewResponseController(w), format: f, slow: r.SlowTimeout}
	if s.slow == 0 {
		s.slow = DefaultSlowTimeout
	}
	size := r.Buffer
	if size == 0 {
		size = DefaultBuffer
	}
	s.pieces = make(chan string, size)
	s.done = make(chan struct{})
	return s
}

// Version implements forwarder.Sink. Once the stream has begun its version
// cannot change.
func (s *stream) Version(digest, name string) {
	if !s.begun {
		s.format.setVersion(digest, name)
	}
}

// Tokens implements forwarder.Sink.
func (s *stream) Tokens(ctx context.Context, tokens []string) error {
	if err := s.failure(); err != nil {
		return err
	}
	s.begin()
	piece := strings.Join(tokens, "")
	select {
	case s.pieces <- piece:
		return nil
	default:
	}
	timer := time.NewTimer(s.slow)
	defer timer.Stop()
	select {
	case s.pieces <- piece:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return &forwarder.SlowCallerError{Waited: s.slow}
	}
}

// begin starts the writer with the first token: until then an error can still
// have its own status.
func (s *stream) begin() {
	if !s.begun {
		s.begun = true
		go s.run()
	}
}

// run writes pieces until the channel is closed. After a failed write it only
// drains the channel.
func (s *stream) run() {
	defer close(s.done)
	s.head()
	for piece := range s.pieces {
		if s.failure() != nil {
			continue
		}
		s.text(piece)
		if len(s.pieces) == 0 {
			s.flush()
		}
	}
}

func (s *stream) head() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderOutcome)
	h.Set(HeaderRequestID, s.format.id)
	if s.format.version != "" {
		h.Set(HeaderVersion, s.format.version)
	}
	s.w.WriteHeader(http.StatusOK)
	if s.format.call.Chat {
		empty := ""
		s.chunk(chatDelta{Delta: delta{Role: "assistant", Content: &empty}})
	}
}

func (s *stream) piece(text string) choice {
	if s.format.call.Chat {
		return chatDelta{Delta: delta{Content: &text}}
	}
	return textChoice{Text: text}
}

// textMark stands for the text when a chunk is encoded once for all.
const textMark = "\x00"

// text writes the chunk of one piece.
func (s *stream) text(piece string) {
	if s.before == nil {
		s.encodeOnce()
	}
	text, err := json.Marshal(piece)
	if err != nil {
		s.fail(err)
		return
	}
	s.line = append(s.line[:0], s.before...)
	s.line = append(s.line, text...)
	s.line = append(s.line, s.after...)
	s.write(s.line)
}

func (s *stream) encodeOnce() {
	body := s.format.body(true)
	body.Choices = []choice{s.piece(textMark)}
	data, err := json.Marshal(body)
	if err != nil {
		s.fail(err)
		return
	}
	mark, _ := json.Marshal(textMark)
	before, after, _ := bytes.Cut(data, mark)
	s.before = slices.Concat([]byte("data: "), before)
	s.after = slices.Concat(after, []byte("\n\n"))
}

func (s *stream) last(reason string) choice {
	if s.format.call.Chat {
		return chatDelta{FinishReason: &reason}
	}
	return textChoice{FinishReason: &reason}
}

func (s *stream) chunk(c choice) {
	body := s.format.body(true)
	body.Choices = []choice{c}
	s.event(body)
}

func (s *stream) event(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		s.fail(err)
		return
	}
	s.write(append(append([]byte("data: "), data...), '\n', '\n'))
}

func (s *stream) write(data []byte) {
	// Recorders in tests have no deadlines; a real connection does.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.slow))
	if _, err := s.w.Write(data); err != nil {
		s.fail(err)
	}
}

func (s *stream) flush() {
	if err := s.control.Flush(); err != nil {
		s.fail(err)
	}
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Finish ends the stream: with the finish reason and [DONE] when it is
// complete, else with an error event.
func (s *stream) Finish(res forwarder.Result) {
	if res.Err != nil && !s.begun {
		s.refuse(res.Err)
		return
	}
	s.begin()
	close(s.pieces)
	<-s.done
	if s.failure() != nil {
		return
	}
	if res.Err != nil {
		s.event(newErrorBody(res.Err))
	} else {
		s.complete(res)
	}
	s.w.Header().Set(HeaderOutcome, string(res.Outcome))
	s.flush()
}

func (s *stream) refuse(err *identifier.RequestError) {
	if s.format.version != "" {
		s.w.Header().Set(HeaderVersion, s.format.version)
	}
	WriteError(s.w, s.format.id, err)
}

func (s *stream) complete(res forwarder.Result) {
	s.chunk(s.last(finishReason(res.FinishReason)))
	if s.format.call.IncludeUsage {
		body := s.format.body(true)
		body.Choices = []choice{}
		body.Usage = usageOf(res)
		s.event(body)
	}
	s.write([]byte("data: [DONE]\n\n"))
}
