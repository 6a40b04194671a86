package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/relay"
	"github.com/apricotway/apricotway/state/retrybudget"
	"github.com/apricotway/apricotway/state/route"
	"github.com/apricotway/apricotway/transport/upstream"
)

// behind is a configuration of a process that knows of a newer one.
type behind struct {
	changingCatalog

	// newer comes into force while a call waits for it, unless it is nil.
	newer *route.Table
	// long is set when the newer one has been known for long.
	long bool
}

func (c *behind) Outdated() bool { return c.long }

func (c *behind) AwaitCurrent(context.Context) bool {
	if c.newer == nil {
		return false
	}

	c.table.Store(c.newer)

	return true
}

// TestOutdatedConfigurationRefusesForGood guards against a process that answers 404 or 401, or runs a call, by a configuration that it knows to
// be outdated.
func TestOutdatedConfigurationRefusesForGood(t *testing.T) {
	none := func(*apricotway.Deployment) {}
	withoutRoutes := func(d *apricotway.Deployment) { d.Routes = nil }
	otherKey := func(d *apricotway.Deployment) { d.Workspaces[0].Keys = []string{"other"} }

	for _, test := range []struct {
		name  string
		older func(d *apricotway.Deployment)
		// newer is nil if the newer configuration doesn't come.
		newer  func(d *apricotway.Deployment)
		long   bool
		status int
	}{
		{name: "route not known yet", older: withoutRoutes, status: http.StatusServiceUnavailable},
		{name: "key not known yet", older: otherKey, status: http.StatusServiceUnavailable},
		{name: "route added meanwhile", older: withoutRoutes, newer: none, status: http.StatusOK},
		{name: "key added meanwhile", older: otherKey, newer: none, status: http.StatusOK},
		{name: "route not in the newer one", older: withoutRoutes, newer: withoutRoutes, status: http.StatusNotFound},
		{name: "key not in the newer one", older: otherKey, newer: otherKey, status: http.StatusUnauthorized},
		{name: "known route soon after", older: none, status: http.StatusOK},
		{name: "known route long after", older: none, long: true, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, ok)
			catalog := &behind{long: test.long}

			older := deployment()
			test.older(older)
			catalog.table.Store(route.New(older))

			if test.newer != nil {
				newer := deployment()
				newer.Version = 2
				test.newer(newer)
				catalog.newer = route.New(newer)
			}

			budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 100})
			h.front = httptest.NewServer(relay.New(testDialect{}, upstream.New(), catalog, h.pool, h.limiter, budget, h.tally))
			t.Cleanup(h.front.Close)

			h.wantStatus("/unsafe/", nil, test.status)

			want := int64(0)
			if test.status == http.StatusOK {
				want = 1
			}

			h.wantRuns(want)
		})
	}
}
