// Command apricotway is the daemon that runs on every entry host.
package main

import (
	"os"

	"github.com/apricotway/apricotway/cmd/internal/serve"
)

func main() { os.Exit(serve.Run(os.Args[1:])) }
