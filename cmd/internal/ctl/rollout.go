package ctl

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/process"
)

type rolloutCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *rolloutCommand) Execute([]string) error {
	var rollout process.Rollout
	if err := c.get("/v1/rollout", &rollout); err != nil {
		return err
	}

	if c.JSON {
		return printJSON(rollout)
	}

	counts := map[string]int{}
	rows := [][]string{strings.Fields("NODE ZONE STATE BUILD")}

	for _, m := range rollout.Members {
		counts[m.Build]++

		rows = append(rows, []string{string(m.Node), string(m.Zone), string(m.State), m.Build})
	}

	rows = append(rows, nil, strings.Fields("BUILD PROCESSES SHARE"))

	for _, build := range slices.Sorted(maps.Keys(counts)) {
		share := strconv.Itoa(100*counts[build]/len(rollout.Members)) + "%"
		rows = append(rows, []string{build, strconv.Itoa(counts[build]), share})
	}

	rows = append(rows, nil, strings.Fields("IGNORED COUNT"))

	for _, kind := range slices.Sorted(maps.Keys(rollout.Unknown)) {
		rows = append(rows, []string{kind, strconv.FormatUint(rollout.Unknown[kind], 10)})
	}

	return printTable(rows)
}

func addRolloutCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "rollout", Short: "Show which builds the processes run",
		Long: "Lists the processes that a process knows with their builds, how many run each build, and what the process ignored because\n" +
			"it does not know it, by kind. Processes of builds that don't tell theirs show as untold.\n\n" +
			"Example: apricotctl rollout --operator 10.0.0.1:8802",
		Data: &rolloutCommand{},
	})
}
