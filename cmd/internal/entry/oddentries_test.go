package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// oddEntries returns entries of another writer. Those that can be decoded name the given address.
func oddEntries(address string) map[string]string {
	const depth = 100_000

	nested := strings.Repeat(`{"a":[`, depth/4) + strings.Repeat("]}", depth/4)
	valid := `{"service":"model","address":"` + address + `","zone":"a","slots":8,"state":"ready","seq":1,"born":1}`

	return map[string]string{
		"nested": strings.Repeat("[", depth) + strings.Repeat("]", depth), "brackets": strings.Repeat("[", 256<<10),
		"nested field": strings.Replace(valid, ":8,", ":"+nested+",", 1), "nested unknown field": `{"x":` + nested + "," + valid[1:],
		"large number": strings.Replace(valid, ":8,", ":1e400,", 1), "large slots": strings.Replace(valid, ":8,", ":1e300,", 1),
		"negative slots": strings.Replace(valid, ":8,", ":-1,", 1), "large sequence": strings.Replace(valid, `"seq":1`, `"seq":18446744073709551616`, 1),
		"large start": strings.Replace(valid, `"born":1`, `"born":9e99`, 1), "port 0": strings.Replace(valid, address, "127.0.0.1:0", 1),
		"port 65536": strings.Replace(valid, address, "127.0.0.1:65536", 1), "large port": strings.Replace(valid, address, "127.0.0.1:99999999999", 1),
		"odd id \xff\r\n": valid, "": valid, "bytes": "\x00\xff", "odd state": strings.Replace(valid, "ready", "odd", 1),
		"large service": strings.Replace(valid, "model", strings.Repeat("m", 200<<10), 1),
	}
}

// TestOddEntriesAmongServers guards against processes that end or stop following the list of servers because of odd entries: servers come,
// leave and go among them, callers get their responses meanwhile, and no odd entry gets a call.
func TestOddEntriesAmongServers(t *testing.T) {
	const (
		// longest is far above the time after which a new server gets calls.
		longest = 5 * time.Second
		// leaveTime is the time after which a server that leaves gets no new calls.
		leaveTime = 2 * time.Second
	)

	s := newSite(t)

	var odd atomic.Int64

	listener := httptest.NewUnstartedServer(http.NotFoundHandler())
	listener.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			odd.Add(1)
		}
	}
	listener.Start()
	t.Cleanup(listener.Close)

	address := listener.Listener.Addr().String()
	putOdd := func() {
		for name, value := range oddEntries(address) {
			s.platform.Put("keyed.servers", name, []byte(value))
		}
	}
	putOdd()

	first, second := s.start(), s.start()
	defer first.Stop(context.Background())
	defer second.Stop(context.Background())

	s.eventually("both processes serve and know each other", func() bool {
		return s.ready(0) && s.ready(1) && len(s.addresses(0)) == 2 && len(s.addresses(1)) == 2
	})

	var (
		callers      sync.WaitGroup
		whole, other atomic.Int64
		ended        atomic.Bool
	)

	defer ended.Store(true)

	for process := range 2 {
		callers.Go(func() {
			for i := 0; !ended.Load(); i++ {
				c := standin.Call{
					Address: s.settings[process].Listen.Callers, Path: "/book/", Attempt: fmt.Sprint("odd-", process, "-", i), Key: "secret",
				}
				if i%2 > 0 {
					c.Path, c.Tokens = "/chat/", "9,9"
				}

				if status, body, err := s.call(c); err != nil || status != http.StatusOK {
					t.Errorf("got status %d, %q and %v, want 200", status, body, err)
					other.Add(1)
				} else {
					whole.Add(1)
				}
			}
		})
	}

	runs := func(e *standin.Engine) int {
		total, _ := e.Runs()
		return total
	}
	checkNoCalls := func(what string, e *standin.Engine) {
		t.Helper()
		<-time.After(leaveTime)

		before := runs(e)

		<-time.After(500 * time.Millisecond)

		if got := runs(e) - before; got != 0 {
			t.Errorf("%s: got %d calls after %s, want none", what, got, leaveTime)
		}
	}
	checkCalls := func(what string, e *standin.Engine) {
		t.Helper()

		began, before := time.Now(), runs(e)
		s.eventually(what+" gets calls", func() bool { return runs(e) > before })

		if took := time.Since(began); took > longest {
			t.Errorf("%s: got its first call after %s, want it within %s", what, took, longest)
		}
	}

	serving := s.engines[2]

	for round := range 3 {
		putOdd()

		added := standin.NewEngine(s.platform, fmt.Sprint("new-", round), "ledger", "a")
		defer added.Close()

		putOdd()
		serving.Register("draining")
		putOdd()
		checkCalls("new server", added)
		checkNoCalls("leaving server", serving)
		serving.Close()

		serving = added
	}

	// The newest entry under the identifier of a server is the odd one until the server registers again.
	s.platform.Put("keyed.servers", "i-1", []byte(oddEntries(address)["large slots"]))
	checkNoCalls("server with an odd entry", s.engines[1])
	s.engines[1].Register("ready")
	s.engines[0].Register("draining")
	checkCalls("server that registered again", s.engines[1])

	ended.Store(true)
	callers.Wait()

	if got := odd.Load(); got != 0 {
		t.Errorf("got %d connections to the address of odd entries, want none", got)
	}

	t.Logf("%d calls answered, %d not", whole.Load(), other.Load())
}
