package scenario

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/platform/standin"
)

// TestPlannedStopSilentServer guards against streams that a stopping process takes and cuts, since their server was silent for a while.
func TestPlannedStopSilentServer(t *testing.T) {
	t.Parallel()

	const count = 30

	s := newStopSystem(t, 1)
	e := s.entries[0]
	// A stream takes 3.1 s at the only server of the one service, and 1.9 s at those of the other one.
	only := s.startEngine("pause-only", standin.WithSlots(200), standin.WithStream(stopEvents, 104*time.Millisecond))
	first := s.startEngine("pause", standin.WithSlots(200), standin.WithStream(stopEvents, 64*time.Millisecond))
	s.startEngine("pause", standin.WithSlots(200), standin.WithStream(stopEvents, 64*time.Millisecond))
	s.awaitReady(e)

	term := time.Now().Add(6 * time.Second)
	after := func(seconds float64) time.Time { return term.Add(time.Duration(seconds * float64(time.Second))) }

	s.stop(e, term)

	for i := range count {
		spread := float64(i) / count

		// The process knows from earlier calls how long they take.
		for _, path := range []string{"/stream-pause/x", "/pause/x"} {
			s.callAt(e, after(-4+2*spread), after(-4+2*spread), stopRequest{group: "before", path: path})
		}

		s.callAt(e, after(2.3), after(3.05+0.3*spread), stopRequest{group: "silent for a second", path: "/stream-pause/x"})
		s.callAt(e, after(2), after(2), stopRequest{
			group: "given up for another server", path: "/pause/x", body: "first half, second half", pauseAt: "half, second",
			resume: after(4.3 + 0.1*spread),
		})
	}

	s.at(after(4.25), first.Pause)
	s.at(after(4.5), only.Pause)
	s.at(after(5.6), only.Resume)
	s.at(after(10), first.Resume)
	s.calling.Wait()
	<-time.After(time.Second)

	for _, group := range []string{"before", "silent for a second", "given up for another server"} {
		t.Run(group, func(t *testing.T) { s.judge(t, group) })
	}
}
