package inventory

import (
	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/placement"
)

// SubsetThreshold is the number of servers of one service up to which every process uses all of them. It is above the 10
// engines of today's regions, and is the size for which one routing decision has to take less than 20 µs.
const SubsetThreshold = 120

// Subset returns the servers that self uses: for each service with more than SubsetThreshold servers those that
// placement.Engines selects, and all servers of the other services. It returns nil when that is every server. Dead and leaving
// members get no share. Leaving servers keep their place, so that a leave does not reassign other servers.
func Subset(
	servers []apricotway.BackendServer, members []apricotway.Member, self apricotway.Member,
) map[apricotway.BackendServerID]bool {
	services := map[apricotway.Service][]apricotway.BackendServer{}
	large := false

	for _, server := range servers {
		services[server.Service] = append(services[server.Service], server)
		large = large || len(services[server.Service]) > SubsetThreshold
	}

	if !large {
		return nil
	}

	subset := map[apricotway.BackendServerID]bool{}

	for _, list := range services {
		if len(list) > SubsetThreshold {
			list = placement.Engines(list, SubsetMembers(members, self), self.Node)
		}

		for _, server := range list {
			subset[server.ID] = true
		}
	}

	return subset
}

// SubsetMembers returns self and the members among which the servers are divided.
func SubsetMembers(members []apricotway.Member, self apricotway.Member) []apricotway.Member {
	users := []apricotway.Member{self}

	for _, member := range members {
		if member.State == apricotway.MemberAlive || member.State == apricotway.MemberSuspect {
			users = append(users, member)
		}
	}

	return users
}
