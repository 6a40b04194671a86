package intake_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/intake"
)

const engine = apricotway.BackendServerID("engine")

var start = time.Unix(1_800_000_000, 0)

var (
	alone = intake.Members{Self: "a", Nodes: []apricotway.NodeID{"a"}}
	// joined is the view of a process with a peer that owns half of the slots.
	joined = intake.Members{Self: "a", Nodes: []apricotway.NodeID{"a", "b"}}
)

func stated(perSecond float64) apricotway.RequestLimit {
	return apricotway.RequestLimit{Statement: apricotway.LimitStated, PerSecond: perSecond}
}

// settled returns limits of a process that is alone and has been running for long enough to send.
func settled(now time.Time) *intake.Limits {
	l := intake.New()
	l.SetMembers(now.Add(-time.Minute), alone)
	l.SetMembers(now, alone)

	return l
}

// takes returns the number of requests that are allowed within a time if one is tried each millisecond.
func takes(l *intake.Limits, begin time.Time, within time.Duration) int {
	count := 0

	for at := begin; at.Before(begin.Add(within)); at = at.Add(time.Millisecond) {
		if l.Take(at, engine) {
			count++
		}
	}

	return count
}

// TestRates guards against limits of any size that let more through than they state, or nothing at all.
func TestRates(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		want      int // in 40 s, within one request
	}{{0, 4}, {0.01, 4}, {0.5, 20}, {1.8, 72}, {99.5, 3980}, {250, 10000}, {1e99, 40000}} {
		t.Run(fmt.Sprint(test.perSecond), func(t *testing.T) {
			l := settled(start)
			l.Observe(start, start, engine, stated(test.perSecond))

			got := takes(l, start, 40*time.Second)
			if slack := 1 + test.want/100; got < test.want-slack || got > test.want+slack {
				t.Errorf("got %d requests, want %d", got, test.want)
			}
		})
	}
}

// TestAnswerSentBeforeLimit guards against taking an answer that began before the limit was stated for the end of the limit.
func TestAnswerSentBeforeLimit(t *testing.T) {
	l := settled(start)
	l.Observe(start, start.Add(-time.Second), engine, stated(2))

	if _, changed := l.Observe(start.Add(time.Second), start.Add(-time.Millisecond), engine, apricotway.RequestLimit{}); changed {
		t.Error("answer to an earlier call: got the end of the limit, want the limit")
	}

	if _, changed := l.Observe(start.Add(time.Second), start.Add(time.Millisecond), engine, apricotway.RequestLimit{}); !changed {
		t.Error("answer to a later call: got the limit, want its end")
	}

	if got, want := takes(l, start.Add(time.Second), time.Second), 1000; got != want {
		t.Errorf("after the end: got %d requests, want %d", got, want)
	}
}

// TestInvalidStatement guards against a malformed limit that ends the one in force.
func TestInvalidStatement(t *testing.T) {
	l := settled(start)
	l.Observe(start, start, engine, stated(2))
	l.Observe(start.Add(time.Second), start.Add(time.Second), engine, apricotway.RequestLimit{Statement: apricotway.LimitInvalid})

	if !l.Limited(engine) {
		t.Error("got no limit, want the one before")
	}
}

// TestUnknownStatement guards against a statement of a kind that this build does not know ending the limit that is in force.
func TestUnknownStatement(t *testing.T) {
	unknown := []intake.Statement{{
		Server: engine, Limit: apricotway.RequestLimit{Statement: "statedInTokens", PerSecond: 9}, Observation: intake.Observation{Node: "new"},
	}}

	l := settled(start)
	l.Observe(start, start, engine, stated(2))
	l.Learn(start.Add(time.Minute), start.Add(time.Minute), unknown)

	if !l.Limited(engine) {
		t.Error("got no limit at a process, want the one before")
	}

	b := intake.NewBoard()
	b.Add(start, []intake.Statement{{Server: engine, Limit: stated(2)}})
	b.Add(start.Add(time.Minute), unknown)

	for _, statement := range b.Statements(start.Add(time.Minute)) {
		if got, want := statement.Limit, stated(2); got != want {
			t.Errorf("got limit %+v at the holder, want %+v", got, want)
		}
	}
}

// TestLearnedStatements guards against statements of other processes that are older than what the process knows itself.
func TestLearnedStatements(t *testing.T) {
	none := apricotway.RequestLimit{}

	for _, test := range []struct {
		name    string
		learned intake.Statement
		want    bool // whether a limit is in force afterwards
	}{
		{"older end", intake.Statement{Server: engine, Limit: none, Age: 2 * time.Second}, true},
		{"end that may be older", intake.Statement{Server: engine, Limit: none, Age: 500 * time.Millisecond}, true},
		{"newer end", intake.Statement{Server: engine, Limit: none}, false},
		{"other limit", intake.Statement{Server: engine, Limit: stated(9)}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, now := settled(start), start.Add(1200*time.Millisecond)
			l.Observe(start, start, engine, stated(2))
			l.Learn(now, now, []intake.Statement{test.learned})

			if got := l.Limited(engine); got != test.want {
				t.Errorf("got limited %t, want %t", got, test.want)
			}
		})
	}
}

// TestNewCollector guards against statements that get lost when their observer and the process that collected them have ended.
func TestNewCollector(t *testing.T) {
	l, board := settled(start), intake.NewBoard()
	board.Add(start, []intake.Statement{{Server: engine, Limit: stated(2), Age: time.Second, Observation: intake.Observation{Node: "b"}}})
	l.Learn(start, start, board.Statements(start))

	if got := l.Uncollected(start); len(got) != 0 {
		t.Errorf("after an answer that had it: got %+v to report, want nothing", got)
	}

	l.Learn(start, start, nil)

	if got, want := len(l.Uncollected(start)), 1; got != want {
		t.Errorf("after an answer of a new collector: got %d statements to report, want %d", got, want)
	}
}

// TestJoiningProcess guards against a process that uses slots of others while it doesn't know them yet.
func TestJoiningProcess(t *testing.T) {
	l := intake.New()
	l.Observe(start, start, engine, stated(50))

	if got, want := takes(l, start, time.Second), 0; got != want {
		t.Errorf("before it knows its peers: got %d requests, want %d", got, want)
	}

	l.SetMembers(start, joined)
	l.SetMembers(start.Add(2900*time.Millisecond), joined)

	if got, want := takes(l, start.Add(2*time.Second), time.Second), 0; got != want {
		t.Errorf("in its first 3 s: got %d requests, want %d", got, want)
	}

	l.SetMembers(start.Add(3*time.Second), joined)

	if got, least, most := takes(l, start.Add(3*time.Second), 4*time.Second), 50, 150; got < least || got > most {
		t.Errorf("later: got %d requests in 4 s, want about half of the limit, %d to %d", got, least, most)
	}
}

// TestIsolatedProcess guards against a process that knows no other one and uses all slots although others claim the duties.
func TestIsolatedProcess(t *testing.T) {
	l := intake.New()
	l.Observe(start, start, engine, stated(50))

	isolated, now := alone, start

	for claim := range 30 {
		isolated.Holder = apricotway.Offset(claim)
		l.SetMembers(now, isolated)

		if got, want := takes(l, now, 2*time.Second), 0; got != want {
			t.Fatalf("%s after its start: got %d requests, want %d", now.Sub(start), got, want)
		}

		now = now.Add(2 * time.Second)
	}

	l.SetMembers(now.Add(time.Minute), isolated)

	if got, want := takes(l, now.Add(time.Minute), time.Second), 50; got < want-1 || got > want {
		t.Errorf("without claims of others: got %d requests, want %d", got, want)
	}
}

// TestLeavingProcess guards against a process that is no longer among those that share a limit and still sends.
func TestLeavingProcess(t *testing.T) {
	l := intake.New()
	for _, at := range []time.Time{start.Add(-time.Minute), start} {
		l.SetMembers(at, joined)
	}

	l.Observe(start, start, engine, stated(50))
	l.SetMembers(start, intake.Members{Self: "a", Nodes: []apricotway.NodeID{"b"}})

	if got, want := takes(l, start, 10*time.Second), 0; got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

// TestClockSteps guards against a step of the clock that lets the process use slots again, or blocks it for as long as the step.
func TestClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-2 * time.Second, 2 * time.Second, -time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			l := settled(start)
			l.Observe(start, start, engine, stated(10))

			got := takes(l, start, 5*time.Second) + takes(l, start.Add(5*time.Second+step), 10*time.Second)
			if least, most := 120, 155; got < least || got > most {
				t.Errorf("got %d requests in 15 s, want %d to %d", got, least, most)
			}
		})
	}
}
