package unknown_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/internal/unknown"
)

// TestManyKinds guards against memory and metrics that grow with the names that other processes send, and against names that the metrics can't
// hold.
func TestManyKinds(t *testing.T) {
	c := unknown.New()
	count := c.Of("method")

	count("\xff" + strings.Repeat("x", 1000))
	count("configuration")
	count("configuration")

	for i := range 1000 {
		count(fmt.Sprint(i))
	}

	counts := c.Counts()
	if got, want := counts["method configuration"], uint64(2); got != want {
		t.Errorf("got %d, want %d", got, want)
	}

	if got, want := len(counts), 65; got > want {
		t.Errorf("got %d kinds, want at most %d", got, want)
	}

	registry := prometheus.NewRegistry()
	registry.MustRegister(c)

	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != len(counts) {
		t.Errorf("got %v, %v, want one metric of %d kinds", families, err, len(counts))
	}
}
