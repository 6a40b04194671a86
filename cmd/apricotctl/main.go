// Command apricotctl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/apricotway/apricotway/cmd/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:])) }
