package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// assessConfig is the operators' configuration of the case: streams that may not be resumed.
const assessConfig = `{"version":1,"routes":[
 {"name":"assess","host":"h.example","path_prefix":"/intake/","kind":"streaming","resumable":false,"sticky":true,"service":"model",
  "timeout_ms":15000,"max_attempts":1,"target_latency_ms":1200,"gap_aim_ms":400,"priority":1}],
 "services":[{"name":"model","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity":563819}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"first","api_keys":["key-first"]}]}`

// stopCut stops an entry host as planned, and lets one sound engine fall silent for a second while the host serves streams that it has
// read after SIGTERM. None of them may end without its last event.
func stopCut(s *system) bool {
	const (
		// length is the number of events of a stream: 3.1 s.
		length  = 62
		streams = 12
		// connectAt and sendAt are the times after SIGTERM at which the callers connect, with an address that they may use for 2 s and
		// more, and send their requests.
		connectAt, sendAt = 2300 * time.Millisecond, 3150 * time.Millisecond
		silentAt          = 4500 * time.Millisecond
		silence           = 1100 * time.Millisecond
	)

	s.putConfig(assessConfig)

	for i := range 3 {
		s.addEngine(fmt.Sprintf("i-model%d", i), "model", 0).length = length
	}

	s.addEntries(3)

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)

	var wait sync.WaitGroup

	stopping := s.entries[1]

	// Streams of the same kind before the stop, from which the host knows how long they take.
	for i := range 10 {
		wait.Add(1)

		go func() {
			defer wait.Done()

			s.newCaller(fmt.Sprintf("before%d", i), "key-first").streamOf(stopping.callers, "/intake/x", length)
		}()

		time.Sleep(300 * time.Millisecond)
	}

	wait.Wait()

	began := time.Now()

	if s.trouble {
		s.signal(stopping, syscall.SIGTERM)
	}

	var (
		mu        sync.Mutex
		cut, full int
	)

	for i := range streams {
		wait.Add(1)

		go func() {
			defer wait.Done()

			c := s.newCaller(fmt.Sprintf("late%d", i), "key-first")

			time.Sleep(time.Until(began.Add(connectAt)))
			c.connect(stopping.callers)
			time.Sleep(time.Until(began.Add(sendAt)))

			sent := time.Since(began)
			outcome := c.streamOf(stopping.callers, "/intake/x", length)
			s.logf("late%d: sent %.3f s after SIGTERM, ended %.3f s after it: %s", i, sent.Seconds(), time.Since(began).Seconds(), outcome)

			mu.Lock()
			defer mu.Unlock()

			switch outcome {
			case streamCut:
				cut++
			case streamWhole:
				full++
			}
		}()
	}

	time.Sleep(time.Until(began.Add(silentAt)))
	s.engines[0].silent.Store(time.Now().Add(silence).UnixNano())
	s.logf("%s is silent for %s", s.engines[0].id, silence)
	wait.Wait()

	if s.trouble {
		<-stopping.done
		s.logf("%s has ended %.3f s after SIGTERM", stopping.name, time.Since(began).Seconds())
	}

	s.logf("%d streams, %d whole, %d passed on and cut", streams, full, cut)

	return cut > 0
}
