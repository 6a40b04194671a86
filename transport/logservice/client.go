// Package logservice implements the HTTP client for the platform's append-only log service.
package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// DefaultTimeout applies to each call. A read also gets the time for which it waits for records.
const DefaultTimeout = 5 * time.Second

// Client implements apricotway.Log over the service's HTTP API.
type Client struct {
	address   netip.AddrPort
	transport http.RoundTripper
	timeout   time.Duration
}

var _ apricotway.Log = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout replaces DefaultTimeout.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// New returns a client of the service at the address.
func New(address netip.AddrPort, options ...Option) *Client {
	c := &Client{address: address, transport: httpjson.NewTransport(), timeout: DefaultTimeout}
	for _, option := range options {
		option(c)
	}

	return c
}

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Records []apricotway.Record `json:"records"`
}

// AppendAnswer is the answer to an append request. First is the offset of the first appended record.
type AppendAnswer struct {
	First apricotway.Offset `json:"first"`
}

// Append implements apricotway.Log.
func (c *Client) Append(
	ctx context.Context, stream apricotway.Stream, records []apricotway.Record,
) (apricotway.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	var answer AppendAnswer

	err := httpjson.Do(ctx, c.transport, http.MethodPost, c.url(stream), AppendRequest{Records: records}, &answer)
	if err == nil {
		return answer.First, nil
	}

	// The service returns an error status only if it has not appended the records. Without an answer, the outcome is unknown.
	if errors.Is(err, httpjson.ErrNotSent) || errors.Is(err, httpjson.ErrStatus) {
		return 0, errors.Wrap(apricotway.ErrLogUnavailable, err.Error())
	}

	return 0, errors.Wrap(apricotway.ErrAppendUnknown, err.Error())
}

// Read implements apricotway.Log.
func (c *Client) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()

	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}

	var batch apricotway.Batch

	err := httpjson.Do(ctx, c.transport, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil, &batch)
	if err == nil {
		return batch, nil
	}

	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		// The body is a batch without records that contains the oldest available offset. An unreadable body counts as an outage:
		// without the offset, the caller would have to search from the first one, which the service has trimmed as well.
		if err := json.Unmarshal([]byte(status.Body), &batch); err != nil {
			return apricotway.Batch{}, errors.Wrap(apricotway.ErrLogUnavailable, "unreadable answer to a trimmed offset")
		}

		return apricotway.Batch{Oldest: batch.Oldest}, apricotway.ErrTrimmed
	}

	return apricotway.Batch{}, errors.Wrap(apricotway.ErrLogUnavailable, err.Error())
}

func (c *Client) url(stream apricotway.Stream) string {
	return httpjson.URL(c.address, "/streams/"+url.PathEscape(string(stream))+"/records")
}
