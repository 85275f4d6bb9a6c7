// Package splitter splits JSON objects and arrays into their values without decoding them.
// It finds the end of a value by counting brackets, so that values of any depth, which
// encoding/json refuses together with all that surrounds them, are split off from the others.
// The values themselves may be malformed.
package splitter

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// SyntaxError reports bytes that are not the expected object or array.
type SyntaxError struct {
	Offset int
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%s at offset %d", e.Reason, e.Offset) }

// Fields returns the values of an object by name. For example, {"a":[1],"b":2} has the values
// [1] and 2. The last one of a repeated name counts. The values share memory with data.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	s := scanner{data: data}
	out := map[string]json.RawMessage{}
	err := s.split('{', '}', func() error {
		key, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(key, &name) != nil {
			return s.fail("invalid field name")
		}
		if !s.accept(':') {
			return s.fail("missing colon")
		}
		out[name], err = s.value()
		return err
	})
	return out, err
}

// Elements returns the values of an array. They share memory with data.
func Elements(data []byte) ([]json.RawMessage, error) {
	s := scanner{data: data}
	var out []json.RawMessage
	err := s.split('[', ']', func() error {
		value, err := s.value()
		out = append(out, value)
		return err
	})
	return out, err
}

// Depth returns the number of arrays and objects that contain each other in a value. Of a
// malformed value, it is that of its opening brackets.
func Depth(value []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(value); i++ {
		switch value[i] {
		case '"':
			i = stringEnd(value, i) - 1
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

// scanner reads values from data.
type scanner struct {
	data []byte
	at   int
}

func (s *scanner) fail(reason string) error { return &SyntaxError{Offset: s.at, Reason: reason} }

// split reads the whole data, which has to be a list of items between two brackets.
func (s *scanner) split(open, end byte, item func() error) error {
	if !s.accept(open) {
		return s.fail(fmt.Sprintf("missing %q", open))
	}
	if !s.accept(end) {
		for {
			if err := item(); err != nil {
				return err
			}
			if s.accept(end) {
				break
			}
			if !s.accept(',') {
				return s.fail("missing comma")
			}
		}
	}
	if s.skipSpace(); s.at < len(s.data) {
		return s.fail("data after the end")
	}
	return nil
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

// accept skips space and then the byte c, and reports whether it was there.
func (s *scanner) accept(c byte) bool {
	s.skipSpace()
	if s.at == len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// value reads one value.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; {
		case c == '"':
			s.at = stringEnd(s.data, s.at)
			if depth == 0 {
				return s.data[start:s.at], nil
			}
			continue
		case c == '{' || c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at], nil
			}
		case depth == 0 && (isSpace(c) || bytes.IndexByte([]byte(",:}]"), c) >= 0):
			if s.at == start {
				return nil, s.fail("missing value")
			}
			return s.data[start:s.at], nil
		}
		s.at++
	}
	return nil, s.fail("unexpected end")
}

// stringEnd returns the offset after the string that begins at an offset, or the length of the
// data if the string does not end.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
