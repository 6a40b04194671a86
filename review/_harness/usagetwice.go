package main

import (
	"fmt"
	"time"
)

// usageTwice restores the store from a copy while all machines lose power, right after a usage report was accepted. No window may get two
// reports with different counts.
func usageTwice(s *system) bool {
	const (
		copyAge = 4 * time.Second
		away    = time.Second
	)

	s.putConfig(fmt.Sprintf(keyConfig, 1, `"key-first"`))
	s.addEngine("i-ledger1", "ledger", 15*time.Millisecond)
	s.addEngine("i-ledger2", "ledger", 15*time.Millisecond)
	s.addEntries(3)

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)

	stop := s.traffic("key-second", "/look/x", 1, 10, 600*time.Millisecond)
	time.Sleep(11 * time.Second)

	reports := func() int { usage, _ := s.platform.Usage(); return len(usage) }

	for known := reports(); reports() == known; {
		time.Sleep(10 * time.Millisecond)
	}

	s.logf("a usage report was accepted")
	time.Sleep(500 * time.Millisecond)

	if s.trouble {
		s.setStoreDown(true)

		for _, e := range s.entries {
			s.kill(e)
		}

		time.Sleep(away)
		s.platform.Restore(copyAge, 300*time.Millisecond)
		s.setStoreDown(false)
		s.logf("the store is back from a copy %s old", copyAge)

		for _, e := range s.entries {
			s.start(e)
		}
	}

	time.Sleep(15 * time.Second)

	sent, served := stop()
	s.logf("steady traffic: %d sent, %d served", sent, served)

	usage, conflicts := s.platform.Usage()
	s.logf("windows reported: %v; reports with other counts than an earlier one of their window: %d", usage, conflicts)

	return conflicts > 0
}
