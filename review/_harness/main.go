package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(*system) (broken bool){
	"stopcut":     stopCut,
	"twoholders":  twoHolders,
	"lostanswer":  lostAnswer,
	"twoversions": twoVersions,
	"stalekey":    staleKey,
	"usagetwice":  usageTwice,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		return exitCannotRun
	}

	var s *system

	defer func() {
		if s != nil {
			s.close()
		}
	}()

	defer func() {
		if cause := recover(); cause != nil {
			fmt.Println("cannot run:", cause)

			code = exitCannotRun
		}
	}()

	s = newSystem(os.Args[2])

	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)

	ended := make(chan int, 1)

	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				fmt.Println("cannot run:", cause)
				ended <- exitCannotRun
			}
		}()

		if cases[os.Args[1]](s) {
			s.logf("the rule was broken")
			ended <- exitBroken
		} else {
			s.logf("the rule held")
			ended <- exitHeld
		}
	}()

	select {
	case code = <-ended:
	case <-interrupted:
		fmt.Println("cannot run: interrupted")

		code = exitCannotRun
	case <-time.After(caseLimit):
		fmt.Println("cannot run: the time is over")

		code = exitCannotRun
	}

	return code
}

// caseLimit bounds the time of a case.
const caseLimit = 115 * time.Second
