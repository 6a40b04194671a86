package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// keyConfig is the operators' configuration; its arguments are the version and the keys of the first tenant.
const keyConfig = `{"version":%d,"routes":[
 {"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","service":"ledger","timeout_ms":3000,"max_attempts":1,"target_latency_ms":300},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","service":"ledger","timeout_ms":3000,"max_attempts":2,"target_latency_ms":300}],
 "services":[{"name":"ledger","health_path":"/healthz","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"first","api_keys":[%s]},{"name":"second","api_keys":["key-second"]}]}`

const (
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
	// frozenTime is the longest freeze of a day of sites/tinbright-prairie.toml, less a second.
	frozenTime = 6 * time.Second
	// beforeWake is the time before the end of the freeze at which the requests are sent.
	beforeWake = 400 * time.Millisecond
	// connections is the number of kept connections.
	connections = 4
)

// staleKey freezes one entry host, takes a key away meanwhile, and sends requests with that key on kept connections later than revoke_ms
// after the confirmation. None may run.
func staleKey(s *system) bool {
	s.putConfig(fmt.Sprintf(keyConfig, 1, `"key-first","key-taken"`))
	s.addEngine("i-ledger1", "ledger", 15*time.Millisecond)
	s.addEngine("i-ledger2", "ledger", 15*time.Millisecond)
	s.addEntries(3)

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)

	stop := s.traffic("key-second", "/look/x", 1, 5, 600*time.Millisecond)
	time.Sleep(6 * time.Second)

	frozen := s.entries[2]
	callers := make([]*caller, connections)

	for i := range callers {
		callers[i] = s.newCaller(fmt.Sprintf("taken%d", i), "key-taken")

		if first := callers[i].send(frozen.callers, "/book/x", 3*time.Second); first.status != http.StatusOK {
			panic(errCannotRun{fmt.Sprintf("a request with a valid key was not served: %d %v", first.status, first.err)})
		}
	}

	began := time.Now()

	if s.trouble {
		s.signal(frozen, syscall.SIGSTOP)
	}

	time.Sleep(100 * time.Millisecond)

	confirmed := s.putConfig(fmt.Sprintf(keyConfig, 2, `"key-first"`))
	s.logf("version 2, without the key, confirmed")

	time.Sleep(time.Until(began.Add(frozenTime - beforeWake)))

	var wait sync.WaitGroup

	results := make([]result, connections)

	for i, c := range callers {
		wait.Add(1)

		go func() {
			defer wait.Done()

			results[i] = c.send(frozen.callers, "/book/x", 3*time.Second)
		}()
	}

	time.Sleep(time.Until(began.Add(frozenTime)))

	if s.trouble {
		s.signal(frozen, syscall.SIGCONT)
	}

	wait.Wait()
	time.Sleep(time.Second)

	broken := false

	for _, r := range results {
		runs := s.runsOf(r.attempt)
		after := r.sent.Sub(confirmed)
		s.logf("%s with the taken key, sent %.3f s after the confirmation: status %d, error %v, runs %d %v", r.attempt, after.Seconds(), r.status,
			r.err, len(runs), runs)

		broken = broken || len(runs) > 0 && after > revokeTime
	}

	other := s.newCaller("control", "key-taken").send(frozen.callers, "/book/x", 3*time.Second)
	s.logf("control request with the taken key: status %d", other.status)

	sent, served := stop()
	s.logf("steady traffic: %d sent, %d served", sent, served)

	return broken
}
