package scenario

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
	"github.com/apricotway/apricotway/platform/standin"
)

const (
	lateEntries = 16
	// lateWide is the number of entry hosts without a narrow link.
	lateWide     = 2
	lateRoutes   = 1400
	lateVersions = 32
	latePeriod   = 350 * time.Millisecond
	// lateSeries bounds the time in which versions are written, also on a busy machine.
	lateSeries = 15 * time.Second
	// lateApply is the time after the confirmation of a version within which the operators' rule wants it in force (config_apply_ms).
	lateApply = 3 * time.Second
	// lateWatch is the time for which calls are made from then on.
	lateWatch = 4 * time.Second
	// narrowLink is a link of 10 Mbit/s in bytes per second.
	narrowLink = 10_000_000 / 8
	lateBefore = "before"
	lateAfter  = "after"
)

// lateSystem is an entry system with large configurations. Version n, counted from 1, moves the route /moved/n/ from one service to the
// other and adds the route /added/n/ and the key "key-n".
type lateSystem struct {
	*entrySystem

	// confirmed holds the times at which the versions were confirmed, guarded by mu.
	confirmed []time.Time
	// configs holds the formats of the versions from 1 on, which take long to make.
	configs []string
	// services holds the services by engine.
	services map[string]string
}

func newLateSystem(t *testing.T, seed uint64, bandwidth func(name string) *faultproxy.Bandwidth, options ...standin.Option) *lateSystem {
	s := &lateSystem{entrySystem: newEntryPlatform(t, seed, lateConfig(0), options...), services: map[string]string{}}
	s.confirmed = []time.Time{time.Now()}
	s.bandwidth = bandwidth

	for version := 1; version <= lateVersions; version++ {
		s.configs = append(s.configs, lateConfig(version))
	}

	for _, service := range []string{lateBefore, lateBefore, lateAfter, lateAfter} {
		s.services[s.startEngine(service, standin.WithSlots(64)).ID()] = service
	}

	return s
}

// lateConfig returns the format of a configuration, which has about 200 bytes a route.
func lateConfig(version int) string {
	var routes, keys []string

	add := func(path, service string) {
		routes = append(routes, fmt.Sprintf(`{"name":"route-%s","host":"h.example","path_prefix":"/%s/","kind":"safe","timeout_ms":3000,`+
			`"target_latency_ms":300,"service":%q,"max_attempts":2,"public":false,"resumable":false}`,
			strings.ReplaceAll(path, "/", "-"), path, service))
	}

	for n := 1; n <= lateVersions; n++ {
		service := lateBefore
		if n <= version {
			service = lateAfter
			add(fmt.Sprint("added/", n), lateAfter)

			keys = append(keys, strconv.Quote(fmt.Sprint("key-", n)))
		}

		add(fmt.Sprint("moved/", n), service)
	}

	for n := range lateRoutes - lateVersions {
		add(fmt.Sprintf("same/%04d", n), lateBefore)
	}

	return `{"version":%d,"routes":[` + strings.Join(routes, ",") + `],"services":[{"name":"before"},{"name":"after"}],` +
		`"limits":{"max_body_bytes":10000},"tenants":[{"name":"w","api_keys":[` + strings.Join(append(keys, `"secret"`), ",") + `]}]}`
}

// publishConfig writes the next version.
func (s *lateSystem) publishConfig(config string) {
	s.config = config
	s.publish()

	s.mu.Lock()
	defer s.mu.Unlock()

	s.confirmed = append(s.confirmed, time.Now())
}

// newest returns the newest version.
func (s *lateSystem) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.confirmed) - 1
}

// ask sends a call that only a version and those after it allow, or that these send to another service.
func (s *lateSystem) ask(client *http.Client, e *entryProgram, kind string, version int, attempt string) bool {
	c := standin.Call{Address: e.callers, Host: "h.example", Path: fmt.Sprintf("/%s/%d/x", kind, version), Attempt: attempt, Key: "secret"}
	if kind == "added" {
		c.Key = fmt.Sprint("key-", version)
	}

	return s.send(s.t.Context(), client, c)
}

// awaitStart waits until every process serves.
func (s *lateSystem) awaitStart() {
	s.t.Helper()

	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()

	for end := time.Now().Add(recoverTime); ; <-time.After(100 * time.Millisecond) {
		serving := 0

		for _, e := range s.entries {
			if s.ask(client, e, "moved", lateVersions, fmt.Sprint("start-", e.name, time.Now().UnixNano())) {
				serving++
			}
		}

		if serving == len(s.entries) {
			return
		}

		if time.Now().After(end) {
			s.t.Fatalf("got %d processes that serve, want all %d", serving, len(s.entries))
		}
	}
}

// startCallers starts a caller of each process, which asks for what the last versions changed, until stop is closed.
func (s *lateSystem) startCallers(stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup

	for _, e := range s.entries {
		random := newRandom(s.random.Uint64())

		group.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()

			for n := 0; ; n++ {
				if newest := s.newest(); newest > 0 {
					// About 9 versions are confirmed within lateApply.
					version := max(newest-random.IntN(3)*random.IntN(8), 1)
					s.ask(client, e, []string{"added", "moved"}[random.IntN(2)], version, fmt.Sprint(e.name, "-", n))
				}

				select {
				case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
				case <-stop:
					return
				}
			}
		})
	}

	return &group
}

// lateHost summarizes the answers of a process that went by a version older than the one that the operators' rule wants.
type lateHost struct {
	count int
	// longest is the longest time from the confirmation of a version to such a call.
	longest time.Duration
	// newest and unserved count the calls for the newest version after lateApply, and those of them that it did not serve.
	newest, unserved int
}

// add adds an answer about a version that was confirmed longer than lateApply before the call.
func (h *lateHost) add(a attemptResult, behind time.Duration, service string, newest bool) {
	if a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || service == lateBefore {
		h.count++
		h.longest = max(h.longest, behind)
	}

	if newest {
		h.newest++

		if service != lateAfter {
			h.unserved++
		}
	}
}

// check checks that no process went by an older version than those confirmed lateApply before the call, and that each serves the newest one
// from then on.
func (s *lateSystem) check() {
	s.t.Helper()

	hosts := map[netip.AddrPort]*lateHost{}
	counts := map[int]int{}

	for _, e := range s.entries {
		hosts[e.callers] = &lateHost{}
	}

	for _, a := range s.answers {
		if strings.HasPrefix(a.attempt, "start-") {
			continue
		}

		counts[a.status]++

		version, err := strconv.Atoi(strings.Split(a.path, "/")[2])
		if err != nil {
			s.t.Fatal(err)
		}

		if behind := a.sent.Sub(s.confirmed[version]); behind > lateApply {
			hosts[a.address].add(a, behind, s.services[a.engine], version == len(s.confirmed)-1)
		}
	}

	s.t.Logf("answers by status: %v", counts)

	for _, e := range s.entries {
		host := hosts[e.callers]
		if host.count+host.unserved > 0 {
			s.t.Logf("%s: calls to the platform: %s", e.name, s.callCounts(e))
		}

		if host.count > 0 {
			s.t.Errorf("%s: got %d answers by a version older than one confirmed %s before, the latest for one confirmed %s before; want none",
				e.name, host.count, lateApply, host.longest)
		}

		if host.newest == 0 || host.unserved > 0 {
			s.t.Errorf("%s: got %d of %d calls for the newest version not served from %s after its confirmation on, want some calls and all served",
				e.name, host.unserved, host.newest, lateApply)
		}
	}
}

// callCounts returns the process's counters of its calls to the platform; status 0 is that of calls without an answer.
func (s *lateSystem) callCounts(e *entryProgram) string {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+e.operator.String()+"/metrics", nil)
	if err != nil {
		return err.Error()
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()

	var counts []string

	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if labels, ok := strings.CutPrefix(lines.Text(), "apricotway_platform_calls_total{"); ok {
			counts = append(counts, strings.Replace(labels, "}", ":", 1))
		}
	}

	return strings.Join(counts, ", ")
}

func runLateConfigurations(t *testing.T, seed uint64, s *lateSystem) {
	s.startEntries(lateEntries)
	s.awaitStart()

	stop := make(chan struct{})
	group := s.startCallers(stop)

	begin := time.Now()

	for _, config := range s.configs {
		if time.Since(begin) < lateSeries {
			s.publishConfig(config)
			<-time.After(latePeriod)
		}
	}

	<-time.After(lateApply + lateWatch)
	close(stop)
	group.Wait()
	t.Logf("seed %d: the last configuration has %d bytes", seed, len(s.config))
	s.check()
}

// TestHostsStayAtOlderConfiguration guards against hosts with narrow links that stay at an older configuration while large ones follow each other.
func TestHostsStayAtOlderConfiguration(t *testing.T) {
	for i := range max(*soakSeeds, 1) {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runLateConfigurations(t, seed, newLateSystem(t, seed, func(name string) *faultproxy.Bandwidth {
				if n, _ := strconv.Atoi(name[1:]); n < lateWide {
					return nil
				}

				return faultproxy.NewBandwidth(narrowLink)
			}))
		})
	}
}
