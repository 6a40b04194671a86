package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// usageWindow is usage_window_s.
const usageWindow = 5 * time.Second

// windowAt returns the number of the window that contains a time.
func windowAt(at time.Time) int64 { return at.UnixNano() / int64(usageWindow) }

// lostAnswer loses the store's answer to the record of a usage report while another entry host is frozen, and stops the holder of the
// duties as planned once the report is accepted. No window may get two reports with different counts.
func lostAnswer(s *system) bool {
	const (
		beforeEnd  = 300 * time.Millisecond
		frozenTime = 2600 * time.Millisecond
		lossFrom   = time.Second
		lossTime   = 4500 * time.Millisecond
	)

	s.putConfig(fmt.Sprintf(keyConfig, 1, `"key-first"`))
	s.addEngine("i-ledger1", "ledger", 60*time.Millisecond)
	s.addEngine("i-ledger2", "ledger", 60*time.Millisecond)
	s.addEntries(4)

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)

	stop := s.traffic("key-second", "/look/x", 8, 10, 3*time.Second)
	time.Sleep(7 * time.Second)

	var holder *entry

	for _, e := range s.entries {
		if strings.HasPrefix(s.dutyHolder(), e.name+"-") {
			holder = e
		}
	}

	if holder == nil {
		panic(errCannotRun{"no entry host holds the duties"})
	}

	s.logf("%s holds the duties", holder.name)

	frozen := s.entries[len(s.entries)-1]
	if frozen == holder {
		frozen = s.entries[0]
	}

	window := windowAt(time.Now().Add(2 * time.Second))
	end := time.Unix(0, (window+1)*int64(usageWindow))

	time.Sleep(time.Until(end.Add(-beforeEnd)))

	if s.trouble {
		s.signal(frozen, syscall.SIGSTOP)
	}

	time.Sleep(time.Until(end.Add(lossFrom)))

	if s.trouble {
		s.loseUntil.Store(time.Now().Add(lossTime).UnixNano())
		s.logf("answers of the store may be lost for %s", lossTime)
	}

	time.Sleep(time.Until(end.Add(frozenTime - beforeEnd)))

	if s.trouble {
		s.signal(frozen, syscall.SIGCONT)
	}

	for {
		if usage, _ := s.platform.Usage(); usage[window] != nil {
			break
		}

		if time.Since(end) > 10*time.Second {
			panic(errCannotRun{"the window was not reported"})
		}

		time.Sleep(10 * time.Millisecond)
	}

	time.Sleep(300 * time.Millisecond)
	s.signal(holder, syscall.SIGTERM)
	<-holder.done
	s.logf("%s has ended", holder.name)
	s.start(holder)
	time.Sleep(6 * time.Second)

	sent, served := stop()
	s.logf("steady traffic: %d sent, %d served", sent, served)

	usage, conflicts := s.platform.Usage()
	s.logf("windows reported: %v; reports with other counts than an earlier one of their window: %d", usage, conflicts)

	return conflicts > 0
}
