package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The values of the fields of failures; "none" means that this part does not fail.
var (
	entryFailures = []string{"none", "kill", "freeze", "term", "killAll"}
	// With lag and loseAnswer the log service accepts appends, but the response is delayed, or lost after the append took
	// effect. With cut it does not respond to some processes, while the others can claim their shards.
	logFailures = []string{"none", "down", "lag", "loseAnswer", "cut"}
	// Each process has a link that all other processes use to reach it. Forward, backward and both cut that link of one process
	// in the named direction; all cuts the links of all processes in both directions, so that every process is isolated.
	networkFailures = []string{"none", "forward", "backward", "both", "all"}
	// The failures last until all steps have been taken, until the calls sent during them have their responses, or until
	// membership has detected those failures that it can detect.
	holds = []string{"taken", "answered", "noticed"}
)

// failures is the random schedule of one round of the soak test.
type failures struct {
	entry, log, network, hold string
	// logAll tells whether a failure of the log other than down affects every process or only the one at logIndex.
	logAll             bool
	logIndex, cutIndex int
	reclaim, change    bool
	zone               string
	// logLate makes the failure of the log begin only after the other failures have been detected, and end only after they have
	// ended: other processes then claim shards and run calls, and the former owner cannot read the records of these calls.
	logLate bool
	order   []int
}

// The steps of a round, which take place in the sequence given by failures.order.
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

// late tells whether the log fails only after the other failures were detected.
func (f failures) late() bool { return f.logLate && f.hold == "noticed" }

// TestFixedSeeds guards against fixed seeds whose schedules leave out a kind of failure, so that the soak test never tests it.
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
		t.Errorf("the schedules of the fixed seeds never contain %v", missing)
	}
}
