// Package logservice is the client of the platform's append-only log service.
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

// DefaultTimeout bounds one call, in addition to the time that a read may wait for records.
const DefaultTimeout = 5 * time.Second

// Client implements apricotway.Log over the service's HTTP API.
type Client struct {
	address   netip.AddrPort
	transport http.RoundTripper
	timeout   time.Duration
}

var _ apricotway.Log = (*Client)(nil)

// Option changes a client under construction.
type Option func(*Client)

// WithTimeout bounds one call.
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

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records []apricotway.Record `json:"records"`
}

// AppendAnswer is the answer to an append.
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

	// The service answers with an error status only when it has not appended; without an answer nothing is known.
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
		// The body of this answer is a batch without records. Without it the caller has to look for the oldest offset from
		// the first one on, which the service trims as well, so an unreadable body counts as an outage.
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
