package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
	"github.com/apricotway/apricotway/platform/standin"
)

const (
	silenceCallers = 24
	// soundSilence is a silence of a sound server.
	soundSilence = 1500 * time.Millisecond
)

// silenceSystem is a cutSystem whose callers look how each of their calls ends.
type silenceSystem struct {
	*cutSystem

	// slowBodies makes half of the callers send their bodies slowly. mayDrop is the path whose route some configurations lack.
	slowBodies bool
	mayDrop    string

	mu sync.Mutex
	// whole, refused and failed count the calls that ended with a whole answer, with a refusal that names a time to retry or a missing route,
	// and otherwise.
	whole, refused, failed int
}

// silence silences engines for a while: no byte passes from or to them.
func (s *silenceSystem) silence(engines []int, during func()) {
	for _, i := range engines {
		s.links[i].Set(faultproxy.Fault{Target: s.targets[i], Cut: faultproxy.Both})
	}

	end := time.After(soundSilence)

	during()
	<-end

	for _, i := range engines {
		s.links[i].Set(faultproxy.Fault{Target: s.targets[i]})
	}
}

// callers sends calls over kept connections until the context ends.
func (s *silenceSystem) callers(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup

	for i := range silenceCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))

		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()

			for n := 0; ctx.Err() == nil; n++ {
				c := standin.Call{
					Address: s.entries[random.IntN(len(s.entries))].callers, Host: "h.example", Key: "secret", Attempt: fmt.Sprintf("q%d-%d", i, n),
					Timeout: 8 * time.Second,
				}

				switch i % 3 {
				case 0:
					c.Path, c.Tokens = "/chat/x", "100,20"
				case 1:
					c.Path = "/look/x"
				default:
					c.Path = "/book/x"
				}

				if s.slowBodies && random.IntN(2) == 0 {
					c.Body = &slowBody{}
				}

				s.call(context.WithoutCancel(ctx), client, c)

				<-time.After(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}

	return &group
}

// call sends one call and counts how it ended.
func (s *silenceSystem) call(ctx context.Context, client *http.Client, c standin.Call) {
	request, err := c.Request(ctx)
	if err != nil {
		s.t.Error(err)
		return
	}

	// Without GetBody the client does not send the call again.
	request.GetBody = nil
	began := time.Now()

	var (
		status  int
		retry   string
		content []byte
	)

	response, err := client.Do(request)
	if err == nil {
		status, retry = response.StatusCode, response.Header.Get("Retry-After")
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case err == nil && status == http.StatusOK && (c.Tokens == "" || strings.Contains(string(content), fmt.Sprintf("id: %d\n", versionEvents))):
		s.whole++
	case err == nil && (status == http.StatusServiceUnavailable && retry != "" || status == http.StatusNotFound && c.Path == s.mayDrop):
		s.refused++
	default:
		s.failed++
		s.t.Logf("%s %s failed after %s: status %d, %d bytes, %v", c.Path, c.Attempt, time.Since(began), status, len(content), err)
	}
}

// checkEnds checks that no call ended without a whole answer or a true refusal.
func (s *silenceSystem) checkEnds() {
	s.t.Helper()
	s.t.Logf("%d whole, %d refused, %d failed", s.whole, s.refused, s.failed)

	if s.failed > 0 {
		s.t.Errorf("got %d calls without a whole answer or a true refusal, want 0", s.failed)
	}

	if s.whole < silenceCallers {
		s.t.Errorf("got %d whole answers, want at least %d", s.whole, silenceCallers)
	}
}

// TestSoundServersSilentForASecond guards against calls that end without a whole answer, or a refusal that is true, because sound servers are
// silent for more than a second and go on.
func TestSoundServersSilentForASecond(t *testing.T) {
	model, all := []int{0}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}

	for _, test := range []struct {
		name    string
		engines []int
		during  func(s *silenceSystem)
	}{
		{"one engine", model, func(*silenceSystem) {}},
		{"half of all", []int{0, 1, 3, 6}, func(*silenceSystem) {}},
		{"all", all, func(*silenceSystem) {}},
		{"half of all beside configurations", []int{0, 1, 3, 6}, func(s *silenceSystem) {
			for range 4 {
				s.publish()
				<-time.After(200 * time.Millisecond)
			}
		}},
		{"one beside an engine that leaves", []int{0, 6}, func(s *silenceSystem) { s.engines[1].Register("draining") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			s := &silenceSystem{cutSystem: newCutSystem(t, 1)}
			s.awaitServing()

			ctx, cancel := context.WithCancel(t.Context())
			group := s.callers(ctx)

			for range 3 {
				<-time.After(700 * time.Millisecond)
				s.silence(test.engines, func() { test.during(s) })
			}

			<-time.After(time.Second)
			cancel()
			group.Wait()

			s.checkEnds()
		})
	}
}
