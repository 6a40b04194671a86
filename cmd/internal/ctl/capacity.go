package ctl

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/capacity"
	"github.com/apricotway/apricotway/cmd/internal/cli"
)

type capacityCommand struct {
	Slopes  string `long:"slopes" value-name:"FILE" default:"docs/slopes.json" description:"measured points"`
	Measure bool   `long:"measure" description:"measure the state machines and print their points for the file"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	if c.Measure {
		points, err := capacity.Measure()
		if err != nil {
			return err
		}

		return printJSON(points)
	}

	relations, err := capacity.Load(c.Slopes)
	if err != nil {
		return err
	}

	page, err := capacity.Compute(relations, capacity.DefaultTarget(), capacity.DefaultBudget())
	if err != nil {
		return err
	}

	return page.Write(os.Stdout)
}

func addCapacityCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "capacity", Short: "Compute the capacity page from measured slopes",
		Long: "Prints docs/CAPACITY.md.\n\nExample: apricotctl capacity --slopes docs/slopes.json > docs/CAPACITY.md",
		Data: &capacityCommand{},
	})
}
