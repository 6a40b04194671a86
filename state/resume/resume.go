// Package resume decides how running generations leave hosts that are about to be taken away. It performs no I/O; the current
// time is passed in as an argument.
package resume

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/origin"
)

// Choice is a way to handle a generation whose host is reclaimed.
type Choice string

// The values of Choice.
const (
	// ChoiceFinish leaves the generation on the host, where it will end in time.
	ChoiceFinish Choice = "finish"
	// ChoiceExport moves the KV cache to another engine, which continues the generation.
	ChoiceExport Choice = "export"
	// ChoicePrefill continues on another engine, which prefills the prompt and the tokens delivered so far.
	ChoicePrefill Choice = "prefill"
)

// Costs are the estimated times of the steps of each choice.
type Costs struct {
	// DecodePerToken is used for generations whose time per token has not been observed yet.
	DecodePerToken  time.Duration
	PrefillPerToken time.Duration
	// ExportBase and ExportPerToken give the time to transfer a KV cache between two engines.
	ExportBase     time.Duration
	ExportPerToken time.Duration
	// Margin is the reserve before a host is taken away, since neither the notice nor the estimates are exact.
	Margin time.Duration
}

// DefaultCosts returns costs in the order of magnitude of engines for large models.
func DefaultCosts() Costs {
	return Costs{
		DecodePerToken:  20 * time.Millisecond,
		PrefillPerToken: 200 * time.Microsecond,
		ExportBase:      10 * time.Millisecond,
		ExportPerToken:  20 * time.Microsecond,
		Margin:          200 * time.Millisecond,
	}
}

// Generation is a running generation on a host that is about to be taken away.
type Generation struct {
	Attempt apricotway.AttemptID
	// Origin is the beginning of the generation.
	Origin origin.Origin
	// Deadline is the deadline of the request.
	Deadline time.Time
	// Leaves is the time at which the host is taken away.
	Leaves time.Time
	// Context is the number of prompt tokens and delivered tokens, Remaining the maximum number of tokens still to come.
	Context   int
	Remaining int
	// Pace is the observed time per token; 0 if it has not been observed yet.
	Pace time.Duration
}

// Target is an engine that can continue generations.
type Target struct {
	Server  apricotway.BackendServerID
	Lineage apricotway.Lineage
	// Free is the number of generations that the engine can still take.
	Free int
}

// Move assigns one generation to an engine. Choice is never ChoiceFinish.
type Move struct {
	Attempt apricotway.AttemptID
	Choice  Choice
	Target  apricotway.BackendServerID
}

// Decide makes the choice for one generation, from the remaining notice and the estimated costs.
func Decide(now time.Time, running Generation, costs Costs) Choice {
	notice := running.Leaves.Sub(now) - costs.Margin

	pace := running.Pace
	if pace == 0 {
		pace = costs.DecodePerToken
	}

	if time.Duration(running.Remaining)*pace <= notice {
		return ChoiceFinish
	}

	export := costs.ExportBase + time.Duration(running.Context)*costs.ExportPerToken
	if export <= notice && export < time.Duration(running.Context)*costs.PrefillPerToken {
		return ChoiceExport
	}

	return ChoicePrefill
}

// Plan returns the moves of the generations that cannot finish on their hosts, those with the earliest deadlines first. Each
// goes to the engine that may continue it with the highest Free. If all are full, the generation is left out and stays
// on its host until the next plan.
func Plan(now time.Time, running []Generation, targets []Target, costs Costs) []Move {
	running = slices.SortedFunc(slices.Values(running), func(a, b Generation) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), a.Leaves.Compare(b.Leaves), cmp.Compare(a.Attempt, b.Attempt))
	})
	targets = slices.Clone(targets)

	var moves []Move

	for _, generation := range running {
		choice := Decide(now, generation, costs)
		if choice == ChoiceFinish {
			continue
		}

		best := -1

		for i, target := range targets {
			if generation.Origin.Allows(target.Lineage) && target.Free > 0 && (best < 0 || target.Free > targets[best].Free) {
				best = i
			}
		}

		if best < 0 {
			continue
		}

		targets[best].Free--
		moves = append(moves, Move{Attempt: generation.Attempt, Choice: choice, Target: targets[best].Server})
	}

	return moves
}
