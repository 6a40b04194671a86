package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// startEngine starts an engine that answers each request with raw bytes. number is the number of the request on its connection, from 0.
func startEngine(t *testing.T, answer func(number int) string) apricotway.BackendServer {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer func() { _ = conn.Close() }()

				reader := bufio.NewReader(conn)

				for number := 0; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}

					_, _ = io.Copy(io.Discard, request.Body)

					if _, err := io.WriteString(conn, answer(number)); err != nil || request.Close {
						return
					}
				}
			}()
		}
	}()

	return apricotway.BackendServer{Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// TestHalfHead guards against a head that its engine did not finish before it closed the connection being taken for a generation, or for a
// request that was not sent.
func TestHalfHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r"

	for size := range len(head) + 1 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}

		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, head[:size])
			}

			_ = conn.Close()
		}()

		server := apricotway.BackendServer{Address: listener.Addr().(*net.TCPAddr).AddrPort()}

		stream, err := engine.New().Generate(t.Context(), server, apricotway.GenerateRequest{Attempt: "x"})
		if err == nil {
			stream.Close()
		}

		if err == nil || errors.Is(err, apricotway.ErrNotSent) || errors.Is(err, apricotway.ErrBackendRefused) {
			t.Errorf("head of %d bytes: got error %v, want one that leaves open whether the request ran", size, err)
		}

		_ = listener.Close()
	}
}

// TestRefusalWrittenAgain guards against a refusal that an engine writes again, after the next request has arrived on the connection,
// being taken for the answer to that request, which the engine runs.
func TestRefusalWrittenAgain(t *testing.T) {
	const events = `data: {"id":"second","token_index":0,"choices":[{"text":"x"}]}` + "\n\ndata: [DONE]\n\n"

	stream := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events)

	for _, status := range []int{
		http.StatusBadRequest, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			refusal := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 4\r\n\r\nfull", status, http.StatusText(status))

			var requests atomic.Int64

			server := startEngine(t, func(number int) string {
				if requests.Add(1) == 1 {
					return refusal
				}

				if number > 0 {
					return refusal + stream
				}

				return stream
			})
			client := engine.New()

			_, err := client.Generate(t.Context(), server, apricotway.GenerateRequest{Attempt: "first"})
			if !errors.Is(err, apricotway.ErrBackendRefused) {
				t.Fatalf("got error %v, want %v", err, apricotway.ErrBackendRefused)
			}

			generation, err := client.Generate(t.Context(), server, apricotway.GenerateRequest{Attempt: "second"})
			if err != nil {
				t.Fatalf("got error %v for a request that runs, want its stream", err)
			}
			defer generation.Close()

			if token, err := generation.Next(); token.Attempt != "second" || err != nil {
				t.Errorf("got attempt %q and %v, want second", token.Attempt, err)
			}
		})
	}
}
