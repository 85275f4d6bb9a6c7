package listener

import (
	"fmt"

	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// An empty message in a list takes two bytes, and up to 300 bytes once it is decoded. So the memory
// of the elements of a message may be elementFactor times the bytes of the message and another
// freeElementFactor times, up to freeElementBytes. The shortest header fields of a call need 23
// times their bytes, 600 KiB for a header block of 16 KiB, and reports of daemons up to eight times, and
// a complete directory five times.
const (
	elementFactor     = 6
	freeElementFactor = 20
	freeElementBytes  = 640 << 10
	// messageElementBytes and textElementBytes are about the memory of a message and of a text in a
	// list, without their contents, and numberElementBytes that of a number.
	messageElementBytes = 128
	textElementBytes    = 32
	numberElementBytes  = 8
	// uncheckedBytes is the size up to which the memory of a call covers the elements of a message.
	uncheckedBytes = 2 * callBytes / messageElementBytes
)

// elementsError reports a message whose elements need too much memory.
type elementsError struct{ Bytes int }

func (e *elementsError) Error() string {
	return fmt.Sprintf("a message of %d bytes has too many elements", e.Bytes)
}

// boundedCodec is the codec of gRPC for protobuf, which refuses messages that need many times their
// bytes once they are decoded.
type boundedCodec struct{ encoding.CodecV2 }

func newBoundedCodec() boundedCodec { return boundedCodec{encoding.GetCodecV2(protocodec.Name)} }

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok || data.Len() <= uncheckedBytes {
		return c.CodecV2.Unmarshal(data, v)
	}
	whole := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer whole.Free()
	size := whole.Len()
	limit := elementFactor*size + min(freeElementFactor*size, freeElementBytes)
	if leftForElements(whole.ReadOnlyData(), message.ProtoReflect().Descriptor(), limit) < 0 {
		return &elementsError{Bytes: size}
	}
	return c.CodecV2.Unmarshal(mem.BufferSlice{whole}, v)
}

// leftForElements returns what the elements of an encoded message leave of an amount of memory. A
// negative result is not exact. What is malformed is left to the decoder, which stops there, too.
func leftForElements(data []byte, d protoreflect.MessageDescriptor, left int) int {
	for len(data) > 0 && left >= 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return left
		}
		size := protowire.ConsumeFieldValue(number, kind, data[n:])
		if size < 0 {
			return left
		}
		value := data[n : n+size]
		data = data[n+size:]
		field := d.Fields().ByNumber(number)
		switch {
		case field == nil:
		case kind == protowire.BytesType && field.Message() != nil:
			content, _ := protowire.ConsumeBytes(value)
			left = leftForElements(content, field.Message(), left-messageElementBytes)
		case !field.IsList():
		case kind == protowire.BytesType && field.Kind() != protoreflect.StringKind && field.Kind() != protoreflect.BytesKind:
			// Numbers of a packed list have at least one byte each.
			left -= numberElementBytes * len(value)
		default:
			left -= textElementBytes
		}
	}
	return left
}
