package logger

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAsyncIsBounded guards against a log that uses unbounded memory or blocks its callers
// while its output is not read.
func TestAsyncIsBounded(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	a := NewAsync(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 3000 {
		n, err := a.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	c.Assert(len(a.pending) <= asyncBufferBytes, qt.IsTrue)
	a.Flush()
	c.Assert(out.String(), qt.Contains, `"message":"log lines dropped","lines":1976`)
	out.Reset()
	_, err := a.Write([]byte("next\n"))
	c.Assert(err, qt.IsNil)
	a.Flush()
	c.Assert(out.String(), qt.Equals, "next\n")
}
