package verifier

// Chunk is a chunk with a verified digest. Only VerifyChunk creates one, so that a function
// that takes a Chunk cannot receive unverified data.
type Chunk struct {
	index  int
	data   []byte
	digest Digest
}

// Index returns the index of the chunk in the version.
func (c Chunk) Index() int { return c.index }

// Data returns the bytes of the chunk. The caller must not modify them.
func (c Chunk) Data() []byte { return c.data }

// Digest returns the verified digest.
func (c Chunk) Digest() Digest { return c.digest }

// RangeError reports a chunk index outside the manifest. Chunks is the number of chunks
// of the manifest.
type RangeError struct {
	Chunk  int
	Chunks int
}

func (e *RangeError) Error() string {
	return "chunk index outside the manifest"
}

// VerifyChunk verifies the data of a chunk against its digest in the manifest. It returns a
// *RangeError for an unknown index and a *DigestError for other data.
func VerifyChunk(m *Manifest, index int, data []byte) (Chunk, error) {
	if index < 0 || index >= len(m.Chunks) {
		return Chunk{}, &RangeError{Chunk: index, Chunks: len(m.Chunks)}
	}
	found := m.sum(data)
	if found != m.Chunks[index] {
		return Chunk{}, &DigestError{Chunk: index, Expected: m.Chunks[index].String(), Found: found.String()}
	}
	return Chunk{index: index, data: data, digest: found}, nil
}
