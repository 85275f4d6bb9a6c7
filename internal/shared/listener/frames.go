package listener

import "encoding/binary"

// Frames of HTTP/2.
const (
	frameHeaderBytes = 9
	frameData        = 0
	frameHeaders     = 1
	frameReset       = 3
	frameWindow      = 8
	// frameContinuation continues a header block that does not fit into one frame of 16 KiB.
	frameContinuation = 9
	flagEndStream     = 1
	flagPadded        = 8
	// prefaceBytes is the length of what a client sends before its first frame.
	prefaceBytes = 24
	windowBytes  = 4
)

// frame is the head of a frame.
type frame struct {
	kind   byte
	flags  byte
	stream uint32
	length int
}

// frameScanner finds the frames in the bytes of one direction of a connection.
type frameScanner struct {
	// skip is the number of bytes before the next frame.
	skip int
	// head holds the first bytes of the head of a frame, of which headBytes have arrived.
	head      [frameHeaderBytes]byte
	headBytes int
	// current is the frame whose payload arrives, and left what is missing of it.
	current frame
	left    int
	// padding is the number of bytes at the end of the payload that are not data. padded is set if
	// the first byte of the payload is this number.
	padding int
	padded  bool
	// window holds the bytes of the payload of a window update.
	window      [windowBytes]byte
	windowBytes int
}

// frameHandler receives the frames of a frameScanner.
type frameHandler interface {
	// begin is called for the head of each frame.
	begin(f frame)
	// data is called for the data of DATA frames as it arrives.
	data(stream uint32, data []byte)
	// credit is called for each window update.
	credit(stream uint32, bytes uint32)
}

// scan passes the frames in the next bytes to a handler.
func (s *frameScanner) scan(p []byte, h frameHandler) {
	for len(p) > 0 {
		switch {
		case s.skip > 0:
			n := min(s.skip, len(p))
			s.skip -= n
			p = p[n:]
		case s.left > 0:
			p = s.payload(p, h)
		default:
			n := copy(s.head[s.headBytes:], p)
			s.headBytes += n
			p = p[n:]
			if s.headBytes == frameHeaderBytes {
				s.begin(h)
			}
		}
	}
}

// begin begins the frame whose head has arrived.
func (s *frameScanner) begin(h frameHandler) {
	s.headBytes, s.windowBytes, s.padding = 0, 0, 0
	s.current = frame{
		length: int(s.head[0])<<16 | int(s.head[1])<<8 | int(s.head[2]), kind: s.head[3], flags: s.head[4],
		stream: binary.BigEndian.Uint32(s.head[5:]) &^ (1 << 31),
	}
	s.left = s.current.length
	s.padded = s.current.kind == frameData && s.current.flags&flagPadded != 0
	h.begin(s.current)
}

// payload passes on a part of the payload of the current frame and returns the rest.
func (s *frameScanner) payload(p []byte, h frameHandler) []byte {
	n := min(s.left, len(p))
	part := p[:n]
	if s.padded {
		s.padded = false
		s.padding = int(part[0])
		s.left--
		return p[1:]
	}
	switch s.current.kind {
	case frameData:
		if k := min(n, s.left-s.padding); k > 0 {
			h.data(s.current.stream, part[:k])
		}
	case frameWindow:
		s.windowBytes += copy(s.window[s.windowBytes:], part)
		if s.windowBytes == windowBytes && n == s.left {
			h.credit(s.current.stream, binary.BigEndian.Uint32(s.window[:])&^(1<<31))
		}
	}
	s.left -= n
	return p[n:]
}
