package quota

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// reserved is the part of a limit that is divided evenly, so that a process with new demand can start at once.
	reserved = 0.25
	// demandDecay is the time in which the weight of old demand falls to a half.
	demandDecay = time.Second
	// silentAfter is the time without a report after which a process counts as one that spends an even share.
	silentAfter = 2 * time.Second
	// forgetAfter is the time after which a silent process is taken as gone unless it is a member still.
	forgetAfter = 10 * time.Second
)

// Divider divides the limits over the processes that report to the coordinator. It is not safe for concurrent use.
type Divider struct {
	processes map[apricotway.NodeID]*process
}

type process struct {
	heard  time.Time
	demand map[apricotway.Workspace]float64
}

// NewDivider returns a divider that has heard of no process.
func NewDivider() *Divider { return &Divider{processes: map[apricotway.NodeID]*process{}} }

// Report takes the units that a process was asked for since its last report, and returns its shares of the limits.
func (d *Divider) Report(
	now time.Time, node apricotway.NodeID, asked map[apricotway.Workspace]float64,
) map[apricotway.Workspace]float64 {
	p := d.processes[node]
	if p == nil {
		p = &process{heard: now, demand: map[apricotway.Workspace]float64{}}
		d.processes[node] = p
	}

	d.decay(now, p)

	for workspace, units := range asked {
		p.demand[workspace] += units
	}

	p.heard = now
	shares := make(map[apricotway.Workspace]float64, len(p.demand))

	for workspace := range p.demand {
		shares[workspace] = d.share(now, node, workspace)
	}

	return shares
}

func (d *Divider) decay(now time.Time, p *process) {
	steps := now.Sub(p.heard).Seconds() / demandDecay.Seconds()
	for workspace, units := range p.demand {
		p.demand[workspace] = units / (1 + steps)
	}
}

// share keeps an even part for each process that is silent: it may be cut off and spend that.
func (d *Divider) share(now time.Time, node apricotway.NodeID, workspace apricotway.Workspace) float64 {
	var total float64

	count, silent := 0, 0

	for other, p := range d.processes {
		age := now.Sub(p.heard)
		if other != node && age > forgetAfter {
			delete(d.processes, other)
			continue
		}

		count++

		if age > silentAfter {
			silent++
		} else {
			total += p.demand[workspace]
		}
	}

	even := 1 / float64(count)
	free := 1 - float64(silent)*even

	if total <= 0 {
		return even
	}

	return free*(1-reserved)*d.processes[node].demand[workspace]/total + free*reserved/float64(count-silent)
}
