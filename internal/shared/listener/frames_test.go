package listener

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"
)

// frameRecorder records what a scanner finds.
type frameRecorder struct {
	Begun   []frame
	Data    []byte
	Credits []uint32
}

func (r *frameRecorder) begin(f frame)                 { r.Begun = append(r.Begun, f) }
func (r *frameRecorder) data(_ uint32, data []byte)    { r.Data = append(r.Data, data...) }
func (r *frameRecorder) credit(_ uint32, bytes uint32) { r.Credits = append(r.Credits, bytes) }

func scanFrames(data []byte, piece int) *frameRecorder {
	var s frameScanner
	r := &frameRecorder{}
	for len(data) > 0 {
		n := min(piece, len(data))
		s.scan(data[:n], r)
		data = data[n:]
	}
	return r
}

// TestFrameScanner guards against frames that are not found, or padding that counts as a message.
func TestFrameScanner(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	f := http2.NewFramer(&out, nil)
	c.Assert(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("block"), EndHeaders: true}), qt.IsNil)
	c.Assert(f.WriteData(1, false, []byte("one")), qt.IsNil)
	c.Assert(f.WriteDataPadded(1, false, []byte("two"), make([]byte, 7)), qt.IsNil)
	c.Assert(f.WriteDataPadded(1, false, nil, make([]byte, 7)), qt.IsNil)
	c.Assert(f.WriteWindowUpdate(1, 4711), qt.IsNil)
	c.Assert(f.WriteRSTStream(1, http2.ErrCodeCancel), qt.IsNil)
	for _, piece := range []int{out.Len(), 1, 2, 5} {
		got := scanFrames(out.Bytes(), piece)
		c.Check(string(got.Data), qt.Equals, "onetwo")
		c.Check(got.Credits, qt.DeepEquals, []uint32{4711})
		kinds := []byte{}
		for _, b := range got.Begun {
			kinds = append(kinds, b.kind)
		}
		c.Check(kinds, qt.DeepEquals, []byte{frameHeaders, frameData, frameData, frameData, frameWindow, frameReset})
	}
}

// FuzzFrameScanner guards against a panic, and against a result that depends on the sizes of the
// reads.
func FuzzFrameScanner(f *testing.F) {
	f.Add([]byte{}, 1)
	f.Add([]byte{0, 0, 3, 0, 8, 0, 0, 0, 1, 2, 0, 0}, 2)
	f.Add([]byte{0, 0, 1, 0, 8, 0, 0, 0, 1, 9, 0, 0, 4, 8, 0, 0, 0, 0, 1, 1, 2, 3, 4}, 3)
	f.Add([]byte{0, 0, 5, 8, 0, 0, 0, 0, 1, 1, 2, 3, 4, 5, 0, 0, 0, 3, 0, 0, 0, 0, 1}, 4)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		whole, inPieces := scanFrames(data, len(data)+1), scanFrames(data, max(1, piece%64))
		if !reflect.DeepEqual(inPieces, whole) {
			t.Fatalf("in pieces %+v, at once %+v", inPieces, whole)
		}
	})
}

// TestMessages guards against messages whose memory counts after they are complete, or not at all.
func TestMessages(t *testing.T) {
	message := func(n int) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(n)), make([]byte, n)...)
	}
	tests := []struct {
		name     string
		data     []byte
		partial  int64
		complete int64
	}{
		{"nothing", nil, 0, 0},
		{"part of a prefix", message(100)[:3], 0, 0},
		{"part of a message", message(100)[:50], 45, 0},
		{"a message", message(100), 0, 1},
		{"empty messages", append(message(0), message(0)...), 0, 2},
		{"a message and a part", append(message(10), message(100)[:25]...), 20, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for _, piece := range []int{1, 7, len(tc.data) + 1} {
				var s stream
				complete := int64(0)
				for data := tc.data; len(data) > 0; {
					n := min(piece, len(data))
					complete += s.add(data[:n])
					data = data[n:]
				}
				qt.Check(t, s.partial, qt.Equals, tc.partial)
				qt.Check(t, complete, qt.Equals, tc.complete)
			}
		})
	}
}

// TestFrames guards against short frames whose memory does not count, and against frames that count
// after they were read.
func TestFrames(t *testing.T) {
	const frames, size = 10 * freeFrames, 100
	const counted = (frames - freeFrames) * frameBytes
	tests := []struct {
		name string
		// message is the size of the first message.
		message int
		// credits are the bytes that the server makes room for.
		credits []int64
		want    int64
	}{
		{"incomplete message", 1 << 30, nil, 2*frames*size - messagePrefixBytes + 2*counted},
		{"messages that are not read", size - messagePrefixBytes, nil, frames*size + counted},
		{"half is read", size - messagePrefixBytes, []int64{frames * size / 2}, frames*size/2 + (frames/2-freeFrames)*frameBytes},
		{"all is read", size - messagePrefixBytes, []int64{frames * size / 2, frames * size / 2}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var s stream
			one := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(tc.message)), make([]byte, size-messagePrefixBytes)...)
			for range frames {
				s.beginFrame()
				s.unread += size
				s.add(one)
			}
			for _, n := range tc.credits {
				s.addCredit(n)
			}
			qt.Check(t, s.cost(), qt.Equals, tc.want)
		})
	}
}
