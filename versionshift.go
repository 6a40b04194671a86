package apricotway

import (
	"context"
	"time"
)

// VersionShift is an operator's order to shift the traffic of a service to the servers of a software version.
type VersionShift struct {
	Service Service
	Version SoftwareVersion
	// Duration is the time from the order until its time limit.
	Duration time.Duration
	// Position is the one after the order's record in the store. It identifies the order: a repeated order lies elsewhere.
	Position StorePosition
	// Problem is the reason why the order can't be understood; empty otherwise.
	Problem string
}

// VersionShiftState is how far an order to shift traffic has been carried out.
type VersionShiftState string

// The values of VersionShiftState.
const (
	VersionShiftRunning    VersionShiftState = "running"
	VersionShiftCompleted  VersionShiftState = "completed"
	VersionShiftRolledBack VersionShiftState = "rolledBack"
)

// VersionShiftStatus is what the operators are told of an order to shift traffic.
type VersionShiftStatus struct {
	Service Service
	Version SoftwareVersion
	State   VersionShiftState
	// Reason tells why the state was decided, or why an order was refused.
	Reason string
}

// VersionShiftStore gives the orders to shift traffic, which are read along with the configuration, and records their states.
type VersionShiftStore interface {
	// VersionShifts returns the newest order of each service, and the boot time at which the newest read of them began. It returns false
	// until all of them have been read.
	VersionShifts() (orders []VersionShift, asOf time.Duration, known bool)
	// RecordVersionShift tells the operators the state of an order.
	RecordVersionShift(ctx context.Context, status VersionShiftStatus) error
}
