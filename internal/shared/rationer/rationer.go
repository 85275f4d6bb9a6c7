// Package rationer bounds the memory that many buffers use together. Bytes that a callee sends
// without end fill a pool and no more.
package rationer

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

// FirstStep is the size of the first buffer of ReadAll. It doubles as the body grows.
const FirstStep = 4 << 10

// MemoryError reports that a pool is used up.
type MemoryError struct{}

func (e *MemoryError) Error() string { return "the memory for bodies is used up" }

// TooLargeError reports a body above its limit.
type TooLargeError struct {
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// Ration is the memory of one buffer. Exported fields are set before use.
type Ration struct {
	Pool *semaphore.Weighted
	// Free is the part of the buffer that does not count.
	Free int

	mu     sync.Mutex
	held   int64
	closed bool
}

// Resize takes memory for a buffer of a size, or returns what a smaller one does not need. The
// error is a *MemoryError.
func (r *Ration) Resize(size int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	want := int64(max(size-r.Free, 0))
	switch {
	case want > r.held && (r.closed || !r.Pool.TryAcquire(want-r.held)):
		return &MemoryError{}
	case want < r.held:
		r.Pool.Release(r.held - want)
	}
	r.held = want
	return nil
}

// Close returns all memory. Resize fails from then on if it needs any.
func (r *Ration) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Pool.Release(r.held)
	r.held, r.closed = 0, true
}

// ReadAll reads a body of at most limit bytes. resize is called before the buffer grows. The
// error is a *TooLargeError, that of resize, or that of the reader.
func ReadAll(r io.Reader, limit int64, resize func(size int) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), FirstStep)
			if err := resize(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
