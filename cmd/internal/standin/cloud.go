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

// HostChange adds a host to a stand-in host list or removes it. A test may also start a stand-in engine for the host in it.
type HostChange func(server apricotway.BackendServer, present bool)

// CloudFaults selects the faults of the cloud API for a test.
type CloudFaults struct {
	// RefuseZones lists the zones in which no host can be created; RefuseAll refuses all orders.
	RefuseZones []apricotway.Zone `json:"refuseZones"`
	RefuseAll   bool              `json:"refuseAll"`
	// Before and After are delays before and after the effect of a call, in nanoseconds. The call takes effect even if its caller
	// gives up during Before.
	Before time.Duration `json:"before,omitempty"`
	After  time.Duration `json:"after,omitempty"`
	// LoseAnswer makes calls take effect but return an error.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// Lag delays every change of the host list.
	Lag time.Duration `json:"lag,omitempty"`
}

// CloudChecks selects the fields of an order's lease that a deployment of the cloud API checks.
type CloudChecks struct{ Number, NotAfter bool }

// Cloud is an in-memory stand-in for the platform's cloud API. It implements apricotway.Cloud, and Handler serves it over HTTP.
type Cloud struct {
	region apricotway.Region
	change HostChange

	mu     sync.Mutex
	faults CloudFaults
	checks CloudChecks
	// highestNumber is the highest fencing number seen.
	highestNumber apricotway.Offset
	// hostByClientToken also contains the hosts that were released, so that a late duplicate of an order creates no second host.
	hostByClientToken map[string]apricotway.BackendServerID
	alive             map[apricotway.BackendServerID]apricotway.HostOrder
}

// NewCloud returns a cloud without hosts.
func NewCloud(region apricotway.Region, change HostChange) *Cloud {
	return &Cloud{
		region: region, change: change, hostByClientToken: map[string]apricotway.BackendServerID{},
		alive: map[apricotway.BackendServerID]apricotway.HostOrder{},
	}
}

// SetFaults replaces the active faults.
func (c *Cloud) SetFaults(faults CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.faults = faults
}

// SetChecks replaces the checks; by default nothing is checked.
func (c *Cloud) SetChecks(checks CloudChecks) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.checks = checks
}

// Alive returns the hosts that were created and not released, with their orders.
func (c *Cloud) Alive() map[apricotway.BackendServerID]apricotway.HostOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.alive)
}

// Create implements apricotway.Cloud.
func (c *Cloud) Create(ctx context.Context, order apricotway.HostOrder) (apricotway.BackendServerID, error) {
	return c.call(ctx, order.Fencing, func(faults CloudFaults) (apricotway.BackendServerID, error) {
		if known, ok := c.hostByClientToken[order.ClientToken]; ok {
			return known, nil
		}

		if faults.RefuseAll || slices.Contains(faults.RefuseZones, order.Zone) {
			return "", apricotway.ErrHostRefused
		}

		id := apricotway.BackendServerID(fmt.Sprintf("host-%05d", len(c.hostByClientToken)+1))
		c.hostByClientToken[order.ClientToken] = id
		c.alive[id] = order
		c.applyHostChange(faults.Lag, apricotway.BackendServer{
			ID: id, Service: order.Service, Region: c.region, Zone: order.Zone, MachineClass: order.MachineClass,
			// An address on which nothing listens.
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: apricotway.HostLive, ClientToken: order.ClientToken,
		}, true)

		return id, nil
	})
}

// Release implements apricotway.Cloud.
func (c *Cloud) Release(ctx context.Context, id apricotway.BackendServerID, fencing apricotway.Fencing) error {
	_, err := c.call(ctx, fencing, func(faults CloudFaults) (apricotway.BackendServerID, error) {
		delete(c.alive, id)
		c.applyHostChange(faults.Lag, apricotway.BackendServer{ID: id}, false)

		return id, nil
	})

	return err
}

// applyHostChange applies a change to the host list after the lag.
func (c *Cloud) applyHostChange(lag time.Duration, server apricotway.BackendServer, present bool) {
	if lag == 0 {
		c.change(server, present)
		return
	}

	time.AfterFunc(lag, func() { c.change(server, present) })
}

// call applies the effect between the delays of the faults, even if the caller has given up by then.
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

// fence refuses an order whose lease has ended according to the selected checks. The caller holds the lock.
func (c *Cloud) fence(fencing apricotway.Fencing) error {
	if c.checks.Number && fencing.Number < c.highestNumber || c.checks.NotAfter && time.Now().After(fencing.NotAfter) {
		return apricotway.ErrOrderFenced
	}

	c.highestNumber = max(c.highestNumber, fencing.Number)

	return nil
}

// Handler serves the cloud API over HTTP. Tests set faults with PUT /faults.
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
		writeResult(w, nil, c.Release(r.Context(), apricotway.BackendServerID(r.PathValue("id")), fencing))
	})
	mux.HandleFunc("PUT /faults", serveJSON(func(_ *http.Request, faults CloudFaults) (any, error) {
		c.SetFaults(faults)
		return nil, nil
	}))

	return mux
}
