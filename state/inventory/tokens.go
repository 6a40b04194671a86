package inventory

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// tokenUnit is the number of tokens that one step of an encoded count stands for. It keeps most counts in two bytes and is
// small against the prompt of a short request.
const tokenUnit = 16

// hashSize is the size in bytes of the hash that stands for a server's id. Ids take up to 40 bytes, of which ten engines
// would fill an entry.
const hashSize = 4

func tokenHash(id apricotway.BackendServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// EncodeTokens returns the tokens in flight at the servers, those with the most tokens first, as far as they fit into size
// bytes. Servers with less than half a unit are left out.
func EncodeTokens(tokens map[apricotway.BackendServerID]int, size int) []byte {
	type count struct {
		id    apricotway.BackendServerID
		units uint64
	}

	counts := make([]count, 0, len(tokens))

	for id, number := range tokens {
		if number >= tokenUnit/2 {
			counts = append(counts, count{id, uint64((number + tokenUnit/2) / tokenUnit)})
		}
	}

	slices.SortFunc(counts, func(a, b count) int {
		return cmp.Or(cmp.Compare(b.units, a.units), cmp.Compare(a.id, b.id))
	})

	encoded := make([]byte, 0, size)

	for _, c := range counts {
		next := binary.AppendUvarint(binary.LittleEndian.AppendUint32(encoded, tokenHash(c.id)), c.units)
		if len(next) > size {
			break
		}

		encoded = next
	}

	return encoded
}

// DecodeTokens returns the tokens of an entry by the hashes of the servers, and false for a damaged entry.
func DecodeTokens(encoded []byte) (TokenCounts, bool) {
	counts := TokenCounts{}

	for len(encoded) > 0 {
		if len(encoded) <= hashSize {
			return nil, false
		}

		units, size := binary.Uvarint(encoded[hashSize:])
		if size <= 0 || units > 1<<40 {
			return nil, false
		}

		counts[binary.LittleEndian.Uint32(encoded)] = int(units) * tokenUnit
		encoded = encoded[hashSize+size:]
	}

	return counts, true
}

// TokenCounts holds the tokens in flight of one process by the hash of the server.
type TokenCounts map[uint32]int

// Of returns the tokens at a server. Two servers with one hash, about one pair in 150 fleets of 7,600, both get the count.
func (c TokenCounts) Of(id apricotway.BackendServerID) int { return c[tokenHash(id)] }
