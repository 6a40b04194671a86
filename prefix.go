package apricotway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a prefix block in tokens. Engines name the blocks of their caches by the chained hashes of
// PrefixBlocks.
const BlockTokens = 64

// PrefixBlocks appends the hashes of the complete blocks of a prompt to dst. Each hash covers its block and everything before it,
// so that two prompts share a hash only when they share the whole prefix up to the end of that block.
func PrefixBlocks(dst []uint64, prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken

	var (
		chain  [8]byte
		digest xxhash.Digest
	)

	for len(prompt) >= size {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[:size])

		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], sum)
		dst = append(dst, sum)
		prompt = prompt[size:]
	}

	return dst
}
