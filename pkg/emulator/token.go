package emulator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	syllablesPerToken = 4
	consonants        = "bdfghjklmnprstvz"
	vowels            = "aeio"
)

// Token returns the token at an index of the answer to a prompt. Tokens are
// derived from the version, the prompt, the index and the seed, so that an
// answer that mixes versions or has a lost or duplicate token differs from
// Answer.
func Token(version, prompt string, index int, seed int64) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(version)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	var indexAndSeed [16]byte
	binary.LittleEndian.PutUint64(indexAndSeed[:8], uint64(index))
	binary.LittleEndian.PutUint64(indexAndSeed[8:], uint64(seed))
	_, _ = digest.Write(indexAndSeed[:])
	bits := digest.Sum64()
	word := make([]byte, 0, 1+2*syllablesPerToken)
	if index > 0 {
		word = append(word, ' ')
	}
	for range syllablesPerToken {
		word = append(word, consonants[bits&15], vowels[bits>>4&3])
		bits >>= 6
	}
	return string(word)
}

// Answer returns the first n tokens of the expected answer to a prompt.
func Answer(version, prompt string, n int, seed int64) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = Token(version, prompt, i, seed)
	}
	return tokens
}
