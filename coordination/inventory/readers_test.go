package inventory_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/bubble"
)

// fleet joins processes that read one host list and hear each other's broadcasts.
type fleet struct {
	mu        sync.Mutex
	servers   []apricotway.BackendServer
	processes []*process
	// full is set while notices do not get through, as when there are too many of them for the packets.
	full bool
}

// process is one process of a fleet: its host list, its broadcasts and its view of the members.
type process struct {
	fleet *fleet
	self  apricotway.Member
	known *inventory.Inventory
	stop  context.CancelFunc

	// The fields below are guarded by the fleet's lock. Processes on different sides of a cut do not hear each other, and
	// count each other as dead once the cut was noticed.
	side, noticed int
	dead          bool
	reads         int
	published     int
	// thawed is set while the process is frozen in a reading: answers that the list gave wait for it.
	thawed    chan struct{}
	versions  map[string]uint64
	receivers map[apricotway.Topic][]func(string, uint64, []byte)
	// members is the view until the next change of the fleet.
	members []apricotway.Member
}

func (p *process) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	p.fleet.mu.Lock()
	p.reads++
	answer, thawed := slices.Clone(p.fleet.servers), p.thawed
	p.fleet.mu.Unlock()

	if thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
		}
	}

	return answer, nil
}

func (p *process) Publish(entry apricotway.BroadcastEntry) error {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()

	key := string(entry.Topic) + " " + entry.Key
	if entry.Version <= p.versions[key] {
		return apricotway.ErrBroadcastRefused
	}

	p.published++

	if p.fleet.full && entry.Topic == apricotway.TopicNotice {
		return nil
	}

	for _, other := range p.fleet.processes {
		if other.side != p.side || other.dead || entry.Version <= other.versions[key] {
			continue
		}

		other.versions[key] = entry.Version

		for _, receive := range other.receivers[entry.Topic] {
			if other != p {
				go receive(entry.Key, entry.Version, entry.Payload)
			}
		}
	}

	return nil
}

func (p *process) Subscribe(topic apricotway.Topic, receive func(string, uint64, []byte)) {
	p.receivers[topic] = append(p.receivers[topic], receive)
}

func (p *process) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (p *process) Self() apricotway.Member { return p.self }

func (p *process) Members() []apricotway.Member {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()

	if p.members != nil {
		return p.members
	}

	for _, other := range p.fleet.processes {
		if other != p {
			member := other.self
			if other.noticed != p.noticed {
				member.State = apricotway.MemberDead
			}

			p.members = append(p.members, member)
		}
	}

	return p.members
}

// change edits the fleet under its lock.
func (f *fleet) change(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	edit()

	for _, p := range f.processes {
		p.members = nil
	}
}

// set changes the host list.
func (f *fleet) set(servers []apricotway.BackendServer) { f.change(func() { f.servers = servers }) }

// check compares the usable servers of the processes that are not dead.
func (f *fleet) check(t *testing.T, when string, want ...apricotway.BackendServerID) {
	t.Helper()

	for _, p := range f.processes {
		if !p.dead {
			check(t, when+" at "+string(p.self.Node), p.known, want...)
		}
	}
}

// readings returns the sum of the readings and the most of one process.
func (f *fleet) readings() (sum, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, p := range f.processes {
		sum += p.reads
		most = max(most, p.reads)
	}

	return sum, most
}

// runFleet runs a test with processes that have read the list once.
func runFleet(t *testing.T, count int, run func(*fleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := &fleet{servers: servers("a", "b")}

		for i := range count {
			f.processes = append(f.processes, &process{
				fleet: f, versions: map[string]uint64{}, receivers: map[apricotway.Topic][]func(string, uint64, []byte){},
				self: apricotway.Member{Node: apricotway.NodeID(fmt.Sprintf("node-%d", i)), State: apricotway.MemberAlive},
			})
		}

		for _, p := range f.processes {
			supervisor := suture.NewSimple("test")
			p.known = inventory.New(supervisor, p, inventory.WithBroadcasts(p), inventory.WithMembership(p))

			var ctx context.Context

			ctx, p.stop = context.WithCancel(t.Context())
			supervisor.ServeBackground(ctx)
		}

		synctest.Wait()
		f.check(t, "at the start, without a broadcast", "a", "b")
		f.change(func() {
			for _, p := range f.processes {
				p.reads = 0
			}
		})

		run(f)
	})
}

// TestListReads guards the budget at full size: the readings of the host list must not grow with the number of processes, and
// none may do the work of the others. A reading of 7,600 engines has 1.6 MB.
func TestListReads(t *testing.T) {
	for _, test := range []struct {
		count       int
		window      time.Duration
		total, most int
	}{
		{1, time.Minute, 120, 120},
		{2, time.Minute, 120, 80},
		{8, time.Minute, 120, 30},
		{32, time.Minute, 120, 15},
		{390, 15 * time.Second, 15, 3},
	} {
		t.Run(fmt.Sprint(test.count), func(t *testing.T) {
			runFleet(t, test.count, func(f *fleet) {
				after(test.window)

				if sum, most := f.readings(); sum > test.total+1 || sum < test.total-1 || most > test.most {
					t.Errorf("got %d readings, %d of one process; want %d and at most %d", sum, most, test.total, test.most)
				}
			})
		})
	}
}

// leave returns the servers with the first one leaving.
func leave(servers []apricotway.BackendServer) []apricotway.BackendServer {
	servers[0].State, servers[0].Deadline = apricotway.HostLeaving, time.Now().Add(time.Minute)

	return servers
}

// TestReaderDies guards the notice of a reclaim against the death of the process that would have read it: the others must know
// within 2 s, before the membership has found out.
func TestReaderDies(t *testing.T) {
	for dead := range 8 {
		runFleet(t, 8, func(f *fleet) {
			after(time.Duration(dead) * 1300 * time.Millisecond)
			f.processes[dead].stop()
			f.change(func() { f.processes[dead].dead = true })
			f.set(leave(servers("a", "b", "c")))
			after(2 * time.Second)
			f.check(t, "2 s after the notice", "b", "c")
		})
	}
}

// TestReaderFrozen guards against a process that freezes in a reading: the others must go on, and its old answer must not
// undo what they read meanwhile.
func TestReaderFrozen(t *testing.T) {
	for frozen := range 8 {
		runFleet(t, 8, func(f *fleet) {
			thawed := make(chan struct{})

			f.change(func() { f.processes[frozen].thawed = thawed })
			after(30 * time.Second)
			f.set(leave(servers("a", "c")))
			after(2 * time.Second)
			f.check(t, "2 s after the change", "c")
			after(20 * time.Second)
			f.change(func() { f.processes[frozen].thawed = nil })
			close(thawed)
			synctest.Wait()
			f.check(t, "after the freeze", "c")
			after(time.Minute)
			f.check(t, "a minute later", "c")
		})
	}
}

// TestCutBetweenProcesses guards both sides of a cut: each must read the list by itself, and a process that is cut off from all
// others as often as one alone.
func TestCutBetweenProcesses(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		for _, noticed := range []bool{false, true} {
			f.change(func() {
				for n, p := range f.processes {
					p.side = min(n, 4) / 2

					if noticed {
						p.noticed = p.side
					}
				}

				f.processes[0].side = 3
				if noticed {
					f.processes[0].noticed = 3
				}
			})

			if !noticed {
				f.set(servers("a", "b", "c"))
				after(20 * time.Second)
				f.check(t, "in an unnoticed cut", "a", "b", "c")
			}
		}

		f.set(leave(servers("a", "b", "c", "d")))
		after(2 * time.Second)
		f.check(t, "2 s after the notice", "b", "c", "d")

		f.change(func() {
			for _, p := range f.processes {
				p.side, p.noticed, p.reads = 0, 0, 0
			}
		})
		after(time.Minute)

		// One more than the turns was due at the process that was alone.
		if sum, _ := f.readings(); sum > 122 {
			t.Errorf("got %d readings a minute after the cut, want at most 122", sum)
		}
	})
}

// TestManyChanges guards the broadcasts against a change of a whole zone, which would fill them for minutes, the host list against
// processes that ask each other to read it again and again, and the reclaim of a zone against notices that come too late.
func TestManyChanges(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		var ids []apricotway.BackendServerID
		for n := range 100 {
			ids = append(ids, apricotway.BackendServerID(fmt.Sprintf("engine-%03d", n)))
		}

		f.set(servers(ids...))
		after(2 * time.Second)
		f.check(t, "2 s after the change", ids...)
		after(58 * time.Second)

		sum, _ := f.readings()
		published := 0

		for _, p := range f.processes {
			published += p.published
		}

		if got, want := sum, 121+2*8; got > want {
			t.Errorf("got %d readings in a minute, want at most %d", got, want)
		}

		// Each reader gives a sign every 10 s at most.
		if got, want := published, 20; got > want {
			t.Errorf("got %d broadcasts for %d changes, want at most %d", got, len(ids), want)
		}

		leaving := servers(ids...)
		for n := range leaving[1:] {
			leaving[n].State, leaving[n].Deadline = apricotway.HostLeaving, time.Now().Add(time.Minute)
		}

		f.change(func() { f.full = true })
		f.set(leaving)
		after(2 * time.Second)
		f.check(t, "2 s after the notices", ids[len(ids)-1])
	})
}
