package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/service"
)

// TestHalfHead guards against a head that its server did not finish before it closed the connection being taken for an answer, or for a
// call that was not sent.
func TestHalfHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 22\r\n\r"

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	sizes := make(chan int, 1)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, head[:<-sizes])
			}

			_ = conn.Close()
		}
	}()

	client := service.New()
	backend := apricotway.BackendServer{Address: listener.Addr().(*net.TCPAddr).AddrPort()}

	for size := range len(head) + 1 {
		sizes <- size

		answer, err := client.Call(t.Context(), backend, apricotway.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x"), Once: true})
		if err == nil || errors.Is(err, apricotway.ErrNotSent) {
			t.Errorf("head of %d bytes: got status %d and error %v, want an error other than %v", size, answer.Status, err, apricotway.ErrNotSent)
		}
	}
}
