package platform

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// Cloud implements apricotway.Cloud over HTTP. POST /hosts with an apricotway.HostOrder returns a CreatedHost, or status 409 if no
// such host is available at present. DELETE /hosts/{id}?number=N&notAfter=T releases a host. Both return status 412 to an order
// whose lease is out of date.
type Cloud struct {
	address   netip.AddrPort
	transport http.RoundTripper
}

var _ apricotway.Cloud = (*Cloud)(nil)

// CreatedHost is the answer to an order for a host.
type CreatedHost struct {
	ID apricotway.BackendServerID `json:"id"`
}

// NewCloud returns a client of the cloud API at the address.
func NewCloud(address netip.AddrPort) *Cloud {
	return &Cloud{address: address, transport: httpjson.NewTransport()}
}

// Create implements apricotway.Cloud.
func (c *Cloud) Create(ctx context.Context, order apricotway.HostOrder) (apricotway.BackendServerID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var created CreatedHost

	err := httpjson.Do(ctx, c.transport, http.MethodPost, httpjson.URL(c.address, "/hosts"), order, &created)

	var status *httpjson.StatusError

	switch {
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return "", errors.Wrap(apricotway.ErrHostRefused, status.Body)
	case err != nil:
		return "", convertError(err)
	case created.ID == "":
		return "", errors.Wrap(apricotway.ErrPlatformUnavailable, "the answer names no host")
	}

	return created.ID, nil
}

// Release implements apricotway.Cloud.
func (c *Cloud) Release(ctx context.Context, id apricotway.BackendServerID, fencing apricotway.Fencing) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	query := url.Values{
		"number":   {strconv.FormatUint(uint64(fencing.Number), 10)},
		"notAfter": {fencing.NotAfter.Format(time.RFC3339Nano)},
	}
	target := httpjson.URL(c.address, "/hosts/"+url.PathEscape(string(id))+"?"+query.Encode())

	if err := httpjson.Do(ctx, c.transport, http.MethodDelete, target, nil, nil); err != nil {
		return convertError(err)
	}

	return nil
}

// convertError returns ErrOrderFenced if the order was refused because its lease is out of date, and ErrPlatformUnavailable for any
// other error.
func convertError(err error) error {
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Status == http.StatusPreconditionFailed {
		return errors.Wrap(apricotway.ErrOrderFenced, status.Body)
	}

	return errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
}
