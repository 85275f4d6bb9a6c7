package listener

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
)

const (
	// largeBodyShare is the part of the memory for bodies that those above smallBodyBytes may use,
	// so that they leave room for the bodies of ordinary requests.
	largeBodyShare = 0.75
	smallBodyBytes = 128 << 10
	// abortTime bounds the time until the memory of an aborted body is free.
	abortTime = 100 * time.Millisecond
)

// Bodies is the memory for the bodies of all requests of a process and for buffered responses.
type Bodies struct {
	// Available is the memory, and Large the part of it for large bodies; nil means all.
	Available, Large *semaphore.Weighted
	// Reports counts aborted bodies, if set.
	Reports *Reports

	mu sync.Mutex
	// reading holds the bodies that hold memory while their clients send.
	reading map[*Body]struct{}
}

// NewBodies returns a pool of a size in bytes.
func NewBodies(size int64) *Bodies {
	return &Bodies{Available: semaphore.NewWeighted(size), Large: semaphore.NewWeighted(int64(largeBodyShare * float64(size)))}
}

// Body is the memory that the bodies of one request use, which may be more than one: two replicas
// may respond to it at the same time.
type Body struct {
	Pool *Bodies

	held, large atomic.Int64
	conn        *Conn
}

// Release returns the memory to the pool.
func (b *Body) Release() {
	b.Pool.Available.Release(b.held.Swap(0))
	if large := b.large.Swap(0); large > 0 {
		b.Pool.Large.Release(large)
	}
}

// ReadAll reads a body of at most limit bytes. The error is a *rationer.TooLargeError, a
// *rationer.MemoryError, or that of the reader. The beginning of a body takes nothing from the
// pool, so that short bodies are read while others use it up: the number of connections bounds
// it.
func (b *Body) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	taken := rationer.FirstStep
	return rationer.ReadAll(r, limit, func(size int) error {
		step := int64(size - taken)
		if step <= 0 {
			return nil
		}
		if !b.acquire(step, size > smallBodyBytes) {
			return &rationer.MemoryError{}
		}
		taken = size
		return nil
	})
}

// ReadRequest reads the body of a request as ReadAll does. If the client sends nothing for a
// while and others need the memory, the error is os.ErrDeadlineExceeded.
func (b *Body) ReadRequest(request *http.Request, r io.Reader, limit int64) ([]byte, error) {
	b.conn = connOf(request.Context())
	if b.conn == nil {
		return b.ReadAll(r, limit)
	}
	b.conn.body.begin(time.Now())
	b.Pool.add(b)
	data, err := b.ReadAll(r, limit)
	b.Pool.remove(b)
	if b.conn.body.end() {
		return nil, os.ErrDeadlineExceeded
	}
	return data, err
}

// acquire takes memory. If there is none, the body of another request that has gone longest
// without progress is aborted for it.
func (b *Body) acquire(n int64, isLarge bool) bool {
	isLarge = isLarge && b.Pool.Large != nil
	if isLarge {
		// What a body took while it was small is a part of a large one now.
		large := n + b.held.Load() - b.large.Load()
		if !b.Pool.acquire(b.Pool.Large, large) {
			return false
		}
		b.large.Add(large)
	}
	if !b.Pool.acquire(b.Pool.Available, n) {
		return false
	}
	b.held.Add(n)
	return true
}

func (p *Bodies) acquire(from *semaphore.Weighted, n int64) bool {
	if from.TryAcquire(n) {
		return true
	}
	freed := int64(0)
	for now := time.Now(); freed < n; {
		held := p.abortStalled(now)
		if held == 0 {
			break
		}
		freed += held
	}
	if freed == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	return from.Acquire(ctx, n) == nil
}

func (p *Bodies) add(b *Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading == nil {
		p.reading = map[*Body]struct{}{}
	}
	p.reading[b] = struct{}{}
}

func (p *Bodies) remove(b *Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, b)
}

// abortStalled aborts the body with memory that has gone longest without progress, if it has made
// none for stallTime, and returns the memory that it holds, or 0.
func (p *Bodies) abortStalled(now time.Time) int64 {
	p.mu.Lock()
	var victim *Body
	longest := stallTime
	for b := range p.reading {
		if stalled := b.conn.body.stalled(now); b.held.Load() > 0 && stalled >= longest {
			victim, longest = b, stalled
		}
	}
	p.mu.Unlock()
	if victim == nil {
		return 0
	}
	held := victim.held.Load()
	if !victim.conn.abortBody(now) {
		return 0
	}
	if p.Reports != nil {
		p.Reports.add(victim.conn.listener.Name, reasonBodyMemory, now)
	}
	return held
}
