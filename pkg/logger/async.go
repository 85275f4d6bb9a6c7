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
	// asyncBufferBytes bounds the lines that wait to be written. At 500 bytes a
	// line it holds one second of a daemon at 2,000 lines a second.
	asyncBufferBytes = 1 << 20
	// asyncInterval is the time between writes. Fewer writes cost less.
	asyncInterval = 100 * time.Millisecond
)

// Async writes lines from a goroutine of its own, so that a reader that does
// not keep up never blocks a request. Lines beyond its buffer are dropped and
// counted in a line of their own.
type Async struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	// writing is held while bytes go out, so that they stay in order.
	writing sync.Mutex
}

// NewAsync returns a writer. Lines go out while Run runs, and at Flush.
func NewAsync(w io.Writer) *Async { return &Async{out: w} }

// Write implements io.Writer. It never blocks and never fails.
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

// Run writes until ctx ends.
func (a *Async) Run(ctx context.Context) {
	waiter.Each(ctx, asyncInterval, func(time.Time) { a.Flush() })
	a.Flush()
}

// Flush writes what is pending.
func (a *Async) Flush() {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.mu.Lock()
	lines := a.pending
	a.pending = a.spare[:0]
	dropped := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"warn","message":"log lines dropped","lines":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(lines) > 0 {
		// There is nowhere left to report that the log cannot be written.
		_, _ = a.out.Write(lines)
	}
	a.mu.Lock()
	a.spare = lines
	a.mu.Unlock()
}
