package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// burst sends calls of a kind, so many at a time that all servers of their service get some, and returns the number of answers with
// another status than 200.
func (s *site) burst(c standin.Call, name string) (failed int32) {
	var (
		group sync.WaitGroup
		count atomic.Int32
	)

	for i := range 20 {
		group.Go(func() {
			call := c
			call.Attempt = fmt.Sprintf("%s-%d", name, i)

			if status, _, err := s.call(call); status != http.StatusOK || err != nil {
				count.Add(1)
			}
		})
	}

	group.Wait()

	return count.Load()
}

// sendUntil sends calls of a kind until a condition holds.
func (s *site) sendUntil(what string, c standin.Call, holds func() bool) {
	s.t.Helper()

	round := 0

	s.eventually(what, func() bool {
		round++
		s.burst(c, fmt.Sprint("until", round))

		return holds()
	})
}

// arrivals returns the number of requests of callers that reached the engine.
func arrivals(e *standin.Engine) int {
	count := 0

	for _, arrival := range e.Arrivals() {
		if arrival.Attempt != "" {
			count++
		}
	}

	return count
}

// refusedAtOnce sends a call that no server can take, and returns the Retry-After of its refusal in seconds.
func (s *site) refusedAtOnce(c standin.Call) float64 {
	s.t.Helper()

	c.Host = "h.example"

	request, err := c.Request(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}

	begin := time.Now()

	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()

	if took := time.Since(begin); response.StatusCode != http.StatusServiceUnavailable || took > time.Second {
		s.t.Errorf("got status %d after %s, want 503 at once", response.StatusCode, took)
	}

	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		s.t.Errorf("got Retry-After %q, want a number", response.Header.Get("Retry-After"))
	}

	return seconds
}

// TestCallsAfterLeaveStatement guards against calls for a server that says in its answers that it is leaving, while the store says that
// it is ready or can't be read.
func TestCallsAfterLeaveStatement(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("store down ", down), func(t *testing.T) {
			s := newSite(t)
			process := s.start()

			defer process.Stop(context.Background())

			s.eventually("the process serves", func() bool { return s.ready(0) })
			s.platform.SetDown(down)

			leaving := s.engines[0]
			leaving.SetLeaving(true)

			call := standin.Call{Address: s.settings[0].Listen.Callers, Path: "/chat/", Key: "secret", Tokens: "9,9"}
			before := arrivals(leaving)
			s.sendUntil("the engine has said that it is leaving", call, func() bool { return arrivals(leaving) > before })

			before = arrivals(leaving)

			for i := range 5 {
				if failed := s.burst(call, fmt.Sprint("later", i)); failed > 0 {
					t.Errorf("got %d calls without an answer, want all answered by the other server", failed)
				}
			}

			if got := arrivals(leaving) - before; got != 0 {
				t.Errorf("got %d calls at a server that had said that it is leaving, want none", got)
			}
		})
	}
}

// TestCallsDuringPause guards against calls for a server that has turned one away and named a pause, and against callers that are not
// told of it.
func TestCallsDuringPause(t *testing.T) {
	const pause = 1500 * time.Millisecond

	s := newSite(t)
	process := s.start()

	defer process.Stop(context.Background())

	s.eventually("the process serves", func() bool { return s.ready(0) })

	pausing := s.engines[0]
	call := standin.Call{Address: s.settings[0].Listen.Callers, Path: "/chat/", Key: "secret", Tokens: "9,9"}

	pausing.TurnAway(pause, "1.5")
	s.sendUntil("the engine has turned a call away", call, func() bool { return len(pausing.TurnedAway()) > 0 })

	before, end, failed := arrivals(pausing), time.Now().Add(pause-200*time.Millisecond), int32(0)

	for i := 0; time.Now().Before(end); i++ {
		failed += s.burst(call, fmt.Sprint("paused", i))
	}

	if failed > 0 {
		t.Errorf("got %d calls without an answer, want all answered by the other server", failed)
	}

	if got := arrivals(pausing) - before; got != 0 {
		t.Errorf("got %d calls at a server during its pause, want none", got)
	}

	pausing.Admit()
	s.sendUntil("the engine is used again", call, func() bool { return arrivals(pausing) > before })

	// The only server of another service.
	alone := s.engines[2]
	alone.TurnAway(pause, "1.5")

	call = standin.Call{Address: call.Address, Path: "/book/", Attempt: "alone", Key: "secret"}
	s.refusedAtOnce(call)

	before = arrivals(alone)
	call.Attempt = "again"

	if got := s.refusedAtOnce(call); got < 1 || got > pause.Seconds() {
		t.Errorf("got Retry-After %g s, want the rest of %s", got, pause)
	}

	// One of one server of the service.
	if got, err := process.Counter("apricotway_withheld_server_share"); err != nil || got != 1 {
		t.Errorf("got a share of %g and %v of servers without calls, want 1", got, err)
	}

	if got := arrivals(alone) - before; got != 0 {
		t.Errorf("got %d calls at the only server during its pause, want none", got)
	}
}
