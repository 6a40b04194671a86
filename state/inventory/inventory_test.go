package inventory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/inventory"
)

func at(seconds int) time.Time { return time.Unix(1_800_000_000+int64(seconds), 0) }

// TestMerge checks the precedence of list, own observation and notice: a server that is leaving or dead must not receive work,
// and a server that was falsely considered dead must receive work again.
func TestMerge(t *testing.T) {
	const live, off = apricotway.HostLive, apricotway.HostLeaving

	type own = inventory.Observation

	leaving := inventory.Known{Notice: inventory.Notice{State: inventory.NoticeLeaving, Deadline: at(10)}, Received: at(0)}
	dead := inventory.Known{Notice: inventory.Notice{State: inventory.NoticeDead}, Received: at(0)}
	alive := inventory.Known{Notice: inventory.Notice{State: inventory.NoticeAlive}, Received: at(2)}

	for _, c := range []struct {
		name      string
		now, list int
		own       own
		notice    inventory.Known
		listed    apricotway.HostState
		want      bool
	}{
		{"list without notice or observation", 1, 1, own{}, inventory.Known{}, live, true},
		{"listed leave overrides an alive notice", 3, 3, own{}, alive, off, false},
		{"leave notice overrides a lagging list", 1, 1, own{}, leaving, live, false},
		{"leave notice overrides a successful call", 2, 2, own{Reached: at(1)}, leaving, live, false},
		{"expired leave notice counts without a newer list", 900, -5, own{}, leaving, live, false},
		{"newer list overrides an expired leave notice", 27, 26, own{}, leaving, live, true},
		{"death notice overrides the list", 1, 1, own{}, dead, live, false},
		{"expired death notice is ignored", 60, -5, own{}, dead, live, true},
		{"later successful call overrides a death notice", 2, 2, own{Reached: at(1)}, dead, live, true},
		{"death notice overrides an earlier successful call", 2, 2, own{Reached: at(-1)}, dead, live, false},
		{"own observation of death overrides the list", 2, 2, own{Lost: at(1)}, inventory.Known{}, live, false},
		{"own observation of death overrides an alive notice", 3, 3, own{Lost: at(1)}, alive, live, false},
		{"later successful call overrides an own observation of death", 3, 3, own{Lost: at(1), Reached: at(2)}, alive, live, true},
		{"expired own observation of death is ignored", 61, 3, own{Lost: at(1)}, inventory.Known{}, live, true},
	} {
		listing := inventory.Listing{Servers: []apricotway.BackendServer{{ID: "s", State: c.listed}}, Begun: at(c.list)}
		view := inventory.Merge(at(c.now), listing, map[apricotway.BackendServerID]own{"s": c.own},
			map[apricotway.BackendServerID]inventory.Known{"s": c.notice}, nil)

		if got := len(view.Usable[""]) == 1; got != c.want {
			t.Errorf("%s: got usable %v, want %v", c.name, got, c.want)
		}
	}
}

// TestNext guards against endless notices: processes that publish and receive notices in any order converge on one, a notice
// that all hold is not published again, and no leave is hidden by a death.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			known [3]inventory.Known
			sent  []inventory.Known
		)

		take := func(process int, notice inventory.Known) {
			if notice.Replaces(known[process]) {
				known[process] = notice
			}
		}
		states := []inventory.NoticeState{inventory.NoticeLeaving, inventory.NoticeDead, inventory.NoticeAlive}

		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			process := rapid.IntRange(0, 2).Draw(t, "process")
			if len(sent) > 0 && rapid.Bool().Draw(t, "deliver") {
				take(process, rapid.SampledFrom(sent).Draw(t, "notice"))
				continue
			}

			notice := inventory.Notice{State: rapid.SampledFrom(states).Draw(t, "state"), Deadline: at(10)}
			before := known[process].State

			if next, ok := inventory.NextNotice(at(0), inventory.Listing{}, known[process], notice); ok {
				sent = append(sent, next)
				take(process, next)

				if got, want := known[process], next; got != want || before == notice.State ||
					before == inventory.NoticeLeaving {
					t.Fatalf("got %v held after %v, want %v, and only when it is new", got, before, want)
				}
			}
		}

		for process := range known {
			for _, notice := range sent {
				take(process, notice)
			}

			if got, want := known[process], known[0]; got != want {
				t.Fatalf("got %v at process %d, want %v as at process 0", got, process, want)
			}
		}
	})
}

// TestSubset checks that small services are not divided, that dead and leaving members get no share of a large one, and that a
// process that has lost all servers of its subset uses the others.
func TestSubset(t *testing.T) {
	members := make([]apricotway.Member, 40)
	for i := range members {
		members[i] = apricotway.Member{Node: apricotway.NodeID(fmt.Sprint(i)), State: apricotway.MemberAlive}
	}

	members[38].State, members[39].State = apricotway.MemberLeaving, apricotway.MemberDead

	if got, want := len(inventory.SubsetMembers(members[1:], members[0])), 38; got != want {
		t.Errorf("got %d users, want %d", got, want)
	}

	servers := make([]apricotway.BackendServer, 400)
	lost := map[apricotway.BackendServerID]inventory.Observation{}

	for i := range servers {
		servers[i] = apricotway.BackendServer{ID: apricotway.BackendServerID(fmt.Sprint(i)), State: apricotway.HostLive}
	}

	if got := inventory.Subset(servers[:10], members[1:8], members[0]); got != nil {
		t.Errorf("got %d of 10 engines at one of 8 processes, want all", len(got))
	}

	subset := inventory.Subset(servers, members[1:], members[0])
	for _, want := range []int{len(subset), len(servers) - len(subset)} {
		view := inventory.Merge(at(1), inventory.Listing{Servers: servers}, lost, nil, subset)
		if got := len(view.Usable[""]); got != want || got < 30 {
			t.Errorf("got %d usable engines, want %d", got, want)
		}

		for id := range subset {
			lost[id] = inventory.Observation{Lost: at(0)}
		}
	}
}
