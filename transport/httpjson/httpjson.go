// Package httpjson contains helpers for the HTTP clients and servers of the transport packages: JSON bodies with a size limit, and
// errors that distinguish requests that were never sent.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/internal/bodybuffer"
	"github.com/apricotway/apricotway/internal/earlyend"
	"github.com/apricotway/apricotway/internal/keepalive"
)

const (
	// maxBody is the maximum size in bytes of a JSON body that a client reads.
	maxBody = 16 << 20
	// maxReading bounds in bytes the bodies that all clients of the process are reading.
	maxReading = 64 << 20
)

// ErrTooLarge reports a body over the limit, or for which the bodies that are being read leave no memory.
var ErrTooLarge = errors.New("answer too large")

var bodies = bodybuffer.New(bodybuffer.WithEach(maxBody), bodybuffer.WithTotal(maxReading))

// maxStatus is the last final status.
const maxStatus = 599

// maxHead is the maximum size in bytes of the header of an answer.
const maxHead = 32 << 10

// maxPreallocated is the largest Content-Length in bytes for which a buffer is allocated before any of the body has arrived.
const maxPreallocated = 64 << 10

// ErrNotSent reports that no connection was obtained for the request, so that the server cannot have received it.
var ErrNotSent = errors.New("request not sent")

// ErrMalformed reports an answer whose status is not a final one. The server may have run the request.
var ErrMalformed = errors.New("malformed answer")

// ErrStatus reports an answer whose status is not 2xx.
var ErrStatus = errors.New("unexpected status")

// StatusError contains the status and body of an answer whose status is not 2xx. It matches ErrStatus.
type StatusError struct {
	Status int
	Body   string
}

// Error implements the error interface.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Body }

// Unwrap makes the error match ErrStatus.
func (e *StatusError) Unwrap() error { return ErrStatus }

// NewTransport returns an HTTP transport that is configured for many short requests to few servers.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         earlyend.Dial(keepalive.NewDialer()),
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		// Compression would delay the tokens of a stream.
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
}

// URL returns the HTTP URL of a path on an address.
func URL(address netip.AddrPort, path string) string {
	return "http://" + address.String() + path
}

// Send performs the request. The error matches ErrNotSent if no connection was obtained, and ErrMalformed if the status is not between 200
// and 599.
func Send(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool

	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// A request that net/http sends again is written several times. Its answer then has a connection of its own.
			select {
			case written <- info.Err:
			default:
			}
		},
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))

	response, err := transport.RoundTrip(request)
	if err == nil {
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			_ = response.Body.Close() // The answer is not used.

			return nil, errors.Wrapf(ErrMalformed, "status %d", response.StatusCode)
		}

		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
			response.Body = &closeDelimitedBody{ReadCloser: response.Body, written: written}
		}

		return response, nil
	}

	if !connected.Load() {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}

	return nil, err
}

// writtenWait bounds the wait at the end of an answer for the end of the request, which usually was written before or has failed.
const writtenWait = time.Second

// closeDelimitedBody is the body of an answer that ends with its connection. It is complete only if the request was written whole.
type closeDelimitedBody struct {
	io.ReadCloser

	written <-chan error
	// err is the error of all reads behind the end.
	err error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}

	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.err = b.end()
		err = b.err
	}

	return n, err
}

// end returns io.EOF if the request was written whole.
func (b *closeDelimitedBody) end() error {
	timer := time.NewTimer(writtenWait)
	defer timer.Stop()

	select {
	case err := <-b.written:
		if err == nil {
			return io.EOF
		}
	case <-timer.C:
	}

	return earlyend.Err
}

// ReadBody reads a body of the given Content-Length; a negative length means unknown. For small bodies of known length it
// allocates exactly what the body needs, and nothing for an empty one, whereas io.ReadAll allocates more.
func ReadBody(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocated {
		return io.ReadAll(reader)
	}

	if length == 0 {
		return nil, nil
	}

	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)

	return body, err
}

// ReadAnswer reads the body of an answer within a budget. Only a body of a small Content-Length, which it can't exceed, needs no room.
func ReadAnswer(response *http.Response, budget *bodybuffer.Budget) ([]byte, error) {
	if response.ContentLength >= 0 && response.ContentLength <= maxPreallocated {
		return ReadBody(response.Body, response.ContentLength)
	}

	buffer := budget.Buffer()
	defer buffer.Release()

	content, complete, err := buffer.Read(response.Body)
	if err == nil && !complete {
		err = ErrTooLarge
	}

	return content, err
}

// Do sends a request with body encoded as JSON, unless body is nil, and decodes the JSON answer into result, unless result is nil.
// A *json.RawMessage gets the answer as it is, without a check. A status other than 2xx is returned as a StatusError.
func Do(ctx context.Context, transport http.RoundTripper, method, url string, body, result any) error {
	var reader io.Reader

	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}

		reader = bytes.NewReader(encoded)
	}

	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return errors.Wrap(err, "create request")
	}

	// An empty value makes net/http omit the header. Load reports are requested several hundred times a second, so every header
	// costs.
	request.Header.Set("User-Agent", "")

	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}

	response, err := Send(transport, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()

	content, err := ReadAnswer(response, bodies)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}

	if response.StatusCode/100 != 2 {
		return &StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(content))}
	}

	if result == nil {
		return nil
	}

	if raw, ok := result.(*json.RawMessage); ok {
		*raw = content
		return nil
	}

	if err := json.Unmarshal(content, result); err != nil {
		return errors.Wrap(err, "decode answer")
	}

	return nil
}

// Write writes a response with the status and a JSON document as its body.
func Write(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(document)
}
