package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/admission"
)

func request(id string, timeout time.Duration) admission.Request {
	return admission.Request{
		ID: apricotway.RequestID(id), Workspace: "a", Priority: apricotway.PriorityNormal, Tokens: 10,
		Deadline: time.Now().Add(timeout),
	}
}

// TestGate guards against a waiting request that does not start when a slot becomes free, and against losing the slot of a request
// that was withdrawn from the queue.
func TestGate(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(admission.Limits{Slots: 1})

		if err := g.Acquire(t.Context(), request("first", time.Hour)); err != nil {
			t.Fatal(err)
		}

		ctx, cancel := context.WithCancel(t.Context())
		withdrawn, second := make(chan error, 1), make(chan error, 1)

		go func() { withdrawn <- g.Acquire(ctx, request("gone", time.Hour)) }()
		synctest.Wait()

		go func() { second <- g.Acquire(t.Context(), request("second", time.Hour)) }()
		synctest.Wait()
		cancel()

		if got := apricotway.AsRefusal(<-withdrawn).Execution; got != apricotway.ExecutionNotStarted {
			t.Errorf("got execution %s for a request withdrawn from the queue, want notStarted", got)
		}

		g.Release("first", 10)

		if err := <-second; err != nil {
			t.Errorf("got %v for the second request, want admission", err)
		}

		g.Release("second", 10)

		if err := g.Acquire(t.Context(), request("third", time.Hour)); err != nil {
			t.Errorf("got %v for the third request, want admission: all slots are free", err)
		}
	})
}

// TestGateDeadline guards against a request that waits in a stalled queue until its caller has given up: its deadline must end the
// wait.
func TestGateDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(admission.Limits{Slots: 1})

		if err := g.Acquire(t.Context(), request("first", time.Hour)); err != nil {
			t.Fatal(err)
		}

		refusal := apricotway.AsRefusal(g.Acquire(t.Context(), request("second", 3*time.Second)))
		if refusal.Code != apricotway.CodeDeadlineUnmeetable || refusal.Execution != apricotway.ExecutionNotStarted ||
			refusal.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal for the deadline as not started with a Retry-After", refusal)
		}

		if got := g.Demand()["a"]; got != 1 {
			t.Errorf("got a demand of %v, want 1: the refused request is gone", got)
		}
	})
}
