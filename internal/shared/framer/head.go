package framer

import "golang.org/x/net/http/httpguts"

// MalformedError reports the head of a response that is not one of HTTP/1.1.
type MalformedError struct {
	Reason string
}

func (e *MalformedError) Error() string { return "malformed response head: " + e.Reason }

// part is what a byte of a head belongs to.
type part int

const (
	partStatusLine part = iota
	partName
	partValue
)

// statusLineBytes is the length of a status line up to its status, as in "HTTP/1.1 200".
const statusLineBytes = len("HTTP/1.1 200")

// headScanner checks the head of a response in the bytes as they arrive. Interim responses before
// it are checked too. It keeps no part of the head but the beginning of the status line.
type headScanner struct {
	part part
	// start is the beginning of the status line, and length that of the status line or the name.
	start  [statusLineBytes]byte
	length int
	// returned is set if the last byte was a carriage return.
	returned bool
	ended    bool
}

// scan checks bytes up to the end of the head. It returns a *MalformedError.
func (s *headScanner) scan(data []byte) error {
	for _, b := range data {
		if s.ended {
			return nil
		}
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(b byte) error {
	switch {
	case s.returned && b != '\n':
		return &MalformedError{Reason: "carriage return within a line"}
	case s.returned:
		s.returned = false
		return s.endLine()
	case b == '\r':
		s.returned = true
	case b == '\n':
		return &MalformedError{Reason: "line feed without a carriage return"}
	case s.part == partName:
		return s.addToName(b)
	case isControl(b):
		return &MalformedError{Reason: "control character"}
	case s.part == partStatusLine:
		if s.length < statusLineBytes {
			s.start[s.length] = b
		}
		if s.length == statusLineBytes && b != ' ' {
			return &MalformedError{Reason: "invalid status line"}
		}
		s.length++
	}
	return nil
}

func (s *headScanner) addToName(b byte) error {
	switch {
	case b == ':' && s.length > 0:
		s.part = partValue
	case !httpguts.IsTokenRune(rune(b)):
		return &MalformedError{Reason: "invalid field name"}
	default:
		s.length++
	}
	return nil
}

func (s *headScanner) endLine() error {
	switch {
	case s.part == partStatusLine && !s.isStatusValid():
		return &MalformedError{Reason: "invalid status line"}
	case s.part == partName && s.length > 0:
		return &MalformedError{Reason: "line without a colon"}
	case s.part == partName && s.isInterim():
		*s = headScanner{}
		return nil
	case s.part == partName:
		s.ended = true
	}
	s.part, s.length = partName, 0
	return nil
}

// isStatusValid reports whether the status line has a version of HTTP/1 and a status from 100 to
// 599.
func (s *headScanner) isStatusValid() bool {
	if s.length < statusLineBytes {
		return false
	}
	version, digits := s.start[:len("HTTP/1.")], s.start[len("HTTP/1.1 "):]
	return string(version) == "HTTP/1." && isDigit(s.start[7]) && s.start[8] == ' ' &&
		digits[0] >= '1' && digits[0] <= '5' && isDigit(digits[1]) && isDigit(digits[2])
}

// isInterim reports whether another response follows.
func (s *headScanner) isInterim() bool {
	status := string(s.start[len("HTTP/1.1 "):])
	return status[0] == '1' && status != "101"
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether a byte is not allowed in the value of a field.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
