package apricotway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// StoreEra counts how often the operators' store has come back from an older copy. It is 0 for a store that doesn't tell.
type StoreEra uint64

// StorePosition is the position up to which a topic of the operators' store was read. Offsets of different eras can't be compared.
type StorePosition struct {
	Era    StoreEra
	Offset Offset
	// Key is the last key that was read of the state at Offset, if only a part of it was read.
	Key string
}

// OperatorStore stores what operators and backend servers publish: the configuration and the list of backend servers. Each read
// returns the position up to which it has read. A read that continues from a position that is no longer kept fails with ErrTrimmed,
// and one whose answer has a position of another era may lack changes; the reader then reads the current state from the start.
type OperatorStore interface {
	// Deployment returns the newest configuration, or nil when there is none yet.
	Deployment(ctx context.Context) (*Deployment, StorePosition, error)
	// DeploymentAfter waits for a configuration after the position and returns nil when none arrives in time.
	DeploymentAfter(ctx context.Context, position StorePosition, wait time.Duration) (*Deployment, StorePosition, error)
	// Backends returns all entries of the list. If it fails with ErrMoreChanges, it returns a part of them, and BackendsAfter the rest.
	Backends(ctx context.Context) ([]BackendChange, StorePosition, error)
	// BackendsAfter waits for changes after the position and returns none when none arrives in time. It fails with ErrMoreChanges if there
	// may be changes after those that it returns and the position that goes with them.
	BackendsAfter(ctx context.Context, position StorePosition, wait time.Duration) ([]BackendChange, StorePosition, error)
}

// ErrMoreChanges reports that a read ended before the newest changes.
var ErrMoreChanges = errors.New("there are more changes")

// DutyLog is the log with which the processes elect the one that performs a duty: a task that one process does for all. Offsets
// count from 1.
type DutyLog interface {
	// AppendAt appends one record at the given offset, and returns ErrConflict when the log doesn't end there. An error that wraps
	// ErrAppendUnknown means that the append may have taken effect or may still do so. The record lies in the returned era, in which
	// the offset may stand for another place than in the one that the caller knows.
	AppendAt(ctx context.Context, at Offset, record []byte) (StoreEra, error)
	// ReadFrom returns the records from the offset on, or from the oldest one kept. It fails with ErrTrimmed when the log ends
	// before the offset.
	ReadFrom(ctx context.Context, from Offset) (DutyRecords, error)
	// SaveState replaces a part of the state that the holder of the duties saves for its successor. It is stored outside the log, so
	// that reading the log does not mean reading every state ever saved.
	SaveState(ctx context.Context, part StatePart, state []byte) error
	// State returns a part of the newest saved state, nil when there is none.
	State(ctx context.Context, part StatePart) ([]byte, error)
}

// DutyRecords are the records of one read of a DutyLog.
type DutyRecords struct {
	Records [][]byte
	// First is the offset of the first record, and End the offset after the last one.
	First, End Offset
	// Era is the era that the records and offsets belong to.
	Era StoreEra
}

// StatePart names a part of the state that the holder of the duties saves for its successor.
type StatePart string

// The parts of the state.
const (
	// StateCounts holds the counts of all processes for the usage reports.
	StateCounts StatePart = "state"
	// StateCrashes holds the refusals of contents that crash backend servers.
	StateCrashes StatePart = "crashes"
	// StateVersions holds the software versions of backend servers that are or lately were in service. Every process may save it.
	StateVersions StatePart = "versions"
	// StateShifts holds the states of the orders to shift traffic to another software version.
	StateShifts StatePart = "shifts"
)

// UsageReport holds the number of calls in one window by workspace.
type UsageReport struct {
	// Window is the number of the window, counted from the Unix epoch.
	Window int64
	Calls  map[Workspace]int64
}

// CapacityOrder sets the number of a service's engines, reclaimable or on-demand ones, in a zone.
type CapacityOrder struct {
	Service     Service
	Zone        Zone
	Reclaimable bool
	Count       int
}

// DutyHolder is the process that performs a duty, with the fencing number of its lease.
type DutyHolder struct {
	Node   NodeID
	Number Offset
}

// DutyClient makes the calls to the platform that one process at a time makes for all.
type DutyClient interface {
	// ReportUsage reports the usage of one window. It fails with ErrOrderFenced when the holder's number is outdated.
	ReportUsage(ctx context.Context, holder DutyHolder, report UsageReport) error
	// OrderCapacity sets a number of engines. It fails with ErrHostRefused when no engines are available and with ErrOrderFenced
	// when the holder's number is outdated.
	OrderCapacity(ctx context.Context, holder DutyHolder, order CapacityOrder) error
}
