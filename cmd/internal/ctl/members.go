package ctl

import (
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
)

type membersCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *membersCommand) Execute([]string) error {
	var members []apricotway.Member
	if err := c.get("/v1/members", &members); err != nil {
		return err
	}

	if c.JSON {
		return printJSON(members)
	}

	rows := [][]string{strings.Fields("NODE REGION ZONE STATE READY INCARNATION CALLERS PEERS PROBES OPERATOR")}

	for _, m := range members {
		rows = append(rows, []string{
			string(m.Node), string(m.Region), string(m.Zone), string(m.State), strconv.FormatBool(m.Ready),
			strconv.FormatUint(m.Incarnation, 10), m.Callers.String(), m.Peers.String(), m.Probes.String(),
			m.Operator.String(),
		})
	}

	return printTable(rows)
}

func addMembersCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "members", Short: "List the known processes",
		Long: "Lists the processes that a process knows, itself included. Dead ones are listed for an hour.\n\n" +
			"Example: apricotctl members --operator 10.0.0.1:8802 --json",
		Data: &membersCommand{},
	})
}
