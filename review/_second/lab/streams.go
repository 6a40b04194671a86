package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamEngine returns the handler of an engine of a software version. It streams events that name the version, in chunks, and goes on
// behind Last-Event-Id without checking who began the stream.
func streamEngine(version string, events int, gap time.Duration) func(x *exchange) bool {
	return func(x *exchange) bool {
		x.engine.ran(x)

		last, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))

		if x.head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Keep-Alive: timeout=5") != nil {
			return false
		}

		for id := last + 1; id <= events; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, version, id)
			if x.writef("%x\r\n%s\r\n", len(event), event) != nil {
				return false
			}

			time.Sleep(gap)
		}

		return x.writef("0\r\n\r\n") == nil
	}
}

// stream is a stream as one client sees it, over all its attempts.
type stream struct {
	first string
	// parts is the prompt as the header Apricotway-Prefix-Hash states it.
	parts string
	// versions holds the versions of its events in the order of their coming, without repetitions.
	versions []string
	last     int
	// gap is set when an event is missing or came twice.
	gap, complete bool
	// taken is set once the stream was taken up again, after the event begun.
	taken bool
	begun int
	// address is where the last attempt was sent to, and status the status of its answer; 0 without one.
	address string
	status  int
	code    string
	// attempts counts the attempts that reached a process, and retryAfter is the pause that the last answer names.
	attempts   int
	retryAfter time.Duration
	// brokenAt is the time at which the last attempt broke off; zero if it did not.
	brokenAt time.Time
}

func (s *stream) takeEvent(id int, version string) {
	if id != s.last+1 {
		s.gap = true
	}

	s.last = id
	if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
		s.versions = append(s.versions, version)
	}
}

// follow sends an attempt for the stream and reads its events: the first attempt, or one that takes the stream up after its last event.
func (l *lab) follow(ctx context.Context, address, path string, s *stream, events int) {
	attempt := l.attempt()

	if s.parts == "" {
		// The requests of a small deployment share one of 8 first parts, and one of some hundred second ones.
		s.parts = fmt.Sprintf("%x:119,%x:79,%s:402", 0x5c1e0000+rand.IntN(8), 0x7a200000+rand.IntN(262), attempt[len(attempt)-8:])
	}

	headers := []string{"Apricotway-Model: m", "Apricotway-Token-Usage: 600,300", "Apricotway-Prefix-Hash: " + s.parts}

	what := "begins"
	if s.first == "" {
		s.first = attempt
	}

	if s.last > 0 {
		headers = append(headers, "Last-Event-Id: "+strconv.Itoa(s.last), "Resumes: "+s.first)
		what = fmt.Sprintf("takes up %s after event %d", s.first, s.last)
	}

	s.address, s.status, s.code, s.brokenAt, s.retryAfter = address, 0, "", time.Time{}, 0
	l.logf("client sends %s to %s, %s", attempt, l.nameOf(address), what)

	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		s.brokenAt = time.Now()
		return
	}
	defer conn.Close()

	_ = conn.SetDeadline(time.Now().Add(13 * time.Second))

	if _, err := conn.Write([]byte(call{method: http.MethodPost, path: path, body: "prompt", headers: headers, deadline: 12 * time.Second}.text(attempt))); err != nil {
		s.brokenAt = time.Now()
		return
	}

	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		s.brokenAt = time.Now()
		l.logf("client got no answer to %s: %v", attempt, err)

		return
	}
	defer response.Body.Close()

	s.status = response.StatusCode
	s.attempts++

	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		s.retryAfter = time.Duration(seconds * float64(time.Second))
	}

	scanner := bufio.NewScanner(response.Body)
	id := 0

	for scanner.Scan() {
		line := scanner.Text()

		switch {
		case response.StatusCode != http.StatusOK:
			s.code += line
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			version, _, _ := strings.Cut(line[6:], " ")
			s.takeEvent(id, version)
		}
	}

	if err := scanner.Err(); err != nil || response.StatusCode == http.StatusOK && s.last < events {
		s.brokenAt = time.Now()
	}

	s.complete = response.StatusCode == http.StatusOK && s.brokenAt.IsZero()
	l.logf("client got %d for %s (stream %s): last event %d, versions %v, complete: %t %s", s.status, attempt, s.first, s.last, s.versions, s.complete, s.code)
}

func (l *lab) nameOf(address string) string {
	for _, e := range l.entries {
		if e.callers == address {
			return e.name
		}
	}

	return address
}
