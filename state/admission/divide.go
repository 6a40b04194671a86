package admission

import (
	"slices"

	"github.com/apricotway/apricotway"
)

// Demand is the number of slots that one process would use for each workspace.
type Demand map[apricotway.Workspace]float64

// Divide distributes the slots of a service over processes. Workspaces first receive weighted max-min fair shares of the total,
// so that what one workspace does not use goes to the others. Each share is then divided in proportion to the demand of the
// processes. Slots without demand are divided equally, so that a process with new demand can start at once.
func Divide(
	total float64, weights map[apricotway.Workspace]float64, members map[apricotway.NodeID]Demand,
) map[apricotway.NodeID]map[apricotway.Workspace]float64 {
	wanted := map[apricotway.Workspace]float64{}

	for _, demand := range members {
		for workspace, slots := range demand {
			wanted[workspace] += slots
		}
	}

	fairShares := maxMinFair(total, weights, wanted)
	spare := total

	for _, part := range fairShares {
		spare -= part
	}

	shares := make(map[apricotway.NodeID]map[apricotway.Workspace]float64, len(members))

	for node, demand := range members {
		share := make(map[apricotway.Workspace]float64, len(wanted))
		for workspace, slots := range demand {
			if wanted[workspace] > 0 {
				share[workspace] = fairShares[workspace] * slots / wanted[workspace]
			}
		}

		for workspace := range wanted {
			share[workspace] += max(spare, 0) / float64(len(members)*len(wanted))
		}

		shares[node] = share
	}

	return shares
}

// minSlots is the number of slots of a process without any share; a limit of 0 would mean unlimited.
const minSlots = 1

// LocalLimits converts a process's share of a division into the limits of its queue. own is the process's demand at the time of
// the division, and longShare the fraction of the slots that long requests may use. A workspace whose demand is fully met, even
// if it has none, keeps at least its fair weight; otherwise its next requests would wait for the next division. A workspace
// with unmet demand keeps the weight of its share: a higher one would raise its share over all processes.
func LocalLimits(
	shares map[apricotway.Workspace]float64, own Demand, weights map[apricotway.Workspace]float64, longShare float64,
) Limits {
	names := map[apricotway.Workspace]bool{}
	total, sum := 0.0, 0.0

	for workspace, share := range shares {
		total += share
		names[workspace] = true
	}

	for workspace := range weights {
		names[workspace] = true
	}

	for workspace := range names {
		sum += weightOf(weights, workspace)
	}

	total = max(total, minSlots)
	local := make(map[apricotway.Workspace]float64, len(names))

	for workspace := range names {
		local[workspace] = shares[workspace]
		if own[workspace] <= local[workspace] {
			local[workspace] = max(local[workspace], total*weightOf(weights, workspace)/sum)
		}
	}

	return Limits{Slots: total, LongSlots: total * longShare, Weights: local}
}

// maxMinFair computes weighted max-min fair shares by serving the workspaces in ascending order of demand per weight.
func maxMinFair(total float64, weights, wanted map[apricotway.Workspace]float64) map[apricotway.Workspace]float64 {
	names := make([]apricotway.Workspace, 0, len(wanted))
	sum := 0.0

	for name := range wanted {
		names = append(names, name)
		sum += weightOf(weights, name)
	}

	slices.SortFunc(names, func(a, b apricotway.Workspace) int {
		left, right := wanted[a]*weightOf(weights, b), wanted[b]*weightOf(weights, a)

		switch {
		case left < right || left == right && a < b:
			return -1
		case left > right || a > b:
			return 1
		default:
			return 0
		}
	})

	parts := make(map[apricotway.Workspace]float64, len(wanted))

	for _, name := range names {
		weight := weightOf(weights, name)
		parts[name] = min(wanted[name], total*weight/sum)
		total -= parts[name]
		sum -= weight
	}

	return parts
}

func weightOf(weights map[apricotway.Workspace]float64, name apricotway.Workspace) float64 {
	if weight, ok := weights[name]; ok && weight > 0 {
		return weight
	}

	return 1
}
