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
	"github.com/apricotway/apricotway/internal/rawjson"
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

// Read implements apricotway.Log. Records that cannot be decoded keep their offsets and have an empty kind.
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

	var (
		content json.RawMessage
		batch   apricotway.Batch
	)

	err := httpjson.Do(ctx, c.transport, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil, &content)
	if err == nil {
		batch, err = decodeBatch(content, from)
	}

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

// decodeBatch decodes the answer to a read from an offset. If that fails, it decodes each record by itself: a reader that got an error would
// read the same records again and never get past them.
func decodeBatch(content []byte, from apricotway.Offset) (apricotway.Batch, error) {
	var batch apricotway.Batch
	if json.Unmarshal(content, &batch) == nil {
		return batch, nil
	}

	members, err := rawjson.Members(content)
	if err != nil {
		return apricotway.Batch{}, errors.Wrap(err, "decode answer")
	}

	var next, oldest apricotway.Offset
	if err := errors.Join(json.Unmarshal(members["next"], &next), json.Unmarshal(members["oldest"], &oldest)); err != nil {
		return apricotway.Batch{}, errors.Wrap(err, "decode position of the answer")
	}

	records, err := rawjson.Elements(members["records"])
	if err != nil {
		return apricotway.Batch{}, errors.Wrap(err, "decode records of the answer")
	}

	batch = apricotway.Batch{Records: make([]apricotway.StoredRecord, len(records)), Next: next, Oldest: oldest}
	expected := from

	for i, record := range records {
		batch.Records[i] = decodeRecord(record, expected, next)
		expected = batch.Records[i].Offset + 1
	}

	return batch, nil
}

// decodeRecord decodes a record whose offset is at least expected and below next. Of one that cannot be decoded it returns only the offset, or
// the expected one if that cannot be decoded either.
func decodeRecord(content []byte, expected, next apricotway.Offset) apricotway.StoredRecord {
	var record apricotway.StoredRecord
	if json.Unmarshal(content, &record) == nil && record.Offset >= expected && record.Offset < next {
		return record
	}

	members, err := rawjson.Members(content)
	if err != nil {
		return apricotway.StoredRecord{Offset: expected}
	}

	var offset apricotway.Offset
	if json.Unmarshal(members["offset"], &offset) != nil || offset < expected || offset >= next {
		offset = expected
	}

	return apricotway.StoredRecord{Offset: offset}
}

func (c *Client) url(stream apricotway.Stream) string {
	return httpjson.URL(c.address, "/streams/"+url.PathEscape(string(stream))+"/records")
}
