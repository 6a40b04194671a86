package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/transport/engine"
)

// handOverLimit bounds the time in which a stopping process hands its unfinished requests over to its peers.
const handOverLimit = 5 * time.Second

// newCompletions creates the handling of model requests and registers its metrics.
func (d *Daemon) newCompletions(registry prometheus.Registerer) *completion.Requests {
	suspects := completion.NewSuspects(
		completion.WithSuspectsLogger(d.logger),
		completion.WithSuspectsPeers(d.peers, d.peerServer, d.membership),
		completion.WithBroadcasts(d.membership),
	)
	engines := engine.New()
	routing := newEngineRouting(d.supervisor, engines, d.inventory, d.feed.Fold(), d.membership, d.logger)
	runner := completion.New(engines, d.inventory,
		completion.WithPolicy(routing.policy), completion.WithAdmission(routing), completion.WithSuspects(suspects),
		completion.WithUsage(d.usage.Add), completion.WithReleaseRules(d.feed.Fold().Release), completion.WithLogger(d.logger))

	routing.registerExchangeMetrics(registry)
	registerCompletionMetrics(registry, runner)

	return completion.NewRequests(d.supervisor, runner,
		completion.WithRequestsLogger(d.logger),
		completion.WithCopies(d.peers, d.peerServer, d.membership),
	)
}

// handOver hands the requests that are still running after the drain over to the peers that hold their copies.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverLimit)
	defer cancel()

	if err := d.completions.HandOver(ctx); err != nil {
		d.logger.Info("request not handed over", "event", 105, "error", err.Error())
	}
}

// registerCompletionMetrics registers the counters of the model requests.
func registerCompletionMetrics(registry prometheus.Registerer, runner *completion.Runner) {
	for _, counter := range []struct {
		name, help string
		value      func(completion.Stats) int64
	}{
		{
			"apricotway_tokens_dropped_total", "Tokens of engines that matched no live attempt or repeated an index.",
			func(s completion.Stats) int64 { return s.Dropped },
		},
		{
			"apricotway_generations_moved_total", "Generations that left a host before it was taken away.",
			func(s completion.Stats) int64 { return s.Moved },
		},
		{
			"apricotway_tokens_resumed_total", "Tokens of prompts and answers of resumed generations.",
			func(s completion.Stats) int64 { return s.Resumed },
		},
		{
			"apricotway_tokens_recomputed_total", "Tokens of resumed generations that were prefilled again.",
			func(s completion.Stats) int64 { return s.Recomputed },
		},
		{
			"apricotway_engine_crashes_total", "Attempts that ended with an unannounced death of their engine.",
			func(s completion.Stats) int64 { return s.Crashes },
		},
	} {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: counter.name, Help: counter.help},
			func() float64 { return float64(counter.value(runner.Stats())) },
		))
	}
}
