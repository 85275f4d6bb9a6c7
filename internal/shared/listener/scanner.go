package listener

import "bytes"

// blockScanner finds the end of the header block of an HTTP/1 request in the bytes as they
// arrive, and counts its bytes and lines.
type blockScanner struct {
	bytes int32
	lines int32
	// lineBytes is the length of the present line so far, without a carriage return at its end.
	lineBytes int32
	// returned is set if the last byte was a carriage return.
	returned bool
	ended    bool
}

// scan reads bytes up to the end of the block.
func (s *blockScanner) scan(data []byte) {
	n := 0
	for n < len(data) && !s.ended {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			s.addToLine(data[n:])
			n = len(data)
			break
		}
		s.addToLine(data[n : n+end])
		n += end + 1
		s.endLine()
	}
	s.bytes += int32(n)
}

// addToLine adds bytes without a line feed to the present line.
func (s *blockScanner) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.returned {
		s.lineBytes++
	}
	s.returned = part[len(part)-1] == '\r'
	s.lineBytes += int32(len(part))
	if s.returned {
		s.lineBytes--
	}
}

// endLine ends the present line. An empty line ends the block, unless it stands before the
// first line, where servers skip it.
func (s *blockScanner) endLine() {
	if s.lineBytes > 0 {
		s.lines++
	} else if s.lines > 0 {
		s.ended = true
	}
	s.lineBytes, s.returned = 0, false
}

// fields returns the number of header fields so far.
func (s *blockScanner) fields() int { return int(max(0, s.lines-1)) }
