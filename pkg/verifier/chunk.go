package verifier

// Chunk is a chunk whose digest was checked. Only Check makes one, so a stage
// that takes a Chunk cannot be given unverified bytes.
type Chunk struct {
	index int
	data  []byte
	of    Digest
}

// Index returns the chunk's position in the version.
func (c Chunk) Index() int { return c.index }

// Data returns the chunk's bytes, which must not be changed.
func (c Chunk) Data() []byte { return c.data }

// Digest returns the digest that was checked.
func (c Chunk) Digest() Digest { return c.of }

// RangeError reports a chunk index that the manifest does not have.
type RangeError struct {
	Chunk  int
	Chunks int
}

func (e *RangeError) Error() string { return "chunk index outside the manifest" }

// Check compares the bytes with the digest that the manifest lists.
func Check(m *Manifest, index int, data []byte) (Chunk, error) {
	if index < 0 || index >= len(m.Chunks) {
		return Chunk{}, &RangeError{Chunk: index, Chunks: len(m.Chunks)}
	}
	found := m.sum(data)
	if found != m.Chunks[index] {
		return Chunk{}, &DigestError{Chunk: index, Expected: m.Chunks[index].String(), Found: found.String()}
	}
	return Chunk{index: index, data: data, of: found}, nil
}
