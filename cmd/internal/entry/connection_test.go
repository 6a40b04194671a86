package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// callerLimits is the part of a configuration that limits callers.
const callerLimits = `"limits":{"max_body_bytes":10000,"max_header_bytes":%d,"header_timeout_ms":%d,"idle_timeout_ms":%d}`

// publishLimits publishes a configuration with limits on callers.
func (s *site) publishLimits(version, headerBytes int, headerTimeout, idleTimeout time.Duration) {
	s.t.Helper()

	limits := fmt.Sprintf(callerLimits, headerBytes, headerTimeout.Milliseconds(), idleTimeout.Milliseconds())
	content := strings.Replace(fmt.Sprintf(config, version, `"secret"`), `"limits":{"max_body_bytes":10000}`, limits, 1)

	if err := s.platform.PutConfig(json.RawMessage(content)); err != nil {
		s.t.Fatal(err)
	}
}

// caller is a caller's connection to a process.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	calls  int
}

func (s *site) connect(t *testing.T, process int) *caller {
	t.Helper()

	var dialer net.Dialer

	conn, err := dialer.DialContext(t.Context(), "tcp", s.settings[process].Listen.Callers.String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = conn.Close() })

	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// header returns the header of a call to a plain service, without the empty line that ends it.
func (c *caller) header() string {
	c.calls++

	request, err := standin.Call{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/book/", Attempt: fmt.Sprint(c.t.Name(), "-", c.calls), Key: "secret",
	}.Request(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}

	var header strings.Builder
	if err := request.Header.Write(&header); err != nil {
		c.t.Fatal(err)
	}

	return "POST /book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n" + header.String()
}

func (c *caller) send(content string) {
	c.t.Helper()

	if _, err := io.WriteString(c.conn, content); err != nil {
		c.t.Errorf("got %v from a write, want none", err)
	}
}

// status reads an answer and returns its status, or the error instead of an answer.
func (c *caller) status() (string, http.Header) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // Fails on a closed connection only.

	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error(), http.Header{}
	}
	defer response.Body.Close()

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error(), http.Header{}
	}

	return response.Status, response.Header
}

// TestConnectionClosedThatItsCallerMayUse guards against closing or refusing what the limits of the configuration allow, or allowed when
// they were changed while the connection was open.
func TestConnectionClosedThatItsCallerMayUse(t *testing.T) {
	s := newSite(t)
	process := s.start()

	defer process.Stop(context.Background())

	s.eventually("the process serves", func() bool { return s.ready(0) })

	earlier := s.connect(t, 0)
	earlier.send(earlier.header() + "\r\n")

	if got, _ := earlier.status(); got != "200 OK" {
		t.Fatalf("got %s, want 200 OK", got)
	}

	const idle, header = 26 * time.Second, 6 * time.Second

	s.publishLimits(2, 100<<10, header, idle)
	<-time.After(2 * time.Second)

	t.Run("limits", func(t *testing.T) {
		t.Run("idle for four fifths of a raised limit", func(t *testing.T) {
			t.Parallel()

			earlier.t = t
			<-time.After(idle*4/5 - 2*time.Second)
			earlier.send(earlier.header() + "\r\n")

			if got, _ := earlier.status(); got != "200 OK" {
				t.Errorf("got %s, want 200 OK", got)
			}
		})
		t.Run("header that takes five sixths of its limit", func(t *testing.T) {
			t.Parallel()

			c := s.connect(t, 0)
			c.send(c.header())
			<-time.After(header * 5 / 6)
			c.send("\r\n")

			if got, _ := c.status(); got != "200 OK" {
				t.Errorf("got %s, want 200 OK", got)
			}
		})
		t.Run("header of nine tenths of its limit", func(t *testing.T) {
			t.Parallel()

			c := s.connect(t, 0)
			c.send(c.header() + "X: " + strings.Repeat("x", 90<<10) + "\r\n\r\n")

			if got, _ := c.status(); got != "200 OK" {
				t.Errorf("got %s, want 200 OK", got)
			}
		})
	})
}

// TestBodyRefusedByLimitLoweredMeanwhile guards against refusing a body that the configuration before allowed, while callers may not know the
// newer one.
func TestBodyRefusedByLimitLoweredMeanwhile(t *testing.T) {
	s := newSite(t)
	process := s.start()

	defer process.Stop(context.Background())

	s.eventually("the process serves", func() bool { return s.ready(0) })

	lowered := strings.NewReplacer(`"max_body_bytes":10000`, `"max_body_bytes":100,"idle_timeout_ms":14000`)
	if err := s.platform.PutConfig(json.RawMessage(lowered.Replace(fmt.Sprintf(config, 2, `"secret"`)))); err != nil {
		t.Fatal(err)
	}

	c := s.connect(t, 0)
	body := strings.Repeat("x", 5000)

	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		c.send(strings.Replace(c.header(), "Content-Length: 0", fmt.Sprint("Content-Length: ", len(body)), 1) + "\r\n" + body)

		if got, _ := c.status(); got != "200 OK" {
			t.Fatalf("got %s, want 200 OK", got)
		}

		<-time.After(50 * time.Millisecond)
	}
}
