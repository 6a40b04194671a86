// Package cli holds what the command lines of both binaries share.
package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of both binaries.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailure means that the command failed; the reason is on standard error.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

// Run parses the arguments, runs the chosen command and returns the exit code.
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

// Command is one command of a binary.
type Command struct {
	// Name is the word on the command line.
	Name string
	// Short is the line in the list of commands, Long the text of --help.
	Short string
	Long  string
	// Data holds the options and implements flags.Commander, unless the command only groups others.
	Data any
}

// Add adds commands to a parser or to a group of commands.
func Add(group *flags.Command, commands ...Command) error {
	for _, command := range commands {
		if _, err := group.AddCommand(command.Name, command.Short, command.Long, command.Data); err != nil {
			return errors.Wrap(err, "add command")
		}
	}

	return nil
}

// AddGroup adds a command that only groups others.
func AddGroup(parent *flags.Command, group Command, commands ...Command) error {
	added, err := parent.AddCommand(group.Name, group.Short, group.Long, &struct{}{})
	if err != nil {
		return errors.Wrap(err, "add command")
	}

	return Add(added, commands...)
}
