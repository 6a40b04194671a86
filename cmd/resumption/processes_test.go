package resumption

import (
	"context"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/completion"
)

// TestReconnect guards against answers that end with their caller's connection, that another workspace can read, that are
// lost before the caller comes back, or that run for nobody.
func TestReconnect(t *testing.T) {
	run(t, func(w *world) {
		w.engine("a", "a")
		n := w.node("x", "a")

		c := newCaller("r1", "prompt", 200)
		_ = c.read(n.requests.Start(c.request), 50)

		_, err := n.requests.Resume(context.Background(), "mill-2", c.request.ID)
		if err == nil {
			w.t.Fatal("another workspace got the answer")
		}

		if got := apricotway.AsRefusal(err).Code; got != apricotway.CodeRequestNotFound {
			w.t.Errorf("got %s for another workspace, want %s", got, apricotway.CodeRequestNotFound)
		}

		// The answer ends while nobody reads it.
		w.sleep(20 * time.Second)

		answer, err := n.requests.Resume(context.Background(), workspace, c.request.ID)
		if err != nil {
			w.t.Fatal(err)
		}

		c.check(w.t, c.read(answer, 0))
		w.sleep(2 * completion.DefaultTimes().Retention)

		if _, err := n.requests.Resume(context.Background(), workspace, c.request.ID); err == nil {
			w.t.Error("the answer is kept beyond its retention")
		}

		lost, whole := newCaller("r2", "prompt", 60000), newCaller("r3", "prompt", 60000)
		whole.request.Form.Stream = false
		_ = lost.read(n.requests.Start(lost.request), 50)
		_ = whole.read(n.requests.Start(whole.request), 50)
		w.sleep(time.Second)

		if got := w.running(); got != 1 {
			w.t.Errorf("got %d generations, want only the one whose caller can come back", got)
		}

		w.sleep(completion.DefaultTimes().ReaderGrace)

		if got := w.running(); got != 0 {
			w.t.Errorf("got %d generations without a reader, want none", got)
		}
	})
}

// TestEntryLoss guards against answers that end with the process that accepted them, whichever way it goes and wherever the
// caller reconnects, and against two processes that both run the request afterwards.
func TestEntryLoss(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(w *world, n *node)
		// most is the largest number of tokens that may be computed beyond those of the answer.
		most int
	}{
		{"killed, not noticed yet", func(_ *world, n *node) { n.kill() }, 10},
		{"killed and declared dead", func(w *world, n *node) {
			n.kill()
			n.declare(apricotway.MemberDead)
			w.sleep(time.Second)

			if got := w.running(); got != 1 {
				w.t.Errorf("got %d generations before the caller is back, want 1", got)
			}
		}, 10},
		{"leaves", func(w *world, n *node) {
			if err := n.requests.HandOver(context.Background()); err != nil {
				w.t.Error(err)
			}

			n.kill()
		}, 1},
		{"lives, caller reconnects elsewhere", func(*world, *node) {}, 1},
	} {
		for _, target := range []int{1, 2, 3} {
			t.Run(test.name, func(t *testing.T) {
				run(t, func(w *world) {
					w.engine("a", "a")
					w.engine("b", "b")

					nodes := []*node{w.node("w", "a"), w.node("x", "b"), w.node("y", "b"), w.node("z", "c")}
					c := newCaller("request", "prompt", 400)

					_ = c.read(nodes[0].requests.Start(c.request), 205)
					test.lose(w, nodes[0])

					answer, err := nodes[target].requests.Resume(context.Background(), workspace, c.request.ID)
					if err != nil {
						w.t.Fatal(err)
					}

					_ = c.read(answer, 300)

					if got := w.running(); got != 1 {
						w.t.Errorf("got %d generations after the takeover, want 1", got)
					}

					// The next process is lost as well.
					nodes[target].kill()
					nodes[target].declare(apricotway.MemberDead)

					answer, err = nodes[target%3+1].requests.Resume(context.Background(), workspace, c.request.ID)
					if err != nil {
						w.t.Fatal(err)
					}

					c.check(w.t, c.read(answer, 0))

					generated := 0
					for _, e := range w.engines {
						generated += e.Counters().Generated
					}

					if got := generated - c.request.MaxTokens; got > test.most+10 {
						w.t.Errorf("got %d tokens generated again, want at most %d", got, test.most+10)
					}
				})
			})
		}
	}
}

// TestCopyEnds guards against copies that outlive their requests, and against requests without a copy once their peer is
// lost.
func TestCopyEnds(t *testing.T) {
	run(t, func(w *world) {
		w.engine("a", "a")

		first, second, third := w.node("x", "a"), w.node("y", "b"), w.node("z", "c")
		c := newCaller("request", "prompt", 400)
		answer := first.requests.Start(c.request)
		_ = c.read(answer, 100)

		for _, n := range []*node{second, third} {
			if n.requests.HeldCopies() == 1 {
				n.kill()
			}
		}

		w.sleep(time.Second)

		if got := second.requests.HeldCopies() + third.requests.HeldCopies(); got != 2 {
			w.t.Errorf("got %d copies, want those of the lost peer and of its replacement", got)
		}

		c.check(w.t, c.read(answer, 0))
		w.sleep(10 * time.Second)

		if got := second.requests.HeldCopies() + third.requests.HeldCopies(); got != 1 {
			w.t.Errorf("got %d copies after the end, want none but that of the lost peer", got)
		}
	})
}

// TestLossAfterEnd guards against the loss of the last tokens: the process is killed right after it wrote the whole answer,
// part of which never reached the caller.
func TestLossAfterEnd(t *testing.T) {
	run(t, func(w *world) {
		w.engine("a", "a")

		first, second, third := w.node("x", "a"), w.node("y", "b"), w.node("z", "c")
		c, written := newCaller("request", "prompt", 100), newCaller("request", "prompt", 100)
		answer := first.requests.Start(c.request)
		_ = c.read(answer, 50)
		written.check(w.t, written.read(answer, 0))
		w.sleep(time.Second)
		first.kill()

		for _, n := range []*node{second, third} {
			again := newCaller("request", "prompt", 100)
			again.next = c.next
			again.text.WriteString(c.text.String())

			answer, err := n.requests.Resume(context.Background(), workspace, c.request.ID)
			if err != nil {
				w.t.Fatal(err)
			}

			again.check(w.t, again.read(answer, 0))
		}
	})
}
