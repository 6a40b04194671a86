package intake

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxStatementAge is the age at which the statement of a limit is dropped: no process has used the server since.
	maxStatementAge = 10 * time.Minute
	// endedLifetime is the time for which the end of a limit is passed on to other processes.
	endedLifetime = 10 * time.Second
	// transitTime is the longest time that a statement of another process takes to arrive. Its age is known only up to that.
	transitTime = time.Second
	// maxStatements bounds the statements in one message.
	maxStatements = 256
)

// Observation identifies an answer by the process that got it and the time on that process's clock.
type Observation struct {
	Node apricotway.NodeID
	At   time.Time
}

// Statement is what the newest known answer of a server states about its limit.
type Statement struct {
	Server apricotway.BackendServerID
	Limit  apricotway.RequestLimit
	// Age is the time since the statement was made.
	Age         time.Duration
	Observation Observation
}

// fact is the newest statement of a server.
type fact struct {
	limit       apricotway.RequestLimit
	observation Observation
	// asOf is the latest time at which a limit can have been stated, or the earliest one at which there was none.
	asOf time.Time
}

// factOf returns the statement of a message that was sent at the given time.
func factOf(sent time.Time, s Statement) fact {
	return fact{limit: s.Limit, observation: s.Observation, asOf: sent.Add(-s.Age)}
}

func (f fact) same(other fact) bool {
	return f.observation.Node == other.observation.Node && f.observation.At.Equal(other.observation.At)
}

// known reports whether this build knows the kind of the statement. One of another kind neither sets nor ends a limit.
func (f fact) known() bool {
	return f.limit.Statement == apricotway.LimitStated || f.limit.Statement == apricotway.LimitAbsent
}

func (f fact) limited() bool { return f.limit.Statement == apricotway.LimitStated }

// rate returns the requests per second that the statement allows.
func (f fact) rate() float64 {
	if !f.limited() {
		return math.Inf(1)
	}

	return f.limit.PerSecond
}

// replacedBy reports whether a statement that another process observed is newer. The times are known only up to transitTime; in
// doubt the lower limit holds.
func (f fact) replacedBy(learned fact) bool {
	switch {
	case f.same(learned):
		// Its age is less exact the more processes have passed it on.
		return false
	case learned.rate() < f.rate():
		return learned.asOf.Add(transitTime).After(f.asOf)
	case learned.rate() > f.rate():
		return learned.asOf.After(f.asOf.Add(transitTime))
	default:
		return learned.asOf.After(f.asOf)
	}
}

// expired reports whether the statement is no longer needed.
func (f fact) expired(now time.Time) bool {
	if f.limited() {
		return now.Sub(f.asOf) > maxStatementAge
	}

	return now.Sub(f.asOf) > endedLifetime
}

// statements returns the newest statements that have not expired.
func statements(now time.Time, facts map[apricotway.BackendServerID]fact) []Statement {
	var list []Statement

	for id, f := range facts {
		if !f.expired(now) {
			list = append(list, Statement{Server: id, Limit: f.limit, Age: now.Sub(f.asOf), Observation: f.observation})
		}
	}

	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})

	return list[:min(len(list), maxStatements)]
}
