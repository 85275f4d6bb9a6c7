package logger

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

const (
	// asyncBufferBytes is the maximum size of the lines that wait to be written: one
	// second of 2,000 lines per second at 500 bytes per line.
	asyncBufferBytes = 1 << 20
	// asyncFlushInterval is the time between writes. Lines are written in batches to
	// save system calls.
	asyncFlushInterval = 100 * time.Millisecond
)

// Async is a buffered log writer. It writes to the output from the goroutine of Run, so that
// a slow reader of the log never blocks a request. Lines that do not fit into the buffer are
// dropped; their number is written as a log line.
type Async struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the last write. Flush reuses it for pending.
	spare []byte
	// dropped counts the lines dropped since the last write.
	dropped int
	// writeMu is held during a write to the output, so that concurrent calls of Flush keep
	// the order of the lines.
	writeMu sync.Mutex
}

// NewAsync returns a writer to w. Lines are written by Run and by Flush.
func NewAsync(w io.Writer) *Async { return &Async{out: w} }

// Write implements io.Writer. It adds a line to the buffer or drops it, and never blocks on
// the output or returns an error.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > asyncBufferBytes {
		a.dropped++
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	return len(line), nil
}

// Run flushes periodically until ctx ends, and then once more.
func (a *Async) Run(ctx context.Context) {
	waiter.Every(ctx, asyncFlushInterval, func(time.Time) { a.Flush() })
	a.Flush()
}

// Flush writes the buffered lines.
func (a *Async) Flush() {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	a.mu.Lock()
	buffer := a.pending
	a.pending = a.spare[:0]
	dropped := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if dropped > 0 {
		buffer = append(buffer, `{"level":"warn","message":"log lines dropped","lines":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(buffer) > 0 {
		// A failure to write the log cannot be reported anywhere.
		_, _ = a.out.Write(buffer)
	}
	a.mu.Lock()
	a.spare = buffer
	a.mu.Unlock()
}
