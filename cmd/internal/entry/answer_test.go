package entry_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// with returns the header of a call, as header does, with replacements of old and new strings in turn.
func (c *caller) with(replacements ...string) string {
	return strings.NewReplacer(replacements...).Replace(c.header())
}

// answers reads answers and returns their statuses, separated by commas.
func (c *caller) answers(count int) string {
	var statuses []string

	for range count {
		status, _ := c.status()
		code, _, _ := strings.Cut(status, " ")
		statuses = append(statuses, code)
	}

	return strings.Join(statuses, ",")
}

// TestRequestEndsWithoutAnswer guards against every known way in which a request ends on its connection without an answer, or with one that
// comes only after the caller has sent the rest of a body.
func TestRequestEndsWithoutAnswer(t *testing.T) {
	s := newSite(t)
	process := s.start()

	defer process.Stop(context.Background())

	s.eventually("the process serves", func() bool { return s.ready(0) })

	version := 2
	noBody, fiveBytes := "Content-Length: 0", "Content-Length: 5"

	for _, test := range []struct {
		name string
		do   func(c *caller) string
		want string
	}{
		{"pipelined at once", func(c *caller) string {
			c.send(c.header() + "\r\n" + c.header() + "\r\n" + c.header() + "\r\n")
			return c.answers(3)
		}, "200,200,200"},
		{"pipelined while the call before runs", func(c *caller) string {
			c.send(c.header() + "\r\n")
			c.send(c.header() + "\r\n")

			return c.answers(2)
		}, "200,200"},
		{"HTTP/1.0", func(c *caller) string {
			c.send(c.with("HTTP/1.1", "HTTP/1.0") + "\r\n")
			return c.answers(1)
		}, "200"},
		{"HTTP/1.0 on a kept connection", func(c *caller) string {
			for range 2 {
				c.send(c.with("HTTP/1.1", "HTTP/1.0") + "Connection: keep-alive\r\n\r\n")
			}

			return c.answers(2)
		}, "200,200"},
		{"closed after the answer", func(c *caller) string {
			c.send(c.header() + "Connection: close\r\n\r\n")
			return c.answers(1)
		}, "200"},
		{"expects 100 Continue", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes) + "Expect: 100-continue\r\n\r\n")

			first := c.answers(1)

			c.send("01234")

			return first + "," + c.answers(1)
		}, "100,200"},
		{"expects 100 Continue, refused", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes, "/book/", "/none/") + "Expect: 100-continue\r\n\r\n")
			return c.answers(1)
		}, "404"},
		{"expects 100 Continue, sent without waiting", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes) + "Expect: 100-continue\r\n\r\n01234")
			return c.answers(2)
		}, "100,200"},
		{"expects something else", func(c *caller) string {
			c.send(c.header() + "Expect: more\r\n\r\n")
			return c.answers(1)
		}, "417"},
		{"chunks and trailer", func(c *caller) string {
			c.send(c.with(noBody, "Transfer-Encoding: chunked") + "\r\n5\r\n01234\r\n0\r\nX: y\r\n\r\n" + c.header() + "\r\n")
			return c.answers(2)
		}, "200,200"},
		{"refused with its body unread", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes, "/book/", "/none/") + "\r\n01234" + c.header() + "\r\n")
			return c.answers(2)
		}, "404,200"},
		{"refused while its body is missing", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes, "/book/", "/none/") + "\r\n01")
			return c.answers(1)
		}, "404"},
		{"unknown key while its body is missing", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes, "secret", "wrong") + "\r\n01")
			return c.answers(1)
		}, "401"},
		{"body too large and missing", func(c *caller) string {
			c.send(c.with(noBody, "Content-Length: 20000") + "\r\n01")
			return c.answers(1)
		}, "413"},
		{"body late", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes, "Deadline-Ms: 5000", "Deadline-Ms: 300") + "\r\n01")
			return c.answers(1)
		}, "408"},
		{"after the write deadline of the call before", func(c *caller) string {
			c.send(c.with("Deadline-Ms: 5000", "Deadline-Ms: 300") + "\r\n")

			first := c.answers(1)

			<-time.After(1500 * time.Millisecond)
			c.send(c.header() + "\r\n")

			return first + "," + c.answers(1)
		}, "200,200"},
		{"empty lines after a body", func(c *caller) string {
			c.send(c.header() + "\r\n\r\n\r\n" + c.header() + "\r\n")
			return c.answers(2)
		}, "200,200"},
		{"configuration changed between two calls", func(c *caller) string {
			c.send(c.header() + "\r\n")

			first := c.answers(1)
			version++
			s.publishLimits(version, 8<<10, time.Second, 2*time.Second)
			<-time.After(500 * time.Millisecond)
			c.send(c.header() + "\r\n")

			return first + "," + c.answers(1)
		}, "200,200"},
		{"configuration changed while a header is read", func(c *caller) string {
			c.send(c.header())

			version++
			s.publishLimits(version, 16<<10, 2*time.Second, 3*time.Second)
			<-time.After(500 * time.Millisecond)
			c.send("\r\n")

			return c.answers(1)
		}, "200"},
		{"settings read again between header and body", func(c *caller) string {
			c.send(c.with(noBody, fiveBytes) + "\r\n01")
			process.Reload(filepath.Join(c.t.TempDir(), "missing"))

			file := filepath.Join(c.t.TempDir(), "settings")
			if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
				c.t.Fatal(err)
			}

			process.Reload(file)
			c.send("234")

			return c.answers(1)
		}, "200"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := s.connect(t, 0)

			began := time.Now()
			if got := test.do(c); got != test.want {
				t.Errorf("got %s after %v, want %s", got, time.Since(began), test.want)
			}
		})
	}

	t.Run("closed for writing", func(t *testing.T) {
		c := s.connect(t, 0)
		c.send(c.header() + "\r\n")

		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}

		// The call ends, sent or not, as a caller that has left looks the same, but not without an answer.
		if got, want := c.answers(1), "200, 502 or 503"; !strings.Contains(want, got) {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}
