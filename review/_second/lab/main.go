package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun bounds a run, so that all processes end within the time that a case may take.
const longestRun = 100 * time.Second

// cases holds what each case plays. A case returns whether its rule held.
var cases = map[string]func(l *lab) (held bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}

	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()

	trouble := os.Getenv("TROUBLE") != "0"

	// Whoever reads the output may stop to.
	signal.Ignore(syscall.SIGPIPE)

	l, err := newLab(io.MultiWriter(file, os.Stdout), trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}

	l.logf("case %s, disruption: %t", os.Args[1], trouble)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	var (
		held bool
		done = make(chan struct{})
	)

	go func() {
		defer close(done)

		held, err = cases[os.Args[1]](l)
	}()

	select {
	case <-done:
	case <-signals:
		l.close()
		return exitNotRun
	case <-time.After(longestRun):
		l.logf("the case took too long")
		l.close()

		return exitNotRun
	}

	l.close()

	switch {
	case err != nil:
		l.logf("could not run: %v", err)

		if !errors.Is(err, errNotRun) {
			l.logf("(unexpected error)")
		}

		return exitNotRun
	case held:
		l.logf("the rule held")
		return exitHeld
	default:
		l.logf("the rule was broken")
		return exitBroken
	}
}
