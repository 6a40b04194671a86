package origin_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/origin"
)

const service = "s"

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func server(id, version string) apricotway.Backend {
	return apricotway.Backend{
		ID: apricotway.BackendServerID(id), Service: service, Version: apricotway.SoftwareVersion(version), Born: start.Add(-time.Hour),
	}
}

// wantOrigin checks the version that may continue a stream, "" for none, and what that is known from.
func wantOrigin(t *testing.T, r *origin.Register, now time.Time, attempt, version string, want origin.Evidence) {
	t.Helper()

	found, evidence := r.Find(now, 0, service, origin.StreamOf(apricotway.AttemptID(attempt)))
	if evidence != want {
		t.Errorf("stream %s: got evidence %q, want %q", attempt, evidence, want)
	}

	got := ""

	for _, v := range []string{"v1", "v2", "v3"} {
		if found.Allows(apricotway.Lineage{Software: apricotway.SoftwareVersion(v)}) {
			got += v
		}
	}

	if got != version {
		t.Errorf("stream %s: got %q as the versions that may continue it, want %q", attempt, got, version)
	}
}

// TestRegister guards against a stream going on at a version that may not have begun it, and against refusing one whose version is certain.
func TestRegister(t *testing.T) {
	r := origin.NewRegister()
	lifetime := r.Lifetime()
	old := server("a", "v1")

	wantOrigin(t, r, start, "x", "", origin.EvidenceNone)
	r.Update(start, old)
	r.Begin(start, origin.StreamOf("begun"), old)
	wantOrigin(t, r, start, "begun", "v1", origin.EvidenceRecord)
	wantOrigin(t, r, start, "other", "v1", origin.EvidenceOnlyVersion)

	if got := r.TakePending(10); len(got) != 0 {
		t.Errorf("got %v to tell while one version serves, want nothing", got)
	}

	// A second version: who began an unknown stream can't be told any more, and what is known is told.
	now := start.Add(time.Second)
	r.Update(now, server("b", "v2"))
	wantOrigin(t, r, now, "begun", "v1", origin.EvidenceRecord)
	wantOrigin(t, r, now, "other", "", origin.EvidenceNone)

	r.Begin(now, origin.StreamOf("new"), server("b", "v2"))

	if got, want := len(r.TakePending(10)), 2; got != want {
		t.Errorf("got %d beginnings to tell, want %d", got, want)
	}

	r.Learn(now, []origin.Beginning{{Stream: origin.StreamOf("told"), Service: service, Version: "v2"}})
	wantOrigin(t, r, now, "told", "v2", origin.EvidenceRecord)

	// The first version leaves: its streams are needed for their lifetime, and can't be told from those of the other one until then.
	r.Remove(now, old)
	wantOrigin(t, r, now.Add(lifetime-time.Millisecond), "other", "", origin.EvidenceNone)
	wantOrigin(t, r, now.Add(lifetime), "other", "v2", origin.EvidenceOnlyVersion)
}

// TestHistory guards against a process that has just started taking the only version on its list for the one that began every stream.
func TestHistory(t *testing.T) {
	for _, test := range []struct {
		name    string
		history origin.Versions
		version string
		want    origin.Evidence
	}{
		{"same version", origin.Versions{"v2": {}}, "v2", origin.EvidenceOnlyVersion},
		{"nothing saved", nil, "v2", origin.EvidenceOnlyVersion},
		{"another version that was in service", origin.Versions{"v1": {}}, "", origin.EvidenceNone},
		{"another version that has just left", origin.Versions{"v1": start.Add(-time.Second), "v2": {}}, "", origin.EvidenceNone},
		{"another version that left long ago", origin.Versions{"v1": start.Add(-time.Hour), "v2": {}}, "v2", origin.EvidenceOnlyVersion},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := origin.NewRegister()
			r.AwaitHistory()
			r.Update(start, server("b", "v2"))
			wantOrigin(t, r, start, "x", "", origin.EvidenceNone)
			r.AddHistory(start, map[apricotway.Service]origin.Versions{service: test.history})
			wantOrigin(t, r, start, "x", test.version, test.want)
		})
	}
}

// TestOnlyVersionOfOutdatedList guards against taking the only version on a list that is older than a stream for the one that began it.
func TestOnlyVersionOfOutdatedList(t *testing.T) {
	const listed = 10 * time.Second

	for _, test := range []struct {
		name  string
		since time.Duration
		want  origin.Evidence
	}{
		{"read before the call", listed + 1, origin.EvidenceOutdated},
		{"read as the call arrived", listed, origin.EvidenceOnlyVersion},
		{"read after the call", listed - 1, origin.EvidenceOnlyVersion},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := origin.NewRegister()
			r.Update(start, server("a", "v1"))
			r.SetListed(listed)

			found, got := r.Find(start, test.since, service, origin.StreamOf("x"))
			if got != test.want {
				t.Errorf("got evidence %q, want %q", got, test.want)
			}

			if got, want := found.Allows(apricotway.Lineage{Software: "v1"}), test.want == origin.EvidenceOnlyVersion; got != want {
				t.Errorf("got %t for a server of the only version known, want %t", got, want)
			}
		})
	}
}

// TestRestartAtAnotherVersion guards against the version of an old entry being taken for that of a server which started again under its name.
func TestRestartAtAnotherVersion(t *testing.T) {
	r := origin.NewRegister()
	r.Update(start, server("a", "v1"))
	r.Begin(start, origin.StreamOf("before"), server("a", "v1"))

	born := start.Add(time.Minute / 4)
	r.Begin(born.Add(time.Second), origin.StreamOf("between"), server("a", "v1"))

	again := server("a", "v2")
	again.Born = born
	r.Update(born.Add(2*time.Second), again)

	now := born.Add(3 * time.Second)
	wantOrigin(t, r, now, "before", "v1", origin.EvidenceRecord)
	wantOrigin(t, r, now, "between", "", origin.EvidenceRecord)
}

// TestCopyIsKeptBesideRecord guards against forgetting at which server a stream began once the store tells the same version: the server may turn
// out to have started again at another one before.
func TestCopyIsKeptBesideRecord(t *testing.T) {
	r := origin.NewRegister()
	r.Update(start, server("a", "v1"))
	r.Update(start, server("b", "v2"))

	now := start.Add(time.Second)
	beginning := origin.Beginning{Stream: origin.StreamOf("x"), Service: service, Version: "v1"}
	r.Hold(now, []origin.Copy{{Beginning: beginning, Server: "a", Born: start.Add(-time.Hour)}}, true)
	r.Learn(now, []origin.Beginning{beginning})
	wantOrigin(t, r, now, "x", "v1", origin.EvidenceRecord)

	again := server("a", "v2")
	again.Born = start
	r.Update(now, again)
	wantOrigin(t, r, now, "x", "", origin.EvidenceRecord)
}

// TestRepublishOfCopies guards against a restored store lacking the beginnings that a process which has ended had given this one.
func TestRepublishOfCopies(t *testing.T) {
	for _, test := range []struct {
		name string
		// written is set if the process that began the stream wrote it before.
		written bool
	}{
		{"written by the holder", false},
		{"written by the process that began it", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := origin.NewRegister()
			r.Update(start, server("a", "v1"))
			r.Update(start, server("b", "v2"))

			beginning := origin.Beginning{Stream: origin.StreamOf("x"), Service: service, Version: "v1"}
			r.Hold(start, []origin.Copy{{Beginning: beginning, Server: "a"}}, test.written)
			r.TakePending(10)
			r.Republish(start.Add(time.Second))

			if got, want := len(r.TakePending(10)), 1; got != want {
				t.Errorf("got %d beginnings to write again, want %d", got, want)
			}
		})
	}
}

// TestRegisterIsBounded guards against a register that grows with the streams of the whole life of the process.
func TestRegisterIsBounded(t *testing.T) {
	r := origin.NewRegister()
	r.Update(start, server("a", "v1"))

	for i := range 3000 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Begin(at, origin.Stream(i), server("a", "v1"))
	}

	if got, want := r.Size(), int(r.Lifetime()/(100*time.Millisecond)); got > want {
		t.Errorf("got %d streams, want at most %d", got, want)
	}
}

// BenchmarkFind measures the decision on a stream that its caller takes up.
func BenchmarkFind(b *testing.B) {
	r := origin.NewRegister()
	r.Update(start, server("a", "v1"))
	r.Update(start, server("b", "v2"))

	for i := range 10000 {
		r.Begin(start, origin.Stream(i), server("a", "v1"))
	}

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		r.Find(start, 0, service, origin.Stream(i%20000))
	}
}

// TestStreamsOfServerRestartedWhileStoreWasAway guards against streams that count as of the version in the entry of their server, which has
// started again while the store was away, and against refusing those of servers whose connections have not broken.
func TestStreamsOfServerRestartedWhileStoreWasAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := origin.NewRegister()
		held := map[netip.AddrPort]time.Time{}
		r.SetHeld(func(address netip.AddrPort) (time.Time, bool) {
			since, ok := held[address]
			return since, ok
		})

		restarted, kept := server("restarted", "v1"), server("kept", "v1")
		restarted.Address, kept.Address = netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
		begin := func(attempt string, at apricotway.Backend) {
			r.Begin(time.Now(), origin.StreamOf(apricotway.AttemptID(attempt)), at)
		}
		list := func() {
			r.Update(time.Now(), kept)
			r.Update(time.Now(), restarted)
			r.SetListed(time.Since(start))
		}
		want := func(attempt string, certain bool) {
			t.Helper()

			if found, _ := r.Recorded(origin.StreamOf(apricotway.AttemptID(attempt))); found.Known() != certain {
				t.Errorf("stream %s: got a known version %t, want %t", attempt, found.Known(), certain)
			}
		}

		held[restarted.Address], held[kept.Address] = time.Now(), time.Now()

		for range 10 {
			list()
			<-time.After(time.Second)
		}

		begin("before", restarted)
		list()
		<-time.After(500 * time.Millisecond)

		// The server starts again while the store is away.
		delete(held, restarted.Address)
		begin("early", restarted)
		<-time.After(2 * time.Second)

		held[restarted.Address] = time.Now()
		begin("late", restarted)
		begin("kept", kept)
		want("before", true)
		want("early", false)
		want("late", false)
		want("kept", true)

		for _, test := range []struct {
			backend apricotway.Backend
			want    bool
		}{{restarted, false}, {kept, true}} {
			if got := r.Certain(time.Now(), test.backend.Address); got != test.want {
				t.Errorf("server %s: got a certain version %t, want %t", test.backend.ID, got, test.want)
			}
		}

		// Its entry follows some time after the store is back.
		list()
		want("early", false)
		want("late", false)
		<-time.After(time.Second)

		restarted.Version = "v2"

		for range 4 {
			list()
			<-time.After(time.Second)
		}

		want("before", true)
		want("early", false)
		wantOrigin(t, r, time.Now(), "late", "v2", origin.EvidenceRecord)

		if !r.Certain(time.Now(), restarted.Address) {
			t.Error("got no certain version of a server that has registered again, want one")
		}
	})
}
