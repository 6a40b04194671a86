package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/fleetcost"
)

type fleetCost struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of prices, reclaims and demand"`
	Days    int    `long:"days" default:"14" description:"length of the history"`
	Engines int    `long:"engines" default:"100" description:"standard hosts that serve the peak"`

	Hysteresis float64 `long:"hysteresis" default:"0.2" description:"part by which another market has to be cheaper"`

	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *fleetCost) Execute([]string) error {
	if c.Days < 1 || c.Engines < 1 {
		return errors.New("--days and --engines must be at least 1")
	}

	results := make([]fleetcost.Result, len(fleetcost.Policies))
	costs := map[fleetcost.Policy]float64{}

	for i, policy := range fleetcost.Policies {
		results[i] = fleetcost.Measure(policy, c.Seed, c.Days, c.Engines, c.Hysteresis)
		costs[policy] = results[i].Cost
	}

	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}

	lines := []string{"policy\tcost/allOnDemand\tcost/knowsFuture\tunserved\tunserved after loss\thosts created\n"}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range results {
		lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f\t%.3g\t%.3g\t%d\n", r.Policy, r.Cost/costs[fleetcost.PolicyOnDemand],
			r.Cost/costs[fleetcost.PolicyFuture], r.Unserved, r.UnservedAfterLoss, r.Created))
	}

	if _, err := table.Write([]byte(strings.Join(lines, ""))); err != nil {
		return errors.Wrap(err, "print table of costs")
	}

	return table.Flush()
}

func addFleetCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "fleet-cost", Short: "Measure the cost of the fleet planner",
		Long: "Runs the fleet planner and what it is compared with over generated prices and reclaims.\n\n" +
			"Example: apricotctl fleet-cost --engines 800 --days 14 --seed 1",
		Data: &fleetCost{},
	})
}
