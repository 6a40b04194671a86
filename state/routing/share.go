package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// Share is the work that one process has on one engine, as announced to its peers.
type Share struct {
	Server   apricotway.BackendServerID
	Attempts int
	Decode   float64
	Prefill  float64
	Long     int
}

func (s *Share) tokens() float64 { return s.Decode + s.Prefill }

func (s *Share) load() load { return load{s.Attempts, s.Decode, s.Prefill, s.Long} }

// shareUnit is the resolution in tokens of encoded counts. At 16 most counts take two bytes, and the rounding error is small
// against the prompt of a short request.
const shareUnit = 16

// hashSize is the size in bytes of the hash that stands for a server's id. An id takes up to 40 bytes, so that ten engines
// would fill an entry.
const hashSize = 4

func serverHash(id apricotway.BackendServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func shareUnits(tokens float64) uint64 { return uint64((max(tokens, 0) + shareUnit/2) / shareUnit) }

// EncodeShares encodes as many shares as fit into size bytes, starting with those that have the most tokens.
func EncodeShares(shares []Share, size int) []byte {
	ordered := slices.Clone(shares)
	slices.SortFunc(ordered, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.tokens(), a.tokens()), cmp.Compare(a.Server, b.Server))
	})

	encoded := make([]byte, 0, size)

	for i := range ordered {
		share := &ordered[i]
		next := binary.LittleEndian.AppendUint32(encoded, serverHash(share.Server))

		for _, count := range []uint64{
			uint64(share.Attempts), uint64(share.Long), shareUnits(share.Decode), shareUnits(share.Prefill),
		} {
			next = binary.AppendUvarint(next, count)
		}

		if len(next) > size {
			break
		}

		encoded = next
	}

	return encoded
}

// EncodedShares holds the decoded shares of one process, keyed by the hash of the server's id.
type EncodedShares map[uint32]Share

// DecodeShares decodes the shares of an entry. It returns false if the entry is damaged.
func DecodeShares(encoded []byte) (EncodedShares, bool) {
	shares := EncodedShares{}

	for len(encoded) > 0 {
		if len(encoded) <= hashSize {
			return nil, false
		}

		hash := binary.LittleEndian.Uint32(encoded)
		encoded = encoded[hashSize:]

		var counts [4]uint64

		for i := range counts {
			count, size := binary.Uvarint(encoded)
			if size <= 0 || count > 1<<40 {
				return nil, false
			}

			counts[i], encoded = count, encoded[size:]
		}

		shares[hash] = Share{
			Attempts: int(counts[0]), Long: int(counts[1]),
			Decode: float64(counts[2] * shareUnit), Prefill: float64(counts[3] * shareUnit),
		}
	}

	return shares, true
}

// Of returns the shares of the given servers. Servers whose hashes collide, about one pair in 150 fleets of 7,600 servers,
// both get the share.
func (e EncodedShares) Of(servers []apricotway.BackendServer) []Share {
	var shares []Share

	for i := range servers {
		if share, ok := e[serverHash(servers[i].ID)]; ok {
			share.Server = servers[i].ID
			shares = append(shares, share)
		}
	}

	return shares
}
