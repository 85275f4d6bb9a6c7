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
	// bytesPerToken is the usual ratio of subword tokenizers for English text.
	bytesPerToken = 4
	// prefixBytes is the part of the prompt that placement by prefix looks at:
	// long enough to tell system prompts apart, short enough to be shared by
	// the requests of one conversation.
	prefixBytes = 1024
)

// EstimateTokens returns a rough number of tokens of a text.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// PrefixHash returns the hash of the start of a prompt, never 0. It covers
// whole blocks, so that it is one of the hashes that engines report for the
// prompt (see adapter.PrefixHashes). A prompt without a whole block is hashed
// as it is.
func PrefixHash(prompt string) uint64 {
	n := min(len(prompt), prefixBytes)
	if n >= adapter.PrefixBlockBytes {
		n -= n % adapter.PrefixBlockBytes
	}
	return max(xxhash.Sum64String(prompt[:n]), 1)
}

// fingerprint identifies a request by its content. It begins with the team,
// so that a list of blocked requests shows whose they are:
//
//	presses/5f1c…
func fingerprint(team string, t Target, parts ...[]byte) string {
	all := append([][]byte{[]byte(team), []byte(t.Model), []byte(t.Adapter), []byte(t.Service)}, parts...)
	return team + "/" + hex.EncodeToString(digest(all...))
}

// digest hashes the parts with their lengths, so that moving a byte from one
// part to the next changes the result.
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

func quote(name string) string {
	const limit = 100
	if len(name) > limit {
		name = name[:limit] + "…"
	}
	return strconv.Quote(name)
}
