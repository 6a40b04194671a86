package bench

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Write writes the report as text tables. Each measurement shows as minimum/median/maximum over the repeats, with times
// in milliseconds.
func (r *Report) Write(w io.Writer) error {
	// Writes to a tabwriter are buffered, and Flush returns their errors.
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintln(table, "workload\tload\tpolicy\twait p50\twait p99\twhole p99\tfirst p99\tlong p50\thits\timbalance\t"+
		"refused\tlate\thedged\tgoodput\tunfair\t")

	for i := range r.Rows {
		row := &r.Rows[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			row.Workload, row.Scenario.Name, row.Policy,
			row.WaitP50.text(0), row.WaitP99.text(0), row.WholeP99.text(0), row.FirstP99.text(0), row.LongP50.text(0),
			row.Hits.text(2), row.Imbalance.text(2), row.Refused.text(3), row.Late.text(3), row.Hedged.text(3),
			row.Goodput.text(2), row.Unfairness.text(2))
	}

	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}

	if len(r.Targets) == 0 {
		return nil
	}

	_, _ = fmt.Fprintln(w)

	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, target := range r.Targets {
		bound, verdict := "at most", "missed"
		if target.AtLeast {
			bound = "at least"
		}

		if target.Met {
			verdict = "met"
		}

		_, _ = fmt.Fprintf(table, "%s\t%s\t%.2f\t%s %.2f\t%s\n",
			target.Workload, target.Measure, target.Value, bound, target.Bound, verdict)
	}

	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write targets")
	}

	return nil
}

func (s Summary) text(digits int) string {
	return fmt.Sprintf("%.*f/%.*f/%.*f", digits, s.Minimum, digits, s.Median, digits, s.Maximum)
}

// Plot writes one SVG file to the directory for each workload and scenario. It shows the time to the first token of short
// requests by quantile, with one line for each policy.
func (r *Report) Plot(directory string) error {
	drawn := map[string]bool{}

	for i := range r.Rows {
		workload, scenario := r.Rows[i].Workload, r.Rows[i].Scenario.Name

		name := workload + "-" + scenario
		if drawn[name] {
			continue
		}

		drawn[name] = true

		if err := r.plot(workload, scenario, filepath.Join(directory, name+".svg")); err != nil {
			return err
		}
	}

	return nil
}

func (r *Report) plot(workload, scenario, path string) error {
	p := plot.New()
	p.Title.Text = "Wait of short requests, " + workload + ", " + scenario
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true

	var lines []any

	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Workload != workload || row.Scenario.Name != scenario {
			continue
		}

		points := plotter.XYs{}
		for quantile := 0.01; quantile < 0.9999; quantile += 0.01 {
			points = append(points, plotter.XY{X: quantile, Y: float64(row.wait.ValueAtQuantile(100*quantile)) / 1000})
		}

		lines = append(lines, row.Policy, points)
	}

	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "add lines to plot")
	}

	if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return errors.Wrap(err, "save plot")
	}

	return nil
}
