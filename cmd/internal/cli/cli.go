// Package cli runs the command lines of both binaries and defines their exit codes.
package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of both binaries.
const (
	// ExitOK means that the command succeeded or help was printed.
	ExitOK = 0
	// ExitFailure means that the command failed; the reason is on standard error.
	ExitFailure = 1
	// ExitUsage means that the command line could not be parsed.
	ExitUsage = 2
)

// Run parses the arguments, runs the selected command and returns the exit code.
func Run(parser *flags.Parser, arguments []string) int {
	_, err := parser.ParseArgs(arguments)

	var usage *flags.Error

	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	case usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	default:
		fmt.Fprintln(os.Stderr, usage.Message)
		return ExitUsage
	}
}

// Command describes a command or a group of commands.
type Command struct {
	Name string
	// Short is shown in the list of commands, Long in the command's --help.
	Short string
	Long  string
	// Data is a pointer to the struct of options, which implements flags.Commander. AddGroup ignores it for the group.
	Data any
}

// Add adds commands to a parser's root command or to a group.
func Add(group *flags.Command, commands ...Command) error {
	for _, command := range commands {
		if _, err := group.AddCommand(command.Name, command.Short, command.Long, command.Data); err != nil {
			return errors.Wrap(err, "add command")
		}
	}

	return nil
}

// AddGroup adds a group to the parent and the commands to the group.
func AddGroup(parent *flags.Command, group Command, commands ...Command) error {
	added, err := parent.AddCommand(group.Name, group.Short, group.Long, &struct{}{})
	if err != nil {
		return errors.Wrap(err, "add command group")
	}

	return Add(added, commands...)
}
