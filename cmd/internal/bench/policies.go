package bench

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/routing"
)

// Names of policies in tables and on the command line.
const (
	scoredName = "scored"
	oracleName = "oracle"
)

// policySetups returns the policies to compare: the scored policy first, then the baselines, and last the oracle, which
// shows the best result that routing can reach.
func policySetups() []policySetup {
	plain := func(name string, policy func(seed uint64) routing.Policy) policySetup {
		return policySetup{name: name, policy: func(_ *run, seed uint64) routing.Policy { return policy(seed) }}
	}

	return []policySetup{
		scoredSetup(scoredName),
		plain("round-robin", func(uint64) routing.Policy { return routing.NewRoundRobin() }),
		plain("least-reported", func(seed uint64) routing.Policy { return routing.NewLeastReported(seed) }),
		plain("two-choices", func(seed uint64) routing.Policy { return routing.NewTwoChoices(seed) }),
		plain("prefix-hash", func(uint64) routing.Policy { return routing.NewPrefixHash() }),
		plain("hot-cold", func(seed uint64) routing.Policy { return routing.NewHotCold(seed) }),
		{name: oracleName, policy: func(r *run, _ uint64) routing.Policy { return routing.NewOracle(r.forecast) }},
	}
}

func scoredSetup(name string, options ...routing.ScoredOption) policySetup {
	return policySetup{name: name, gate: true, hedge: true, policy: func(*run, uint64) routing.Policy {
		return routing.NewScored(options...)
	}}
}

// ablations returns the complete scored policy and its variants, each with one term, the admission gate or hedging
// disabled.
func ablations() []policySetup {
	list := []policySetup{scoredSetup(scoredName)}

	for _, term := range routing.Terms() {
		list = append(list, scoredSetup("without "+string(term), routing.WithoutTerms(term)))
	}

	gate, hedge := scoredSetup("without gate"), scoredSetup("without hedge")
	gate.gate, hedge.hedge = false, false

	return append(list, gate, hedge)
}

// forecast returns the time to the last token for the oracle policy, computed from the true state of the engine model.
// The caller sets work.MaxTokens to the true length of the answer.
func (r *run) forecast(now time.Time, work routing.Work, server apricotway.BackendServerID) time.Duration {
	_, last := r.models[server].Forecast(now, work.Blocks, work.PromptTokens, work.MaxTokens)

	return last
}
