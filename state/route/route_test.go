package route_test

import (
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/route"
)

func table() *route.Table {
	target := []apricotway.RouteTarget{{Service: "s", Weight: 1}}

	return route.New(&apricotway.Deployment{
		Version: 7,
		Routes: []apricotway.Route{
			{Name: "short", Host: "h.example", PathPrefix: "/a/", Targets: target},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/", Targets: target},
			{Name: "other", Host: "o.example", PathPrefix: "/", Targets: target},
		},
		Workspaces: []apricotway.WorkspaceRule{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

// TestRoute checks that the longest matching prefix of the host's routes is chosen, and that prefixes match whole path
// elements.
func TestRoute(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"h.example", "/a/bx", "short"},
		{"H.Example:8080", "/a/", "short"},
		{"h.example", "/ab", ""},
		{"h.example", "/", ""},
		{"o.example", "/any", "other"},
		{"unknown.example", "/a/x", ""},
		{"", "", ""},
	} {
		got := ""
		if found := table().Route(test.host, test.path); found != nil {
			got = found.Name
		}

		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestWorkspace checks the lookup of keys.
func TestWorkspace(t *testing.T) {
	for key, want := range map[string]apricotway.Workspace{"k1": "w", "k2": "w", "k": "", "": "", "K1": ""} {
		got := apricotway.Workspace("")
		if found := table().Workspace(key); found != nil {
			got = found.Name
		}

		if got != want {
			t.Errorf("key %q: got workspace %q, want %q", key, got, want)
		}
	}
}

// TestTarget checks the split of a route by weight, including both ends of the range and a route without weights.
func TestTarget(t *testing.T) {
	split := &apricotway.Route{Targets: []apricotway.RouteTarget{
		{Service: "none", Weight: 0}, {Service: "most", Weight: 90}, {Service: "few", Weight: 10},
	}}

	for choice, want := range map[float64]apricotway.Service{0: "most", 0.899: "most", 0.9: "few", 0.999: "few"} {
		if got := route.Target(split, choice); got != want {
			t.Errorf("choice %v: got service %s, want %s", choice, got, want)
		}
	}

	unweighted := &apricotway.Route{Targets: []apricotway.RouteTarget{{Service: "only"}}}
	if got, want := route.Target(unweighted, 0.5), apricotway.Service("only"); got != want {
		t.Errorf("without weights: got service %s, want %s", got, want)
	}
}
