// Command apricotway runs the processes of the system: the daemon, an entry host, or a development system on stand-ins.
package main

import (
	"os"

	"github.com/apricotway/apricotway/cmd/internal/serve"
)

func main() { os.Exit(serve.Run(os.Args[1:])) }
