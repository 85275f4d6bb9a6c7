package adapter

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of the prompt blocks that engines cache.
const PrefixBlockBytes = 64

// PrefixHashes returns the hash of each prefix of the prompt that ends at a
// whole block, shortest first. They are the hashes in a PrefixEvent: a prompt
// of 150 bytes has two, of its first 64 and of its first 128 bytes.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	digest := xxhash.New()
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-PrefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
