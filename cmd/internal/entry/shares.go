package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/state/fairshare"
)

// sharing is the answer to /v1/shares.
type sharing struct {
	// InForce lists the workspaces of which this process refuses a part of the calls.
	InForce []fairshare.Share `json:"inForce"`
	// Decided holds the decisions of this process for all services while it holds the duties.
	Decided []fairshare.State `json:"decided"`
}

// shares returns the shares in force, and those that this process has decided for all.
func (e *Entry) shares(now time.Time) sharing {
	return sharing{InForce: e.gate.InForce(now), Decided: e.rollup.SharingStates()}
}

// newShareGauge returns the metric of the number of workspaces that get a part of what they ask for.
func newShareGauge(count func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotway_shared_workspaces", Help: "Workspaces, by service and rank, of which this process refuses a part of the calls.",
	}, func() float64 { return float64(count()) })
}
