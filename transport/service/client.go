// Package service implements the HTTP client for the backend servers of plain services, which are not model engines.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bodybuffer"
	"github.com/apricotway/apricotway/transport/httpjson"
)

const (
	// DefaultMaxAnswer is the maximum size of the body of an answer in bytes.
	DefaultMaxAnswer = 8 << 20
	// maxReading bounds in bytes the bodies of all answers that are being read.
	maxReading = 64 << 20
)

// ErrAnswerTooLarge reports an answer body over the limit, or for which the answers that are being read leave no memory.
var ErrAnswerTooLarge = errors.New("answer too large")

// Client implements apricotway.ServiceClient over HTTP.
type Client struct {
	// transport opens a new connection for each call, for two reasons. On a reused connection, a late duplicate of an earlier
	// answer could be taken for the current one, since answers of plain services carry no ID. And http.Transport retries a
	// request when a reused connection breaks, if the request has an Idempotency-Key and a body that can be rewound; it never
	// retries the first request of a connection.
	transport http.RoundTripper
	// bodies bounds each answer, and those that are being read together.
	bodies *bodybuffer.Budget
}

var _ apricotway.ServiceClient = (*Client)(nil)

// New returns a client with the default limits.
func New() *Client {
	transport := httpjson.NewTransport()
	transport.DisableKeepAlives = true

	return &Client{
		transport: transport, bodies: bodybuffer.New(bodybuffer.WithEach(DefaultMaxAnswer+1), bodybuffer.WithTotal(maxReading)),
	}
}

// Call implements apricotway.ServiceClient. It does not follow redirects but returns them to the caller.
func (c *Client) Call(
	ctx context.Context, server apricotway.BackendServer, call apricotway.ServiceCall,
) (apricotway.ServiceAnswer, error) {
	// The anonymous struct hides the type of the reader, so that net/http does not set GetBody, which would let it rewind the body
	// and retry the request.
	body := io.Reader(struct{ io.Reader }{bytes.NewReader(call.Body)})

	if !call.Once && len(call.Body) == 0 {
		body = http.NoBody
	}

	request, err := http.NewRequestWithContext(ctx, call.Method, httpjson.URL(server.Address, call.Path), body)
	if err != nil {
		return apricotway.ServiceAnswer{}, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	// The header is cloned because the caller may use it again for another attempt.
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}

	removeHopByHop(request.Header)
	request.ContentLength = int64(len(call.Body))

	response, err := httpjson.Send(c.transport, request)
	if errors.Is(err, httpjson.ErrNotSent) {
		return apricotway.ServiceAnswer{}, errors.Wrap(apricotway.ErrNotSent, err.Error())
	}

	if err != nil {
		return apricotway.ServiceAnswer{}, errors.Wrap(err, "call backend server")
	}
	defer response.Body.Close()

	content, err := c.readAnswer(response)
	if err != nil {
		return apricotway.ServiceAnswer{}, err
	}

	removeHopByHop(response.Header)

	return apricotway.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

func (c *Client) readAnswer(response *http.Response) ([]byte, error) {
	// An answer to HEAD has a Content-Length but no body.
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}

	content, err := httpjson.ReadAnswer(response, c.bodies)
	if errors.Is(err, httpjson.ErrTooLarge) {
		return nil, ErrAnswerTooLarge
	}

	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}

	return content, nil
}

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1), in the canonical form of net/http.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopByHop removes the headers in hopByHop and those that the Connection header names.
func removeHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopByHop {
		delete(header, name)
	}
}
