package platform

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// Cloud implements apricotway.Cloud over HTTP: POST /hosts with an order answers CreatedHost, or the status 409 when there is
// no such host at present; DELETE /hosts/{id} releases a host.
type Cloud struct {
	address   netip.AddrPort
	transport http.RoundTripper
}

var _ apricotway.Cloud = (*Cloud)(nil)

// CreatedHost is the answer to an order.
type CreatedHost struct {
	ID apricotway.BackendServerID `json:"id"`
}

// NewCloud returns a client of the cloud API at the address.
func NewCloud(address netip.AddrPort) *Cloud {
	return &Cloud{address: address, transport: httpjson.NewTransport()}
}

// Create implements apricotway.Cloud.
func (c *Cloud) Create(ctx context.Context, order apricotway.HostOrder) (apricotway.BackendServerID, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	var created CreatedHost

	err := httpjson.Do(ctx, c.transport, http.MethodPost, httpjson.URL(c.address, "/hosts"), order, &created)

	var status *httpjson.StatusError

	switch {
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return "", errors.Wrap(apricotway.ErrHostRefused, status.Body)
	case err != nil:
		return "", errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	case created.ID == "":
		return "", errors.Wrap(apricotway.ErrPlatformUnavailable, "the answer names no host")
	}

	return created.ID, nil
}

// Release implements apricotway.Cloud.
func (c *Cloud) Release(ctx context.Context, id apricotway.BackendServerID) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	target := httpjson.URL(c.address, "/hosts/"+url.PathEscape(string(id)))
	if err := httpjson.Do(ctx, c.transport, http.MethodDelete, target, nil, nil); err != nil {
		return errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	}

	return nil
}
