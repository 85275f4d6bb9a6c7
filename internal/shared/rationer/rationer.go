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

// FirstStep is the size of the first part of ReadAll.
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

// ReadAll reads a body of at most limit bytes. resize is called with the memory that is needed
// before it grows. The error is a *TooLargeError, that of resize, or that of the reader.
func ReadAll(r io.Reader, limit int64, resize func(size int) error) ([]byte, error) {
	b := segments{limit: limit}
	for {
		if err := b.grow(resize); err != nil {
			return nil, err
		}
		n, err := r.Read(b.current[len(b.current):cap(b.current)])
		b.current = b.current[:len(b.current)+n]
		b.length += n
		switch {
		case int64(b.length) > limit:
			return nil, &TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return b.join(), nil
		case err != nil:
			return nil, err
		}
	}
}

// maxStep bounds the parts in which a body is read.
const maxStep = 256 << 10

// segments is a body in parts. A buffer that doubles would need up to three times the memory
// while a body arrives, which many clients never complete.
type segments struct {
	limit        int64
	full         [][]byte
	current      []byte
	size, length int
}

// grow adds a part if the current one is full.
func (b *segments) grow(resize func(size int) error) error {
	if len(b.current) < cap(b.current) {
		return nil
	}
	// One byte more than the limit is enough to tell a body that exceeds it.
	step := min(max(b.size, FirstStep), maxStep, max(int(b.limit)+1-b.size, FirstStep))
	if err := resize(b.size + step); err != nil {
		return err
	}
	if len(b.current) > 0 {
		b.full = append(b.full, b.current)
	}
	b.current = make([]byte, 0, step)
	b.size += step
	return nil
}

// join returns the whole body.
func (b *segments) join() []byte {
	if len(b.full) == 0 {
		return b.current
	}
	out := make([]byte, 0, b.length)
	for _, part := range b.full {
		out = append(out, part...)
	}
	return append(out, b.current...)
}
