package ctl

import (
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/process"
)

type canaryCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *canaryCommand) Execute([]string) error {
	var canaries []process.Canary
	if err := c.get("/v1/canaries", &canaries); err != nil {
		return err
	}

	if c.JSON {
		return printJSON(canaries)
	}

	rows := [][]string{strings.Fields("SERVICE VERSION STATE SHARE EXPOSED REQUESTS AGE REASON")}

	for _, canary := range canaries {
		rows = append(rows, []string{
			string(canary.Service), string(canary.Version), string(canary.State), strconv.FormatFloat(canary.Share, 'f', -1, 64),
			strconv.FormatUint(canary.Exposed, 10), strconv.FormatUint(canary.Requests, 10),
			strconv.FormatFloat(canary.AgeSeconds, 'f', 0, 64) + "s", canary.Reason,
		})
	}

	return printTable(rows)
}

func addCanaryCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "canary", Short: "Show the canary releases",
		Long: "Lists the newest order of each service to shift its traffic to another software version: its state, the share of new calls\n" +
			"that the version gets, what it has got, and why the order was completed or rolled back.\n\n" +
			"Example: apricotctl canary --operator 10.0.0.1:8802",
		Data: &canaryCommand{},
	})
}
