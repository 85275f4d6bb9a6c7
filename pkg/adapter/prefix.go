package adapter

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of the blocks in which engines cache prompts.
const PrefixBlockBytes = 64

// PrefixHashes returns the hashes of all prefixes of the prompt that consist of
// complete blocks, shortest first. For example, a prompt of 150 bytes has the
// hashes of its first 64 and its first 128 bytes. PrefixEvent.PrefixHash is
// computed in the same way.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	digest := xxhash.New()
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-PrefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
