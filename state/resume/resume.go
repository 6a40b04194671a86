// Package resume decides how running generations leave hosts that are taken away. It performs no I/O; the time comes in as
// an argument.
package resume

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

// Choice is a way in which a generation gets through the reclaim of its host.
type Choice string

// The values of Choice.
const (
	// ChoiceFinish leaves the generation where it is; it ends before the host does.
	ChoiceFinish Choice = "finish"
	// ChoiceExport moves the KV cache to another engine and goes on there.
	ChoiceExport Choice = "export"
	// ChoicePrefill starts on another engine with the prompt and the delivered tokens.
	ChoicePrefill Choice = "prefill"
)

// Costs are the estimated times of the choices.
type Costs struct {
	// DecodePerToken holds for generations whose own pace is not known yet.
	DecodePerToken  time.Duration
	PrefillPerToken time.Duration
	// ExportBase and ExportPerToken describe the transfer of a KV cache between two engines.
	ExportBase     time.Duration
	ExportPerToken time.Duration
	// Margin is kept free before a host's deadline, since the notice and the estimates are both inexact.
	Margin time.Duration
}

// DefaultCosts returns costs of the order that engines for large models have.
func DefaultCosts() Costs {
	return Costs{
		DecodePerToken:  20 * time.Millisecond,
		PrefillPerToken: 200 * time.Microsecond,
		ExportBase:      10 * time.Millisecond,
		ExportPerToken:  20 * time.Microsecond,
		Margin:          200 * time.Millisecond,
	}
}

// Running is a generation on a host that is taken away.
type Running struct {
	Attempt apricotway.AttemptID
	Version apricotway.ModelVersion
	// Deadline is that of the request.
	Deadline time.Time
	// Leaves is the time at which the host is taken away.
	Leaves time.Time
	// Context is the number of prompt tokens and delivered tokens, Remaining the largest number still to come.
	Context   int
	Remaining int
	// Pace is the observed time per token; 0 when it is not known yet.
	Pace time.Duration
}

// Target is an engine that can take generations.
type Target struct {
	Server  apricotway.BackendServerID
	Version apricotway.ModelVersion
	// Free is the number of generations that the engine can still take.
	Free int
}

// Move tells where one generation goes. Choice is never ChoiceFinish.
type Move struct {
	Attempt apricotway.AttemptID
	Choice  Choice
	Target  apricotway.BackendServerID
}

// Decide chooses by the remaining notice and the estimated costs.
func Decide(now time.Time, running Running, costs Costs) Choice {
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

// Plan returns the moves of the generations that cannot finish in place, in the order of the requests' deadlines, each to
// the engine of its version with the most free places. A generation that finds no place is left out and stays where it is
// until the next plan.
func Plan(now time.Time, running []Running, targets []Target, costs Costs) []Move {
	running = slices.SortedFunc(slices.Values(running), func(a, b Running) int {
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
			if target.Version == generation.Version && target.Free > 0 && (best < 0 || target.Free > targets[best].Free) {
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
