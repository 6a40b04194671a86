package origin_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/origin"
)

// outageProcess is a process that reads the list of backend servers from a store.
type outageProcess struct {
	*origin.Register

	// read is the time at which the last read began, and known the entries that it brought.
	read  time.Time
	known map[apricotway.BackendServerID]apricotway.Backend
}

func newOutageProcess() *outageProcess {
	return &outageProcess{Register: origin.NewRegister(), known: map[apricotway.BackendServerID]apricotway.Backend{}}
}

// list reads entries as the catalog does.
func (p *outageProcess) list(entries ...apricotway.Backend) {
	began := time.Now()
	<-time.After(time.Millisecond)

	for _, e := range entries {
		before, ok := p.known[e.ID]
		p.known[e.ID] = e
		p.Update(time.Now(), e)

		if ok && before != e {
			p.Written(e, p.read, p.read.Sub(start))
		}
	}

	p.read = began
	p.SetListed(began.Sub(start))
}

// calm reads unchanged entries for a while.
func (p *outageProcess) calm(entries ...apricotway.Backend) {
	for range 8 {
		p.list(entries...)
		<-time.After(500 * time.Millisecond)
	}
}

// startedAt returns the entry of a server that started at a time.
func startedAt(version string, born time.Time, sequence uint64) apricotway.Backend {
	return apricotway.Backend{
		ID: "a", Service: service, Version: apricotway.SoftwareVersion(version), Born: born, Sequence: sequence,
		Address: netip.MustParseAddrPort("10.0.0.1:1"),
	}
}

// TestDoubtWithdrawnAtHolder guards against a holder that refuses a stream for a doubt which the list of backend servers disproves, also if the
// process that recorded the stream has ended before it could withdraw the doubt.
func TestDoubtWithdrawnAtHolder(t *testing.T) {
	for _, test := range []struct {
		name string
		// arrives is the time from the return of the store to the arrival of the copy, and age that of the beginning before the return.
		arrives, age time.Duration
		// writes is the time from the return of the store to the first entry that the server writes; the next ones follow every 1.2 s. A negative
		// value means none.
		writes time.Duration
		// within is the time from the return of the store within which the doubt has to be withdrawn.
		within time.Duration
	}{
		{"copy before the return", -time.Second, 2 * time.Second, 0, 2600 * time.Millisecond},
		{"entry written between the first two lists", -time.Second, 2 * time.Second, 300 * time.Millisecond, 800 * time.Millisecond},
		{"copy after the return", time.Second, 0, 0, 2600 * time.Millisecond},
		{"copy that comes after the doubt was disproved", 4 * time.Second, time.Second, 0, 6 * time.Second},
		{"server that writes no entry", -time.Second, 2 * time.Second, -1, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				began, holder := newOutageProcess(), newOutageProcess()
				entry := startedAt("v1", time.Now().Add(-time.Hour), 1)

				for range 8 {
					began.list(entry)
					holder.list(entry)
					<-time.After(500 * time.Millisecond)
				}

				<-time.After(4500*time.Millisecond - test.age)
				began.Begin(time.Now(), origin.StreamOf("x"), entry)
				<-time.After(test.age)

				returned := time.Now()
				copies := began.TakeCopies(10)

				if !copies[0].Uncertain {
					t.Fatal("got a certain version of a stream that began while the store was away, want a doubt")
				}

				if test.arrives < 0 {
					holder.Hold(returned, copies, true)
				}

				for now := time.Duration(0); now < test.within; now += 100 * time.Millisecond {
					if now == test.arrives {
						holder.Hold(time.Now(), copies, true)
					}

					if test.writes >= 0 && now >= test.writes && (now-test.writes)%(1200*time.Millisecond) == 0 {
						entry.Sequence++
					}

					if now.Milliseconds()%600 == 0 {
						holder.list(entry)
					}

					<-time.After(100 * time.Millisecond)
				}

				wantOrigin(t, holder.Register, time.Now(), "x", "v1", origin.EvidenceRecord)

				if !holder.Certain(time.Now(), entry.Address) {
					t.Error("got no certain version of a server that has not started again, want one")
				}
			})
		})
	}
}

// TestDoubtReadByHolder guards against a holder that forgets at which server a stream began as it reads the doubt of another process in the store,
// so that it can't withdraw it.
func TestDoubtReadByHolder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		holder := newOutageProcess()
		entry := startedAt("v1", time.Now().Add(-time.Hour), 1)
		holder.calm(entry)

		beginning := origin.Beginning{Stream: origin.StreamOf("x"), Service: service, Version: "v1"}
		holder.Hold(time.Now(), []origin.Copy{{Beginning: beginning, Server: entry.ID, Born: entry.Born}}, true)

		beginning.Uncertain, beginning.Outage = true, true
		holder.Learn(time.Now(), []origin.Beginning{beginning})
		wantOrigin(t, holder.Register, time.Now(), "x", "", origin.EvidenceRecord)

		holder.calm(entry)
		wantOrigin(t, holder.Register, time.Now(), "x", "v1", origin.EvidenceRecord)
	})
}

// TestDoubtStaysAtHolder guards against a holder that takes the version of an entry which does not prove at which start a stream began.
func TestDoubtStaysAtHolder(t *testing.T) {
	doubted := origin.Beginning{Stream: origin.StreamOf("x"), Service: service, Version: "v1", Uncertain: true, Outage: true}
	told := doubted
	told.Outage = false

	for _, test := range []struct {
		name      string
		beginning origin.Beginning
		// sequence is that of the entry after the copy has arrived, and born its start.
		sequence uint64
		born     time.Duration
		version  string
		// lists is the number of lists after the copy, each half a second after the one before.
		lists int
	}{
		{"entry not written since", doubted, 1, 0, "v1", 5},
		{"another start", doubted, 1, time.Minute, "v1", 20},
		{"another start of another version", doubted, 1, time.Minute, "v2", 20},
		{"another version under the same start", doubted, 2, 0, "v2", 20},
		{"doubt of a build that doesn't tell why", told, 5, 0, "v1", 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				holder := newOutageProcess()
				born := time.Now().Add(-time.Hour)
				holder.calm(startedAt("v1", born, 1))

				holder.Hold(time.Now(), []origin.Copy{{Beginning: test.beginning, Server: "a", Born: born}}, true)

				for range test.lists {
					holder.list(startedAt(test.version, born.Add(test.born), test.sequence))
					<-time.After(500 * time.Millisecond)
				}

				wantOrigin(t, holder.Register, time.Now(), "x", "", origin.EvidenceRecord)
			})
		})
	}
}

// TestLateDoubt guards against a withdrawn doubt that comes back with a message sent before, and against a restart of the server being
// outweighed by a withdrawal, in whatever order the messages arrive.
func TestLateDoubt(t *testing.T) {
	stream := origin.StreamOf("x")
	certain := origin.Beginning{Stream: stream, Service: service, Version: "v1"}
	outage, proven, restart := certain, certain, certain
	outage.Uncertain, outage.Outage = true, true
	proven.Proven = true
	restart.Uncertain = true

	for _, test := range []struct {
		name string
		told []origin.Beginning
		want string
	}{
		{"outage", []origin.Beginning{certain, outage}, ""},
		{"withdrawn", []origin.Beginning{certain, outage, proven}, "v1"},
		{"withdrawn, and told late", []origin.Beginning{proven, outage, certain}, "v1"},
		{"withdrawn, and both told again", []origin.Beginning{outage, proven, certain, outage}, "v1"},
		{"restart", []origin.Beginning{certain, restart}, ""},
		{"restart before the withdrawal", []origin.Beginning{outage, restart, proven}, ""},
		{"restart after the withdrawal", []origin.Beginning{outage, proven, restart}, ""},
		{"restart, and the outage told late", []origin.Beginning{restart, outage, proven, certain}, ""},
	} {
		for _, through := range []string{"store", "copies"} {
			t.Run(test.name+" through the "+through, func(t *testing.T) {
				r := origin.NewRegister()
				r.Update(start, server("a", "v1"))
				r.Update(start, server("b", "v2"))

				for _, told := range test.told {
					if through == "store" {
						r.Learn(start, []origin.Beginning{told})
					} else {
						r.Hold(start, []origin.Copy{{Beginning: told, Server: "c"}}, true)
					}
				}

				wantOrigin(t, r, start, "x", test.want, origin.EvidenceRecord)
			})
		}
	}
}

// TestWithdrawalWritten guards against a doubt that stays in the store although the process that wrote it, or one that holds its copies, has
// withdrawn it.
func TestWithdrawalWritten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began, holder := newOutageProcess(), newOutageProcess()
		entry := startedAt("v1", time.Now().Add(-time.Hour), 1)
		other := entry
		other.ID, other.Version, other.Address = "b", "v2", netip.MustParseAddrPort("10.0.0.2:1")
		began.calm(entry, other)
		holder.calm(entry, other)

		<-time.After(4 * time.Second)
		began.Begin(time.Now(), origin.StreamOf("x"), entry)

		copies, written := began.TakeCopies(10), true
		holder.Hold(time.Now(), copies, written)

		doubt := began.TakePending(10)
		holder.Confirm([]origin.Stream{origin.StreamOf("x")})
		holder.Learn(time.Now(), doubt)

		for range 8 {
			entry.Sequence++
			began.list(entry, other)
			holder.list(entry, other)
			<-time.After(500 * time.Millisecond)
		}

		for name, p := range map[string]*outageProcess{"process that began it": began, "holder": holder} {
			p.TakeOver(time.Now(), time.Second)

			told := p.TakePending(10)
			if len(told) != 1 || !told[0].Proven {
				t.Errorf("%s: got %+v to write, want the withdrawal", name, told)
			}
		}
	})
}

// TestStreamsAfterOutages plays servers that start again while the store is away, and processes that share the beginnings of their streams late or
// not at all. It guards against a wrong version of a stream, and against a doubt that stays although its server has not started again.
func TestStreamsAfterOutages(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { playOutage(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func playOutage(t *testing.T, random *rand.Rand) {
	const (
		step      = 100 * time.Millisecond
		begin     = 5 * time.Second
		heartbeat = 1200 * time.Millisecond
		// marked is the time from which an outage has shown.
		marked = 2100 * time.Millisecond
		// settled is the time after the return of the store by which all doubts about servers that have not started again are withdrawn.
		settled = 8 * time.Second
	)

	type stream struct {
		id      origin.Stream
		version apricotway.SoftwareVersion
		at      time.Duration
		server  int
	}

	type delivery struct {
		to      int
		at      time.Duration
		copies  []origin.Copy
		written bool
	}

	end := begin + 2500*time.Millisecond + time.Duration(random.IntN(30))*step
	born := time.Now()
	processes := []*outageProcess{newOutageProcess(), newOutageProcess(), newOutageProcess()}

	var (
		servers, stored []apricotway.Backend
		restarts        []time.Duration
		phases          []time.Duration
		streams         []stream
		deliveries      []delivery
	)

	for i := range 4 {
		entry := startedAt(fmt.Sprint("v", 1+i%2), born.Add(-time.Hour), 1)
		entry.ID, entry.Address = apricotway.BackendServerID(fmt.Sprint(i)), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		servers = append(servers, entry)
		phases = append(phases, time.Duration(random.IntN(12))*step)

		restart := time.Duration(0)
		if random.IntN(2) == 0 {
			restart = begin + time.Duration(random.Int64N(int64((end-begin)/step)))*step
		}

		restarts = append(restarts, restart)
	}

	stored = append(stored, servers...)

	check := func(now time.Duration) {
		for _, s := range streams {
			for i, p := range processes {
				found, ok := p.Recorded(s.id)

				switch {
				case ok && found.Known() && found.Version() != s.version && now > begin+marked && s.at > begin+marked:
					t.Fatalf("%v: process %d: got version %s of a stream that began at %v, want %s", now, i, found.Version(), s.at, s.version)
				case ok && !found.Known() && restarts[s.server] == 0 && now > max(end, s.at)+settled:
					t.Fatalf("%v: process %d: got no version of a stream that began at %v, want %s", now, i, s.at, s.version)
				}
			}
		}
	}

	for now := time.Duration(0); now < end+2*settled; now += step {
		away := now >= begin && now < end

		for i := range servers {
			if restarts[i] == now && now > 0 {
				servers[i].Born, servers[i].Sequence = time.Now(), 0
				servers[i].Version = apricotway.SoftwareVersion(fmt.Sprint("v", 1+random.IntN(2)))
			}

			if (now+phases[i])%heartbeat == 0 {
				servers[i].Sequence++

				if !away {
					stored[i] = servers[i]
				}
			}
		}

		for i, p := range processes {
			if !away && now%(600*time.Millisecond) == time.Duration(i)*step {
				p.list(stored...)
			}

			if now > begin-time.Second && now < end+settled && random.IntN(4) == 0 {
				at := random.IntN(len(servers))
				s := stream{origin.Stream(random.Uint64()), servers[at].Version, now, at}
				streams = append(streams, s)
				p.Begin(time.Now(), s.id, p.known[servers[at].ID])
			}

			copies, written := p.TakeCopies(100), true

			for to := range processes {
				if to != i && len(copies) > 0 && random.IntN(8) > 0 {
					deliveries = append(deliveries, delivery{to, now + time.Duration(1+random.IntN(20))*step, copies, written})
				}
			}
		}

		for _, d := range deliveries {
			if d.at == now {
				processes[d.to].Hold(time.Now(), d.copies, d.written)
			}
		}

		check(now)
		<-time.After(step)
	}
}
