package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// affinity returns the key by which prompts of one prefix meet on one engine while no cache is known.
func affinity(work Work) uint64 {
	if len(work.Blocks) > 0 {
		return work.Blocks[0]
	}

	return xxhash.Sum64String(work.Prompt)
}

// rendezvous returns the weight of a server for a key. The server with the highest weight is the key's home.
func rendezvous(key uint64, server apricotway.BackendServerID) uint64 {
	return mix(key ^ xxhash.Sum64String(string(server)))
}

// mix is the finalizer of MurmurHash3, which spreads the difference of two hashes over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33

	return h
}
