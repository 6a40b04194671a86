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

// demandHashSize is the size in bytes of the hash that stands for a service and a workspace.
const demandHashSize = 4

func demandHash(service apricotway.Service, workspace apricotway.Workspace) uint32 {
	return uint32(xxhash.Sum64String(string(service) + "\x00" + string(workspace)))
}

// EncodeDemand returns the demand of a process, the largest parts first, as far as they fit into size bytes.
func EncodeDemand(services map[apricotway.Service]Demand, size int) []byte {
	type part struct {
		hash   uint32
		places uint64
	}

	var parts []part

	for service, demand := range services {
		for workspace, places := range demand {
			if places > 0 {
				parts = append(parts, part{demandHash(service, workspace), uint64(math.Ceil(places))})
			}
		}
	}

	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.places, a.places), cmp.Compare(a.hash, b.hash))
	})

	encoded := make([]byte, 0, size)

	for _, p := range parts {
		next := binary.AppendUvarint(binary.LittleEndian.AppendUint32(encoded, p.hash), p.places)
		if len(next) > size {
			break
		}

		encoded = next
	}

	return encoded
}

// decodeDemand returns the places by the hash of service and workspace, and false for a damaged entry.
func decodeDemand(encoded []byte) (map[uint32]float64, bool) {
	demand := map[uint32]float64{}

	for len(encoded) > 0 {
		if len(encoded) <= demandHashSize {
			return nil, false
		}

		places, size := binary.Uvarint(encoded[demandHashSize:])
		if size <= 0 || places > 1<<40 {
			return nil, false
		}

		demand[binary.LittleEndian.Uint32(encoded)] = float64(places)
		encoded = encoded[demandHashSize+size:]
	}

	return demand, true
}

// DemandPeriod returns the time between two entries of a process. Entries travel on probes, whose number a second does not
// grow with the processes, so that each entry has to become rarer.
func DemandPeriod(processes int) time.Duration {
	return max(time.Second, time.Duration(processes)*demandSpacing)
}

// demandSpacing is the time that the probes take to spread one more process's entry.
const demandSpacing = 250 * time.Millisecond

// DemandLifetime returns the time for which an entry counts. Processes that are gone leave the division with the membership,
// so that the lifetime only has to cover entries that are late.
func DemandLifetime(processes int) time.Duration { return 10 * DemandPeriod(processes) }

// Exchange holds what the other processes have told of their demand and divides the places of a service by it.
type Exchange struct {
	self  apricotway.NodeID
	peers map[apricotway.NodeID]peerDemand
}

type peerDemand struct {
	version uint64
	expires time.Time
	places  map[uint32]float64
}

// NewExchange returns an exchange of a process that has heard of no other.
func NewExchange(self apricotway.NodeID) *Exchange {
	return &Exchange{self: self, peers: map[apricotway.NodeID]peerDemand{}}
}

// Receive takes an entry of another process, which replaces its earlier one and counts for the given time. It reports false
// for an entry that is damaged, old or the process's own.
func (x *Exchange) Receive(
	now time.Time, node apricotway.NodeID, version uint64, payload []byte, lifetime time.Duration,
) bool {
	places, ok := decodeDemand(payload)
	if !ok || node == x.self || version <= x.peers[node].version {
		return false
	}

	x.peers[node] = peerDemand{version, now.Add(lifetime), places}

	return true
}

// Expire forgets the entries that no longer count.
func (x *Exchange) Expire(now time.Time) {
	for node, peer := range x.peers {
		if !now.Before(peer.expires) {
			delete(x.peers, node)
		}
	}
}

// Heard returns the number of processes whose entries count.
func (x *Exchange) Heard(now time.Time) int {
	x.Expire(now)

	return len(x.peers)
}

// Limits returns the limits of this process's queue for a service. Places is the capacity of the service, longPart the part
// of it that long work may hold, own the demand of this process, and alive the other processes. The parts of those that were
// not heard yet are kept free for them.
func (x *Exchange) Limits(
	now time.Time, service apricotway.Service, places, longPart float64, weights map[apricotway.Workspace]float64, own Demand,
	alive []apricotway.NodeID,
) Limits {
	if places <= 0 {
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

		demand := make(Demand, len(peer.places))

		for name, hash := range hashes {
			if wanted := peer.places[hash]; wanted > 0 {
				demand[name] = wanted
			}
		}

		members[node] = demand
	}

	total := places * float64(len(members)) / float64(len(alive)+1)

	return LocalLimits(Divide(total, weights, members)[x.self], own, weights, longPart)
}
