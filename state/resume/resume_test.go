package resume_test

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/resume"
)

// TestDecide guards against moves that cost more than they save, and against exports that do not end before the host is taken
// away.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)

	for _, test := range []struct {
		name      string
		notice    time.Duration
		context   int
		remaining int
		pace      time.Duration
		want      resume.Choice
	}{
		{"ends within the notice", 5 * time.Second, 5000, 200, 0, resume.ChoiceFinish},
		{"own pace is too slow to end", 5 * time.Second, 5000, 200, 80 * time.Millisecond, resume.ChoiceExport},
		{"long answer", 5 * time.Second, 5000, 2000, 0, resume.ChoiceExport},
		{"short context is cheaper to prefill", 5 * time.Second, 40, 2000, 0, resume.ChoicePrefill},
		{"no time for the transfer", 250 * time.Millisecond, 5000, 2000, 0, resume.ChoicePrefill},
		{"host already gone", -time.Second, 5000, 1, 0, resume.ChoicePrefill},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := resume.Decide(now, resume.Generation{
				Leaves: now.Add(test.notice), Context: test.context, Remaining: test.remaining, Pace: test.pace,
			}, resume.DefaultCosts())
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestPlan guards against many moves that overload one engine, mix model versions, or serve a late deadline before an earlier
// one.
func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	generation := func(id string, version apricotway.ModelVersion, deadline int) resume.Generation {
		return resume.Generation{
			Attempt: apricotway.AttemptID(id), Origin: origin.At(apricotway.Lineage{Model: version}), Deadline: now.Add(time.Duration(deadline) * time.Second),
			Leaves: now.Add(5 * time.Second), Context: 5000, Remaining: 2000,
		}
	}

	got := resume.Plan(now, []resume.Generation{
		generation("late", "1", 90), generation("soon", "1", 10), generation("middle", "1", 50), generation("other", "2", 5),
	}, []resume.Target{
		{Server: "full", Lineage: apricotway.Lineage{Model: "1"}, Free: 0}, {Server: "x", Lineage: apricotway.Lineage{Model: "1"}, Free: 1}, {Server: "y", Lineage: apricotway.Lineage{Model: "1"}, Free: 1},
	}, resume.DefaultCosts())
	want := []resume.Move{
		{Attempt: "soon", Choice: resume.ChoiceExport, Target: "x"},
		{Attempt: "middle", Choice: resume.ChoiceExport, Target: "y"},
	}

	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
