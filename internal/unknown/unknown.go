// Package unknown counts what a process leaves out of account because it does not know it, such as the messages of a newer build.
package unknown

import (
	"maps"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxKinds bounds the kinds that are told apart, and maxName their names in bytes: other processes choose them.
	maxKinds = 64
	maxName  = 48
	// otherKinds counts the kinds beyond maxKinds.
	otherKinds = "other"
)

// Counter counts by kind. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]uint64
	metric *prometheus.Desc
}

var _ prometheus.Collector = (*Counter)(nil)

// New returns a Counter that has counted nothing.
func New() *Counter {
	return &Counter{
		counts: map[string]uint64{},
		metric: prometheus.NewDesc("apricotway_unknown_messages_total",
			"What this process left out of account because it does not know it, by kind.", []string{"kind"}, nil),
	}
}

// Of returns a function that counts names of one kind.
func (c *Counter) Of(kind string) func(name string) {
	return func(name string) { c.count(kind + " " + name[:min(len(name), maxName)]) }
}

func (c *Counter) count(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if _, known := c.counts[kind]; !known && len(c.counts) >= maxKinds {
		kind = otherKinds
	}

	c.counts[kind]++
}

// Counts returns the counts by kind.
func (c *Counter) Counts() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return maps.Clone(c.counts)
}

// Describe implements prometheus.Collector.
func (c *Counter) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.metric }

// Collect implements prometheus.Collector.
func (c *Counter) Collect(metrics chan<- prometheus.Metric) {
	for kind, count := range c.Counts() {
		metrics <- prometheus.MustNewConstMetric(c.metric, prometheus.CounterValue, float64(count), strings.ToValidUTF8(kind, "?"))
	}
}
