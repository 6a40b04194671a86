package faultproxy_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
)

// echo starts a TCP server that sends back what it reads. The channel gets each read and "end" when a connection is closed.
func echo(t *testing.T) (*net.TCPAddr, chan string) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	received := make(chan string, 10)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer func() { _ = conn.Close() }()

				buffer := make([]byte, 100)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						received <- "end"
						return
					}

					received <- string(buffer[:n])
					_, _ = conn.Write(buffer[:n])
				}
			}()
		}
	}()

	return listener.Addr().(*net.TCPAddr), received
}

// TestTCPFaults guards the faults that other tests rely on. If the proxy forwarded bytes during a cut, or lost a request
// instead of its response, those tests would pass without having met the fault.
func TestTCPFaults(t *testing.T) {
	target, received := echo(t)

	link, err := faultproxy.Listen(t.Context(), "tcp")
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()

	server := httptest.NewServer(faultproxy.Handler(map[string]*faultproxy.Link{"l": link}))
	defer server.Close()

	set := func(fault string) {
		body := `{"target": "` + target.String() + `"` + fault + `}`
		request, _ := http.NewRequest(http.MethodPut, server.URL+"/links/l", strings.NewReader(body))

		answer, err := http.DefaultClient.Do(request)
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want the fault to be set", answer, err)
		}

		_ = answer.Body.Close()
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", link.Address.String())
		if err != nil {
			t.Fatal(err)
		}

		t.Cleanup(func() { _ = conn.Close() })

		return conn
	}
	read := func(conn net.Conn) string {
		buffer := make([]byte, 100)
		n, _ := conn.Read(buffer)

		return string(buffer[:n])
	}
	silent := func(conn net.Conn, what string) {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if got := read(conn); got != "" {
			t.Errorf("%s: got %q, want nothing", what, got)
		}

		_ = conn.SetReadDeadline(time.Time{})
	}

	set(`, "delayMillis": 1, "bytesPerSecond": 10000`)

	conn := dial()
	_, _ = io.WriteString(conn, "one")

	if got, want := <-received+read(conn), "oneone"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	set(`, "cut": "backward"`)

	_, _ = io.WriteString(conn, "two")

	if got, want := <-received, "two"; got != want {
		t.Errorf("got %q at the target, want %q", got, want)
	}

	silent(conn, "answers cut")
	set(``)

	if got, want := read(conn), "two"; got != want {
		t.Errorf("got %q after the cut, want %q", got, want)
	}

	set(`, "cut": "forward"`)

	_, _ = io.WriteString(conn, "three")

	silent(conn, "requests cut")

	if len(received) > 0 {
		t.Errorf("got %q at the target through a cut", <-received)
	}

	set(`, "loseAnswer": true`)

	if got, want := <-received, "three"; got != want {
		t.Errorf("got %q at the target, want %q", got, want)
	}

	if got := read(conn); got != "" {
		t.Errorf("got the answer %q, want it to be lost", got)
	}

	for got := ""; got != "end"; {
		got = <-received
	}

	set(`, "halfClose": "forward"`)

	half := dial()
	_, _ = io.WriteString(half, "four")

	if got, want := <-received+<-received+read(half), "fourendfour"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestUDPCut guards against a backward cut that also drops packets to the target, or that lets packets to the client through.
func TestUDPCut(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()

	link, err := faultproxy.Listen(t.Context(), "udp")
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()

	client, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(link.Address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()

	address := target.LocalAddr().(*net.UDPAddr).AddrPort()
	buffer := make([]byte, 100)

	link.Set(faultproxy.Fault{Target: address})
	_, _ = client.Write([]byte("one"))

	n, from, err := target.ReadFromUDPAddrPort(buffer)
	if got, want := string(buffer[:n]), "one"; err != nil || got != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}

	link.Set(faultproxy.Fault{Target: address, Cut: faultproxy.Backward})
	_, _ = target.WriteToUDPAddrPort([]byte("lost"), from)
	_, _ = client.Write([]byte("two"))

	n, _, _ = target.ReadFromUDPAddrPort(buffer)
	if got, want := string(buffer[:n]), "two"; got != want {
		t.Errorf("got %q at the target, want %q", got, want)
	}

	_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))

	if n, err := client.Read(buffer); err == nil {
		t.Errorf("got %q through a cut", buffer[:n])
	}
}
