package identifier

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const (
	// bytesPerToken is the typical ratio of subword tokenizers for English text.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is used for prefix
	// affinity. It is long enough to distinguish system prompts, and short enough
	// to be the same in all requests of a conversation.
	prefixBytes = 1024
)

// EstimateTokens estimates the number of tokens of a text from its length.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// PrefixHash returns the hash of the prefix of a prompt. It is never 0. It covers
// complete blocks only, so that it equals one of the hashes that engines report for the
// prompt (see adapter.PrefixHashes). A prompt shorter than a block is hashed as a whole.
func PrefixHash(prompt string) uint64 {
	n := min(len(prompt), prefixBytes)
	if n >= adapter.PrefixBlockBytes {
		n -= n % adapter.PrefixBlockBytes
	}
	return max(xxhash.Sum64String(prompt[:n]), 1)
}

// fingerprint returns a digest of the team, target and content of a request. It starts
// with the name of the team, so that a list of blocked requests shows the team of each,
// for example
//
//	presses/5f1c…
func fingerprint(team string, t Target, parts ...[]byte) string {
	all := append([][]byte{[]byte(team), []byte(t.Model), []byte(t.Adapter), []byte(t.Service)}, parts...)
	return team + "/" + hex.EncodeToString(digest(all...))
}

// digest returns a hash of the parts. It includes their lengths, so that moving a byte
// from one part to the next changes the result.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return h.Sum(nil)
}

// quoteName quotes a name from a request or the configuration. Long names are truncated.
func quoteName(name string) string {
	const limit = 100
	if len(name) > limit {
		name = name[:limit] + "…"
	}
	return strconv.Quote(name)
}
