package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/bench"
	"github.com/apricotway/apricotway/cmd/internal/cli"
)

type benchCommand struct {
	Workload string        `long:"workload" value-name:"NAME" description:"workload to run: shop or belt; all without it"`
	Ablate   bool          `long:"ablate" description:"measure the own policy without each of its parts"`
	Repeats  int           `long:"repeats" default:"3" description:"repeats of each run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first repeat"`
	Duration time.Duration `long:"duration" default:"30s" description:"measured time of a run"`
	WarmUp   time.Duration `long:"warm-up" default:"8s" description:"time before the measurement"`
	Parallel int           `long:"parallel" default:"7" description:"policies that run side by side"`
	JSON     bool          `long:"json" description:"print JSON in place of tables"`
	Plots    string        `long:"plots" value-name:"DIR" description:"directory for SVG plots"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	if c.Repeats < 1 || c.Duration <= 0 || c.WarmUp < 0 {
		return errors.New("--repeats and --duration must be positive and --warm-up not negative")
	}

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	report, err := bench.Measure(ctx, bench.Options{
		Workload: c.Workload, Ablate: c.Ablate, Repeats: c.Repeats, Seed: c.Seed, Duration: c.Duration, WarmUp: c.WarmUp,
		Parallel: c.Parallel,
		Progress: func(workload, scenario string, repeat int) {
			fmt.Fprintf(os.Stderr, "%s %s, repeat %d\n", workload, scenario, repeat+1)
		},
	})
	if err != nil {
		return err
	}

	if c.Plots != "" {
		if err := report.Plot(c.Plots); err != nil {
			return err
		}
	}

	if !c.JSON {
		return report.Write(os.Stdout)
	}

	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(report); err != nil {
		return errors.Wrap(err, "write report")
	}

	return nil
}

func addBenchCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "bench", Short: "Measure routing and admission",
		Long: "Sends an open-loop load to engine models inside this process and compares the routing policies.\n\n" +
			"Example: apricotctl bench --workload shop --plots docs/plots",
		Data: &benchCommand{},
	})
}
