package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/gate"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/state/admission"
	state "github.com/apricotway/apricotway/state/inventory"
	"github.com/apricotway/apricotway/state/routing"
)

// benchList is a host list that decodes its JSON body on every read, at the cost of decoding a platform response. Without a body
// it is unavailable.
type benchList struct {
	body     atomic.Pointer[[]byte]
	readings atomic.Int64
}

func (l *benchList) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	l.readings.Add(1)

	body := l.body.Load()
	if body == nil {
		<-ctx.Done()
		return nil, apricotway.ErrPlatformUnavailable
	}

	var servers []apricotway.BackendServer

	err := json.Unmarshal(*body, &servers)

	return servers, err
}

func (l *benchList) set(servers []apricotway.BackendServer) {
	body, _ := json.Marshal(servers)
	l.body.Store(&body)
}

func benchServers(count int) []apricotway.BackendServer {
	servers := make([]apricotway.BackendServer, count)
	for i := range servers {
		servers[i] = apricotway.BackendServer{
			ID: apricotway.BackendServerID(fmt.Sprintf("7c1f2f3e-0000-4000-8000-%012d", i)), Service: "shop-model",
			Region: "prairie-west", Zone: apricotway.Zone(fmt.Sprintf("prairie-west-%d", i%4)), MachineClass: "a100x2",
			Version: "shop-model-7", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: apricotway.HostLive,
		}
	}

	return servers
}

// benchMembership has 390 members, including this process.
type benchMembership struct{}

func (benchMembership) Self() apricotway.Member {
	return apricotway.Member{Node: "node-0", Zone: "prairie-west-0", State: apricotway.MemberAlive}
}

func (benchMembership) Members() []apricotway.Member { return slices.Clone(benchMembers) }

var benchMembers = func() []apricotway.Member {
	members := make([]apricotway.Member, 389)
	for i := range members {
		members[i] = apricotway.Member{
			Node: apricotway.NodeID(fmt.Sprintf("node-%d", i+1)), Zone: apricotway.Zone(fmt.Sprintf("prairie-west-%d", (i+1)%4)),
			State: apricotway.MemberAlive,
		}
	}

	return members
}()

// discardBroadcasts discards published broadcasts and delivers none.
type discardBroadcasts struct{}

func (discardBroadcasts) Publish(apricotway.BroadcastEntry) error { return nil }

func (discardBroadcasts) Subscribe(apricotway.Topic, func(string, uint64, []byte)) {}

func (discardBroadcasts) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

// BenchmarkInventoryTurns measures the CPU time of the inventory of one of 390 processes that take turns reading the host list,
// between the turns of this process.
func BenchmarkInventoryTurns(b *testing.B) {
	for _, size := range []int{120, 1200, 7600} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			const window = 30 * time.Second // below the time after which a process without news of others reads the list itself

			for b.Loop() {
				list := &benchList{}
				list.set(benchServers(size))

				supervisor := suture.NewSimple("bench")
				known := inventory.New(supervisor, list, inventory.WithMembership(benchMembership{}),
					inventory.WithBroadcasts(discardBroadcasts{}))
				ctx, cancel := context.WithCancel(b.Context())
				done := supervisor.ServeBackground(ctx)
				<-known.Ready()
				<-time.After(time.Second)

				cpu, readings := cpuTime(), list.readings.Load()
				<-time.After(window)
				cpu, readings = cpuTime()-cpu, list.readings.Load()-readings

				b.ReportMetric(100*cpu.Seconds()/window.Seconds(), "%core")
				b.ReportMetric(float64(readings), "readings")
				cancel()
				<-done //nolint:errcheck // the context's error
			}
		})
	}
}

// BenchmarkHostChange measures the packet bytes per member for one replaced host, which causes a leave notice and two host list
// changes.
func BenchmarkHostChange(b *testing.B) {
	for _, size := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			const replaced, window = 20, 60 * time.Second

			members := make([]*benchMember, size)

			var seeds []netip.AddrPort

			for i := range members {
				m, address := startBenchMember(b, i, seeds)
				members[i], seeds = m, append(seeds[:0:0], address)
			}

			sum := func() float64 {
				bytes := 0.0
				for _, m := range members {
					bytes += probeBytes(b, m)
				}

				return bytes / float64(size)
			}

			for _, m := range members {
				for m.countMembers(func(m apricotway.Member) bool { return m.State == apricotway.MemberAlive }) < size-1 {
					<-time.After(time.Millisecond)
				}
			}

			<-time.After(40 * time.Second) // wait until the joins are no longer retransmitted

			for b.Loop() {
				quiet := sum()
				<-time.After(window)
				quiet = sum() - quiet

				busy := sum()
				servers := benchServers(2 * replaced)

				for n := range replaced {
					m, begin := members[n%size].driver, time.Now()
					id := string(servers[n].ID)
					_ = apricotway.PublishValue(m, apricotway.TopicNotice, id, 7, time.Hour,
						state.Notice{State: state.NoticeLeaving, Deadline: begin})
					_ = apricotway.PublishValue(m, apricotway.TopicHostChange, id, uint64(begin.UnixMilli()), state.ChangeLifetime,
						state.Change{Server: apricotway.BackendServer{ID: servers[n].ID}, Gone: true})
					_ = apricotway.PublishValue(m, apricotway.TopicHostChange, string(servers[replaced+n].ID), uint64(begin.UnixMilli()),
						state.ChangeLifetime, state.Change{Server: servers[replaced+n]})
					<-time.After(time.Second)
				}

				<-time.After(window - replaced*time.Second)

				busy = sum() - busy
				b.ReportMetric((busy-quiet)/replaced, "B/host")
				b.ReportMetric(quiet/window.Seconds(), "B/s-quiet")
			}

			for _, m := range members {
				m.cancel()
			}
		})
	}
}

// BenchmarkInventory measures the CPU time and memory of the inventory of one of 390 processes, which reads the host list twice a
// second.
func BenchmarkInventory(b *testing.B) {
	for _, size := range []int{120, 1200, 7600} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			const window = 10 * time.Second

			for b.Loop() {
				var before, after runtime.MemStats

				list := &benchList{}
				list.set(benchServers(size))
				runtime.GC()
				runtime.ReadMemStats(&before)

				supervisor := suture.NewSimple("bench")
				known := inventory.New(supervisor, list, inventory.WithMembership(benchMembership{}))
				ctx, cancel := context.WithCancel(b.Context())
				done := supervisor.ServeBackground(ctx)
				<-known.Ready()

				cpu := cpuTime()
				<-time.After(window)
				cpu = cpuTime() - cpu

				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(100*cpu.Seconds()/window.Seconds(), "%core")
				b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024, "KiB")
				b.ReportMetric(float64(len(known.Usable("shop-model"))), "engines-used")
				b.ReportMetric(float64(len(*list.body.Load())), "B/list")
				cancel()
				<-done //nolint:errcheck // the context's error
			}
		})
	}
}

// benchSystem starts members with one inventory each. After the first read only the first member can read the host list.
func benchSystem(b *testing.B, count, engines int) (*benchList, []*benchMember, []*inventory.Inventory, *suture.Supervisor) {
	b.Helper()

	var (
		members []*benchMember
		seeds   []netip.AddrPort
		known   []*inventory.Inventory
	)

	supervisor := suture.NewSimple("bench")
	lists := make([]*benchList, count)

	for i := range count {
		m, address := startBenchMember(b, i, seeds)
		members = append(members, m)
		seeds = append(seeds[:0:0], address)
		lists[i] = &benchList{}
		lists[i].set(benchServers(engines))
		known = append(known, inventory.New(supervisor, lists[i], inventory.WithBroadcasts(m.driver)))
	}

	supervisor.ServeBackground(b.Context())

	for i, m := range members {
		for m.countMembers(func(m apricotway.Member) bool { return m.State == apricotway.MemberAlive }) < count-1 {
			<-time.After(time.Millisecond)
		}

		if <-known[i].Ready(); i > 0 {
			lists[i].body.Store(nil)
		}
	}

	<-time.After(15 * time.Second) // wait until the joins are no longer retransmitted

	return lists[0], members, known, supervisor
}

// BenchmarkLeaveNotice measures the time from a change of the host list, which one process reads, until no process uses the
// leaving servers for new work.
func BenchmarkLeaveNotice(b *testing.B) {
	for _, size := range []int{8, 32} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			list, members, known, _ := benchSystem(b, size, 40)
			servers := benchServers(40)
			sum, worst, rounds := 0.0, 0.0, 0

			for b.Loop() {
				// The four zones, each with a quarter of the engines, leave one after another.
				for zone := range 4 {
					for i := zone; i < len(servers); i += 4 {
						servers[i].State, servers[i].Deadline = apricotway.HostLeaving, time.Now().Add(time.Minute)
					}

					begin := time.Now()
					list.set(servers)

					for _, i := range known {
						for len(i.Usable("shop-model")) > 30-10*zone {
							<-time.After(time.Millisecond)
						}
					}

					took := time.Since(begin).Seconds()
					sum, worst, rounds = sum+took, max(worst, took), rounds+1

					<-time.After(3*time.Second + time.Duration(zone)*130*time.Millisecond)
				}
			}

			b.ReportMetric(sum/float64(rounds), "s-mean")
			b.ReportMetric(worst, "s-worst")

			for _, m := range members {
				m.cancel()
			}
		})
	}
}

// BenchmarkTokens measures the packet bytes per member without load, with counts of tokens in flight that change every second,
// and with the demand of 10 workspaces in addition.
func BenchmarkTokens(b *testing.B) {
	for _, size := range []int{8, 32} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			const window = 10 * time.Second

			_, members, known, supervisor := benchSystem(b, size, 120)
			measure := func() float64 {
				bytes := 0.0
				for _, m := range members {
					bytes -= probeBytes(b, m)
				}

				<-time.After(window)

				for _, m := range members {
					bytes += probeBytes(b, m)
				}

				return bytes / float64(size) / window.Seconds()
			}

			for b.Loop() {
				b.ReportMetric(measure(), "B/s/member-without")

				for i, m := range members {
					inventory.NewTokenExchange(supervisor, known[i], m.driver, m.driver.Self().Node, busyPolicy{routing.NewScored(), known[i]})
				}

				b.ReportMetric(measure(), "B/s/member-with")

				for _, m := range members {
					gate.NewExchange(supervisor, m.driver, m.driver.Self().Node, demandOf(10),
						func() []apricotway.NodeID { return nodesNotDead(m.driver.Members()) })
				}

				b.ReportMetric(measure(), "B/s/member-with-demand")
			}

			for _, m := range members {
				m.cancel()
			}
		})
	}
}

func demandOf(workspaces int) func() map[apricotway.Service]admission.Demand {
	return func() map[apricotway.Service]admission.Demand {
		demand := admission.Demand{}
		for i := range workspaces {
			demand[apricotway.Workspace(fmt.Sprint(i))] = float64(100 + int(time.Now().Unix())%50)
		}

		return map[apricotway.Service]admission.Demand{"shop-model": demand}
	}
}

// busyPolicy is a routing policy that reports work on every engine, which changes every second.
type busyPolicy struct {
	*routing.Scored

	known *inventory.Inventory
}

func (p busyPolicy) Shares() []routing.Share {
	var shares []routing.Share
	for n, server := range p.known.All() {
		shares = append(shares, routing.Share{
			Server: server.ID, Attempts: 8, Decode: float64(1000 + (n*7919+int(time.Now().Unix())*104729)%50000),
		})
	}

	return shares
}
