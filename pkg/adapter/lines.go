package adapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
)

// lineTooLongError reports a line above its limit.
type lineTooLongError struct {
	Limit int
}

func (e *lineTooLongError) Error() string { return fmt.Sprintf("line exceeds %d bytes", e.Limit) }

// lineReader reads lines. What a line needs beyond the buffer of r is taken from a pool that
// many readers share.
type lineReader struct {
	r      *bufio.Reader
	memory rationer.Ration
	// long holds the line that is longer than the buffer.
	long []byte
}

// next returns the next line without its end, which is valid until the next call, and whether
// it had one. The error is a *lineTooLongError, a
// *rationer.MemoryError or that of the reader.
func (l *lineReader) next() (line []byte, terminated bool, err error) {
	l.long = nil
	if err := l.memory.Resize(0); err != nil {
		return nil, false, err
	}
	for {
		piece, err := l.r.ReadSlice('\n')
		if len(l.long) > 0 || errors.Is(err, bufio.ErrBufferFull) {
			if err := l.add(piece); err != nil {
				return nil, false, err
			}
			piece = l.long
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == nil:
			return bytes.TrimSuffix(piece[:len(piece)-1], []byte("\r")), true, nil
		case len(piece) > 0:
			// The next call returns the error.
			return bytes.TrimSuffix(piece, []byte("\r")), false, nil
		default:
			return nil, false, err
		}
	}
}

// add appends to the long line.
func (l *lineReader) add(piece []byte) error {
	if size := len(l.long) + len(piece); size > cap(l.long) {
		grown := max(size, min(2*cap(l.long), maxTokenLineBytes))
		if size > maxTokenLineBytes {
			return &lineTooLongError{Limit: maxTokenLineBytes}
		}
		if err := l.memory.Resize(grown); err != nil {
			return err
		}
		l.long = append(make([]byte, 0, grown), l.long...)
	}
	l.long = append(l.long, piece...)
	return nil
}
