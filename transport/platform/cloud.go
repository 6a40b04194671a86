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

// Cloud implements apricotway.Cloud over HTTP: POST /hosts with an order answers CreatedHost, or the status 409 when there is
// no such host at present; DELETE /hosts/{id}?number=N&notAfter=T releases a host. Both answer 412 to an order under an old lease.
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
		return "", translate(err)
	case created.ID == "":
		return "", errors.Wrap(apricotway.ErrPlatformUnavailable, "the answer names no host")
	}

	return created.ID, nil
}

// Release implements apricotway.Cloud.
func (c *Cloud) Release(ctx context.Context, id apricotway.BackendServerID, fencing apricotway.Fencing) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	query := url.Values{
		"number":   {strconv.FormatUint(uint64(fencing.Number), 10)},
		"notAfter": {fencing.NotAfter.Format(time.RFC3339Nano)},
	}
	target := httpjson.URL(c.address, "/hosts/"+url.PathEscape(string(id))+"?"+query.Encode())

	if err := httpjson.Do(ctx, c.transport, http.MethodDelete, target, nil, nil); err != nil {
		return translate(err)
	}

	return nil
}

// translate tells an order that was refused for its lease from a platform that did not answer.
func translate(err error) error {
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Status == http.StatusPreconditionFailed {
		return errors.Wrap(apricotway.ErrOrderFenced, status.Body)
	}

	return errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
}
