package parser

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against revisions that make the daemon that receives them panic, or that
// change when a daemon forwards them.
func FuzzDecodeRevision(f *testing.F) {
	f.Add([]byte(`{"revision":7,"objects":[{"kind":"team","name":"a","key-digests":null,"weight":1}]}`))
	f.Add([]byte(`{"revision":7}`))
	f.Add([]byte(`{"objects":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		revision, err := DecodeRevision(data)
		if err != nil {
			return
		}
		encoded, err := EncodeRevision(revision)
		qt.Assert(t, err, qt.IsNil)
		again, err := DecodeRevision(encoded)
		qt.Assert(t, err, qt.IsNil)
		repeated, err := EncodeRevision(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(repeated), qt.Equals, string(encoded))
		qt.Assert(t, again.Number, qt.Equals, revision.Number)
	})
}
