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

func build(t testing.TB) *verifier.Manifest {
	t.Helper()
	m, err := verifier.Build("m", "m-1", 4, strings.NewReader("0123456789"))
	qt.New(t).Assert(err, qt.IsNil)
	return m
}

// Guards against a manifest whose identity changes when it is read back.
func TestParseReturnsBuiltManifest(t *testing.T) {
	c := qt.New(t)
	m := build(t)
	c.Assert(m.Chunks, qt.HasLen, 3)
	c.Assert(m.ChunkBytes(2), qt.Equals, int64(2))
	again, err := verifier.ParseExpected(m.Canonical(), m.Digest())
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, m)
}

// Guards against two manifests for one identity and against sizes that would
// make the agent reserve memory without bound.
func TestParseRefusesMalformedManifest(t *testing.T) {
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
			_, err := verifier.Parse([]byte(test.data))
			var manifestErr *verifier.ManifestError
			qt.New(t).Assert(errors.As(err, &manifestErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against corrupt bytes, or bytes of another chunk, passing as a chunk.
func TestCheckRefusesOtherBytes(t *testing.T) {
	c := qt.New(t)
	m := build(t)
	chunk, err := verifier.Check(m, 1, []byte("4567"))
	c.Assert(err, qt.IsNil)
	c.Assert(chunk.Index(), qt.Equals, 1)
	for _, data := range []string{"4568", "0123", "456", ""} {
		_, err := verifier.Check(m, 1, []byte(data))
		var digestErr *verifier.DigestError
		c.Assert(errors.As(err, &digestErr), qt.IsTrue)
	}
	_, err = verifier.Check(m, 3, nil)
	var rangeErr *verifier.RangeError
	c.Assert(errors.As(err, &rangeErr), qt.IsTrue)
}

func FuzzParse(f *testing.F) {
	f.Add(build(f).Canonical())
	f.Add([]byte(`{"model":"m","name":"n","size-bytes":1,"chunk-size-bytes":1,"chunks":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := verifier.Parse(data)
		if err != nil {
			return
		}
		if !bytes.Equal(m.Canonical(), data) {
			t.Fatalf("accepted manifest is not canonical: %q", data)
		}
	})
}

// TestSHA256Chunks guards against chunks of an origin with SHA-256 digests that
// are compared by another algorithm, and against two manifests that differ in
// the algorithm only and share an identity.
func TestSHA256Chunks(t *testing.T) {
	c := qt.New(t)
	data := []byte("weights!")
	m := &verifier.Manifest{Model: "m", Name: "1", SizeBytes: 8, ChunkSizeBytes: 8, Algorithm: verifier.AlgorithmSHA256, Chunks: []verifier.Digest{sha256.Sum256(data)}}
	_, err := verifier.Check(m, 0, data)
	c.Assert(err, qt.IsNil)
	_, err = verifier.Check(m, 0, []byte("spoilt!!"))
	var wrong *verifier.DigestError
	c.Assert(errors.As(err, &wrong), qt.IsTrue)
	plain := *m
	plain.Algorithm = ""
	_, err = verifier.Check(&plain, 0, data)
	c.Assert(errors.As(err, &wrong), qt.IsTrue)
	c.Assert(plain.Digest(), qt.Not(qt.Equals), m.Digest())
	parsed, err := verifier.Parse(m.Canonical())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, m)
}
