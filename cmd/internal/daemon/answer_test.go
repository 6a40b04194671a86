package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/daemon"
)

// TestRequestEndsWithoutAnswer guards against every known way in which a request to `apricotway serve` ends on its connection without an
// answer, or with one that comes only after the caller has sent the rest of a body.
func TestRequestEndsWithoutAnswer(t *testing.T) {
	address := strings.TrimPrefix(startDev(t), "http://")

	const (
		body    = `{"model":"shop-model","messages":[{"role":"user","content":"x"}],"max_tokens":1}`
		longest = "Content-Length: 80\r\n"
	)

	header := "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + daemon.DevToken +
		"\r\nContent-Type: application/json\r\n"
	call := header + longest + "\r\n" + body

	if len(body) != 80 {
		t.Fatalf("got a body of %d bytes, want 80", len(body))
	}

	for _, test := range []struct{ name, request, want string }{
		{"whole", call, "200"},
		{"pipelined", call + call, "200,200"},
		{"HTTP/1.0", strings.Replace(call, "HTTP/1.1", "HTTP/1.0", 1), "200"},
		{"closed after the answer", header + "Connection: close\r\n" + longest + "\r\n" + body, "200"},
		{"expects 100 Continue", header + "Expect: 100-continue\r\n" + longest + "\r\n" + body, "100,200"},
		{"expects something else", header + "Expect: more\r\n" + longest + "\r\n" + body, "417"},
		{"chunks", header + "Transfer-Encoding: chunked\r\n\r\n50\r\n" + body + "\r\n0\r\n\r\n" + call, "200,200"},
		{"refused with its body unread", strings.Replace(call, "/v1/chat", "/v1/none", 1) + call, "404,200"},
		{"unknown path while its body is missing", strings.Replace(header, "/v1/chat", "/v1/none", 1) + longest + "\r\n{", "404"},
		{"unknown token while its body is missing", strings.Replace(header, "Bearer ", "Bearer x", 1) + longest + "\r\n{", "401"},
		{"body too large and missing", header + "Content-Length: 999999999\r\n\r\n{", "413"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var dialer net.Dialer

			conn, err := dialer.DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}

			t.Cleanup(func() { _ = conn.Close() })

			if _, err := io.WriteString(conn, test.request); err != nil {
				t.Fatal(err)
			}

			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // Fails on a closed connection only.

			reader := bufio.NewReader(conn)

			var got []string

			for range strings.Split(test.want, ",") {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					got = append(got, err.Error())
					break
				}

				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				status, _, _ := strings.Cut(response.Status, " ")
				got = append(got, status)
			}

			if got := strings.Join(got, ","); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
