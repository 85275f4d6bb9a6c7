// Package verifier verifies weights against a manifest that lists the digest of each chunk.
// A version is identified by the digest of its manifest.
package verifier

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// Limits of a manifest. It comes from another process, so that its size is checked before
// it is decoded.
const (
	// DefaultChunkBytes is the default chunk size of new manifests.
	DefaultChunkBytes = 4 << 20
	// MaxChunkBytes is the maximum chunk size. It limits the memory of one request.
	MaxChunkBytes = 16 << 20
	// MaxChunks is the maximum number of chunks: 512 GiB of weights in chunks of the
	// default size.
	MaxChunks = 128 << 10
	// MaxManifestBytes is the maximum size of an encoded manifest. It fits MaxChunks
	// digests of 67 bytes each: 64 digits, quotes and a comma.
	MaxManifestBytes = 9 << 20
	// maxNameBytes is the maximum length of the model and of the version name.
	maxNameBytes = 256
)

// Digest is a BLAKE3 or SHA-256 digest. Its text form is lower-case hexadecimal.
type Digest [32]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.New("digest does not have 64 hexadecimal digits")
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// AlgorithmSHA256 is the Manifest.Algorithm for origins that publish SHA-256 digests of
// their chunks.
const AlgorithmSHA256 = "sha-256"

// Manifest describes one version of a model or adapter: its size and the digests of its
// chunks.
type Manifest struct {
	Model          string `json:"model"`
	Name           string `json:"name"`
	SizeBytes      int64  `json:"size-bytes"`
	ChunkSizeBytes int64  `json:"chunk-size-bytes"`
	// Algorithm is the algorithm of the chunk digests: AlgorithmSHA256, or empty for
	// BLAKE3.
	Algorithm string   `json:"algorithm,omitempty"`
	Chunks    []Digest `json:"chunks"`
}

// ManifestError reports an invalid manifest, or weights for which no manifest can be
// built.
type ManifestError struct {
	Reason string
	Cause  error
}

func (e *ManifestError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("invalid manifest: %s: %v", e.Reason, e.Cause)
	}
	return "invalid manifest: " + e.Reason
}

func (e *ManifestError) Unwrap() error { return e.Cause }

// DigestError reports a digest mismatch. Chunk is the chunk index, or -1 for the manifest.
type DigestError struct {
	Chunk    int
	Expected string
	Found    string
}

func (e *DigestError) Error() string {
	if e.Chunk < 0 {
		return fmt.Sprintf("manifest has digest %s, expected %s", e.Found, e.Expected)
	}
	return fmt.Sprintf("chunk %d has digest %s, expected %s", e.Chunk, e.Found, e.Expected)
}

// Canonical returns the canonical encoding of the manifest: compact JSON with the fields in
// the order of the type, for example
// {"model":"m","name":"m-1","size-bytes":3,"chunk-size-bytes":4,"chunks":["…"]}.
func (m *Manifest) Canonical() []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	// Encoding a struct of strings, integers and digests cannot fail.
	_ = enc.Encode(m)
	return bytes.TrimRight(out.Bytes(), "\n")
}

// Digest returns the BLAKE3 digest of the canonical encoding, which identifies the version.
func (m *Manifest) Digest() string { return Sum(m.Canonical()) }

// ChunkBytes returns the length of a chunk. The last chunk may be shorter than the others.
func (m *Manifest) ChunkBytes(index int) int64 {
	return min(m.ChunkSizeBytes, m.SizeBytes-m.ChunkOffset(index))
}

// ChunkOffset returns the offset of a chunk in bytes.
func (m *Manifest) ChunkOffset(index int) int64 { return int64(index) * m.ChunkSizeBytes }

// sum returns the digest of the data of a chunk.
func (m *Manifest) sum(data []byte) Digest {
	if m.Algorithm == AlgorithmSHA256 {
		return sha256.Sum256(data)
	}
	return blake3.Sum256(data)
}

// Sum returns the BLAKE3 digest of data in lower-case hexadecimal.
func Sum(data []byte) string { return Digest(blake3.Sum256(data)).String() }

// ParseManifest decodes and validates a manifest. It rejects one that is not in the canonical
// encoding, because the same manifest would then have more than one digest.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, &ManifestError{Reason: fmt.Sprintf("it has %d bytes, the limit is %d", len(data), MaxManifestBytes)}
	}
	m := &Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, &ManifestError{Reason: "not valid JSON", Cause: err}
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	if !bytes.Equal(m.Canonical(), data) {
		return nil, &ManifestError{Reason: "not in canonical form"}
	}
	return m, nil
}

// ParseExpectedManifest is like ParseManifest and also checks that the manifest has the given
// digest.
func ParseExpectedManifest(data []byte, digest string) (*Manifest, error) {
	if found := Sum(data); found != digest {
		return nil, &DigestError{Chunk: -1, Expected: digest, Found: found}
	}
	return ParseManifest(data)
}

// validate checks the fields and their limits.
func (m *Manifest) validate() error {
	switch {
	case m.Model == "" || len(m.Model) > maxNameBytes:
		return &ManifestError{Reason: fmt.Sprintf("model is empty or longer than %d bytes", maxNameBytes)}
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return &ManifestError{Reason: fmt.Sprintf("name is empty or longer than %d bytes", maxNameBytes)}
	case m.ChunkSizeBytes < 1 || m.ChunkSizeBytes > MaxChunkBytes:
		return &ManifestError{Reason: fmt.Sprintf("chunk-size-bytes is %d, must be 1 to %d", m.ChunkSizeBytes, MaxChunkBytes)}
	case m.SizeBytes < 1 || m.SizeBytes > MaxChunks*m.ChunkSizeBytes:
		return &ManifestError{Reason: fmt.Sprintf("size-bytes is %d, must be 1 to %d chunks", m.SizeBytes, MaxChunks)}
	case int64(len(m.Chunks)) != (m.SizeBytes+m.ChunkSizeBytes-1)/m.ChunkSizeBytes:
		return &ManifestError{Reason: fmt.Sprintf("%d chunks of %d bytes do not match size-bytes %d", len(m.Chunks), m.ChunkSizeBytes, m.SizeBytes)}
	}
	return nil
}

// BuildManifest reads weights until EOF and returns their manifest with BLAKE3 digests.
func BuildManifest(model, name string, chunkSizeBytes int64, r io.Reader) (*Manifest, error) {
	if chunkSizeBytes < 1 || chunkSizeBytes > MaxChunkBytes {
		return nil, &ManifestError{Reason: fmt.Sprintf("chunk-size-bytes is %d, must be 1 to %d", chunkSizeBytes, MaxChunkBytes)}
	}
	m := &Manifest{Model: model, Name: name, ChunkSizeBytes: chunkSizeBytes}
	buf := make([]byte, chunkSizeBytes)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			m.Chunks = append(m.Chunks, blake3.Sum256(buf[:n]))
			m.SizeBytes += int64(n)
		}
		if len(m.Chunks) > MaxChunks {
			return nil, &ManifestError{Reason: fmt.Sprintf("more than %d chunks", MaxChunks)}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return m, m.validate()
		}
		if err != nil {
			return nil, &ManifestError{Reason: "cannot read the weights", Cause: err}
		}
	}
}
