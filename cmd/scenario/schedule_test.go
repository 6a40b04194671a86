package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The values of the parts of a failures; "none" stands for no failure of the part.
var (
	entryFailures = []string{"none", "kill", "freeze", "term", "killAll"}
	// With lag and loseAnswer the log takes appends: each answer is late, or is lost after the append took effect. With cut it
	// answers nothing to some processes, while the others can claim their shards.
	logFailures = []string{"none", "down", "lag", "loseAnswer", "cut"}
	// A link leads from all other processes to one. Forward, backward and both cut the directions of that link; all cuts the
	// links of all processes both ways, so that each is alone.
	networkFailures = []string{"none", "forward", "backward", "both", "all"}
	// The failures last until the steps have been taken, until the calls sent under them have their answers, or until the
	// processes have noticed what membership can notice.
	holds = []string{"taken", "answered", "noticed"}
)

// failures are the failures of one round.
type failures struct {
	entry, log, network, hold string
	// logAll tells whether a failure other than down meets every process or only the one at logIndex.
	logAll             bool
	logIndex, cutIndex int
	reclaim, change    bool
	zone               string
	// logLate makes the failure of the log begin only after the others have been noticed, and end only after them: other
	// processes then claim shards and run calls of which the former owner cannot read.
	logLate bool
	// order is the order of the steps.
	order []int
}

// The steps of a round, as numbers in failures.order.
const (
	stepChange = iota
	stepReclaim
	stepEntry
	stepLog
	stepNetwork
	steps
)

func drawFailures(random *rand.Rand) failures {
	choose := func(values []string) string { return values[random.IntN(len(values))] }

	return failures{
		entry: choose(entryFailures), log: choose(logFailures), network: choose(networkFailures), hold: choose(holds),
		logAll: random.IntN(2) == 0, logIndex: random.IntN(len(entryZones)), cutIndex: random.IntN(len(entryZones)),
		reclaim: random.IntN(2) == 0, change: random.IntN(2) == 0, zone: choose(entryZones), order: random.Perm(steps),
		logLate: random.IntN(2) == 0,
	}
}

// late tells whether the log fails after the other failures were noticed.
func (f failures) late() bool { return f.logLate && f.hold == "noticed" }

// TestFixedSeeds guards against fixed seeds whose schedules leave out a failure.
func TestFixedSeeds(t *testing.T) {
	seen := map[string]bool{}

	for _, seed := range fixedSeeds {
		random := newRandom(seed)
		for range soakRounds {
			drawn := drawFailures(random)
			seen["entry "+drawn.entry], seen["log "+drawn.log], seen["network "+drawn.network] = true, true, true
			seen["log late after a cut"] = seen["log late after a cut"] ||
				drawn.late() && drawn.network == "all" && (drawn.log == "down" || drawn.log == "cut")
			seen["reclaim"], seen["change"] = seen["reclaim"] || drawn.reclaim, seen["change"] || drawn.change
		}
	}

	want := []string{"reclaim", "change", "log late after a cut"}
	for part, values := range map[string][]string{"entry ": entryFailures, "log ": logFailures, "network ": networkFailures} {
		for _, value := range values {
			want = append(want, part+value)
		}
	}

	missing := slices.DeleteFunc(want, func(name string) bool { return seen[name] })
	missing = slices.DeleteFunc(missing, func(name string) bool { return strings.HasSuffix(name, " none") })

	if len(missing) > 0 {
		t.Errorf("the fixed seeds bring about no %v", missing)
	}
}
