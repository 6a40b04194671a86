package origin_test

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/origin"
)

// TestOrderOfRecords guards against a doubt about a stream, or its withdrawal, that counts less since an older record of the stream was read
// after it, so that the stream goes on at another version than the one that began it.
func TestOrderOfRecords(t *testing.T) {
	stream := origin.StreamOf("x")
	told := func(version string, uncertain, outage, proven bool) origin.Beginning {
		return origin.Beginning{
			Stream: stream, Service: service, Version: apricotway.SoftwareVersion(version), Uncertain: uncertain, Outage: outage, Proven: proven,
		}
	}
	recorded, outage, proven, restart := told("v1", false, false, false), told("v1", true, true, false), told("v1", false, false, true),
		told("v1", true, false, false)
	otherRecorded, otherProven := told("v2", false, false, false), told("v2", false, false, true)

	for _, test := range []struct {
		name    string
		records []origin.Beginning
		want    string
	}{
		{"recorded twice", []origin.Beginning{recorded, recorded}, "v1"},
		{"doubt for an outage", []origin.Beginning{recorded, outage}, ""},
		{"withdrawn doubt", []origin.Beginning{recorded, outage, proven}, "v1"},
		{"restart after a withdrawn doubt", []origin.Beginning{recorded, outage, proven, restart}, ""},
		{"restart", []origin.Beginning{recorded, recorded, restart}, ""},
		{"two versions", []origin.Beginning{recorded, otherRecorded, recorded}, ""},
		{"two versions, one proven", []origin.Beginning{recorded, otherRecorded, outage, otherProven}, "v2"},
		{"two versions proven", []origin.Beginning{recorded, proven, otherProven, otherRecorded}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, copied := range []bool{false, true} {
				for _, order := range permutations(test.records) {
					r := origin.NewRegister()
					r.Update(start, server("b", "v1"))
					r.Update(start, server("c", "v2"))

					if copied {
						r.Hold(start, []origin.Copy{{Beginning: recorded, Server: "a", Born: start.Add(-time.Hour)}}, true)
					}

					for i := range order {
						r.Learn(start.Add(time.Duration(i)*time.Second), order[i:i+1])
					}

					wantOrigin(t, r, start.Add(5*time.Second), "x", test.want, origin.EvidenceRecord)
				}
			}
		})
	}
}

// permutations returns all orders of the records.
func permutations(records []origin.Beginning) [][]origin.Beginning {
	if len(records) == 0 {
		return [][]origin.Beginning{nil}
	}

	var all [][]origin.Beginning

	for i, first := range records {
		for _, rest := range permutations(slices.Delete(slices.Clone(records), i, i+1)) {
			all = append(all, append([]origin.Beginning{first}, rest...))
		}
	}

	return all
}
