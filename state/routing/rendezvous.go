package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// affinity returns the hash key of a prompt. Prompts with the same first block get the same key, so that they are sent to
// the same engine while it is not known which engine has their prefix in its cache.
func affinity(work Work) uint64 {
	if len(work.Blocks) > 0 {
		return work.Blocks[0]
	}

	return xxhash.Sum64String(work.Prompt)
}

// rendezvous returns the weight of a server for a key. The server with the highest weight is the key's home, the one that
// every process chooses for it.
func rendezvous(key uint64, server apricotway.BackendServerID) uint64 {
	return mix(key ^ xxhash.Sum64String(string(server)))
}

// mix is the finalizer of MurmurHash3: each bit of the input affects every bit of the result.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33

	return h
}
