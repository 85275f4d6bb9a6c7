package adapter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against engine answers that crash the agent or pass as valid with
// numbers that no answer has.
func FuzzDecodeGenerated(f *testing.F) {
	f.Add([]byte(`{"offset":2,"tokens":[" kalomi"],"version":"v1"}`))
	f.Add([]byte(`{"end":true,"token-count":3,"finish-reason":"stop","version":"v1"}`))
	f.Add([]byte(`{"error":"canceled"}`))
	f.Add([]byte(`{"offset":-1}`))
	f.Add([]byte(`{"offset":1e30}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		piece, err := decodeGenerated(line)
		if err != nil {
			return
		}
		for _, n := range []int{piece.Offset, piece.TokenCount, piece.PromptTokens} {
			if n < 0 || n > maxTokenCount {
				t.Fatalf("%q gave the number %d", line, n)
			}
		}
	})
}

// Guards against prefix hashes that depend on what follows the prefix.
func TestPrefixHashes(t *testing.T) {
	c := qt.New(t)
	prefix := string(make([]byte, 2*PrefixBlockBytes))
	c.Assert(PrefixHashes(prefix), qt.HasLen, 2)
	c.Assert(PrefixHashes(prefix+"x"), qt.DeepEquals, PrefixHashes(prefix))
	c.Assert(PrefixHashes(prefix[1:]), qt.DeepEquals, PrefixHashes(prefix)[:1])
}
