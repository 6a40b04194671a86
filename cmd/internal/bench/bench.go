package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// Options selects the workloads, policies and durations of a measurement.
type Options struct {
	// Workload is the name of the workload to measure. If it is empty, all workloads are measured.
	Workload string
	// Ablate replaces the baselines by variants of the scored policy, each with one of its parts disabled.
	Ablate  bool
	Repeats int
	// Seed is the seed of the first repeat; each further repeat adds 1.
	Seed uint64
	// Duration is the measured time of one run after its warm-up.
	Duration time.Duration
	WarmUp   time.Duration
	// Parallel is the number of policies that run concurrently, each on its own engine models.
	Parallel int
	// Progress, if set, is called before each repeat of a scenario.
	Progress func(workload, scenario string, repeat int)
}

// Scenarios returns the load scenarios that the targets refer to.
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

// Row holds the measurements of one policy under one workload and scenario. Times are in milliseconds.
type Row struct {
	Workload string   `json:"workload"`
	Scenario Scenario `json:"scenario"`
	Policy   string   `json:"policy"`
	Requests int      `json:"requests"`
	// WaitP50 and WaitP99 are quantiles of the time from the intended send time to the first token, for short requests.
	WaitP50 Summary `json:"waitP50"`
	WaitP99 Summary `json:"waitP99"`
	// WholeP99 is the 99th percentile of the time from the intended send time to the last token, for short requests.
	WholeP99 Summary `json:"wholeP99"`
	// FirstP99 is the 99th percentile of the time from the intended send time to the first token, for all requests.
	FirstP99 Summary `json:"firstP99"`
	// LongP50 is the median time from the intended send time to the last token, for long requests.
	LongP50 Summary `json:"longP50"`
	// Hits is the number of prompt tokens found in prefix caches, as a fraction of those that a single engine with an
	// unlimited cache would find.
	Hits Summary `json:"hits"`
	// Imbalance is the work of the busiest engine divided by the mean over all engines.
	Imbalance Summary `json:"imbalance"`
	// Refused, Late and Hedged are fractions of the requests.
	Refused Summary `json:"refused"`
	Late    Summary `json:"late"`
	Hedged  Summary `json:"hedged"`
	// Goodput is the work of requests that finished by their deadline, in engine seconds per second, that is, in fully
	// used engines.
	Goodput Summary `json:"goodput"`
	// Unfairness is the greatest relative deviation of a workspace from its fair share of the goodput.
	Unfairness Summary `json:"unfairness"`
	// DriftMs is the longest delay of a request by the load generator itself, over all repeats.
	DriftMs float64 `json:"driftMs"`

	wait *hdrhistogram.Histogram
}

// Report holds the rows and targets of one measurement, with the options that produced them.
type Report struct {
	Seed     uint64        `json:"seed"`
	Repeats  int           `json:"repeats"`
	Duration time.Duration `json:"durationNs"`
	Rows     []Row         `json:"rows"`
	Targets  []Target      `json:"targets"`
}

// Measure runs every policy under every scenario of the selected workloads. Within a repeat, all policies get the same
// load, concurrently or one directly after the other, so that other activity on the machine affects them equally.
func Measure(ctx context.Context, options Options) (*Report, error) {
	report := &Report{Seed: options.Seed, Repeats: options.Repeats, Duration: options.Duration}
	policies := policySetups()

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
		return nil, errors.Errorf("unknown workload %q", options.Workload)
	}

	if !options.Ablate {
		report.Targets = targets(report.Rows)
	}

	return report, nil
}

func measure(
	ctx context.Context, workload *Workload, scenario Scenario, policies []policySetup, options Options,
) ([]Row, error) {
	results := make([][]*Result, len(policies))

	for repeat := range options.Repeats {
		if options.Progress != nil {
			options.Progress(workload.Name, scenario.Name, repeat)
		}

		// The order of the policies rotates with each repeat, so that no policy always runs first.
		slots := make(chan struct{}, max(options.Parallel, 1))

		var (
			group sync.WaitGroup
			mu    sync.Mutex
		)

		for step := range policies {
			index := (step + repeat) % len(policies)
			slots <- struct{}{}

			group.Go(func() {
				defer func() { <-slots }()

				seed := options.Seed + uint64(repeat)
				result := newRun(workload, scenario, policies[index], seed, options.WarmUp).execute(ctx, seed, options.Duration)

				mu.Lock()
				defer mu.Unlock()

				results[index] = append(results[index], result)
			})
		}

		group.Wait()

		if err := ctx.Err(); err != nil {
			return nil, errors.Wrap(err, "measurement interrupted")
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
	fraction := func(count func(*Result) int) Summary {
		return summary(func(r *Result) float64 { return float64(count(r)) / float64(max(r.Requests, 1)) })
	}

	wait := func(r *Result) *hdrhistogram.Histogram { return r.Wait }
	row.WaitP50, row.WaitP99 = quantile(wait, 50), quantile(wait, 99)
	row.WholeP99 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.Whole }, 99)
	row.FirstP99 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.First }, 99)
	row.LongP50 = quantile(func(r *Result) *hdrhistogram.Histogram { return r.LongWhole }, 50)
	row.Hits = summary(func(r *Result) float64 { return r.Hits })
	row.Imbalance = summary(func(r *Result) float64 { return r.Imbalance })
	row.Refused = fraction(func(r *Result) int { return r.Refused })
	row.Late = fraction(func(r *Result) int { return r.Late })
	row.Hedged = fraction(func(r *Result) int { return r.Hedged })
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
