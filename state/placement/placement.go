// Package placement decides by rendezvous hashing which processes serve a workspace and which processes track an engine. All
// processes that know the same members make the same decisions, and a member that joins or leaves moves only its own share.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

const (
	// ProcessesPerEngine is the number of processes that track one engine.
	ProcessesPerEngine = 6
	// minShard and shardDivisor give the size of a workspace's shard: a quarter of the region's members, and at least 4, so that
	// it survives the loss of a zone.
	minShard     = 4
	shardDivisor = 4
	// minEngines is the minimum number of engines of a service that a process tracks, so that every process can serve every
	// service.
	minEngines = 4
)

// score is the rendezvous weight of a candidate for a key. Both are given by their hashes, so that no strings are built for the
// pairs of many candidates and keys.
func score(candidate, key uint64) uint64 {
	var pair [16]byte

	binary.LittleEndian.PutUint64(pair[:8], candidate)
	binary.LittleEndian.PutUint64(pair[8:], key)

	return xxhash.Sum64(pair[:])
}

// Rank returns the candidates ordered by their rendezvous weight for the key, the highest first.
func Rank[T any](candidates []T, name func(T) string, key string) []T {
	type weighted struct {
		candidate T
		name      string
		weight    uint64
	}

	keyHash := xxhash.Sum64String(key)
	list := make([]weighted, len(candidates))

	for i, candidate := range candidates {
		list[i] = weighted{candidate, name(candidate), score(xxhash.Sum64String(name(candidate)), keyHash)}
	}

	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})

	ranked := make([]T, len(list))
	for i, entry := range list {
		ranked[i] = entry.candidate
	}

	return ranked
}

// balanceZones reorders ranked members by taking one from each zone in turn, so that each next member is from one of the zones
// used least so far.
func balanceZones(ranked []apricotway.Member) []apricotway.Member {
	zones := map[apricotway.Zone][]apricotway.Member{}

	var order []apricotway.Zone

	for _, member := range ranked {
		if zones[member.Zone] == nil {
			order = append(order, member.Zone)
		}

		zones[member.Zone] = append(zones[member.Zone], member)
	}

	result := make([]apricotway.Member, 0, len(ranked))
	for len(result) < len(ranked) {
		for _, zone := range order {
			if rest := zones[zone]; len(rest) > 0 {
				result = append(result, rest[0])
				zones[zone] = rest[1:]
			}
		}
	}

	return result
}

func memberName(member apricotway.Member) string { return string(member.Node) }

// Shard returns the members that serve a workspace's calls to a service, those in the zone of self first and those of other
// regions last. The shard is chosen from the region of self if it has members, since the callers that ask self are near it.
func Shard(
	members []apricotway.Member, self apricotway.Member, service apricotway.Service, workspace apricotway.Workspace,
) []apricotway.Member {
	near := slices.DeleteFunc(slices.Clone(members), func(m apricotway.Member) bool { return m.Region != self.Region })
	if len(near) == 0 {
		near = members
	}

	ranked := balanceZones(Rank(near, memberName, string(service)+"\x00"+string(workspace)))
	shard := ranked[:min(len(ranked), max(minShard, len(ranked)/shardDivisor))]

	distance := func(m apricotway.Member) int {
		switch {
		case m.Region != self.Region:
			return 2
		case m.Zone != self.Zone:
			return 1
		default:
			return 0
		}
	}

	slices.SortStableFunc(shard, func(a, b apricotway.Member) int { return cmp.Compare(distance(a), distance(b)) })

	return shard
}

// Engines returns the engines of one service that self tracks, in the order of the list. members includes self. Each engine is
// tracked by ProcessesPerEngine members, spread over the zones, and in addition by members that would otherwise track fewer
// than minEngines.
func Engines(
	engines []apricotway.BackendServer, members []apricotway.Member, self apricotway.NodeID,
) []apricotway.BackendServer {
	if len(members) <= ProcessesPerEngine {
		return engines
	}

	engineName := func(engine apricotway.BackendServer) string { return string(engine.ID) }
	tracked := map[apricotway.BackendServerID]bool{}
	zones := groupByZone(members, self)

	for _, engine := range engines {
		if zones.position(xxhash.Sum64String(engineName(engine))) < ProcessesPerEngine {
			tracked[engine.ID] = true
		}
	}

	for _, engine := range Rank(engines, engineName, string(self)) {
		if len(tracked) >= minEngines {
			break
		}

		tracked[engine.ID] = true
	}

	return slices.DeleteFunc(slices.Clone(engines), func(e apricotway.BackendServer) bool { return !tracked[e.ID] })
}

// Turn returns the member whose turn it is. Consecutive turns go to different members, so that a member that does not act
// delays the work by one turn only.
func Turn(members []apricotway.Member, turn uint64) apricotway.NodeID {
	last := highestRanked(members, turn-1, "")
	if len(members) == 1 {
		return last
	}

	return highestRanked(members, turn, last)
}

// highestRanked returns the member with the highest rendezvous weight for a key, excluding the given one.
func highestRanked(members []apricotway.Member, key uint64, without apricotway.NodeID) apricotway.NodeID {
	var (
		best       apricotway.NodeID
		bestWeight uint64
	)

	for _, member := range members {
		weight := score(xxhash.Sum64String(string(member.Node)), key)
		if member.Node != without && (best == "" || weight > bestWeight || weight == bestWeight && member.Node < best) {
			best, bestWeight = member.Node, weight
		}
	}

	return best
}

// zoneGroups holds the hashes of members by zone.
type zoneGroups struct {
	self    uint64
	ownZone apricotway.Zone
	members map[apricotway.Zone][]uint64
}

func groupByZone(members []apricotway.Member, self apricotway.NodeID) zoneGroups {
	groups := zoneGroups{self: xxhash.Sum64String(string(self)), members: map[apricotway.Zone][]uint64{}}

	for _, member := range members {
		groups.members[member.Zone] = append(groups.members[member.Zone], xxhash.Sum64String(string(member.Node)))
		if member.Node == self {
			groups.ownZone = member.Zone
		}
	}

	return groups
}

// position returns the position of self in the order of balanceZones for a key, without sorting all members for each of
// thousands of engines. In each round every zone that still has members contributes one; the zones are ordered by their
// highest-ranked members.
func (g zoneGroups) position(key uint64) int {
	own := score(g.self, key)
	round := 0
	ownBest := own

	for _, member := range g.members[g.ownZone] {
		if weight := score(member, key); weight > own {
			round++
			ownBest = max(ownBest, weight)
		}
	}

	position := round

	for zone, members := range g.members {
		if zone == g.ownZone {
			continue
		}

		position += min(len(members), round)
		if len(members) <= round {
			continue
		}

		for _, member := range members {
			if score(member, key) > ownBest {
				position++
				break
			}
		}
	}

	return position
}
