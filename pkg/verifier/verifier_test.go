package verifier_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// build returns a manifest of three chunks, the last one shorter.
func build(t testing.TB) *verifier.Manifest {
	t.Helper()
	m, err := verifier.BuildManifest("m", "m-1", 4, strings.NewReader("0123456789"))
	qt.New(t).Assert(err, qt.IsNil)
	return m
}

// Guards against a manifest whose digest or content changes when it is encoded and parsed.
func TestParseReturnsBuiltManifest(t *testing.T) {
	c := qt.New(t)
	m := build(t)
	c.Assert(m.Chunks, qt.HasLen, 3)
	c.Assert(m.ChunkBytes(2), qt.Equals, int64(2))
	parsed, err := verifier.ParseExpectedManifest(m.Canonical(), m.Digest())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, m)
}

// Guards against accepting more than one encoding of a manifest, and against sizes that
// would make the agent allocate unbounded memory.
func TestParseRejectsInvalidManifest(t *testing.T) {
	good := string(build(t).Canonical())
	tests := []struct{ name, data string }{
		{"not canonical", good + " "},
		{"unknown field", strings.Replace(good, `{"model"`, `{"x":1,"model"`, 1)},
		{"upper-case digest", strings.ToUpper(good)},
		{"chunk count", strings.Replace(good, `"size-bytes":10`, `"size-bytes":13`, 1)},
		{"no chunk size", strings.Replace(good, `"chunk-size-bytes":4`, `"chunk-size-bytes":0`, 1)},
		{"huge chunk size", strings.Replace(good, `"chunk-size-bytes":4`, `"chunk-size-bytes":99999999999`, 1)},
		{"negative size", strings.Replace(good, `"size-bytes":10`, `"size-bytes":-1`, 1)},
		{"no model", strings.Replace(good, `"model":"m"`, `"model":""`, 1)},
		{"too large", good + strings.Repeat(" ", verifier.MaxManifestBytes)},
		{"empty", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := verifier.ParseManifest([]byte(test.data))
			var manifestErr *verifier.ManifestError
			qt.New(t).Assert(errors.As(err, &manifestErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against accepting corrupt data or the data of another chunk.
func TestCheckRejectsOtherData(t *testing.T) {
	c := qt.New(t)
	m := build(t)
	chunk, err := verifier.VerifyChunk(m, 1, []byte("4567"))
	c.Assert(err, qt.IsNil)
	c.Assert(chunk.Index(), qt.Equals, 1)
	for _, data := range []string{"4568", "0123", "456", ""} {
		_, err := verifier.VerifyChunk(m, 1, []byte(data))
		var digestErr *verifier.DigestError
		c.Assert(errors.As(err, &digestErr), qt.IsTrue)
	}
	_, err = verifier.VerifyChunk(m, 3, nil)
	var rangeErr *verifier.RangeError
	c.Assert(errors.As(err, &rangeErr), qt.IsTrue)
}

// FuzzParse checks that every accepted manifest is in its canonical encoding.
func FuzzParse(f *testing.F) {
	f.Add(build(f).Canonical())
	f.Add([]byte(`{"model":"m","name":"n","size-bytes":1,"chunk-size-bytes":1,"chunks":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := verifier.ParseManifest(data)
		if err != nil {
			return
		}
		if !bytes.Equal(m.Canonical(), data) {
			t.Fatalf("accepted manifest is not canonical: %q", data)
		}
	})
}

// TestSHA256Chunks guards against verifying the chunks of an origin with SHA-256 digests by
// another algorithm, and against equal digests of two manifests that differ only in the
// algorithm.
func TestSHA256Chunks(t *testing.T) {
	c := qt.New(t)
	data := []byte("weights!")
	m := &verifier.Manifest{Model: "m", Name: "1", SizeBytes: 8, ChunkSizeBytes: 8, Algorithm: verifier.AlgorithmSHA256, Chunks: []verifier.Digest{sha256.Sum256(data)}}
	_, err := verifier.VerifyChunk(m, 0, data)
	c.Assert(err, qt.IsNil)
	_, err = verifier.VerifyChunk(m, 0, []byte("corrupt!"))
	var digestErr *verifier.DigestError
	c.Assert(errors.As(err, &digestErr), qt.IsTrue)
	blake3Manifest := *m
	blake3Manifest.Algorithm = ""
	_, err = verifier.VerifyChunk(&blake3Manifest, 0, data)
	c.Assert(errors.As(err, &digestErr), qt.IsTrue)
	c.Assert(blake3Manifest.Digest(), qt.Not(qt.Equals), m.Digest())
	parsed, err := verifier.ParseManifest(m.Canonical())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, m)
}
