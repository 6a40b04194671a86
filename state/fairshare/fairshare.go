// Package fairshare divides the throughput of a service that gets more calls than it can serve between the workspaces, over all
// processes. Each process reports what its callers asked for and what the servers did; the holder of the duties estimates the
// throughput and answers with the fraction of its arrivals that each workspace may send (Center). The processes refuse the rest at
// once, and hold calls back from servers that have just rejected one (Gate). It performs no I/O; callers pass in the current time.
package fairshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

// Class is a group of calls that is admitted as a whole: those of one workspace to one service with the same rank.
type Class struct {
	Service   apricotway.Service   `json:"service"`
	Workspace apricotway.Workspace `json:"workspace"`
	// Rank is the priority of the calls; 0 is the most urgent.
	Rank int `json:"rank"`
}

// Arrivals is what callers of one class asked of one process since its last report.
type Arrivals struct {
	Class

	// Calls counts all calls, those that were refused among them.
	Calls int
	// Objective is the shortest latency objective of the calls, 0 if they have none.
	Objective time.Duration
}

// Answers is what one server answered to one process since its last report.
type Answers struct {
	Service apricotway.Service
	Server  apricotway.BackendServerID
	// Rejected counts the answers by which the server rejected a call without running it, and Ended the other answers.
	Rejected, Ended int
	// Took is the sum of the times from sending a call to its answer, over the calls of Ended.
	Took time.Duration
	// Slots is the number of calls that the server said it runs at a time, 0 if it did not.
	Slots int
}

// Usage is what happened to the calls of one process since its last report.
type Usage struct {
	Arrivals []Arrivals
	Answers  []Answers
}

// Server is a server that takes calls.
type Server struct {
	ID apricotway.BackendServerID
	// Slots is the number of calls that the server runs at a time, 0 if that is not known.
	Slots float64
}

// Throughput is the rate of calls that a server of an overloaded service is to get from all processes together.
type Throughput struct {
	Service   apricotway.Service         `json:"service"`
	Server    apricotway.BackendServerID `json:"server"`
	PerSecond float64                    `json:"perSecond"`
}

// Share is the fraction of its arrivals that a class may send.
type Share struct {
	Class

	// Admitted lies between 0 and 1.
	Admitted float64 `json:"admitted"`
	// Wait is the time in which the class is served as many calls as it has sent too many in a second.
	Wait time.Duration `json:"-"`
}

// Shares is the decision of the center.
type Shares struct {
	// Known is false while the center has not heard enough to decide. Shares that were decided before then hold until their time ends.
	Known bool
	// Servers lists the servers of the services that have more calls than they can serve.
	Servers []Throughput
	// Shares lists the classes of which a part is refused. All calls of the others are admitted.
	Shares []Share
}

// reserve is the fraction of the throughput that each rank leaves to the ranks behind it, so that none of them starves.
const reserve = 0.1

// want is the rate at which calls of a workspace arrive in one rank, and what it is given of it.
type want struct {
	class   Class
	weight  float64
	arrives float64
	given   float64
}

// divide divides a throughput in calls per second: more urgent ranks first, except for the reserve, and within a rank by weighted max-min
// fairness. What one workspace does not need goes to the others. The wants are ordered by rank.
func divide(throughput float64, wants []*want) {
	behind := 0.0
	for _, w := range wants {
		behind += w.arrives
	}

	left := throughput

	for first := 0; first < len(wants); {
		end := first

		for end < len(wants) && wants[end].class.Rank == wants[first].class.Rank {
			behind -= wants[end].arrives
			end++
		}

		left -= fill(left-min(max(behind, 0), reserve*left), wants[first:end])
		first = end
	}

	// The reserve of ranks that did not need it.
	fill(left, wants)
}

// fill gives the wants more of an amount, level by level, and returns what it gave.
func fill(amount float64, wants []*want) float64 {
	open := make([]*want, 0, len(wants))
	weights := 0.0

	for _, w := range wants {
		if w.given < w.arrives {
			open, weights = append(open, w), weights+w.weight
		}
	}

	// Those that need least for their weight are filled first; what remains is divided between the others.
	slices.SortStableFunc(open, func(a, b *want) int {
		return cmp.Compare((a.arrives-a.given)/a.weight, (b.arrives-b.given)/b.weight)
	})

	given := 0.0

	for _, w := range open {
		part := min(w.arrives-w.given, max(amount-given, 0)*w.weight/weights)
		w.given += part
		given += part
		weights -= w.weight
	}

	return given
}
