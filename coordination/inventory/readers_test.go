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

// fleet connects processes that read one host list and receive each other's broadcasts.
type fleet struct {
	mu        sync.Mutex
	servers   []apricotway.BackendServer
	processes []*process
	// full is set while notices are not delivered, as if there were too many of them for the packets.
	full bool
}

// process is one process of a fleet. It implements the process's host list, broadcasts and membership.
type process struct {
	fleet *fleet
	self  apricotway.Member
	known *inventory.Inventory
	stop  context.CancelFunc

	// The fields below are guarded by the fleet's lock. Processes with different values of side are partitioned and do not
	// receive each other's broadcasts; those with different values of noticed consider each other dead.
	side, noticed int
	dead          bool
	reads         int
	published     int
	// resumed is set while the process is paused during a read: answers of the list are delayed until the channel is closed.
	resumed   chan struct{}
	versions  map[string]uint64
	receivers map[apricotway.Topic][]func(string, uint64, []byte)
	// members caches the view of the members until the next change of the fleet.
	members []apricotway.Member
}

func (p *process) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	p.fleet.mu.Lock()
	p.reads++
	answer, resumed := slices.Clone(p.fleet.servers), p.resumed
	p.fleet.mu.Unlock()

	if resumed != nil {
		select {
		case <-resumed:
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

// change modifies the fleet under its lock.
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

// readCounts returns the total number of reads and the highest number of one process.
func (f *fleet) readCounts() (sum, most int) {
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

// TestListReads guards against load on the host list that grows with the number of processes, and against one process that does
// most of the reads. A read of 7,600 engines returns 1.6 MB.
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
				advance(test.window)

				if sum, most := f.readCounts(); sum > test.total+1 || sum < test.total-1 || most > test.most {
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

// TestReaderDies guards against a reclaim that is noticed late because the process whose turn it was to read has died: the others
// must know within 2 s, before the membership has detected the death.
func TestReaderDies(t *testing.T) {
	for dead := range 8 {
		runFleet(t, 8, func(f *fleet) {
			advance(time.Duration(dead) * 1300 * time.Millisecond)
			f.processes[dead].stop()
			f.change(func() { f.processes[dead].dead = true })
			f.set(leave(servers("a", "b", "c")))
			advance(2 * time.Second)
			f.check(t, "2 s after the notice", "b", "c")
		})
	}
}

// TestReaderFrozen guards against a process that is paused during a read: the others must continue, and its outdated answer must
// not override what they have read meanwhile.
func TestReaderFrozen(t *testing.T) {
	for frozen := range 8 {
		runFleet(t, 8, func(f *fleet) {
			resumed := make(chan struct{})

			f.change(func() { f.processes[frozen].resumed = resumed })
			advance(30 * time.Second)
			f.set(leave(servers("a", "c")))
			advance(2 * time.Second)
			f.check(t, "2 s after the change", "c")
			advance(20 * time.Second)
			f.change(func() { f.processes[frozen].resumed = nil })
			close(resumed)
			synctest.Wait()
			f.check(t, "after the pause", "c")
			advance(time.Minute)
			f.check(t, "a minute later", "c")
		})
	}
}

// TestCutBetweenProcesses guards against missing reads in a network partition: each side must read the list, and a process that
// is partitioned from all others as often as a single process.
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
				advance(20 * time.Second)
				f.check(t, "in an undetected partition", "a", "b", "c")
			}
		}

		f.set(leave(servers("a", "b", "c", "d")))
		advance(2 * time.Second)
		f.check(t, "2 s after the notice", "b", "c", "d")

		f.change(func() {
			for _, p := range f.processes {
				p.side, p.noticed, p.reads = 0, 0, 0
			}
		})
		advance(time.Minute)

		// One read more than the turns was due at the process that was alone.
		if sum, _ := f.readCounts(); sum > 122 {
			t.Errorf("got %d readings a minute after the cut, want at most 122", sum)
		}
	})
}

// TestManyChanges guards against a change of a whole zone that fills the broadcasts for minutes, against processes that repeatedly
// ask each other to read the host list, and against the reclaim of a zone that is noticed late because its notices are not
// delivered.
func TestManyChanges(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		var ids []apricotway.BackendServerID
		for n := range 100 {
			ids = append(ids, apricotway.BackendServerID(fmt.Sprintf("engine-%03d", n)))
		}

		f.set(servers(ids...))
		advance(2 * time.Second)
		f.check(t, "2 s after the change", ids...)
		advance(58 * time.Second)

		sum, _ := f.readCounts()
		published := 0

		for _, p := range f.processes {
			published += p.published
		}

		if got, want := sum, 121+2*8; got > want {
			t.Errorf("got %d readings in a minute, want at most %d", got, want)
		}

		// The readers announce themselves every 10 s at most.
		if got, want := published, 20; got > want {
			t.Errorf("got %d broadcasts for %d changes, want at most %d", got, len(ids), want)
		}

		leaving := servers(ids...)
		for n := range leaving[1:] {
			leaving[n].State, leaving[n].Deadline = apricotway.HostLeaving, time.Now().Add(time.Minute)
		}

		f.change(func() { f.full = true })
		f.set(leaving)
		advance(2 * time.Second)
		f.check(t, "2 s after the notices", ids[len(ids)-1])
	})
}
