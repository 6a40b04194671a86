package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/placement"
)

func members(region string, count, zones int) []apricotway.Member {
	var list []apricotway.Member
	for i := range count {
		list = append(list, apricotway.Member{
			Node: apricotway.NodeID(fmt.Sprintf("%s-%d", region, i)), Region: apricotway.Region(region),
			Zone: apricotway.Zone(fmt.Sprintf("%s-zone-%d", region, i%zones)),
		})
	}

	return list
}

// TestShard checks that all processes of a region choose the same shard of members, from several zones and with the nearest
// first, that workspaces have different shards, and that a member that leaves replaces only itself.
func TestShard(t *testing.T) {
	east := members("east", 32, 4)
	all := append(members("west", 8, 2), east...)
	names := func(self apricotway.Member, list []apricotway.Member, workspace string) []apricotway.NodeID {
		shard := placement.Shard(list, self, "s", apricotway.Workspace(workspace))
		if got, want := shard[0].Zone, self.Zone; got != want {
			t.Errorf("got the first address in %s, want it in %s", got, want)
		}

		var nodes []apricotway.NodeID

		zones := map[apricotway.Zone]int{}

		for _, m := range shard {
			nodes = append(nodes, m.Node)
			zones[m.Zone]++

			if m.Region != self.Region {
				t.Errorf("got %s of another region", m.Node)
			}
		}

		for zone, got := range zones {
			if want := len(shard) / 4; got != want {
				t.Errorf("got %d members in %s, want %d", got, zone, want)
			}
		}

		slices.Sort(nodes)

		return nodes
	}

	first := names(east[0], all, "w1")
	if got := names(east[1], all, "w1"); !slices.Equal(got, first) {
		t.Errorf("got %v, want the same shard at every process: %v", got, first)
	}

	if got := names(east[0], all, "w2"); slices.Equal(got, first) {
		t.Errorf("got the same shard %v for another workspace", got)
	}

	// A quarter of the remaining 31 members is seven, so the shard of 8 loses the member that left and no other.
	without := slices.DeleteFunc(slices.Clone(all), func(m apricotway.Member) bool { return m.Node == first[0] })
	for _, m := range placement.Shard(without, east[1], "s", "w1") {
		if !slices.Contains(first, m.Node) {
			t.Errorf("got %s moved into the shard when %s left", m.Node, first[0])
		}
	}

	if got, want := len(placement.Shard(all, apricotway.Member{Region: "north"}, "s", "w1")), 10; got != want {
		t.Errorf("got %d members for a region without members, want %d", got, want)
	}
}

// TestEngines checks that each engine is tracked by about six processes in several zones, that the processes track similar
// numbers of engines, and that every process tracks at least four engines of a small service.
func TestEngines(t *testing.T) {
	const engineCount, memberCount = 780, 39

	list := members("east", memberCount, 3)

	var engines []apricotway.BackendServer
	for i := range engineCount {
		engines = append(engines, apricotway.BackendServer{ID: apricotway.BackendServerID(fmt.Sprintf("engine-%d", i))})
	}

	trackers := map[apricotway.BackendServerID]map[apricotway.Zone]int{}

	for _, m := range list {
		subset := placement.Engines(engines, list, m.Node)
		// The mean is 120; the standard deviation of a random assignment is about 10.
		if got := len(subset); got < 80 || got > 160 {
			t.Errorf("got %d engines at %s, want about 120", got, m.Node)
		}

		for _, engine := range subset {
			if trackers[engine.ID] == nil {
				trackers[engine.ID] = map[apricotway.Zone]int{}
			}

			trackers[engine.ID][m.Zone]++
		}
	}

	for _, engine := range engines {
		for zone, got := range trackers[engine.ID] {
			if want := placement.ProcessesPerEngine / 3; got != want {
				t.Errorf("got %d processes of %s for %s, want %d", got, zone, engine.ID, want)
			}
		}
	}

	for _, m := range list {
		if got := len(placement.Engines(engines[:10], list, m.Node)); got < 4 {
			t.Errorf("got %d of 10 engines at %s, want at least 4", got, m.Node)
		}
	}

	if got, want := len(placement.Engines(engines, list[:6], list[0].Node)), engineCount; got != want {
		t.Errorf("got %d engines with six processes, want all %d", got, want)
	}
}
