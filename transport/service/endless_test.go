package service_test

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/service"
)

// endlessServer accepts connections, and answers each request with a text and then a block repeatedly until the client closes.
func endlessServer(t *testing.T, first, rest string) netip.AddrPort {
	t.Helper()

	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	block := []byte(strings.Repeat(rest, 1+1<<14/len(rest)))

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer func() { _ = conn.Close() }()

				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}

				for _, err := conn.Write([]byte(first)); err == nil; {
					_, err = conn.Write(block)
				}
			}()
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String())
}

// heapBytes returns the heap memory in use by objects, including dead ones that have not been collected yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)

	return sample[0].Value.Uint64()
}

// TestManyEndlessAnswers guards against a process that runs out of memory, since many servers at once send answers without an end.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		calls = 200
		// A buffer is copied as it grows, the collector lets the heap double, and each call takes some more.
		allowance = 5 * 64 << 20
	)

	for name, answer := range map[string][2]string{
		"no length":    {"HTTP/1.1 200 OK\r\n\r\n", "body"},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"large length": {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "body"},
		"compressed":   {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", "\x00\x01\xff\xff"},
		"status line":  {"HTTP/1.1 200 ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := apricotway.BackendServer{ID: "a", Address: endlessServer(t, answer[0], answer[1])}
			client := service.New()

			runtime.GC()

			var (
				running sync.WaitGroup
				peak    atomic.Uint64
			)

			before, done, watched := heapBytes(), make(chan struct{}), make(chan struct{})

			go func() {
				defer close(watched)

				for {
					peak.Store(max(peak.Load(), heapBytes()))

					select {
					case <-done:
						return
					case <-time.After(time.Millisecond):
					}
				}
			}()

			for range calls {
				running.Go(func() {
					if _, err := client.Call(t.Context(), server, apricotway.ServiceCall{Method: http.MethodGet, Path: "/"}); err == nil {
						t.Error("got an answer, want an error")
					}
				})
			}

			running.Wait()
			close(done)
			<-watched

			if got := peak.Load() - min(peak.Load(), before); got > allowance {
				t.Errorf("got %d MiB of heap, want at most %d", got>>20, allowance>>20)
			} else {
				t.Logf("%d MiB of heap", got>>20)
			}
		})
	}
}
