package origins_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/era"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/origin"
)

const (
	logCount = 4
	// recordsPerSecond is the number of beginnings that the processes of a site with 71 hosts append, and kept the time for which its store keeps
	// them.
	recordsPerSecond = 300
	kept             = 20 * time.Second
	// linkBytes is what a link of 10 Mbit/s carries a second beside the calls of its host, and linkDelay the time of a call without content.
	linkBytes = 500_000
	linkDelay = 20 * time.Millisecond
	// pageLimit bounds a response in bytes, and so does a kilobyte for each record that a read asks for.
	pageLimit = 64 << 10
)

// link is the link of one process to the store.
type link struct {
	*store

	bytesPerSecond int

	mu sync.Mutex
	// free is the time from which the link carries nothing.
	free time.Time
	// calls and bytes count the reads of the logs and their responses.
	calls, bytes int
	// beforeRead, if not nil, is called before each read of a log, and afterRead after the response left the store.
	beforeRead, afterRead func(stream apricotway.Stream, from apricotway.Offset)
}

func newLink(s *store) *link { return &link{store: s, bytesPerSecond: linkBytes} }

// Read implements apricotway.Log. A response arrives whole or not at all.
func (l *link) Read(
	ctx context.Context, stream apricotway.Stream, from apricotway.Offset, limit int, wait time.Duration,
) (apricotway.Batch, error) {
	if l.beforeRead != nil {
		l.beforeRead(stream, from)
	}

	batch, err := l.store.Read(ctx, stream, from, limit, wait)
	size := 0

	for i, record := range batch.Records {
		content, err := json.Marshal(record.Record)
		if err != nil {
			return apricotway.Batch{}, err
		}

		if i > 0 && size+len(content) > min(limit<<10, pageLimit) {
			batch.Records, batch.Next = batch.Records[:i], record.Offset
			break
		}

		size += len(content)
	}

	l.mu.Lock()
	l.calls++
	l.bytes += size

	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}

	l.free = l.free.Add(time.Duration(float64(size) / float64(l.bytesPerSecond) * float64(time.Second)))
	arrival := l.free.Add(linkDelay)
	l.mu.Unlock()

	if !pause.For(ctx, arrival.Sub(now)) {
		return apricotway.Batch{}, apricotway.ErrLogUnavailable
	}

	if l.afterRead != nil {
		l.afterRead(stream, from)
	}

	return batch, err
}

func (l *link) count() (calls, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.calls, l.bytes
}

// begun is the beginning of a stream as a process appends it.
type begun struct {
	attempt           apricotway.AttemptID
	version           string
	uncertain, proven bool
	outage            bool
	age               time.Duration
}

// put appends a beginning to a log.
func (s *store) put(t *testing.T, log int, b begun) {
	payload, err := json.Marshal(map[string]any{
		"service": service, "version": b.version, "at": time.Now().Add(-b.age), "uncertain": b.uncertain, "outage": b.outage, "proven": b.proven,
		"streams": []string{strconv.FormatUint(uint64(origin.StreamOf(b.attempt)), 16)},
	})
	if err != nil {
		t.Fatal(err)
	}

	record := apricotway.Record{SchemaVersion: 1, Kind: "beginnings", ID: uuid.NewString(), Payload: payload}
	if _, err := s.Log.Append(t.Context(), logName(log), []apricotway.Record{record}); err != nil {
		t.Fatal(err)
	}
}

func logName(log int) apricotway.Stream { return apricotway.Stream(fmt.Sprint("origins-", log)) }

// attemptOfAge returns the attempt that began a stream some time ago.
func attemptOfAge(age time.Duration) apricotway.AttemptID {
	return apricotway.AttemptID(fmt.Sprint("begun-", age))
}

// mixedStore returns a store with the records of a time while two versions served. None is newer than the youngest age.
func mixedStore(t *testing.T, perSecond int, oldest, youngest time.Duration) *store {
	s := newStore()
	s.states[apricotway.StateVersions] = []byte(`{"services":{"s":{"v1":0,"v2":0}}}`)
	count := int((oldest - youngest).Seconds() * float64(perSecond))

	for i := range count {
		age := oldest - time.Duration(i)*(oldest-youngest)/time.Duration(count)
		s.put(t, i%logCount, begun{attempt: attemptOfAge(age), version: "v1", age: age})
	}

	return s
}

// TestWrittenRecordIsReadInTime guards against refusing a stream that a process recorded seconds before its end, since a process that has just
// started reads older records first and doesn't come to the end of the logs while the caller waits.
func TestWrittenRecordIsReadInTime(t *testing.T) {
	const ended = 2 * time.Second

	for _, test := range []struct {
		age, after time.Duration
	}{
		{3 * time.Second, 0},
		{3 * time.Second, time.Second},
		{3 * time.Second, 500 * time.Millisecond},
		{7 * time.Second, time.Second},
		{12 * time.Second, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s before, %s after the start", test.age, test.after), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := mixedStore(t, recordsPerSecond, kept, ended)
				l := newLink(s)
				p := startWith(t, l, origins.WithMembers(func() int { return 71 }), origins.WithWriteRate(1200))
				p.list("v1", "v2")
				<-time.After(test.after)

				asked := time.Now()
				p.wantVersion(t, attemptOfAge(test.age), "v1")
				took := time.Since(asked)
				calls, bytes := l.count()
				t.Logf("answered after %s, %d reads and %d bytes of the logs", took, calls, bytes)

				if got, want := took, 1100*time.Millisecond; got > want {
					t.Errorf("got an answer after %s, want it within %s", got, want)
				}

				p.kill()
			})
		})
	}
}

// TestDoubtInAnotherLog guards against a stream going on by the record of its beginning while a doubt about it, which stands farther from the end of
// another log, has not been read.
func TestDoubtInAnotherLog(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const oldest, youngest = 10 * time.Second, time.Second

		s := mixedStore(t, recordsPerSecond, oldest, 6*time.Second)
		s.put(t, 1, begun{attempt: "x", version: "v1", uncertain: true, age: 6 * time.Second})

		// The clock of the process that recorded the stream is late, and its log has no newer records.
		s.put(t, 0, begun{attempt: "x", version: "v1", age: 7 * time.Second})

		for i := range 1000 {
			s.put(t, 1, begun{attempt: attemptOfAge(youngest + time.Duration(i)), version: "v1", age: youngest})
		}

		l := newLink(s)
		p := startWith(t, l)
		p.list("v1", "v2")
		p.wantVersion(t, "x", "")
		p.kill()
	})
}

// wantAll checks that a process finds streams that others recorded, one each time.
func wantAll(t *testing.T, p *process, youngest, oldest, step time.Duration) {
	t.Helper()

	for age := youngest; age <= oldest; age += step {
		p.wantVersion(t, attemptOfAge(age), "v1")
	}
}

// TestTrimmedWhileRead guards against reading without end, and against passing over records that are still there, while the store drops the
// oldest ones faster than they can be asked for.
func TestTrimmedWhileRead(t *testing.T) {
	for _, limit := range []int{0, 700} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				// Each log has 1,000 records of 10 s, so that the last 300 are at most 3 s old.
				s := mixedStore(t, 400, 10*time.Second, 0)
				l := newLink(s)
				dropped := 0
				l.afterRead = func(apricotway.Stream, apricotway.Offset) {
					l.mu.Lock()
					defer l.mu.Unlock()

					if dropped < limit {
						dropped += 5
					}

					for log := range logCount {
						s.Trim(logName(log), apricotway.Offset(dropped))
					}
				}
				// Some are dropped before the first read.
				dropped = limit / 2
				l.afterRead("", 0)

				p := startWith(t, l)
				p.list("v1", "v2")
				<-time.After(10 * time.Second)
				wantAll(t, p, 10*time.Second/4000, 2900*time.Millisecond, 100*time.Millisecond)

				calls, _ := l.count()
				if got, want := calls, 300; got > want {
					t.Errorf("got %d reads, want at most %d", got, want)
				}

				p.kill()
			})
		})
	}
}

// TestAppendedWhileRead guards against passing over records that were appended while older ones were read, or between two reads that lie far
// apart.
func TestAppendedWhileRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newStore()
		s.states[apricotway.StateVersions] = []byte(`{"services":{"s":{"v1":0,"v2":0}}}`)
		l := newLink(s)
		p := startWith(t, l, origins.WithMembers(func() int { return 71 }), origins.WithWriteRate(1200))
		p.list("v1", "v2")

		const perTick, tick, ticks = 30, 100 * time.Millisecond, 200

		name := func(i, k int) apricotway.AttemptID { return apricotway.AttemptID(fmt.Sprint("appended-", i, "-", k)) }

		for i := range ticks {
			for k := range perTick {
				s.put(t, k%logCount, begun{attempt: name(i, k), version: "v1"})
			}

			<-time.After(tick)

			// A process that looks streams up now and then finds the newest ones.
			if i%67 == 66 {
				p.wantVersion(t, name(i-3, 5), "v1")
			}
		}

		p.wantVersion(t, name(ticks-5, 0), "v1")
		<-time.After(3 * time.Second)

		for i := 50; i < ticks; i++ {
			for k := range perTick {
				p.wantVersion(t, name(i, k), "v1")
			}
		}

		p.kill()
	})
}

// TestRestoreWhileRead guards against passing over records of a store that has come back from an older copy while its logs were read: their offsets
// belong to other records then.
func TestRestoreWhileRead(t *testing.T) {
	for _, test := range []struct {
		name string
		// told is set if the store tells its era, and the copy has records of a time until youngest.
		told     bool
		youngest time.Duration
	}{
		{"more records", true, 100 * time.Millisecond},
		{"fewer records", true, 8 * time.Second},
		{"fewer records, no era", false, 8 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				eras := era.New()
				eras.Observe(1)

				s := mixedStore(t, recordsPerSecond, 9*time.Second, 2*time.Second)
				// The records have other streams than those before, at the same offsets.
				other := mixedStore(t, recordsPerSecond, 10*time.Second, test.youngest)
				l := newLink(s)
				reads := 0
				l.afterRead = func(apricotway.Stream, apricotway.Offset) {
					l.mu.Lock()
					reads++
					restored := reads == 10
					l.mu.Unlock()

					if restored {
						s.mu.Lock()
						s.Log = other.Log
						s.mu.Unlock()

						if test.told {
							eras.Observe(2)
						}
					}
				}

				p := startWith(t, l, origins.WithEras(eras))
				p.list("v1", "v2")
				<-time.After(10 * time.Second)
				s.put(t, 2, begun{attempt: "after", version: "v2"})
				p.wantVersion(t, "after", "v2")
				<-time.After(5 * time.Second)
				wantAll(t, p, 10*time.Second-(10*time.Second-test.youngest)/2, 10*time.Second, (10*time.Second-test.youngest)/2)
				p.kill()
			})
		})
	}
}

// TestLongerLifetimeAfterRead guards against refusing a stream of a route with a longer timeout that a process learned of after it had passed over
// records as too old.
func TestLongerLifetimeAfterRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := mixedStore(t, 100, 100*time.Second, 0)
		p := startWith(t, newLink(s))
		p.list("v1", "v2")
		<-time.After(5 * time.Second)

		p.register.SetLifetime(2 * time.Minute)
		<-time.After(5 * time.Second)
		p.wantVersion(t, attemptOfAge(50*time.Second), "")
		<-time.After(10 * time.Second)
		p.wantVersion(t, attemptOfAge(90*time.Second), "v1")
		p.kill()
	})
}

// TestCostOfReadAtStart guards against reading records more than once, or those that are too old to be needed, and against a call of the store for
// each few of them.
func TestCostOfReadAtStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const (
			// needed is the lifetime with the tolerance for clocks and for one append.
			needed                 = 41 * time.Second
			perSecond, recordBytes = 100, 240
		)

		s := mixedStore(t, perSecond, 300*time.Second, 0)
		l := newLink(s)
		l.bytesPerSecond *= 2
		p := startWith(t, l)
		p.list("v1", "v2")
		<-time.After(20 * time.Second)
		p.wantVersion(t, attemptOfAge(10*time.Second), "v1")

		calls, bytes := l.count()
		t.Logf("got %d reads of %d bytes", calls, bytes)

		if got, want := bytes, int(needed.Seconds()*perSecond*recordBytes)+logCount*pageLimit; got > want {
			t.Errorf("got %d bytes, want at most %d", got, want)
		}

		if got, want := calls, bytes/(48<<10)+4*logCount; got > want {
			t.Errorf("got %d reads, want at most %d", got, want)
		}

		<-time.After(time.Minute)

		if got, _ := l.count(); got != calls {
			t.Errorf("got %d reads without a lookup, want 0", got-calls)
		}

		p.kill()
	})
}
