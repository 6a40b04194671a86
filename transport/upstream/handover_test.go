package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestSilentStreamCutForServerThatDoesNotContinueIt guards against giving up a silent server, which then goes on, for one that does not
// continue its stream.
func TestSilentStreamCutForServerThatDoesNotContinueIt(t *testing.T) {
	misdirecting := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

	for name, other := range map[string]http.HandlerFunc{
		"rejects": rejecting, "fails": failing, "breaks off": reset, "is another one": misdirecting,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			answer := firstThen(silentAfter(1, 2400*time.Millisecond), other)
			h := newHarness(t, answer, answer)
			h.limitRetries(2, 2)

			_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
			if want := event(1) + event(2); err != nil || got != want {
				t.Errorf("got %q and %v, want %q", got, err, want)
			}
		})
	}
}

// TestEventTwiceWhileReplaced guards against events that are lost or come twice when a silent server goes on while another one is asked to
// continue its stream.
func TestEventTwiceWhileReplaced(t *testing.T) {
	var group sync.WaitGroup

	for i := range 48 {
		// The server goes on shortly before, while or after the other one answers.
		silence := 1850*time.Millisecond + time.Duration(i)*5*time.Millisecond

		later := func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(time.Duration(i%8) * 10 * time.Millisecond):
				streamOf(2, 0)(w, r)
			case <-r.Context().Done():
			}
		}

		// One half is silent before the first event, the other one between events.
		answer := firstThen(silentAfter(i/8%2, silence), later)
		h := newHarness(t, answer, answer)
		h.limitRetries(2, 2)

		group.Go(func() {
			request, err := http.NewRequestWithContext(context.WithoutCancel(t.Context()), http.MethodPost, h.front.URL+"/resumable/",
				strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}

			request.Host = "h.example"
			request.Header.Set("Attempt", fmt.Sprint(i))
			request.Header.Set("Key", "secret")

			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Errorf("silence of %s: got %v", silence, err)
				return
			}
			defer response.Body.Close()

			got, err := io.ReadAll(response.Body)
			if want := event(1) + event(2); err != nil || string(got) != want {
				t.Errorf("silence of %s: got %q and %v, want %q", silence, got, err, want)
			}
		})
	}

	group.Wait()
}

// TestOfferLostWhenSilentServerBreaksOff guards against cutting a stream whose silent server breaks off while the only other server that may
// run it is asked to continue it.
func TestOfferLostWhenSilentServerBreaksOff(t *testing.T) {
	asked := make(chan struct{})

	first := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, event(1))
		_ = http.NewResponseController(w).Flush()

		<-asked

		reset(w, r)
	}
	later := func(w http.ResponseWriter, r *http.Request) {
		close(asked)

		<-time.After(100 * time.Millisecond)
		streamOf(2, 0)(w, r)
	}

	answer := firstThen(first, later)
	h := newHarness(t, answer, answer)
	h.limitRetries(2, 2)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}

	h.wantRuns(2)
}

// TestTwoServersWorkOnStream guards against leaving a stream at its silent server while another one has worked on it for 400 ms.
func TestTwoServersWorkOnStream(t *testing.T) {
	asked, left := make(chan time.Time, 1), make(chan time.Time, 1)

	first := func(w http.ResponseWriter, r *http.Request) {
		silentAfter(1, time.Minute)(w, r)

		left <- time.Now()
	}
	later := func(w http.ResponseWriter, r *http.Request) {
		asked <- time.Now()

		<-time.After(time.Second)
		streamOf(2, 0)(w, r)
	}

	answer := firstThen(first, later)
	h := newHarness(t, answer, answer)
	h.limitRetries(2, 2)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}

	if both := (<-left).Sub(<-asked); both >= 400*time.Millisecond {
		t.Errorf("got %s with two servers at work, want less than 400ms", both)
	}
}

// TestStreamCutForSilenceBeforeItsEnd guards against cutting a stream whose server is silent between the last event and the end, since another
// server has no event to continue it with.
func TestStreamCutForSilenceBeforeItsEnd(t *testing.T) {
	answer := firstThen(silentAfter(2, 2400*time.Millisecond), streamOf(2, 0))
	h := newHarness(t, answer, answer)
	h.limitRetries(100, 2)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// TestStreamCutForSilenceBeforeItsEndBesideSlowServer guards against the same where the other server answers late.
func TestStreamCutForSilenceBeforeItsEndBesideSlowServer(t *testing.T) {
	later := func(w http.ResponseWriter, r *http.Request) {
		<-time.After(350 * time.Millisecond)
		streamOf(2, 0)(w, r)
	}

	answer := firstThen(silentAfter(2, 2400*time.Millisecond), later)
	h := newHarness(t, answer, answer)
	h.limitRetries(100, 2)

	_, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
	if want := event(1) + event(2); err != nil || got != want {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

// TestSilentStreamRefusedForServerThatDoesNotBeginIt guards against giving up a server that is silent before the first event of a stream, and
// then goes on, for one that does not begin it.
func TestSilentStreamRefusedForServerThatDoesNotBeginIt(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{"rejects": rejecting, "breaks off": reset} {
		t.Run(name, func(t *testing.T) {
			answer := firstThen(silentAfter(0, 2400*time.Millisecond), other)
			h := newHarness(t, answer, answer)
			h.limitRetries(2, 2)

			response, got, err := h.call("/resumable/", nil) //nolint:bodyclose // The call has read and closed it.
			if err != nil {
				t.Fatal(err)
			}

			if want := event(1) + event(2); response.StatusCode != http.StatusOK || got != want {
				t.Errorf("got status %d and %q, want 200 and %q", response.StatusCode, got, want)
			}
		})
	}
}
