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

// stream writes a model answer as server-sent events. Tokens pass through a bounded
// buffer to a goroutine that writes them, so that a caller that reads too slowly is
// detected and its attempt is cancelled.
type stream struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	format      answerFormat
	slowTimeout time.Duration

	// chunkPrefix and chunkSuffix are the encoded parts of a chunk before and after
	// its text. Only the text differs between the chunks of a stream.
	chunkPrefix []byte
	chunkSuffix []byte
	// eventBuf is reused for each chunk.
	eventBuf []byte

	// started is true once run has been started.
	started bool
	// pending buffers the texts that run has not written yet.
	pending chan string
	// done is closed when run returns.
	done chan struct{}

	mu sync.Mutex
	// err is the first encoding or write error.
	err error
}

func (r *Relayer) newStream(w http.ResponseWriter, f answerFormat) *stream {
	s := &stream{w: w, control: http.NewResponseController(w), format: f, slowTimeout: r.SlowTimeout}
	if s.slowTimeout == 0 {
		s.slowTimeout = DefaultSlowTimeout
	}
	size := r.Buffer
	if size == 0 {
		size = DefaultBuffer
	}
	s.pending = make(chan string, size)
	s.done = make(chan struct{})
	return s
}

// Version implements forwarder.Sink. It has no effect after the stream has started,
// because the version has been sent in the headers.
func (s *stream) Version(digest, name string) {
	if !s.started {
		s.format.setVersion(digest, name)
	}
}

// Tokens implements forwarder.Sink. It returns a forwarder.SlowCallerError if the buffer
// stays full for the slow timeout.
func (s *stream) Tokens(ctx context.Context, tokens []string) error {
	if err := s.failure(); err != nil {
		return err
	}
	s.start()
	text := strings.Join(tokens, "")
	select {
	case s.pending <- text:
		return nil
	default:
	}
	timer := time.NewTimer(s.slowTimeout)
	defer timer.Stop()
	select {
	case s.pending <- text:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return &forwarder.SlowCallerError{Waited: s.slowTimeout}
	}
}

// start starts the writing goroutine. This is delayed until the first token because an
// error before it can still be sent with its own status.
func (s *stream) start() {
	if !s.started {
		s.started = true
		go s.run()
	}
}

// run writes the texts from the pending channel until the channel is closed. After a
// failed write, it only drains the channel.
func (s *stream) run() {
	defer close(s.done)
	s.writeHeader()
	for text := range s.pending {
		if s.failure() != nil {
			continue
		}
		s.writeText(text)
		if len(s.pending) == 0 {
			s.flush()
		}
	}
}

// writeHeader writes the response headers and, for chats, the chunk with the role.
func (s *stream) writeHeader() {
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
		s.writeChunk(chatDelta{Delta: delta{Role: "assistant", Content: &empty}})
	}
}

func (s *stream) contentChoice(text string) choice {
	if s.format.call.Chat {
		return chatDelta{Delta: delta{Content: &text}}
	}
	return textChoice{Text: text}
}

// textPlaceholder marks the position of the text in the chunk from which chunkPrefix and
// chunkSuffix are made.
const textPlaceholder = "\x00"

// writeText writes a chunk with the text.
func (s *stream) writeText(text string) {
	if s.chunkPrefix == nil {
		s.encodeChunkTemplate()
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		s.fail(err)
		return
	}
	s.eventBuf = append(s.eventBuf[:0], s.chunkPrefix...)
	s.eventBuf = append(s.eventBuf, encoded...)
	s.eventBuf = append(s.eventBuf, s.chunkSuffix...)
	s.write(s.eventBuf)
}

// encodeChunkTemplate sets chunkPrefix and chunkSuffix.
func (s *stream) encodeChunkTemplate() {
	body := s.format.body(true)
	body.Choices = []choice{s.contentChoice(textPlaceholder)}
	data, err := json.Marshal(body)
	if err != nil {
		s.fail(err)
		return
	}
	placeholder, _ := json.Marshal(textPlaceholder)
	before, after, _ := bytes.Cut(data, placeholder)
	s.chunkPrefix = slices.Concat([]byte("data: "), before)
	s.chunkSuffix = slices.Concat(after, []byte("\n\n"))
}

func (s *stream) finalChoice(reason string) choice {
	if s.format.call.Chat {
		return chatDelta{FinishReason: &reason}
	}
	return textChoice{FinishReason: &reason}
}

func (s *stream) writeChunk(c choice) {
	body := s.format.body(true)
	body.Choices = []choice{c}
	s.writeEvent(body)
}

func (s *stream) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		s.fail(err)
		return
	}
	s.write(append(append([]byte("data: "), data...), '\n', '\n'))
}

func (s *stream) write(data []byte) {
	// Errors are ignored because response writers in tests do not support
	// deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.slowTimeout))
	if _, err := s.w.Write(data); err != nil {
		s.fail(err)
	}
}

func (s *stream) flush() {
	if err := s.control.Flush(); err != nil {
		s.fail(err)
	}
}

// fail records the first error.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// failure returns the first error, or nil.
func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Finish ends the stream, with the finish reason and [DONE] if the answer is complete, or
// else with an error event. If the stream has not started, an error is written as an
// error response.
func (s *stream) Finish(res forwarder.Result) {
	if res.Err != nil && !s.started {
		s.writeErrorResponse(res.Err)
		return
	}
	s.start()
	close(s.pending)
	<-s.done
	if s.failure() != nil {
		return
	}
	if res.Err != nil {
		s.writeEvent(newErrorBody(res.Err))
	} else {
		s.writeEnd(res)
	}
	s.w.Header().Set(HeaderOutcome, string(res.Outcome))
	s.flush()
}

func (s *stream) writeErrorResponse(err *identifier.RequestError) {
	if s.format.version != "" {
		s.w.Header().Set(HeaderVersion, s.format.version)
	}
	WriteError(s.w, s.format.id, err)
}

func (s *stream) writeEnd(res forwarder.Result) {
	s.writeChunk(s.finalChoice(finishReason(res.FinishReason)))
	if s.format.call.IncludeUsage {
		body := s.format.body(true)
		body.Choices = []choice{}
		body.Usage = newUsage(res)
		s.writeEvent(body)
	}
	s.write([]byte("data: [DONE]\n\n"))
}
