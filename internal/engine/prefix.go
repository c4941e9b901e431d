package engine

import "github.com/cespare/xxhash/v2"

// Prefixes are hashed at lengths that double, starting at firstPrefix bytes: about 64 to 8,192 tokens.
const (
	firstPrefix   = 256
	prefixLengths = 8
	// BytesPerToken is the average used to estimate tokens from text without a tokenizer.
	BytesPerToken = 4
)

// PrefixLengths returns the lengths of the prefixes that are hashed, in bytes.
func PrefixLengths() []int {
	out := make([]int, prefixLengths)
	for i := range out {
		out[i] = firstPrefix << i
	}
	return out
}

// PrefixHashes returns the hash of each prefix of a prompt, shortest first. Engines identify their cache entries by the
// same hashes.
func PrefixHashes(prompt string) []uint64 {
	var out []uint64
	for _, n := range PrefixLengths() {
		if n > len(prompt) {
			break
		}
		out = append(out, xxhash.Sum64String(prompt[:n]))
	}
	return out
}

// ShortHashes keeps the low 32 bits of each hash, which is precise enough for cache estimates at half the bytes between
// hosts.
func ShortHashes(hashes []uint64) []uint32 {
	out := make([]uint32, len(hashes))
	for i, h := range hashes {
		out[i] = uint32(h)
	}
	return out
}
