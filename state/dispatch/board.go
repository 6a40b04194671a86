package dispatch

import (
	"time"

	"github.com/apricotway/apricotway"
)

// workLifetime is the time for which the reported work of a process counts without a newer report. It covers two lost reports.
const workLifetime = 3 * time.Second

// WorkTable sums the work that all processes report, on the process that collects the reports. The cost of a report does not
// grow with the amount of work that the other processes have in flight. It is not safe for concurrent use.
type WorkTable struct {
	reports map[apricotway.NodeID]workReport
	// total is the sum of all reports, with entries only for servers that have work.
	total map[apricotway.BackendServerID]Work
}

type workReport struct {
	at   time.Time
	work map[apricotway.BackendServerID]Work
}

// NewWorkTable returns a table that has received no reports.
func NewWorkTable() *WorkTable {
	return &WorkTable{reports: map[apricotway.NodeID]workReport{}, total: map[apricotway.BackendServerID]Work{}}
}

// Report replaces the reported work of a process and returns the work of all other processes.
func (b *WorkTable) Report(
	now time.Time, node apricotway.NodeID, work map[apricotway.BackendServerID]Work,
) map[apricotway.BackendServerID]Work {
	b.add(b.reports[node].work, -1)
	b.add(work, 1)
	b.reports[node] = workReport{at: now, work: work}

	for other, report := range b.reports {
		if now.Sub(report.at) > workLifetime {
			b.add(report.work, -1)
			delete(b.reports, other)
		}
	}

	others := make(map[apricotway.BackendServerID]Work, len(b.total))

	for server, sum := range b.total {
		sum.Add(work[server], -1)

		if sum.Running > 0 {
			others[server] = sum
		}
	}

	return others
}

// Total returns the work of all processes. The caller must not modify the result.
func (b *WorkTable) Total() map[apricotway.BackendServerID]Work { return b.total }

// add adds the work of one process to the total, or subtracts it when factor is -1.
func (b *WorkTable) add(work map[apricotway.BackendServerID]Work, factor int) {
	for server, w := range work {
		sum := b.total[server]
		sum.Add(w, factor)

		if sum.Running > 0 {
			b.total[server] = sum
		} else {
			delete(b.total, server)
		}
	}
}
