package engine_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// body is a transport that answers every request with this body.
type body []byte

// RoundTrip implements http.RoundTripper.
func (b body) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(b)), Request: r}, nil
}

// FuzzStream guards against stream contents that crash the process or make the stream endless.
func FuzzStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		stream, err := engine.New(engine.WithTransport(body(content))).Generate(
			t.Context(), apricotway.BackendServer{}, apricotway.GenerateRequest{MaxTokens: 1})
		if err != nil {
			return
		}
		defer stream.Close()

		// Each event takes at least one byte.
		for range len(content) + 1 {
			if _, err := stream.Next(); err != nil {
				return
			}
		}

		t.Error("got more events than bytes")
	})
}
