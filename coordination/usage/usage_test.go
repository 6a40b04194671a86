package usage_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/state/account"
)

// stream is a usage stream whose appends have the effect and the error that the test sets.
type stream struct {
	mu      sync.Mutex
	records []apricotway.StoredRecord
	// effect is set when the next appends store their record; err is the error that they return.
	effect bool
	err    error
}

func (s *stream) set(effect bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.effect, s.err = effect, err
}

func (s *stream) Append(
	_ context.Context, _ apricotway.Stream, record apricotway.Record,
) (apricotway.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.effect {
		s.records = append(s.records, apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(len(s.records) + 1)})
	}

	return apricotway.Offset(len(s.records)), s.err
}

// TestOutage guards against tokens that are lost or counted twice when the answer to an append is lost or the log service is
// unavailable for a while.
func TestOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		supervisor := suture.NewSimple("test")
		log := &stream{effect: true}
		recorder := usage.New(supervisor, "n", log)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := supervisor.ServeBackground(ctx)

		add := func() {
			recorder.Add(account.Key{Workspace: "w"}, account.Usage{GeneratedTokens: 1})
			<-time.After(usage.DefaultInterval)
			synctest.Wait()
		}

		add()

		// The append takes effect and its answer is lost.
		log.set(true, apricotway.ErrAppendUnknown)
		add()

		// The log service is down.
		log.set(false, apricotway.ErrLogUnavailable)
		add()
		add()

		log.set(true, nil)
		add()

		if err := recorder.Close(ctx); err != nil {
			t.Fatal(err)
		}

		cancel()

		if err := <-stopped; err == nil {
			t.Error("supervisor stopped without a reason")
		}

		fold := account.New()
		for _, record := range log.records {
			fold.Apply(record)
		}

		got := fold.Account()
		if len(got.Faults) > 0 || got.Repeats != 1 || got.Open != 0 {
			t.Errorf("got faults %v, %d repeats, %d open; want none, 1, 0", got.Faults, got.Repeats, got.Open)
		}

		if got, want := got.Totals[0].GeneratedTokens, int64(5); got != want {
			t.Errorf("got %d tokens, want %d", got, want)
		}
	})
}
