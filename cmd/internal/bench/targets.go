package bench

import (
	"fmt"
	"math"
	"slices"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/admission"
)

// Target compares a measurement with its bound in the table of targets in docs/design.md, section 9.
type Target struct {
	Workload string  `json:"workload"`
	Measure  string  `json:"measure"`
	Value    float64 `json:"value"`
	// Bound is an upper bound, or a lower bound if AtLeast is set.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"atLeast"`
	Met     bool    `json:"met"`
}

// unfairness returns the greatest relative deviation of a workspace's goodput from its weighted max-min fair share. All
// workspaces have the same weight. Without any goodput it returns 1.
func (r *Result) unfairness(workload *Workload, scenario Scenario) float64 {
	total, worst := r.goodput(), 0.0
	if total == 0 {
		return 1
	}

	demand := admission.Demand{}
	offered := max(scenario.Load*float64(workload.Engines)*r.Seconds, total)

	for i, part := range workload.Workspaces {
		demand[workload.workspace(i)] = part * offered
	}

	fair := admission.Divide(total, nil, map[apricotway.NodeID]admission.Demand{"all": demand})["all"]
	for name, share := range fair {
		worst = max(worst, math.Abs(r.Good[name]-share)/share)
	}

	return worst
}

// targets evaluates the targets for routing and admission from the medians over the repeats.
func targets(rows []Row) []Target {
	var list []Target

	for _, workload := range Workloads() {
		find := func(scenario, policy string) *Row {
			i := slices.IndexFunc(rows, func(r Row) bool {
				return r.Workload == workload.Name && r.Scenario.Name == scenario && r.Policy == policy
			})
			if i < 0 {
				return nil
			}

			return &rows[i]
		}
		if find("overload", scoredName) == nil {
			continue
		}

		add := func(measure string, value, bound float64, atLeast bool) {
			met := value <= bound
			if atLeast {
				met = value >= bound
			}

			list = append(list, Target{workload.Name, measure, value, bound, atLeast, met})
		}
		// best returns the lowest value among the baselines and the name of the policy that reached it.
		best := func(scenario string, value func(*Row) float64) (float64, string) {
			lowest, name := math.Inf(1), ""

			for i := range rows {
				r := &rows[i]
				if r.Workload != workload.Name || r.Scenario.Name != scenario || r.Policy == scoredName || r.Policy == oracleName {
					continue
				}

				if v := value(r); v < lowest {
					lowest, name = v, r.Policy
				}
			}

			return lowest, name
		}

		wait := func(r *Row) float64 { return r.WaitP99.Median }
		whole := func(r *Row) float64 { return r.WholeP99.Median }
		mixed, slowed := find("mixed", scoredName), find("slowed", scoredName)
		bestWait, waitName := best("mixed", wait)
		bestSlow, slowName := best("slowed", whole)

		add("p99 wait of short requests with long ones / without them", wait(mixed)/wait(find("shortOnly", scoredName)), 1.25, false)
		add(fmt.Sprintf("the same p99 wait of the best baseline (%s) / own", waitName), bestWait/wait(mixed), 2, true)
		add("p99 of short requests with 2 of 10 engines slowed / none", whole(slowed)/whole(find("calm", scoredName)), 1.3, false)
		add(fmt.Sprintf("the same p99 of the best baseline (%s) / own", slowName), bestSlow/whole(slowed), 3, true)
		add("p99 time to first token at 85% load / oracle", mixed.FirstP99.Median/find("mixed", oracleName).FirstP99.Median, 1.2, false)
		add("prefix hits / one engine with an unlimited cache", mixed.Hits.Median, 0.85, true)
		add("highest load of an engine / mean", mixed.Imbalance.Median, 1.3, false)
		add("goodput at twice the capacity / at capacity",
			find("overload", scoredName).Goodput.Median/find("capacity", scoredName).Goodput.Median, 0.95, true)
		add("greatest deviation from a fair share at twice the capacity", find("overload", scoredName).Unfairness.Median, 0.05, false)
	}

	return list
}
