package process

import (
	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/canary"
)

// Canary is the newest order to shift a service's traffic to another software version, in the answer to /v1/canaries.
type Canary struct {
	Service apricotway.Service           `json:"service"`
	Version apricotway.SoftwareVersion   `json:"version"`
	State   apricotway.VersionShiftState `json:"state"`
	// Share is the share of new calls that the version gets while the order is running.
	Share float64 `json:"share"`
	// Reason tells why the order was decided.
	Reason string `json:"reason"`
	// AgeSeconds is the time since the order was read, and DurationSeconds the time that it allows.
	AgeSeconds      float64 `json:"ageSeconds"`
	DurationSeconds float64 `json:"durationSeconds"`
	// Requests and Exposed are the numbers of requests since the order, and of those that the version got, as of the last change.
	Requests uint64 `json:"requests"`
	Exposed  uint64 `json:"exposed"`
	// Denied are versions that were rolled back and get no calls.
	Denied []apricotway.SoftwareVersion `json:"denied"`
}

// NewCanary returns the answer for a state.
func NewCanary(s canary.State) Canary {
	return Canary{
		Service: s.Service, Version: s.Version, State: s.State, Share: s.Share, Reason: s.Reason, AgeSeconds: s.Age.Seconds(),
		DurationSeconds: s.Duration.Seconds(), Requests: s.Requests, Exposed: s.Exposed, Denied: s.Denied,
	}
}
