package changeset_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/changeset"
)

func document(t interface{ Fatal(args ...any) }, deployment *apricotway.Deployment) *changeset.Document {
	d, err := changeset.New(deployment, apricotway.StorePosition{Era: 1, Offset: apricotway.Offset(deployment.Version)})
	if err != nil {
		t.Fatal(err)
	}

	return d
}

// drawDeployment draws a configuration of few different elements, so that versions share some, repeat some and differ in their order.
func drawDeployment(t *rapid.T, version uint64) *apricotway.Deployment {
	d := &apricotway.Deployment{Version: version, Limits: apricotway.CallerLimits{IdleTimeout: time.Duration(rapid.IntRange(0, 2).Draw(t, "idle"))}}

	for _, i := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 12).Draw(t, "routes") {
		d.Routes = append(d.Routes, apricotway.Route{
			Name: fmt.Sprint(i), Targets: []apricotway.RouteTarget{{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
		})
	}

	for _, i := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 3).Draw(t, "services") {
		d.Services = append(d.Services, apricotway.ServiceRule{
			Name: apricotway.Service(fmt.Sprint(i)), Capacity: &apricotway.CapacityRule{ZonePrices: map[apricotway.Zone]float64{"z": 0.1, "y": 2}},
		})
	}

	for _, i := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 3).Draw(t, "workspaces") {
		d.Workspaces = append(d.Workspaces, apricotway.WorkspaceRule{Name: apricotway.Workspace(fmt.Sprint(i)), Keys: []string{"k"}})
	}

	return d
}

// TestChangesLeadToSameConfiguration guards against a configuration that differs between the process that read it from the store and one
// that got changes, whatever the changes are.
func TestChangesLeadToSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := document(t, drawDeployment(t, 1)), document(t, drawDeployment(t, 2))

		encoded, err := changeset.Between(from, to).Encode()
		if err != nil {
			t.Fatal(err)
		}

		change, err := changeset.DecodeChange(encoded)
		if err != nil {
			t.Fatal(err)
		}

		got, err := from.Apply(change)
		if err != nil {
			t.Fatal(err)
		}

		if !reflect.DeepEqual(got.Deployment, to.Deployment) || got.Position != to.Position {
			t.Errorf("got %+v, want %+v", got.Deployment, to.Deployment)
		}
	})
}

// TestSnapshotIsSameConfiguration guards against a configuration that differs after it was sent whole.
func TestSnapshotIsSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := document(t, drawDeployment(t, 1))

		encoded, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}

		got, err := changeset.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}

		if !reflect.DeepEqual(got.Deployment, want.Deployment) || got.Position != want.Position {
			t.Errorf("got %+v, want %+v", got.Deployment, want.Deployment)
		}
	})
}

// TestChangeOfOtherConfiguration guards against a change that is applied to another configuration than the one it was made from.
func TestChangeOfOtherConfiguration(t *testing.T) {
	route := func(name string) []apricotway.Route { return []apricotway.Route{{Name: name}, {Name: "kept"}} }
	from, to := document(t, &apricotway.Deployment{Version: 1, Routes: route("a")}), document(t, &apricotway.Deployment{Version: 2, Routes: route("b")})
	change := changeset.Between(from, to)

	for name, test := range map[string]struct {
		base *changeset.Document
		want error
	}{
		"other version":                    {document(t, &apricotway.Deployment{Version: 3, Routes: route("a")}), changeset.ErrOtherVersion},
		"same version, other elements":     {document(t, &apricotway.Deployment{Version: 1, Routes: []apricotway.Route{{Name: "kept"}, {Name: "c"}}}), changeset.ErrCorrupt},
		"same version, elements that lack": {document(t, &apricotway.Deployment{Version: 1}), changeset.ErrCorrupt},
	} {
		if _, got := test.base.Apply(change); !errors.Is(got, test.want) {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// TestHistory guards a process against changes that don't lead on from its version, and the memory against changes without end.
func TestHistory(t *testing.T) {
	var h changeset.History

	if changes, ok := h.After(0, 1000); ok || changes != nil {
		t.Errorf("before the first: got %d changes and %t, want none", len(changes), ok)
	}

	grown := func(version uint64, routes int) *changeset.Document {
		d := &apricotway.Deployment{Version: version}
		for i := range routes {
			d.Routes = append(d.Routes, apricotway.Route{Name: fmt.Sprint(i), Timeout: time.Duration(version)})
		}

		return document(t, d)
	}

	advance := func(next *changeset.Document) {
		t.Helper()

		if err := h.Advance(next); err != nil {
			t.Fatal(err)
		}
	}

	for version := uint64(1); version <= 200; version++ {
		advance(grown(version, 1))
	}

	for version, want := range map[uint64]int{200: 0, 199: 1, 195: 5, 136: 64, 135: 0, 1: 0} {
		changes, ok := h.After(version, 1<<20)
		if got := len(changes); got != want || ok != (want > 0 || version == 200) {
			t.Errorf("after %d: got %d changes and %t, want %d", version, got, ok, want)
		}
	}

	if changes, ok := h.After(136, 2000); !ok || len(changes) == 0 || len(changes) >= 64 {
		t.Errorf("after 136 within 2000 bytes: got %d changes and %t, want some", len(changes), ok)
	}

	first, content, err := h.Snapshot()
	if err != nil || first != 200 || len(content) == 0 {
		t.Errorf("got snapshot %d of %d bytes and %v, want 200", first, len(content), err)
	}

	advance(grown(201, 1))

	if again, _, _ := h.Snapshot(); again != 200 {
		t.Errorf("after a change: got snapshot %d, want the same, 200", again)
	}

	// A change that is too large ends the changes before it, since nothing leads on from them.
	advance(grown(202, 1000))

	if changes, ok := h.After(201, 1<<20); ok {
		t.Errorf("after a large change: got %d changes, want none", len(changes))
	}

	if again, _, _ := h.Snapshot(); again != 202 {
		t.Errorf("after a large change: got snapshot %d, want 202", again)
	}
}
