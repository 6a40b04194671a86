package admission

import (
	"slices"

	"github.com/apricotway/apricotway"
)

// Demand is the number of places that one process would use for each workspace.
type Demand map[apricotway.Workspace]float64

// Divide divides the places of a service over processes. Workspaces first receive weighted max-min fair parts of the total,
// so that a part that one does not use falls to the others; each part is then divided in proportion to the processes'
// demand. What nobody demands is divided evenly, so that a process with new demand can start at once.
func Divide(
	total float64, weights map[apricotway.Workspace]float64, members map[apricotway.NodeID]Demand,
) map[apricotway.NodeID]map[apricotway.Workspace]float64 {
	wanted := map[apricotway.Workspace]float64{}

	for _, demand := range members {
		for workspace, places := range demand {
			wanted[workspace] += places
		}
	}

	parts := fair(total, weights, wanted)
	spare := total

	for _, part := range parts {
		spare -= part
	}

	shares := make(map[apricotway.NodeID]map[apricotway.Workspace]float64, len(members))

	for node, demand := range members {
		share := make(map[apricotway.Workspace]float64, len(wanted))
		for workspace, places := range demand {
			if wanted[workspace] > 0 {
				share[workspace] = parts[workspace] * places / wanted[workspace]
			}
		}

		for workspace := range wanted {
			share[workspace] += max(spare, 0) / float64(len(members)*len(wanted))
		}

		shares[node] = share
	}

	return shares
}

// minSlots is what a process without any share may admit: limits of 0 would stand for none.
const minSlots = 1

// LocalLimits turns a process's part of a division into the limits of its queue; own is its demand at the time of the
// division and longPart the part of the places that long work may hold. A workspace that gets all it
// demands, which may be nothing, keeps at least its fair weight: its next requests would wait for the next division
// otherwise. For one that demands more, a weight above its part would raise its share over the processes.
func LocalLimits(
	shares map[apricotway.Workspace]float64, own Demand, weights map[apricotway.Workspace]float64, longPart float64,
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

	return Limits{Slots: total, LongSlots: total * longPart, Weights: local}
}

// fair computes weighted max-min fair parts by filling up the workspaces in the order of their demand per weight.
func fair(total float64, weights, wanted map[apricotway.Workspace]float64) map[apricotway.Workspace]float64 {
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
