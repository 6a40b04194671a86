// Package cadence defines, by the number of processes, how often a process reports to the process that collects the reports,
// and for how long the last report of a process counts. Every timeout that depends on a report is derived from here.
package cadence

import "time"

const (
	// minPeriod is the shortest time between two reports of a process. It lies well below 500 ms, the earliest time at which the
	// first event of a stream is due.
	minPeriod = 120 * time.Millisecond
	// periodPerProcess limits the reports that the collecting process answers to 167 a second, as long as the period is below
	// maxPeriod. Reporting three times as often cost 23% more CPU time and served 4 in 100 fewer calls on a day with 75 processes
	// (docs/measurements.md).
	periodPerProcess = 6 * time.Millisecond
	// maxPeriod keeps the age of the server list, which comes with the answers to reports, below the 2 s after which a leaving
	// server must no longer get calls. From 167 processes on, the number of reports a second grows with the number of processes.
	maxPeriod = time.Second
	// minLifetime is the shortest time for which a report counts.
	minLifetime = 1500 * time.Millisecond
	// lifetimePeriods and lifetimeMargin make a report count until the report after the next one has arrived, so that one lost
	// report does no harm. The margin covers the transit time.
	lifetimePeriods = 2
	lifetimeMargin  = 300 * time.Millisecond
)

// Period returns the time between two reports of a process.
func Period(processes int) time.Duration {
	return min(max(minPeriod, time.Duration(processes)*periodPerProcess), maxPeriod)
}

// Lifetime returns the time for which a report counts when reports are sent at the given period.
func Lifetime(period time.Duration) time.Duration {
	return max(minLifetime, lifetimePeriods*period+lifetimeMargin)
}
