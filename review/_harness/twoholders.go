package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// scaledConfig has a service whose engines the holder of the duties orders.
const scaledConfig = `{"version":1,"routes":[
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","service":"ledger","timeout_ms":3000,"max_attempts":2,"target_latency_ms":300},
 {"name":"intake","host":"h.example","path_prefix":"/intake/","kind":"streaming","resumable":true,"sticky":true,"service":"model",
  "timeout_ms":12000,"max_attempts":2,"target_latency_ms":500,"gap_aim_ms":400,"priority":0}],
 "services":[{"name":"ledger","health_path":"/healthz","max_conns":96},
  {"name":"model","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity":563819},
   "scaling":{"min":1,"max":6,"boot_s":4,"spot_price":0.18,"zone_prices":{"saskatoon-a":1.0,"saskatoon-b":0.8,"regina-a":1.25,"regina-b":0.9}}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"first","api_keys":["key-first"]}]}`

const (
	// historyTime is the history of the store, contactTime contact_ms and leaseTime lease_ms, from the sheet of tinbright-prairie.
	historyTime = 20 * time.Second
	contactTime = 3 * time.Second
	leaseTime   = 3 * time.Second
	bootTime    = 4 * time.Second
)

// dutyCall is a call for a duty that the platform accepted.
type dutyCall struct {
	at      time.Time
	machine string
	what    string
}

// recordDuty records a call that the platform accepted. The name of a holder begins with that of its machine.
func (s *system) recordDuty(holder, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, e := range s.entries {
		if strings.HasPrefix(holder, e.name+"-") {
			s.duties = append(s.duties, dutyCall{time.Now(), e.name, what})
		}
	}
}

// order is an order for engines.
type order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// fulfil starts and stops engines by the last order of each zone and kind.
func (s *system) fulfil(body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	key := fmt.Sprintf("%s.%s.%t", o.Service, o.Zone, o.Spot)
	running := s.ordered[key]

	for len(running) > o.Desired {
		last := running[len(running)-1]
		running = running[:len(running)-1]

		go last.leave()
	}

	for len(running) < o.Desired {
		s.started++
		e := &engine{id: fmt.Sprintf("i-ordered%d", s.started), service: o.Service, zone: o.Zone, spot: o.Spot, system: s, address: freePort("tcp")}
		running = append(running, e)

		time.AfterFunc(bootTime, e.boot)
	}

	s.ordered[key] = running
}

// expireHistory drops the records of topics to which nothing was appended for the time that the store keeps them.
func (s *system) expireHistory() {
	for s.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)

		s.mu.Lock()
		var idle []string

		for topic, at := range s.appended {
			if time.Since(at) > historyTime {
				idle = append(idle, topic)
				delete(s.appended, topic)
			}
		}
		s.mu.Unlock()

		for _, topic := range idle {
			s.platform.Trim(topic)
			s.logf("the records of %s have expired", topic)
		}
	}
}

// twoHolders kills the three machines that the settings name as seeds, twice, at times when the store has no join records any more. No holders may
// act in the order A, B, A within the lease while both are in touch.
func twoHolders(s *system) bool {
	const upTime, downTime, afterWindow = 34 * time.Second, 2 * time.Second, 1200 * time.Millisecond

	s.putConfig(scaledConfig)
	s.addEngine("i-ledger1", "ledger", 15*time.Millisecond)
	s.addEngine("i-ledger2", "ledger", 15*time.Millisecond)

	for i := range 4 {
		s.addEngine(fmt.Sprintf("i-model%d", i), "model", 0)
	}

	s.addEntries(6)

	go s.expireHistory()

	for _, e := range s.entries {
		s.start(e)
	}

	s.awaitReady(20 * time.Second)

	stop := s.traffic("key-first", "/look/x", 1, 10, 600*time.Millisecond)
	time.Sleep(upTime)

	started := map[string][]time.Time{}

	for _, looks := range []int{14, 7} {
		// A window becomes due 1.5 s after its end, which is then soon after the hosts that were down are in touch again.
		now := time.Now()
		time.Sleep(now.Truncate(usageWindow).Add(usageWindow + afterWindow).Sub(now))

		if s.trouble {
			for _, e := range s.entries[:maxSeeds] {
				s.kill(e)
			}

			time.Sleep(downTime)

			for _, e := range s.entries[:maxSeeds] {
				s.start(e)
				started[e.name] = append(started[e.name], time.Now())
			}
		}

		for range looks {
			time.Sleep(2 * time.Second)
			s.logf("live members as each host sees them:%s", s.members())
		}
	}

	sent, served := stop()
	s.logf("steady traffic: %d sent, %d served", sent, served)

	return s.actedInTurn(started)
}

// members returns how many live members each entry host knows, itself included.
func (s *system) members() string {
	client, line := &http.Client{Timeout: time.Second}, ""

	for _, e := range s.entries {
		answer, err := client.Get("http://" + e.operator + "/v1/members")
		if err != nil {
			line += " " + e.name + ":?"
			continue
		}

		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		line += fmt.Sprintf(" %s:%d", e.name, strings.Count(string(body), `"alive"`))
	}

	return line
}

// actedInTurn reports whether two machines in touch acted in the order A, B, A within the lease.
func (s *system) actedInTurn(started map[string][]time.Time) bool {
	s.mu.Lock()
	calls := append([]dutyCall(nil), s.duties...)
	s.mu.Unlock()

	var inTouch []dutyCall

	for _, c := range calls {
		if !slices.ContainsFunc(started[c.machine], func(at time.Time) bool { return !c.at.Before(at) && c.at.Sub(at) <= contactTime }) {
			inTouch = append(inTouch, c)
		}
	}

	found := 0

	for i, first := range inTouch {
		other := -1

		for k := i + 1; k < len(inTouch) && inTouch[k].at.Sub(first.at) <= leaseTime; k++ {
			switch {
			case inTouch[k].machine != first.machine && other < 0:
				other = k
			case inTouch[k].machine == first.machine && other >= 0:
				found++

				s.logf("in turn: %s at %.3f (%s), %s at %.3f (%s), %s at %.3f (%s)", first.machine, first.at.Sub(s.began).Seconds(), first.what,
					inTouch[other].machine, inTouch[other].at.Sub(s.began).Seconds(), inTouch[other].what, inTouch[k].machine,
					inTouch[k].at.Sub(s.began).Seconds(), inTouch[k].what)

				k = len(inTouch)
			}
		}
	}

	s.logf("%d accepted duty calls, %d in the order A, B, A within the lease", len(calls), found)

	return found > 0
}
