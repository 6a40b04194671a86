package reach_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/reach"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func servers(count int) []apricotway.Backend {
	list := make([]apricotway.Backend, count)
	for i := range list {
		list[i] = apricotway.Backend{ID: apricotway.BackendServerID(fmt.Sprint(i)), Address: address(i)}
	}

	return list
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 1000+i))
}

// TestSigns guards against missing that the paths may be lost, and against checks at servers while there is no sign of it.
func TestSigns(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	for _, test := range []struct {
		name  string
		signs func(m *reach.Monitor)
		want  bool
	}{
		{"nothing", func(*reach.Monitor) {}, false},
		{"one crashed server while others answer", func(m *reach.Monitor) {
			m.Unconnected(at(900), address(0))
			m.Answered(at(950), false)
		}, false},
		{"one silent server while others answer", func(m *reach.Monitor) {
			m.Silent(at(900))
			m.Answered(at(950), false)
		}, false},
		{"two refuse, kept connections live on", func(m *reach.Monitor) {
			m.Unconnected(at(900), address(0))
			m.Unconnected(at(910), address(1))
			m.Answered(at(950), false)
		}, true},
		{"two refuse, another one connects", func(m *reach.Monitor) {
			m.Unconnected(at(900), address(0))
			m.Unconnected(at(910), address(1))
			m.Answered(at(950), true)
		}, false},
		{"no answer since a silence", func(m *reach.Monitor) {
			m.Answered(at(500), false)
			m.Silent(at(900))
		}, true},
		{"no answer and one can't be connected to", func(m *reach.Monitor) {
			m.Answered(at(500), false)
			m.Unconnected(at(900), address(0))
		}, true},
	} {
		m := reach.New()
		test.signs(m)

		if got := len(m.Check(at(1000), servers(8))) > 0; got != test.want {
			t.Errorf("%s: got a check %t, want %t", test.name, got, test.want)
		}
	}
}

// TestLost guards against taking failed servers for lost paths, and against keeping that belief when a server answers.
func TestLost(t *testing.T) {
	m := reach.New()
	now := start

	signs := func() {
		m.Unconnected(now, address(0))
		m.Unconnected(now, address(1))
	}

	signs()

	asked := m.Check(now, servers(8))
	for _, server := range asked {
		if server.Address == address(0) || server.Address == address(1) {
			t.Errorf("got a check of %s, want one of servers that are not known to fail", server.Address)
		}
	}

	if again := m.Check(now, servers(8)); len(again) > 0 {
		t.Error("got a second check during the first one, want none")
	}

	if changed, _ := m.Done(now, reach.ResultAnswered); changed || m.Lost() {
		t.Error("got lost paths though a server answered, want none")
	}

	now = now.Add(1100 * time.Millisecond)
	signs()

	if len(m.Check(now, servers(8))) == 0 {
		t.Fatal("got no check, want one")
	}

	if changed, _ := m.Done(now, reach.ResultRefused); !changed || !m.Lost() {
		t.Error("got paths in order though no server answered, want them lost")
	}

	now = now.Add(500 * time.Millisecond)
	if len(m.Check(now, servers(8))) == 0 {
		t.Fatal("got no check of lost paths, want one")
	}

	if changed, lostFor := m.Done(now, reach.ResultAnswered); !changed || m.Lost() || lostFor != 500*time.Millisecond {
		t.Errorf("got changed %t and lost %t for %s, want paths in order after 500ms", changed, m.Lost(), lostFor)
	}
}

// TestOneServer guards against taking the failure of the only server for lost paths.
func TestOneServer(t *testing.T) {
	m := reach.New()
	m.Unconnected(start, address(0))
	m.Unconnected(start, address(1))

	if asked := m.Check(start, servers(1)); len(asked) > 0 || m.Lost() {
		t.Errorf("got a check of %v, want none", asked)
	}
}

// TestSilentCheck guards against taking servers that are silent for a second, or a busy host, for lost paths, and against never taking paths
// for lost on which everything hangs.
func TestSilentCheck(t *testing.T) {
	m := reach.New()
	now := start

	m.Silent(now)

	for check, want := range []bool{false, true} {
		if len(m.Check(now, servers(8))) == 0 {
			t.Fatalf("check %d: got none, want one", check)
		}

		m.Done(now.Add(reach.CheckTimeout), reach.ResultSilent)

		if got := m.Lost(); got != want {
			t.Errorf("check %d: got lost paths: %t, want %t", check, got, want)
		}

		now = now.Add(reach.CheckTimeout + 300*time.Millisecond)
	}
}
