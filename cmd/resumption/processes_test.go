package resumption

import (
	"context"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/protocol/completion"
)

// TestReconnect guards against answers that are lost when the caller's connection ends or before the caller reconnects,
// against answers that another workspace can read, and against generations that continue without a reader.
func TestReconnect(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("a", "a")
		n := h.startNode("x", "a")

		c := newCaller("r1", "prompt", 200)
		_ = c.read(n.requests.Start(c.request), 50)

		_, err := n.requests.Resume(context.Background(), "mill-2", c.request.ID)
		if err == nil {
			h.t.Fatal("another workspace got the answer")
		}

		if got := apricotway.AsRefusal(err).Code; got != apricotway.CodeRequestNotFound {
			h.t.Errorf("got %s for another workspace, want %s", got, apricotway.CodeRequestNotFound)
		}

		// The generation finishes while no caller is connected.
		h.sleep(20 * time.Second)

		answer, err := n.requests.Resume(context.Background(), workspace, c.request.ID)
		if err != nil {
			h.t.Fatal(err)
		}

		c.check(h.t, c.read(answer, 0))
		h.sleep(2 * completion.DefaultTimes().Retention)

		if _, err := n.requests.Resume(context.Background(), workspace, c.request.ID); err == nil {
			h.t.Error("the answer is kept beyond its retention")
		}

		lost, whole := newCaller("r2", "prompt", 60000), newCaller("r3", "prompt", 60000)
		whole.request.Form.Stream = false
		_ = lost.read(n.requests.Start(lost.request), 50)
		_ = whole.read(n.requests.Start(whole.request), 50)
		h.sleep(time.Second)

		if got := h.running(); got != 1 {
			h.t.Errorf("got %d generations, want only the streamed one, whose caller can reconnect", got)
		}

		h.sleep(completion.DefaultTimes().ReaderGrace)

		if got := h.running(); got != 0 {
			h.t.Errorf("got %d generations without a reader, want none", got)
		}
	})
}

// TestEntryLoss guards against answers that are lost with the process that accepted the request, however that process
// goes away and wherever the caller reconnects, and against two processes that both run the request afterwards.
func TestEntryLoss(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(h *harness, n *node)
		// maxExtra is the maximum number of tokens that this loss may cost beyond those of the answer. The test loses a
		// second process, which may cost 10 more.
		maxExtra int
	}{
		{"killed, not noticed yet", func(_ *harness, n *node) { n.kill() }, 10},
		{"killed and declared dead", func(h *harness, n *node) {
			n.kill()
			n.setState(apricotway.MemberDead)
			h.sleep(time.Second)

			if got := h.running(); got != 1 {
				h.t.Errorf("got %d generations before the caller reconnects, want 1", got)
			}
		}, 10},
		{"leaves", func(h *harness, n *node) {
			if err := n.requests.HandOver(context.Background()); err != nil {
				h.t.Error(err)
			}

			n.kill()
		}, 1},
		{"lives, caller reconnects elsewhere", func(*harness, *node) {}, 1},
	} {
		for _, target := range []int{1, 2, 3} {
			t.Run(test.name, func(t *testing.T) {
				run(t, func(h *harness) {
					h.startEngine("a", "a")
					h.startEngine("b", "b")

					nodes := []*node{h.startNode("w", "a"), h.startNode("x", "b"), h.startNode("y", "b"), h.startNode("z", "c")}
					c := newCaller("request", "prompt", 400)

					_ = c.read(nodes[0].requests.Start(c.request), 205)
					test.lose(h, nodes[0])

					answer, err := nodes[target].requests.Resume(context.Background(), workspace, c.request.ID)
					if err != nil {
						h.t.Fatal(err)
					}

					_ = c.read(answer, 300)

					if got := h.running(); got != 1 {
						h.t.Errorf("got %d generations after the takeover, want 1", got)
					}

					// The process that took the request over is lost as well.
					nodes[target].kill()
					nodes[target].setState(apricotway.MemberDead)

					answer, err = nodes[target%3+1].requests.Resume(context.Background(), workspace, c.request.ID)
					if err != nil {
						h.t.Fatal(err)
					}

					c.check(h.t, c.read(answer, 0))

					generated := 0
					for _, e := range h.engines {
						generated += e.Counters().Generated
					}

					if got := generated - c.request.MaxTokens; got > test.maxExtra+10 {
						h.t.Errorf("got %d tokens generated again, want at most %d", got, test.maxExtra+10)
					}
				})
			})
		}
	}
}

// TestCopyEnds guards against copies of requests that outlive the request, and against requests without a copy after the
// process that held the copy is lost.
func TestCopyEnds(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("a", "a")

		first, second, third := h.startNode("x", "a"), h.startNode("y", "b"), h.startNode("z", "c")
		c := newCaller("request", "prompt", 400)
		answer := first.requests.Start(c.request)
		_ = c.read(answer, 100)

		for _, n := range []*node{second, third} {
			if n.requests.HeldCopies() == 1 {
				n.kill()
			}
		}

		h.sleep(time.Second)

		if got := second.requests.HeldCopies() + third.requests.HeldCopies(); got != 2 {
			h.t.Errorf("got %d copies, want one at the lost peer and one at its replacement", got)
		}

		c.check(h.t, c.read(answer, 0))
		h.sleep(10 * time.Second)

		if got := second.requests.HeldCopies() + third.requests.HeldCopies(); got != 1 {
			h.t.Errorf("got %d copies after the end of the request, want only that of the lost peer", got)
		}
	})
}

// TestLossAfterEnd guards against the loss of the last tokens when a process is killed after it has written the whole
// answer, part of which never reached the caller.
func TestLossAfterEnd(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("a", "a")

		first, second, third := h.startNode("x", "a"), h.startNode("y", "b"), h.startNode("z", "c")
		c, written := newCaller("request", "prompt", 100), newCaller("request", "prompt", 100)
		answer := first.requests.Start(c.request)
		_ = c.read(answer, 50)
		written.check(h.t, written.read(answer, 0))
		h.sleep(time.Second)
		first.kill()

		for _, n := range []*node{second, third} {
			again := newCaller("request", "prompt", 100)
			again.next = c.next
			again.text.WriteString(c.text.String())

			answer, err := n.requests.Resume(context.Background(), workspace, c.request.ID)
			if err != nil {
				h.t.Fatal(err)
			}

			again.check(h.t, again.read(answer, 0))
		}
	})
}
