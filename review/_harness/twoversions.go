package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// streamConfig is the operators' configuration of the case.
const streamConfig = `{"version":1,"routes":[
 {"name":"intake","host":"h.example","path_prefix":"/intake/","kind":"streaming","resumable":true,"sticky":true,"service":"model",
  "timeout_ms":12000,"max_attempts":2,"target_latency_ms":500,"gap_aim_ms":400,"priority":0}],
 "services":[{"name":"model","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity":563819}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"first","api_keys":["key-first"]}]}`

// How a stream ended.
const (
	streamWhole   = "whole"
	streamCut     = "cut after its answer had begun"
	streamRefused = "refused"
)

// streamOf sends one stream of a number of events and returns how it ended.
func (c *caller) streamOf(address, path string, length int) string {
	c.length = length
	c.stream(address, path)

	return c.outcome
}

// firstParts is the number of first parts of prompts, from the sheets.
const firstParts = 40

// stream sends one stream and returns the versions that its events name, and whether all events came.
func (c *caller) stream(address, path string) (versions []string, complete bool) {
	if c.length == 0 {
		c.length = events
	}

	c.count++
	c.outcome = streamRefused
	attempt := fmt.Sprintf("%s-%d", c.name, c.count)

	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+attempt))
	check(err)

	request.Host = "h.example"
	request.Header.Set("Apricotway-Attempt-Id", attempt)
	request.Header.Set("Apricotway-Deadline-Ms", "12000")
	request.Header.Set("Apricotway-Model", "m")
	request.Header.Set("Apricotway-Token-Usage", "628,294")
	request.Header.Set("Apricotway-Prefix-Hash", fmt.Sprintf("%x:119,%x:509", 0x5c1e0700+rand.IntN(firstParts), rand.Uint64()))
	request.Header.Set("Authorization", "Bearer "+c.key)

	response, err := c.client.Do(request)
	if err != nil {
		c.system.notef("%s via %s: %v", attempt, address, err)
		return nil, false
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		c.system.notef("%s via %s: status %d", attempt, address, response.StatusCode)
		return nil, false
	}

	seen, count := map[string]int{}, 0

	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			seen[data]++
			count++
		}
	}

	found := map[string]bool{}

	var parts []string

	for data, n := range seen {
		found[strings.Fields(data)[1]] = true
		parts = append(parts, fmt.Sprintf("%d events of %s", n, data))
	}

	for version := range found {
		versions = append(versions, version)
	}

	sort.Strings(parts)

	if c.outcome = streamCut; count == c.length {
		c.outcome = streamWhole
	}

	line := fmt.Sprintf("%s via %s: %s, all %t", attempt, address, strings.Join(parts, "; "), count == c.length)

	if len(versions) > 1 {
		c.system.logf("two versions: %s", line)
	} else {
		c.system.notef("%s", line)
	}

	return versions, count == c.length
}

const (
	// storeOutage is the longest time for which the store is down on the days of the sites.
	storeOutage = 4500 * time.Millisecond
	// crashTime is how long a crashed engine is down; 2 s at most on the days of the sites.
	crashTime = time.Second
)

// crashWhileStoreIsDown lets engines crash while the store is down. They start again under their names at another version, which their
// entries can't tell meanwhile, and crash once more.
func (s *system) crashWhileStoreIsDown(engines []*engine, version string) {
	began := time.Now()

	s.setStoreDown(true)
	time.Sleep(100 * time.Millisecond)

	for _, until := range []time.Duration{storeOutage - 100*time.Millisecond, 0} {
		for _, e := range engines {
			s.logf("%s crashes", e.id)
			e.crash()
		}

		if until == 0 {
			time.Sleep(time.Until(began.Add(storeOutage)))
			s.setStoreDown(false)
		}

		time.Sleep(crashTime)

		for _, e := range engines {
			e.start(version, e.address)
			s.logf("%s is up with version %s", e.id, version)
		}

		time.Sleep(time.Until(began.Add(until)))
	}
}

// twoVersions lets engines crash while the store is down. They come back with another version of their software. No more than two streams
// may hold events of both versions.
func twoVersions(s *system) bool {
	const (
		engines = 12
		hosts   = 8
		rounds  = 7
		crashed = 3
	)

	s.putConfig(streamConfig)

	for i := range engines {
		s.addEngine(fmt.Sprintf("i-model%d", i), "model", 0)
	}

	s.addEntries(hosts)

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)

	var (
		wait                   sync.WaitGroup
		mu                     sync.Mutex
		sent, complete, joined int
	)

	done := make(chan struct{})

	for i, e := range s.entries {
		wait.Add(1)

		go func() {
			defer wait.Done()

			for n, ticker := 0, time.NewTicker(400*time.Millisecond); ; n++ {
				select {
				case <-ticker.C:
				case <-done:
					return
				}

				wait.Add(1)

				go func() {
					defer wait.Done()

					versions, whole := s.newCaller(fmt.Sprintf("intake%d.%d", i, n), "key-first").stream(e.callers, "/intake/x")

					mu.Lock()
					defer mu.Unlock()

					sent++

					if whole {
						complete++
					}

					if len(versions) > 1 {
						joined++
					}
				}()
			}
		}()
	}

	time.Sleep(6 * time.Second)

	for round := range rounds {
		if s.trouble {
			first := crashed * round % engines
			s.crashWhileStoreIsDown(s.engines[first:first+crashed], fmt.Sprint(round+2))
		}

		time.Sleep(5 * time.Second)
	}

	close(done)
	wait.Wait()
	s.logf("%d streams sent, %d whole, %d with events of two versions", sent, complete, joined)

	return joined > 2
}
