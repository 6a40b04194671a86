package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/platform"
)

// HostChange adds a host to a stand-in host list, or removes it. Tests start a stand-in engine for the host here.
type HostChange func(server apricotway.BackendServer, present bool)

// CloudFaults are the faults of the cloud API that a test can switch on.
type CloudFaults struct {
	// RefuseZones names what is not available; RefuseAll refuses everything.
	RefuseZones []apricotway.Zone `json:"refuseZones"`
	RefuseAll   bool              `json:"refuseAll"`
	// Before and After delay a call before and after its effect, in nanoseconds. A caller that gives up during Before does not
	// keep the call from taking effect.
	Before time.Duration `json:"before,omitempty"`
	After  time.Duration `json:"after,omitempty"`
	// LoseAnswer makes calls take effect and fail.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// Lag delays every change of the host list.
	Lag time.Duration `json:"lag,omitempty"`
}

// CloudChecks are what a deployment of the cloud API checks of an order's lease.
type CloudChecks struct{ Number, NotAfter bool }

// Cloud is the platform's cloud API in memory. It implements apricotway.Cloud, and Handler serves it over HTTP.
type Cloud struct {
	region apricotway.Region
	change HostChange

	mu     sync.Mutex
	faults CloudFaults
	checks CloudChecks
	// number is the highest fencing number seen.
	number apricotway.Offset
	// tokens holds the host of every order, released ones included: a late copy of an order creates no second host.
	tokens map[string]apricotway.BackendServerID
	alive  map[apricotway.BackendServerID]apricotway.HostOrder
}

// NewCloud returns a cloud without hosts.
func NewCloud(region apricotway.Region, change HostChange) *Cloud {
	return &Cloud{
		region: region, change: change, tokens: map[string]apricotway.BackendServerID{},
		alive: map[apricotway.BackendServerID]apricotway.HostOrder{},
	}
}

// SetFaults replaces the faults.
func (c *Cloud) SetFaults(faults CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.faults = faults
}

// SetChecks replaces the checks; at first there are none.
func (c *Cloud) SetChecks(checks CloudChecks) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.checks = checks
}

// Alive returns the hosts that exist, with their orders.
func (c *Cloud) Alive() map[apricotway.BackendServerID]apricotway.HostOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.alive)
}

// Create implements apricotway.Cloud.
func (c *Cloud) Create(ctx context.Context, order apricotway.HostOrder) (apricotway.BackendServerID, error) {
	return c.call(ctx, order.Fencing, func(faults CloudFaults) (apricotway.BackendServerID, error) {
		if known, ok := c.tokens[order.ClientToken]; ok {
			return known, nil
		}

		if faults.RefuseAll || slices.Contains(faults.RefuseZones, order.Zone) {
			return "", apricotway.ErrHostRefused
		}

		id := apricotway.BackendServerID(fmt.Sprintf("host-%05d", len(c.tokens)+1))
		c.tokens[order.ClientToken] = id
		c.alive[id] = order
		c.list(faults.Lag, apricotway.BackendServer{
			ID: id, Service: order.Service, Region: c.region, Zone: order.Zone, MachineClass: order.MachineClass,
			// Nothing listens there.
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: apricotway.HostLive, ClientToken: order.ClientToken,
		}, true)

		return id, nil
	})
}

// Release implements apricotway.Cloud.
func (c *Cloud) Release(ctx context.Context, id apricotway.BackendServerID, fencing apricotway.Fencing) error {
	_, err := c.call(ctx, fencing, func(faults CloudFaults) (apricotway.BackendServerID, error) {
		delete(c.alive, id)
		c.list(faults.Lag, apricotway.BackendServer{ID: id}, false)

		return id, nil
	})

	return err
}

// list changes the host list after the lag.
func (c *Cloud) list(lag time.Duration, server apricotway.BackendServer, present bool) {
	if lag == 0 {
		c.change(server, present)
		return
	}

	time.AfterFunc(lag, func() { c.change(server, present) })
}

// call takes effect between the delays, although the caller may have given up.
func (c *Cloud) call(
	ctx context.Context, fencing apricotway.Fencing, effect func(CloudFaults) (apricotway.BackendServerID, error),
) (id apricotway.BackendServerID, err error) {
	c.mu.Lock()
	faults := c.faults
	c.mu.Unlock()

	done := make(chan func(), 1)

	go func() {
		<-time.After(faults.Before)
		c.mu.Lock()

		var host apricotway.BackendServerID

		failure := c.fence(fencing)
		if failure == nil {
			host, failure = effect(faults)
		}

		c.mu.Unlock()
		<-time.After(faults.After)
		done <- func() { id, err = host, failure }
	}()

	select {
	case <-ctx.Done():
		return "", apricotway.ErrPlatformUnavailable
	case set := <-done:
		set()
	}

	if err == nil && faults.LoseAnswer {
		return "", apricotway.ErrPlatformUnavailable
	}

	return id, err
}

// fence refuses an order whose lease has ended, as far as the checks tell. The caller holds the lock.
func (c *Cloud) fence(fencing apricotway.Fencing) error {
	if c.checks.Number && fencing.Number < c.number || c.checks.NotAfter && time.Now().After(fencing.NotAfter) {
		return apricotway.ErrOrderFenced
	}

	c.number = max(c.number, fencing.Number)

	return nil
}

// Handler serves the cloud API over HTTP; PUT /faults is for tests.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hosts", serveJSON(func(r *http.Request, order apricotway.HostOrder) (any, error) {
		id, err := c.Create(r.Context(), order)
		return platform.CreatedHost{ID: id}, err
	}))
	mux.HandleFunc("DELETE /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		number, errNumber := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
		notAfter, errTime := time.Parse(time.RFC3339Nano, r.URL.Query().Get("notAfter"))

		if errNumber != nil || errTime != nil {
			http.Error(w, "number and notAfter are required", http.StatusBadRequest)
			return
		}

		fencing := apricotway.Fencing{Number: apricotway.Offset(number), NotAfter: notAfter}
		answer(w, nil, c.Release(r.Context(), apricotway.BackendServerID(r.PathValue("id")), fencing))
	})
	mux.HandleFunc("PUT /faults", serveJSON(func(_ *http.Request, faults CloudFaults) (any, error) {
		c.SetFaults(faults)
		return nil, nil
	}))

	return mux
}
