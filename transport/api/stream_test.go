package api_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/transport/api"
	"github.com/apricotway/apricotway/transport/engine"
)

// hosts is a fake host list.
type hosts []apricotway.BackendServer

func (h hosts) Hosts(context.Context) ([]apricotway.BackendServer, error) { return h, nil }

// startEngine starts an engine that answers each generation with raw bytes.
func startEngine(t *testing.T, answer func(request engine.Request) string) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()

		call, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}

		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

		if call.Method == http.MethodPost {
			var request engine.Request
			if json.NewDecoder(call.Body).Decode(&request) != nil {
				return
			}

			text = answer(request)
		}

		_, _ = io.WriteString(conn, text)
	}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go serve(conn)
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String())
}

const (
	eventHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	done      = "data: [DONE]\n\n"
	lastToken = 5
)

// tokens returns the events of the tokens from one index up to, but not including, another.
func tokens(id string, from, to int) string {
	var events strings.Builder

	for index := from; index < to; index++ {
		finish := ""
		if index == lastToken {
			finish = "stop"
		}

		fmt.Fprintf(&events, `data: {"id":%q,"token_index":%d,"choices":[{"text":"%d","finish_reason":%q}]}`+"\n\n", id, index, index, finish)
	}

	return events.String()
}

// TestFailedContinuation guards against foreign text, repeated or missing tokens, and an answer that looks complete before its last
// token, when the first engine of a stream breaks off behind token 2 and the next one answers with something else than the rest.
func TestFailedContinuation(t *testing.T) {
	for name, answer := range map[string]func(id string) string{
		"status 500": func(string) string { return "HTTP/1.1 500 No\r\nContent-Length: 7\r\n\r\nforeign" },
		"status 503": func(string) string { return "HTTP/1.1 503 No\r\nContent-Length: 7\r\n\r\nforeign" },
		"status 404": func(string) string { return "HTTP/1.1 404 No\r\nContent-Length: 7\r\n\r\nforeign" },
		"status 204": func(string) string { return "HTTP/1.1 204 No Content\r\n\r\n" },
		"redirect":   func(string) string { return "HTTP/1.1 302 Found\r\nLocation: /foreign\r\nContent-Length: 0\r\n\r\n" },
		"JSON": func(string) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"error":"foreign"}`
		},
		"error event":     func(string) string { return eventHead + "event: error\ndata: {\"error\":\"foreign\"}\n\n" + done },
		"no event":        func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
		"head only":       func(string) string { return eventHead },
		"closed":          func(string) string { return "" },
		"end at once":     func(string) string { return eventHead + done },
		"skipped token":   func(id string) string { return eventHead + tokens(id, 4, lastToken+1) + done },
		"from the start":  func(id string) string { return eventHead + tokens(id, 0, 3) + done },
		"another attempt": func(string) string { return eventHead + tokens("foreign", 3, lastToken+1) + done },
		"head behind a token": func(id string) string {
			return eventHead + tokens(id, 3, 4) + "HTTP/1.1 500 No\r\nX: foreign\r\n\r\ndata: foreign\n\n" + done
		},
		"broken chunk": func(id string) string {
			first := tokens(id, 3, 4)
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nHTTP/1.1 500 No\r\n\r\nforeign", len(first), first)
		},
	} {
		for _, last := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/no other engine %t", name, last), func(t *testing.T) {
				var sends atomic.Int64

				generate := func(request engine.Request) string {
					switch number := sends.Add(1); {
					case number == 1:
						return eventHead + tokens(request.RequestID, 0, 3)
					case number == 2 || last:
						return answer(request.RequestID)
					default:
						return eventHead + tokens(request.RequestID, request.ResumeTokens, lastToken+1) + done
					}
				}

				var list hosts
				for i := range 3 {
					list = append(list, apricotway.BackendServer{
						ID: apricotway.BackendServerID(fmt.Sprint(i)), Service: "m", Version: "1", State: apricotway.HostLive,
						Address: startEngine(t, generate),
					})
				}

				got := streamFrom(t, list)

				whole := "0"
				for index := 1; index <= lastToken; index++ {
					whole += fmt.Sprint(index)
				}

				if !strings.HasPrefix(whole, got.text) || len(got.text) < len("012") {
					t.Errorf("got text %q, want a beginning of %q", got.text, whole)
				}

				if complete := got.text == whole; got.done != complete || got.failed == complete || complete == last {
					t.Errorf("got text %q, end marker %t, error %t, want a whole answer: %t", got.text, got.done, got.failed, !last)
				}
			})
		}
	}
}

// streamed is what a caller got of a streamed answer.
type streamed struct {
	text         string
	done, failed bool
}

// streamFrom sends one request to a server with the engines and reads its answer.
func streamFrom(t *testing.T, list hosts) streamed {
	t.Helper()

	supervisor := suture.NewSimple("test")
	known := inventory.New(supervisor, list)
	requests := completion.NewRequests(supervisor, completion.New(engine.New(), known))

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	defer func() {
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
	}()

	<-known.Ready()

	server := httptest.NewServer(api.New(oneWorkspace{}, nil, requests, nil))
	defer server.Close()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions",
		strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}

	request.Header.Set("Authorization", "Bearer x")

	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}

	var got streamed

	for line := range strings.Lines(string(content)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			got.done = true
			continue
		}

		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error *struct{} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("got event %q: %v", data, err)
		}

		got.failed = got.failed || event.Error != nil

		for _, choice := range event.Choices {
			got.text += choice.Text
		}
	}

	return got
}
