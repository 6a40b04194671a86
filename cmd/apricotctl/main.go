// Command apricotctl is the operators' tool.
package main

import (
	"os"

	"github.com/apricotway/apricotway/cmd/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:])) }
