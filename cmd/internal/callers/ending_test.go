package callers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/callers"
)

const (
	answerPart = "part of an answer"
	// moreThanBuffered is more than the buffers of a connection hold.
	moreThanBuffered = 64 << 20
)

func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, answerPart)
	_ = http.NewResponseController(w).Flush()
}

// TestAnswerNotOnTheWireUnseen guards against requests whose handler ended, but whose answer was never written to the connection, and that no
// log line and no counter tells.
func TestAnswerNotOnTheWireUnseen(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n"
	left := make(chan struct{})

	for _, c := range []struct {
		name    string
		request string
		handler http.HandlerFunc
		// leave is set when the caller resets the connection while the handler runs.
		leave bool
		want  []callers.Outcome
	}{
		{name: "kept connection", request: request, handler: writeAll, want: []callers.Outcome{callers.OutcomeWritten}},
		{
			name: "closed after the answer", request: strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
			handler: writeAll, want: []callers.Outcome{callers.OutcomeWritten},
		},
		{
			name: "HTTP/1.0", request: strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1), handler: writeAll,
			want: []callers.Outcome{callers.OutcomeWritten},
		},
		{
			name: "HEAD", request: strings.Replace(request, "GET", "HEAD", 1), handler: writeAll,
			want: []callers.Outcome{callers.OutcomeWritten},
		},
		{
			name: "pipelined", request: request + request, handler: writeAll,
			want: []callers.Outcome{callers.OutcomeWritten, callers.OutcomeWritten},
		},
		{
			name: "answered without reading the body", request: post + "01234", handler: writeAll,
			want: []callers.Outcome{callers.OutcomeWritten},
		},
		{
			name: "aborted before the answer", request: request, handler: abort,
			want: []callers.Outcome{callers.OutcomeNoAnswer},
		},
		{
			name: "aborted after 100 Continue", request: post + "01234",
			handler: func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)

				panic(http.ErrAbortHandler)
			},
			want: []callers.Outcome{callers.OutcomeNoAnswer},
		},
		{
			name: "aborted in the answer", request: request,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writePart(w)

				panic(http.ErrAbortHandler)
			},
			want: []callers.Outcome{callers.OutcomeCut},
		},
		{
			name: "write deadline", request: request,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
				_, _ = io.CopyN(w, zeros{}, moreThanBuffered)
			},
			want: []callers.Outcome{callers.OutcomeWriteTimeout},
		},
		{
			name: "write deadline before the answer", request: request,
			handler: func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
				writeAll(w, r)
			},
			want: []callers.Outcome{callers.OutcomeWriteTimeout},
		},
		{
			name: "caller left before the answer", request: request, leave: true,
			handler: func(_ http.ResponseWriter, r *http.Request) {
				close(left)
				<-r.Context().Done()

				panic(http.ErrAbortHandler)
			},
			want: []callers.Outcome{callers.OutcomeCallerLeft},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			endings := make(chan callers.Ending, len(c.want)+1)
			_, dial := start(t, c.handler, callers.WithEnded(func(r *http.Request, ending callers.Ending) {
				if r.Host != "h.example" {
					t.Errorf("got a request with host %q, want that of the call", r.Host)
				}
				endings <- ending
			}))
			conn, _ := dial()

			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}

			if c.leave {
				<-left

				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}

				_ = conn.Close()
			}

			for _, want := range c.want {
				select {
				case got := <-endings:
					if got.Outcome != want || (got.Bytes == 0) != (want == callers.OutcomeNoAnswer || strings.HasSuffix(c.name, "before the answer")) {
						t.Errorf("got %s after %d bytes and %v, want %s", got.Outcome, got.Bytes, got.Err, want)
					}
				case <-time.After(10 * time.Second):
					t.Fatalf("got no ending, want %s", want)
				}
			}
		})
	}
}

// TestResetWhileAnswerIsWritten guards against taking an answer for written whose connection was reset meanwhile.
func TestResetWhileAnswerIsWritten(t *testing.T) {
	endings := make(chan callers.Ending, 1)
	_, dial := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.CopyN(w, zeros{}, moreThanBuffered)
	}, callers.WithEnded(func(_ *http.Request, ending callers.Ending) { endings <- ending }))
	conn, _ := dial()

	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}

	if _, err := bufio.NewReader(conn).ReadByte(); err != nil {
		t.Fatal(err)
	}

	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}

	_ = conn.Close()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	select {
	case got := <-endings:
		if got.Outcome != callers.OutcomeReset || got.Bytes == 0 || got.Err == nil {
			t.Errorf("got %s after %d bytes and %v, want %s", got.Outcome, got.Bytes, got.Err, callers.OutcomeReset)
		}
	case <-ctx.Done():
		t.Error("got no ending")
	}
}

func writeAll(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
