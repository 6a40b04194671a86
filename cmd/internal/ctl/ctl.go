// Package ctl implements apricotctl, the command line tool for operators.
package ctl

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/cli"
)

// Run runs apricotctl with the arguments and returns its exit code.
func Run(arguments []string) int {
	parser := flags.NewNamedParser("apricotctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Publishes configuration, reads the state of the system and runs stand-ins of the platform."

	if err := addCommands(parser.Command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailure
	}

	return cli.Run(parser, arguments)
}

// addCommands adds all commands. Each command or group is defined in a file of its own.
func addCommands(root *flags.Command) error {
	for _, add := range []func(*flags.Command) error{
		addMembersCommand,
		addRolloutCommand,
		addCanaryCommand,
		addAccountCommands,
		addCapacityCommand,
		addFleetCommand,
		addConfigCommands,
		addConfigurationCommands,
		addLoadCommand,
		addOperatorCommands,
		addStandinCommands,
		addBenchCommand,
	} {
		if err := add(root); err != nil {
			return err
		}
	}

	return nil
}
