package admission

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// demandHashSize is the size in bytes of the hash that identifies a service and a workspace.
const demandHashSize = 4

func demandHash(service apricotway.Service, workspace apricotway.Workspace) uint32 {
	return uint32(xxhash.Sum64String(string(service) + "\x00" + string(workspace)))
}

// EncodeDemand encodes the demand of a process, largest first, as far as it fits into size bytes.
func EncodeDemand(services map[apricotway.Service]Demand, size int) []byte {
	type entry struct {
		hash  uint32
		slots uint64
	}

	var entries []entry

	for service, demand := range services {
		for workspace, slots := range demand {
			if slots > 0 {
				entries = append(entries, entry{demandHash(service, workspace), uint64(math.Ceil(slots))})
			}
		}
	}

	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.hash, b.hash))
	})

	encoded := make([]byte, 0, size)

	for _, p := range entries {
		next := binary.AppendUvarint(binary.LittleEndian.AppendUint32(encoded, p.hash), p.slots)
		if len(next) > size {
			break
		}

		encoded = next
	}

	return encoded
}

// decodeDemand returns the number of slots by the hash of service and workspace, and false for a malformed entry.
func decodeDemand(encoded []byte) (map[uint32]float64, bool) {
	demand := map[uint32]float64{}

	for len(encoded) > 0 {
		if len(encoded) <= demandHashSize {
			return nil, false
		}

		slots, size := binary.Uvarint(encoded[demandHashSize:])
		if size <= 0 || slots > 1<<40 {
			return nil, false
		}

		demand[binary.LittleEndian.Uint32(encoded)] = float64(slots)
		encoded = encoded[demandHashSize+size:]
	}

	return demand, true
}

// DemandPeriod returns the time between two demand entries of a process. Entries are piggybacked on membership probes. The
// number of probes a second does not grow with the number of processes, so each process must send its entry less often.
func DemandPeriod(processes int) time.Duration {
	return max(time.Second, time.Duration(processes)*demandPeriodPerProcess)
}

// demandPeriodPerProcess is the time that the probes need to spread the entry of one more process.
const demandPeriodPerProcess = 250 * time.Millisecond

// DemandLifetime returns the time for which an entry counts. Processes that have ended are excluded through the membership, so
// the lifetime only has to cover entries that arrive late.
func DemandLifetime(processes int) time.Duration { return 10 * DemandPeriod(processes) }

// Exchange holds the demand that the other processes have reported and divides the slots of a service by it.
type Exchange struct {
	self  apricotway.NodeID
	peers map[apricotway.NodeID]peerDemand
}

type peerDemand struct {
	version uint64
	expires time.Time
	slots   map[uint32]float64
}

// NewExchange returns the exchange of a process that has received no entry yet.
func NewExchange(self apricotway.NodeID) *Exchange {
	return &Exchange{self: self, peers: map[apricotway.NodeID]peerDemand{}}
}

// Receive stores the entry of another process. It replaces the earlier entry of that process and counts for the given time.
// Receive returns false for an entry that is malformed, outdated or the process's own.
func (x *Exchange) Receive(
	now time.Time, node apricotway.NodeID, version uint64, payload []byte, lifetime time.Duration,
) bool {
	slots, ok := decodeDemand(payload)
	if !ok || node == x.self || version <= x.peers[node].version {
		return false
	}

	x.peers[node] = peerDemand{version, now.Add(lifetime), slots}

	return true
}

// Expire removes the entries whose lifetime has ended.
func (x *Exchange) Expire(now time.Time) {
	for node, peer := range x.peers {
		if !now.Before(peer.expires) {
			delete(x.peers, node)
		}
	}
}

// ActivePeers returns the number of processes with an entry that still counts.
func (x *Exchange) ActivePeers(now time.Time) int {
	x.Expire(now)

	return len(x.peers)
}

// Limits returns the limits of this process's queue for a service. slots is the number of slots of the service, longShare the
// fraction of them that long requests may use, own the demand of this process, and alive the other live processes. An equal
// share of the slots is kept free for each live process without an entry.
func (x *Exchange) Limits(
	now time.Time, service apricotway.Service, slots, longShare float64, weights map[apricotway.Workspace]float64, own Demand,
	alive []apricotway.NodeID,
) Limits {
	if slots <= 0 {
		return Limits{Weights: weights}
	}

	members := map[apricotway.NodeID]Demand{x.self: own}
	hashes := map[apricotway.Workspace]uint32{}

	for name := range weights {
		hashes[name] = demandHash(service, name)
	}

	for name := range own {
		hashes[name] = demandHash(service, name)
	}

	for _, node := range alive {
		peer, ok := x.peers[node]
		if !ok || !now.Before(peer.expires) {
			continue
		}

		demand := make(Demand, len(peer.slots))

		for name, hash := range hashes {
			if wanted := peer.slots[hash]; wanted > 0 {
				demand[name] = wanted
			}
		}

		members[node] = demand
	}

	total := slots * float64(len(members)) / float64(len(alive)+1)

	return LocalLimits(Divide(total, weights, members)[x.self], own, weights, longShare)
}
