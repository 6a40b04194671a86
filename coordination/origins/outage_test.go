package origins_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/boottime"
	"github.com/apricotway/apricotway/internal/bubble"
)

// TestTakeUpElsewhereAfterOutage guards against refusing a stream for a doubt in the store that the process which wrote it could not withdraw any
// more, at a process that holds no copy of the stream.
func TestTakeUpElsewhereAfterOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		_, processes := startNetwork(t, s, s, s)
		out, elsewhere := processes[0], start(t, s)
		processes = append(processes, elsewhere)

		first, second := server("v1"), server("v2")
		first.Born, second.Born = time.Now().Add(-time.Hour), time.Now().Add(-time.Hour)

		// calm makes the processes read the list for a while.
		calm := func(readers []*process, reads int) {
			for range reads {
				for _, p := range readers {
					p.register.Update(time.Now(), first)
					p.register.Update(time.Now(), second)
					p.register.SetListed(boottime.Now())
				}

				<-time.After(500 * time.Millisecond)
			}
		}

		calm(processes, 8)
		s.setDown(true)
		<-time.After(3 * time.Second)
		out.Began(time.Now(), "x", first)
		<-time.After(500 * time.Millisecond)
		s.setDown(false)

		calm(processes, 2)
		elsewhere.wantVersion(t, "x", "")
		out.kill()

		calm(processes[1:], 8)
		elsewhere.wantVersion(t, "x", apricotway.SoftwareVersion("v1"))

		for _, p := range processes[1:] {
			p.kill()
		}
	})
}
