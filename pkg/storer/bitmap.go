package storer

import "math/bits"

// Bitmap has one bit per chunk, least significant bit first.
type Bitmap []byte

// NewBitmap returns a bitmap for n chunks with no bit set.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether bit i is set. It returns false for an index outside the bitmap.
func (b Bitmap) Has(i int) bool {
	return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// Set sets bit i.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Count returns the number of set bits.
func (b Bitmap) Count() int {
	n := 0
	for _, octet := range b {
		n += bits.OnesCount8(octet)
	}
	return n
}

// Clone returns a copy of the bitmap.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

// Indexes returns the indexes below limit of the set bits. The limit matters for a bitmap
// from another process, which may have more bits than the version has chunks.
func (b Bitmap) Indexes(limit int) []uint32 {
	var out []uint32
	for i := range min(limit, 8*len(b)) {
		if b.Has(i) {
			out = append(out, uint32(i))
		}
	}
	return out
}
