// Package service is the client of the plain services' backend servers.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// DefaultMaxAnswer bounds the body of an answer in bytes.
const DefaultMaxAnswer = 8 << 20

// ErrAnswerTooLarge reports an answer body over the limit.
var ErrAnswerTooLarge = errors.New("answer too large")

// Client implements apricotway.ServiceClient over HTTP.
type Client struct {
	pooled http.RoundTripper
	// single opens a new connection for each call. http.Transport repeats a request by itself when a pooled connection
	// breaks and the request carries an Idempotency-Key and a body that can be rewound; it never repeats the first
	// request of a connection.
	single    http.RoundTripper
	maxAnswer int64
}

var _ apricotway.ServiceClient = (*Client)(nil)

// New returns a client.
func New() *Client {
	single := httpjson.NewTransport()
	single.DisableKeepAlives = true

	return &Client{pooled: httpjson.NewTransport(), single: single, maxAnswer: DefaultMaxAnswer}
}

// Call implements apricotway.ServiceClient. Redirects are not followed: the answer belongs to the caller.
func (c *Client) Call(
	ctx context.Context, server apricotway.BackendServer, call apricotway.ServiceCall,
) (apricotway.ServiceAnswer, error) {
	transport := c.pooled

	// The anonymous reader hides the type of the body, so that net/http cannot set GetBody and rewind it.
	body := io.Reader(struct{ io.Reader }{bytes.NewReader(call.Body)})

	if call.Once {
		transport = c.single
	} else if len(call.Body) == 0 {
		body = http.NoBody
	}

	request, err := http.NewRequestWithContext(ctx, call.Method, httpjson.URL(server.Address, call.Path), body)
	if err != nil {
		return apricotway.ServiceAnswer{}, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	request.Header = endToEnd(call.Header)
	request.ContentLength = int64(len(call.Body))

	response, err := httpjson.Send(transport, request)
	if errors.Is(err, httpjson.ErrNotSent) {
		return apricotway.ServiceAnswer{}, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	if err != nil {
		return apricotway.ServiceAnswer{}, errors.Wrap(err, "call backend server")
	}
	defer response.Body.Close()

	content, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswer+1))
	if err != nil {
		return apricotway.ServiceAnswer{}, errors.Wrap(err, "read answer")
	}

	if int64(len(content)) > c.maxAnswer {
		return apricotway.ServiceAnswer{}, ErrAnswerTooLarge
	}

	return apricotway.ServiceAnswer{
		Status: response.StatusCode,
		Header: endToEnd(response.Header),
		Body:   content,
	}, nil
}

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of the header without what belongs to one connection.
func endToEnd(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		return http.Header{}
	}

	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopByHop {
		result.Del(name)
	}

	return result
}
