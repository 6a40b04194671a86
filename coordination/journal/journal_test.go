package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/internal/bubble"
)

const stream apricotway.Stream = "test"

// fakeLog is one stream in memory. Each append behaves as the next step of the script says; without a step it succeeds.
type fakeLog struct {
	mu      sync.Mutex
	records []apricotway.StoredRecord
	first   apricotway.Offset
	appends int
	script  []string
	late    []apricotway.Record
	down    bool
	// carried is the number of records that an answer may have, if it is not 0, and failEvery makes each read of that number fail.
	carried, failEvery, reads int
}

func (l *fakeLog) put(records []apricotway.Record) apricotway.Offset {
	next := l.first + apricotway.Offset(len(l.records))
	for i, record := range records {
		l.records = append(l.records, apricotway.StoredRecord{Record: record, Offset: next + apricotway.Offset(i)})
	}

	return next
}

func (l *fakeLog) Append(ctx context.Context, _ apricotway.Stream, records []apricotway.Record) (apricotway.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++
	step := ""

	if len(l.script) > 0 {
		step, l.script = l.script[0], l.script[1:]
	}

	switch step {
	case "unavailable":
		return 0, apricotway.ErrLogUnavailable
	case "lose answer":
		l.put(records)
		return 0, apricotway.ErrAppendUnknown
	case "lose request":
		return 0, apricotway.ErrAppendUnknown
	case "delay request":
		l.late = records
		return 0, apricotway.ErrAppendUnknown
	case "lose answer and go down":
		l.put(records)
		l.down = true

		return 0, apricotway.ErrAppendUnknown
	case "hang":
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()

		return 0, apricotway.ErrAppendUnknown
	default:
		// A delayed append takes effect just before the next one.
		l.put(l.late)
		l.late = nil

		return l.put(records), nil
	}
}

func (l *fakeLog) Read(_ context.Context, _ apricotway.Stream, from apricotway.Offset, limit int, _ time.Duration) (apricotway.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reads++

	if l.down || l.failEvery > 0 && l.reads%l.failEvery == 0 {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	if from < l.first {
		return apricotway.Batch{Oldest: l.first}, apricotway.ErrTrimmed
	}

	rest := l.records[min(int(from-l.first), len(l.records)):]
	batch := apricotway.Batch{Records: slices.Clone(rest[:min(limit, len(rest))]), Oldest: l.first}
	batch.Next = from + apricotway.Offset(len(batch.Records))

	if l.carried > 0 && len(batch.Records) > l.carried {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	return batch, nil
}

func (l *fakeLog) trim(below apricotway.Offset) {
	l.records = l.records[below-l.first:]
	l.first = below
}

func (l *fakeLog) ids() string {
	var ids []string
	for _, record := range l.records {
		ids = append(ids, record.ID)
	}

	return strings.Join(ids, " ")
}

// inBubble runs a test in a bubble of synctest, with a supervisor that is stopped at the end.
func inBubble(t *testing.T, test func(t *testing.T, supervisor *suture.Supervisor)) {
	bubble.Test(t, func(t *testing.T) {
		supervisor := suture.NewSimple("test")
		ctx, cancel := context.WithCancel(t.Context())
		stopped := supervisor.ServeBackground(ctx)

		test(t, supervisor)
		cancel()

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v from the supervisor", err)
		}
	})
}

// TestWriterGroups guards against one append per record in place of group commits, and against a process that exceeds its share of
// the append budget.
func TestWriterGroups(t *testing.T) {
	inBubble(t, func(t *testing.T, supervisor *suture.Supervisor) {
		log := &fakeLog{first: 1}
		writer := journal.NewWriter(supervisor, log, journal.WithBudget(100, func() int { return 20 }))
		start := time.Now()
		offsets := make([]apricotway.Offset, 51)

		var group sync.WaitGroup

		for i := range offsets {
			group.Go(func() {
				offset, err := writer.Append(t.Context(), stream, apricotway.Record{ID: fmt.Sprint("r", i)})
				if err != nil {
					t.Error(err)
				}

				offsets[i] = offset
			})

			if i == 0 {
				synctest.Wait()
			}
		}

		group.Wait()

		// 100 appends/s divided among 20 members is one append per 200 ms.
		if got, want := time.Since(start), 200*time.Millisecond; log.appends != 2 || got != want {
			t.Errorf("got %d appends in %s, want 2 in %s", log.appends, got, want)
		}

		for i, offset := range offsets {
			if got := log.records[offset-1].ID; got != fmt.Sprint("r", i) {
				t.Errorf("got offset %d for record %d, which holds %s", offset, i, got)
			}
		}
	})
}

// TestWriterOutcomes guards against a lost or duplicated record after a lost answer, a wrong offset of the first copy, and an error
// during an outage that doesn't tell correctly whether the record may be in the log.
func TestWriterOutcomes(t *testing.T) {
	for _, test := range []struct {
		name, script, ids string
		want              error
		offset            apricotway.Offset
	}{
		{"success", "", "other x", nil, 2},
		{"log unavailable", "unavailable", "other", apricotway.ErrLogUnavailable, 0},
		{"answer lost", "lose answer", "other x", nil, 2},
		{"request lost", "lose request", "other x", nil, 2},
		{"request lost twice", "lose request,lose request", "other x", nil, 2},
		{"request lost, then refused", "lose request,unavailable", "other x", nil, 2},
		{"request delayed", "delay request", "other x x", nil, 2},
		{"answer lost in an outage", "lose answer and go down", "other x", apricotway.ErrAppendUnknown, 0},
		{"no answer", "hang", "other", apricotway.ErrAppendUnknown, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, supervisor *suture.Supervisor) {
				log := &fakeLog{first: 1}
				log.put([]apricotway.Record{{ID: "other"}})

				if test.script != "" {
					log.script = strings.Split(test.script, ",")
				}

				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()

				offset, err := journal.NewWriter(supervisor, log).Append(ctx, stream, apricotway.Record{ID: "x"})
				if offset != test.offset || !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
					t.Errorf("got offset %d and %v, want %d and %v", offset, err, test.offset, test.want)
				}

				if got := log.ids(); got != test.ids {
					t.Errorf("got records %q, want %q", got, test.ids)
				}
			})
		})
	}
}

// TestWriterAbandon guards against a record that is appended after its caller was told that it is not in the log.
func TestWriterAbandon(t *testing.T) {
	inBubble(t, func(t *testing.T, supervisor *suture.Supervisor) {
		log := &fakeLog{first: 1}
		writer := journal.NewWriter(supervisor, log, journal.WithBudget(1, func() int { return 1 }))

		if _, err := writer.Append(t.Context(), stream, apricotway.Record{ID: "a"}); err != nil {
			t.Fatal(err)
		}

		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()

		if _, err := writer.Append(ctx, stream, apricotway.Record{ID: "b"}); !errors.Is(err, apricotway.ErrLogUnavailable) {
			t.Errorf("got %v, want ErrLogUnavailable", err)
		}

		if _, err := writer.Append(t.Context(), stream, apricotway.Record{ID: "c"}); err != nil {
			t.Fatal(err)
		}

		if got, want := log.ids(), "a c"; got != want {
			t.Errorf("got records %q, want %q", got, want)
		}
	})
}

// TestWriterStop guards against a caller that waits forever when the writer stops.
func TestWriterStop(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		supervisor := suture.NewSimple("test")
		ctx, cancel := context.WithCancel(t.Context())
		stopped := supervisor.ServeBackground(ctx)
		writer := journal.NewWriter(supervisor, &fakeLog{first: 1}, journal.WithBudget(0.01, func() int { return 1 }))

		if _, err := writer.Append(t.Context(), stream, apricotway.Record{ID: "a"}); err != nil {
			t.Fatal(err)
		}

		time.AfterFunc(time.Second, cancel)

		for _, id := range []string{"b", "c"} {
			if _, err := writer.Append(t.Context(), stream, apricotway.Record{ID: id}); !errors.Is(err, apricotway.ErrLogUnavailable) {
				t.Errorf("got %v for %s, want ErrLogUnavailable", err, id)
			}
		}

		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v from the supervisor", err)
		}
	})
}

// idState collects the identifiers of its records.
type idState struct {
	next apricotway.Offset
	ids  []string
}

func (s *idState) Next() apricotway.Offset { return s.next }

func (s *idState) Fold(records []apricotway.StoredRecord) {
	for _, record := range records {
		s.next = record.Offset + 1

		if record.Kind != apricotway.KindCheckpoint {
			s.ids = append(s.ids, record.ID)
		}
	}
}

func (s *idState) Restore(state []byte) error {
	next, ids, _ := strings.Cut(string(state), ":")
	s.ids = strings.Fields(ids)
	_, err := fmt.Sscan(next, &s.next)

	return err
}

func follow(t *testing.T, follower *journal.Follower) error {
	t.Helper()

	for range 100 {
		if end, err := follower.Step(t.Context(), 0); end || err != nil {
			return err
		}
	}

	return errors.New("the follower did not reach the end of the stream in 100 steps")
}

// TestFollowerRepeats guards against second copies that reach the state, within one read or across reads, and against identifiers
// that are remembered forever.
func TestFollowerRepeats(t *testing.T) {
	log := &fakeLog{first: 1}
	state := &idState{next: 1}
	follower := journal.NewFollower(log, stream, state, journal.WithRememberedIDs(3))

	for _, id := range []string{"a", "b", "a", "c", "a", "d", "a", "e"} {
		log.put([]apricotway.Record{{ID: id}})

		if err := follow(t, follower); err != nil {
			t.Fatal(err)
		}
	}

	// The last copy of a comes after b, c and d, which have displaced it from the remembered identifiers.
	if got, want := strings.Join(state.ids, " "), "a b c d a e"; got != want || state.next != 9 {
		t.Errorf("got %q up to %d, want %q up to 9", got, state.next, want)
	}
}

// TestFollowerTrim guards against a start from an incomplete, outdated or missing checkpoint after a trim.
func TestFollowerTrim(t *testing.T) {
	inBubble(t, func(t *testing.T, supervisor *suture.Supervisor) {
		log := &fakeLog{first: 1}
		writer := journal.NewWriter(supervisor, log)

		appendIDs := func(ids ...string) {
			for _, id := range ids {
				if _, err := writer.Append(t.Context(), stream, apricotway.Record{ID: id}); err != nil {
					t.Fatal(err)
				}
			}
		}

		checkpoint := func(next apricotway.Offset, ids string) {
			state := fmt.Sprintf("%d:%s%s", next, ids, strings.Repeat(" ", 300<<10))
			if err := writer.AppendCheckpoint(t.Context(), stream, 0, next, []byte(state)); err != nil {
				t.Fatal(err)
			}
		}

		slow := &idState{next: 1}
		follower := journal.NewFollower(log, stream, slow)

		// Each checkpoint has two parts. Only the one at 7 has the right contents, so that the use of another one is detected.
		appendIDs("a", "b", "c", "d") // 1 to 4
		checkpoint(4, "wrong")        // 5 and 6
		checkpoint(7, "a b c d")      // 7 and 8
		appendIDs("e")                // 9
		checkpoint(9, "wrong")        // 10 and 11; the second part is removed below
		checkpoint(5, "wrong")        // 12 and 13

		log.records[10].Kind = "lost"

		log.trim(4)

		if err := follow(t, follower); err != nil {
			t.Fatal(err)
		}

		if got, want := strings.Join(slow.ids[:5], " "), "a b c d e"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}

		log.trim(9)

		if err := follow(t, journal.NewFollower(log, stream, &idState{next: 1})); !errors.Is(err, journal.ErrNoCheckpoint) {
			t.Errorf("got %v, want ErrNoCheckpoint", err)
		}
	})
}

// TestFollowerOfLargeStream guards against a follower that never gets on: each read asks for more than an answer may have, or a failed read
// makes the search for a checkpoint start over.
func TestFollowerOfLargeStream(t *testing.T) {
	const (
		records  = 3000
		carried  = 40
		maxSteps = 1000
	)

	for name, trimmed := range map[string]bool{"from the start": false, "from a checkpoint": true} {
		log := &fakeLog{first: 1, carried: carried, failEvery: 9}

		for i := range records {
			log.put([]apricotway.Record{{ID: fmt.Sprint(i)}})
		}

		want := apricotway.Offset(records + 1)

		if trimmed {
			payload, err := json.Marshal(map[string]any{"next": want, "part": 0, "parts": 1, "state": []byte(fmt.Sprintf("%d:", want))})
			if err != nil {
				t.Fatal(err)
			}

			log.put([]apricotway.Record{{Kind: apricotway.KindCheckpoint, Payload: payload}})
			log.trim(2)

			want++
		}

		state := &idState{next: 1}
		follower := journal.NewFollower(log, stream, state)

		for range maxSteps {
			if end, err := follower.Step(t.Context(), 0); end && err == nil {
				break
			}
		}

		if got := state.next; got != want {
			t.Errorf("%s: got position %d after %d reads, want %d", name, got, log.reads, want)
		}
	}
}

// TestAppendAll guards against records of one call that are split over several appends or mixed with those of other calls, and
// against a part of them that is appended after the caller has given up.
func TestAppendAll(t *testing.T) {
	inBubble(t, func(t *testing.T, supervisor *suture.Supervisor) {
		log := &fakeLog{first: 1}
		writer := journal.NewWriter(supervisor, log, journal.WithBudget(1, func() int { return 1 }))
		unit := func(name string) []apricotway.Record {
			return []apricotway.Record{{ID: name + "1"}, {ID: name + "2"}, {ID: name + "3"}}
		}

		var group sync.WaitGroup

		for i, name := range []string{"a", "b", "c", "d"} {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()

				if name == "c" {
					cancel()
				}

				err := writer.AppendAll(ctx, stream, unit(name))
				if got, want := errors.Is(err, apricotway.ErrLogUnavailable), name == "c"; got != want {
					t.Errorf("got %v for unit %d", err, i)
				}
			})
			synctest.Wait()
		}

		group.Wait()

		if got, want := log.ids(), "a1 a2 a3 b1 b2 b3 d1 d2 d3"; got != want || log.appends != 2 {
			t.Errorf("got records %q in %d appends, want %q in 2", got, log.appends, want)
		}
	})
}
