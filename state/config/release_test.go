package config

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

func anyVersion(apricotway.ModelVersion) bool { return true }

// versionsOf returns the versions chosen for 20,000 requests, counted and in order.
func versionsOf(spec ReleaseSpec, usable func(apricotway.ModelVersion) bool) (map[apricotway.ModelVersion]int, []apricotway.ModelVersion) {
	const requests = 20_000

	counts, list := map[apricotway.ModelVersion]int{}, make([]apricotway.ModelVersion, requests)

	for i := range requests {
		list[i], _ = spec.Version(apricotway.RequestID(fmt.Sprintf("request-%d", i)), "w", usable)
		counts[list[i]]++
	}

	return counts, list
}

// TestReleaseShares guards against versions that get a wrong share of the requests, against requests that go to a version
// without a share, and against a change of one share that moves requests between other versions.
func TestReleaseShares(t *testing.T) {
	before := ReleaseSpec{Shares: map[apricotway.ModelVersion]int{"1": 90, "2": 10, "3": 0}}
	after := ReleaseSpec{Shares: map[apricotway.ModelVersion]int{"1": 90, "2": 30, "3": 0}}

	counts, first := versionsOf(before, anyVersion)
	for version, want := range map[apricotway.ModelVersion]float64{"1": 0.9, "2": 0.1, "3": 0, "": 0} {
		// 0.0085 is four standard deviations of a binomial share of 20,000 requests; the ids are fixed.
		if got := float64(counts[version]) / float64(len(first)); math.Abs(got-want) > 0.0085 {
			t.Errorf("version %q: got a share of %.4f, want %.4f", version, got, want)
		}
	}

	_, second := versionsOf(after, anyVersion)
	for i := range first {
		if first[i] != second[i] && second[i] != "2" {
			t.Fatalf("request %d moved from version %s to %s, want moves to version 2 only", i, first[i], second[i])
		}
	}

	// The requests of a version without engines go to the other versions.
	counts, _ = versionsOf(before, func(v apricotway.ModelVersion) bool { return v != "1" })
	if got, want := counts["2"], len(first); got != want {
		t.Errorf("requests of version 2 without engines of version 1: got %d, want %d", got, want)
	}

	if version, ok := before.Version("r", "w", func(v apricotway.ModelVersion) bool { return v == "3" }); ok {
		t.Errorf("got version %s, want none: only a version without a share has engines", version)
	}
}

// TestReleaseByWorkspace guards against conversations in which the model version changes from request to request.
func TestReleaseByWorkspace(t *testing.T) {
	spec := ReleaseSpec{Shares: map[apricotway.ModelVersion]int{"1": 1, "2": 1}, By: DivideByWorkspace}
	counts, _ := versionsOf(spec, anyVersion)

	if got, want := len(counts), 1; got != want {
		t.Errorf("versions of one workspace: got %d, want %d", got, want)
	}
}

// TestReleaseRules guards against specifications that leave a service without any version.
func TestReleaseRules(t *testing.T) {
	for payload, want := range map[string]string{
		`{"shares": {"1": 95, "2": 5}}`:           "",
		`{"shares": {"1": 1}, "by": "workspace"}`: "",
		`{"shares": {}}`:                          "above zero",
		`{"shares": {"1": 0}}`:                    "above zero",
		`{"shares": {"1": -1, "2": 5}}`:           "share -1",
		`{"shares": {"": 1}}`:                     "version",
		`{"shares": {"1": 1}, "by": "moon"}`:      "moon",
		`{"shares": {"1": 9999999999}}`:           "share",
		`{"shares": ["1"]}`:                       "array",
	} {
		err := Check(KindRelease, 1, []byte(payload))
		if (err != nil) != (want != "") || err != nil && (!errors.Is(err, ErrInvalidSpec) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got error %v, want %q", payload, err, want)
		}
	}
}
