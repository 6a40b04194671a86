// Package platform implements HTTP clients for services of the platform: the host list, the cloud API that creates and releases
// hosts, and the weight store.
package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// callTimeout applies to each call of a platform service.
const callTimeout = 5 * time.Second

// Hosts implements apricotway.HostList over HTTP.
type Hosts struct {
	address   netip.AddrPort
	transport http.RoundTripper
}

var _ apricotway.HostList = (*Hosts)(nil)

// NewHosts returns a client of the host list at the address.
func NewHosts(address netip.AddrPort) *Hosts {
	return &Hosts{address: address, transport: httpjson.NewTransport()}
}

// Hosts implements apricotway.HostList.
func (h *Hosts) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var servers []apricotway.BackendServer
	if err := httpjson.Do(ctx, h.transport, http.MethodGet, httpjson.URL(h.address, "/hosts"), nil, &servers); err != nil {
		return nil, errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	}

	return servers, nil
}
