package entry

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/transport/upstream"
)

// healthChecker checks backend servers at the health paths of their services.
type healthChecker struct {
	catalog     *catalog.Catalog
	connections *upstream.Pool
}

// CheckHealth implements detours.Checker.
func (c *healthChecker) CheckHealth(ctx context.Context, server apricotway.Backend) error {
	target := "/"

	if table := c.catalog.Table(); table != nil {
		if service := table.Service(server.Service); service != nil && service.HealthPath != "" {
			target = service.HealthPath
		}
	}

	return c.connections.CheckHealth(ctx, server.Address, target)
}

// newPathGauge returns the metric of whether the paths to the backend servers are lost.
func newPathGauge(lost func() bool) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotway_backend_paths_lost", Help: "1 while this process has lost its paths to all backend servers, else 0.",
	}, func() float64 {
		if lost() {
			return 1
		}

		return 0
	})
}
