package emulator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	syllablesPerToken = 4
	syllableStarts    = "bdfghjklmnprstvz"
	syllableEnds      = "aeio"
)

// Token returns the token at an index of the answer to a prompt. It depends
// on the version too, so that an answer that mixes versions, loses a token or
// repeats one differs from Answer.
func Token(version, prompt string, index int, seed int64) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(version)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	var tail [16]byte
	binary.LittleEndian.PutUint64(tail[:8], uint64(index))
	binary.LittleEndian.PutUint64(tail[8:], uint64(seed))
	_, _ = digest.Write(tail[:])
	bits := digest.Sum64()
	word := make([]byte, 0, 1+2*syllablesPerToken)
	if index > 0 {
		word = append(word, ' ')
	}
	for range syllablesPerToken {
		word = append(word, syllableStarts[bits&15], syllableEnds[bits>>4&3])
		bits >>= 6
	}
	return string(word)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(version, prompt string, n int, seed int64) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = Token(version, prompt, i, seed)
	}
	return tokens
}
