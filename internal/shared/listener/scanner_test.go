package listener

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBlockScanner guards against a header block whose end is not found, so that its body counts
// as fields, or whose fields are not counted.
func TestBlockScanner(t *testing.T) {
	tests := []struct {
		name   string
		data   string
		bytes  int
		fields int
		ended  bool
	}{
		{"nothing", "", 0, 0, false},
		{"request line", "GET / HTTP/1.1\r\n", 16, 0, false},
		{"without fields", "GET / HTTP/1.1\r\n\r\nbody\r\n\r\n", 18, 0, true},
		{"with fields", "GET / HTTP/1.1\r\na: b\r\nc: d\r\n\r\nbody", 30, 2, true},
		{"incomplete field", "GET / HTTP/1.1\r\na: b\r\nc: d", 26, 1, false},
		{"line feeds only", "GET / HTTP/1.1\na: b\n\nbody", 21, 1, true},
		{"carriage returns within a line", "GET / HTTP/1.1\r\na\r\r: \rb\r\r\n\r\nbody", 28, 1, true},
		{"line of a carriage return", "GET / HTTP/1.1\r\n\r\r\n\r\n", 21, 1, true},
		{"empty lines before the request", "\r\n\r\nGET / HTTP/1.1\r\na: b\r\n\r\nx", 28, 1, true},
		{"shortest fields", "G\n" + strings.Repeat("a:\n", 1000) + "\n", 3003, 1000, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for _, piece := range []int{len(tc.data) + 1, 1, 3} {
				c := qt.New(t)
				s := scanInPieces([]byte(tc.data), piece)
				c.Check(int(s.bytes), qt.Equals, tc.bytes)
				c.Check(s.fields(), qt.Equals, tc.fields)
				c.Check(s.ended, qt.Equals, tc.ended)
			}
		})
	}
}

func scanInPieces(data []byte, piece int) blockScanner {
	var s blockScanner
	for len(data) > 0 {
		n := min(piece, len(data))
		s.scan(data[:n])
		data = data[n:]
	}
	return s
}

// FuzzBlockScanner guards against a result that depends on the sizes of the reads, and against an
// end of the header block that is not the first empty line after the request line.
func FuzzBlockScanner(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.0\nA: b\n\nbody", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"G\r\r\n\r\r\n\r\n", "\n\n\n", "a\n\rb\n\r\n", strings.Repeat("a:\r\n", 100) + "\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		whole := scanInPieces(data, len(data)+1)
		if inPieces := scanInPieces(data, max(1, piece%64)); inPieces != whole {
			t.Fatalf("in pieces %+v, at once %+v", inPieces, whole)
		}
		want, ended := 0, false
		seen := false
		for _, line := range bytes.SplitAfter(data, []byte("\n")) {
			want += len(line)
			isEmpty := string(line) == "\n" || string(line) == "\r\n"
			if ended = isEmpty && seen; ended {
				break
			}
			seen = seen || !isEmpty && bytes.HasSuffix(line, []byte("\n"))
		}
		if int(whole.bytes) != want || whole.ended != ended {
			t.Fatalf("%d bytes, ended %v; want %d, %v", whole.bytes, whole.ended, want, ended)
		}
	})
}
