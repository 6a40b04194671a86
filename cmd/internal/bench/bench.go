package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// Options selects what is measured.
type Options struct {
	// Workload is the name of one workload; empty for all.
	Workload string
	// Ablate measures the project's own policy without each of its parts in place of the baselines.
	Ablate   bool
	Repeats  int
	Seed     uint64
	Duration time.Duration
	WarmUp   time.Duration
	// Parallel is the number of policies that run side by side, each on its own engine models.
	Parallel int
	// Progress is called before each group of runs.
	Progress func(workload, scenario string, repeat int)
}

// Scenarios returns the loads that the targets refer to.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "mixed", Load: 0.85, Long: true},
		{Name: "shortOnly", Load: 0.85},
		{Name: "calm", Load: 0.65, Long: true},
		{Name: "slowed", Load: 0.65, Long: true, Slow: true},
		{Name: "capacity", Load: 1, Long: true},
		{Name: "overload", Load: 2, Long: true},
	}
}

// Summary is the minimum, median and maximum over the repeats.
type Summary struct {
	Minimum float64 `json:"minimum"`
	Median  float64 `json:"median"`
	Maximum float64 `json:"maximum"`
}

func summarise(values []float64) Summary {
	slices.Sort(values)

	return Summary{values[0], values[len(values)/2], values[len(values)-1]}
}

// Row holds the measurements of one policy under one load. Times are in milliseconds.
type Row struct {
	Workload string   `json:"workload"`
	Scenario Scenario `json:"scenario"`
	Policy   string   `json:"policy"`
	Requests int      `json:"requests"`
	// WaitP50 and WaitP99 are the time of short requests from the intended send time to the first token.
	WaitP50 Summary `json:"waitP50"`
	WaitP99 Summary `json:"waitP99"`
	// WholeP99 is the time of short requests from the intended send time to the last token.
	WholeP99 Summary `json:"wholeP99"`
	// FirstP99 is the time of all requests to the first token.
	FirstP99 Summary `json:"firstP99"`
	// LongP50 is the time of long requests to the last token.
	LongP50 Summary `json:"longP50"`
	// Hits is the part of the prefix hits of one engine with an unlimited cache.
	Hits Summary `json:"hits"`
	// Imbalance is the highest load of an engine over the mean.
	Imbalance Summary `json:"imbalance"`
	// Refused, Late and Hedged are parts of the requests.
	Refused Summary `json:"refused"`
	Late    Summary `json:"late"`
	Hedged  Summary `json:"hedged"`
	// Goodput is the work of requests finished by their deadline, in busy engines.
	Goodput Summary `json:"goodput"`
	// Unfairness is the greatest relative deviation of a workspace from its fair share of the goodput.
	Unfairness Summary `json:"unfairness"`
	// DriftMs is the greatest delay of the load generator in all repeats.
	DriftMs float64 `json:"driftMs"`

	wait *hdrhistogram.Histogram
}

// Report holds everything that was measured.
type Report struct {
	Seed     uint64        `json:"seed"`
	Repeats  int           `json:"repeats"`
	Duration time.Duration `json:"durationNs"`
	Rows     []Row         `json:"rows"`
	Targets  []Target      `json:"targets"`
}

// Measure runs every policy under every load. Within a repeat all policies see the same load, side by side or one after
// the other, so that a busy machine disturbs them alike.
func Measure(ctx context.Context, options Options) (*Report, error) {
	report := &Report{Seed: options.Seed, Repeats: options.Repeats, Duration: options.Duration}
	policies := setups()

	if options.Ablate {
		policies = ablations()
	}

	found := false

	for _, workload := range Workloads() {
		if options.Workload != "" && options.Workload != workload.Name {
			continue
		}

		found = true

		for _, scenario := range Scenarios() {
			rows, err := measure(ctx, &workload, scenario, policies, options)
			if err != nil {
				return nil, err
			}

			report.Rows = append(report.Rows, rows...)
		}
	}

	if !found {
		return nil, errors.Errorf("there is no workload %q", options.Workload)
	}

	if !options.Ablate {
		report.Targets = targets(report.Rows)
	}

	return report, nil
}

func measure(
	ctx context.Context, workload *Workload, scenario Scenario, policies []setup, options Options,
) ([]Row, error) {
	results := make([][]*Result, len(policies))

	for repeat := range options.Repeats {
		if options.Progress != nil {
			options.Progress(workload.Name, scenario.Name, repeat)
		}

		// The order rotates, so that no policy always runs first.
		places := make(chan struct{}, max(options.Parallel, 1))

		var (
			group sync.WaitGroup
			mu    sync.Mutex
		)

		for step := range policies {
			index := (step + repeat) % len(policies)
			places <- struct{}{}

			group.Go(func() {
				defer func() { <-places }()

				seed := options.Seed + uint64(repeat)
				result := newRun(workload, scenario, policies[index], seed, options.WarmUp).execute(ctx, seed, options.Duration)

				mu.Lock()
				defer mu.Unlock()

				results[index] = append(results[index], result)
			})
		}

		group.Wait()

		if err := ctx.Err(); err != nil {
			return nil, errors.Wrap(err, "measure")
		}
	}

	rows := make([]Row, len(policies))
	for i, policy := range policies {
		rows[i] = newRow(workload, scenario, policy.name, results[i])
	}

	return rows, nil
}

func newRow(workload *Workload, scenario Scenario, policy string, results []*Result) Row {
	row := Row{Workload: workload.Name, Scenario: scenario, Policy: policy, wait: newHistogram()}

	summary := func(value func(*Result) float64) Summary {
		values := make([]float64, 0, len(results))
		for _, result := range results {
			values = append(values, value(result))
		}

		return summarise(values)
	}
	quantile := func(histogram func(*Result) *hdrhistogram.Histogram, quantile float64) Summary {
		return summary(func(r *Result) float64 { return float64(histogram(r).ValueAtQuantile(quantile)) / 1000 })
	}
	part := func(count func(*Result) int) Summary {
		return summary(func(r *Result) float64 { return float64(count(r)) / float64(max(r.Requests, 1)) })
	}

	wait := func(r *Result) *hdrhistogram.Histogram { return r.Wait }
	row.WaitP50, row.WaitP99 = quantile(wait, 50), quantile(wait, 99)
	row.WholeP99 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.Whole }, 99)
	row.FirstP99 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.First }, 99)
	row.LongP50 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.LongWhole }, 50)
	row.Hits = summary(func(r *Result) float64 { return r.Hits })
	row.Imbalance = summary(func(r *Result) float64 { return r.Imbalance })
	row.Refused = part(func(r *Result) int { return r.Refused })
	row.Late = part(func(r *Result) int { return r.Late })
	row.Hedged = part(func(r *Result) int { return r.Hedged })
	row.Goodput = summary(func(r *Result) float64 { return r.goodput() / r.Seconds })
	row.Unfairness = summary(func(r *Result) float64 { return r.unfairness(workload, scenario) })

	for _, result := range results {
		row.Requests += result.Requests
		row.DriftMs = max(row.DriftMs, float64(result.Drift.Microseconds())/1000)
		row.wait.Merge(result.Wait)
	}

	return row
}

func (r *Result) goodput() float64 {
	total := 0.0
	for _, good := range r.Good {
		total += good
	}

	return total
}
