package bench

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/routing"
)

// Names of policies in tables and on the command line.
const (
	own    = "scored"
	oracle = "oracle"
)

// setups returns the policies under measurement, the project's own first and the bound last.
func setups() []setup {
	plain := func(name string, policy func(seed uint64) routing.Policy) setup {
		return setup{name: name, policy: func(_ *run, seed uint64) routing.Policy { return policy(seed) }}
	}

	return []setup{
		ownSetup(own),
		plain("round-robin", func(uint64) routing.Policy { return routing.NewRoundRobin() }),
		plain("least-reported", func(seed uint64) routing.Policy { return routing.NewLeastReported(seed) }),
		plain("two-choices", func(seed uint64) routing.Policy { return routing.NewTwoChoices(seed) }),
		plain("prefix-hash", func(uint64) routing.Policy { return routing.NewPrefixHash() }),
		plain("hot-cold", func(seed uint64) routing.Policy { return routing.NewHotCold(seed) }),
		{name: oracle, policy: func(r *run, _ uint64) routing.Policy { return routing.NewOracle(r.forecast) }},
	}
}

func ownSetup(name string, options ...routing.ScoredOption) setup {
	return setup{name: name, gate: true, hedge: true, policy: func(*run, uint64) routing.Policy {
		return routing.NewScored(options...)
	}}
}

// ablations returns the project's own policy without one of its parts each.
func ablations() []setup {
	list := []setup{ownSetup(own)}

	for _, term := range routing.Terms() {
		list = append(list, ownSetup("without "+string(term), routing.WithoutTerms(term)))
	}

	gate, hedge := ownSetup("without gate"), ownSetup("without hedge")
	gate.gate, hedge.hedge = false, false

	return append(list, gate, hedge)
}

// forecast is the oracle's view: the engines' true state and the true length of the answer.
func (r *run) forecast(now time.Time, work routing.Work, server apricotway.BackendServerID) time.Duration {
	_, last := r.models[server].Forecast(now, work.Blocks, work.PromptTokens, work.MaxTokens)

	return last
}
