package catalog_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/dispatch"
)

// write writes the entry of a server that is ready.
func (s *store) write(id apricotway.BackendServerID, sequence uint64) {
	backend := apricotway.Backend{ID: id, Service: "s", Slots: 1, Born: time.Unix(1, 0), Sequence: sequence}

	s.set(func(s *store) {
		s.whole[id] = backend
		s.changes = append(s.changes, apricotway.BackendChange{ID: id, Backend: &backend})
	})
}

// TestEntriesAfterLeaveStatement guards against using a server again because of an entry that it wrote before it said in an answer that it
// is leaving, and against never using it again.
func TestEntriesAfterLeaveStatement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)
		s.write("a", 1)

		_, pool := start(t, s)
		wait(2 * time.Second)

		leave := func() {
			send := pool.PlaceAt(time.Now(), "a", dispatch.Request{Service: "s"})
			send.RecordStatements(time.Now(), apricotway.AnswerMetadata{Leaving: true}, false)
			send.End(time.Now(), dispatch.OutcomeDone)
		}
		expect := func(when string, leaving bool) {
			t.Helper()

			if got := pool.Leaving("a"); got != leaving {
				t.Errorf("%s: got leaving: %t, want %t", when, got, leaving)
			}
		}

		// The list is read only after the outage, so the next entry that it has was written before the answer.
		s.set(func(s *store) { s.down = true })
		s.write("a", 2)
		wait(time.Second)
		leave()
		wait(time.Second)
		s.set(func(s *store) { s.down = false })
		wait(3 * time.Second)
		expect("entry from before the answer", true)

		s.write("a", 3)
		wait(3 * time.Second)
		expect("entry from after the answer", false)

		leave()
		s.set(func(s *store) { s.trimmedList = true })
		wait(3 * time.Second)
		expect("same entry in the whole list", true)
	})
}

// TestReturnWithNewsOfOthers guards against a server that is ready again but stays unused at a process which gets the list from another
// one, since its entry says ready all the time.
func TestReturnWithNewsOfOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.publish(1)
		s.write("a", 1)

		c, pool := start(t, s)
		wait(2 * time.Second)

		// Each turn takes a second, in which the server registers.
		turns := func(count int) {
			for range count {
				c.ApplyNews(c.BootTime(), catalog.News{Position: catalog.Position{Source: "n"}, Fresh: true, Version: 1})
				s.write("a", uint64(len(s.changes)+1))
				wait(time.Second)
			}
		}

		c.ApplyNews(c.BootTime(), catalog.News{
			Position: catalog.Position{Source: "n"}, Fresh: true, Whole: true, Version: 1, Changes: []apricotway.BackendChange{{
				ID: "a", Backend: &apricotway.Backend{ID: "a", Service: "s", Slots: 1, Born: time.Unix(1, 0), Sequence: 1},
			}},
		})
		turns(3)

		send := pool.PlaceAt(time.Now(), "a", dispatch.Request{Service: "s"})
		send.RecordStatements(time.Now(), apricotway.AnswerMetadata{Leaving: true}, false)
		send.End(time.Now(), dispatch.OutcomeDone)

		reads := s.reads
		turns(4)

		if got := s.reads - reads; got != 0 || !pool.Leaving("a") {
			t.Errorf("at first: got %d reads and leaving: %t, want none and true", got, pool.Leaving("a"))
		}

		turns(8)

		if pool.Leaving("a") {
			t.Error("got leaving: true after later entries, want false")
		}

		reads = s.reads
		turns(8)

		if got := s.reads - reads; got != 0 {
			t.Errorf("afterwards: got %d reads of the store, want none", got)
		}
	})
}
