package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a revision of another daemon that makes this one panic or
// that changes when it is passed on.
func FuzzDecodeRevision(f *testing.F) {
	f.Add([]byte(`{"revision":7,"objects":[{"kind":"team","name":"a","key-digests":null,"weight":1}]}`))
	f.Add([]byte(`{"revision":7}`))
	f.Add([]byte(`{"objects":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		revision, err := decodeRevision(data)
		if err != nil {
			return
		}
		encoded, err := encodeRevision(revision)
		qt.Assert(t, err, qt.IsNil)
		again, err := decodeRevision(encoded)
		qt.Assert(t, err, qt.IsNil)
		repeated, err := encodeRevision(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(repeated), qt.Equals, string(encoded))
		qt.Assert(t, again.Number, qt.Equals, revision.Number)
	})
}
