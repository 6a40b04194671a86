package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quota"
)

// remaining is the time that a caller has left who takes up a stream.
const remaining = 20 * time.Second

// takeUp is a stream that a caller takes up.
type takeUp struct {
	cost    float64
	process int
	// at is the time of the next try, and tries the number of those so far.
	at    time.Duration
	tries int
	// call is the try that waits, nil if none does.
	call *quota.Resumption
	done bool
}

// restart is what callers saw in the time after a start of all processes.
type restart struct {
	// streams counts the streams that callers took up, and lost those that were refused at each try.
	streams, lost int
	// tries counts the calls by which streams were taken up, and refused those that were refused.
	tries, refused int
	// called holds the units of new calls, and admitted those of them that were admitted.
	called, admitted float64
	// most holds the units that all processes spent in the fullest window.
	most float64
}

// randomCost returns the cost of a call as in the load of a fleet.
func randomCost(random *rand.Rand) float64 {
	if random.IntN(10) == 0 {
		return 9000
	}

	return 300 + 1500*random.Float64()
}

// playRestart simulates the start of all processes. New calls request the given multiple of the limit, and callers take up streams of two
// seconds of the limit in the time from 0.3 to 2 s after the start, with three tries each. With marked unset, the processes don't know which
// calls take up streams.
func playRestart(processes int, seed uint64, vacant time.Duration, demand float64, marked bool) restart {
	const (
		tries  = 3
		length = 6 * time.Second
	)

	rate := 13500 * float64(processes)
	random := rand.New(rand.NewPCG(seed, uint64(processes)))
	f := newFleet(processes, rate, rate)
	load := f.spread(random, demand*rate)

	f.run(2*time.Second, load)

	var streams []*takeUp

	for units := 2 * rate; units > 0; {
		at := 300*time.Millisecond + time.Duration(random.Int64N(int64(1700*time.Millisecond)))
		s := &takeUp{process: random.IntN(processes), cost: randomCost(random), at: at}
		streams = append(streams, s)
		units -= s.cost
	}

	result := restart{streams: len(streams)}

	f.startProcesses(processes, rate, rate)

	load = f.spread(random, demand*rate)
	play := func(at time.Duration) {
		spent, refused := f.spent[len(f.spent)-1], f.refused
		load(at)
		result.admitted += f.spent[len(f.spent)-1] - spent
		result.called += f.spent[len(f.spent)-1] - spent + f.refused - refused

		for _, s := range streams {
			if s.done || at < s.at {
				continue
			}

			if s.call == nil {
				s.call = quota.NewResumption(f.now, workspace, s.cost, remaining)
				s.tries++
				result.tries++
			}

			verdict, wait := f.takeUp(s, marked)

			s.done = verdict == quota.Spent

			if verdict == quota.Denied {
				result.refused++
				s.call, s.at, s.process = nil, at+max(wait, 100*time.Millisecond), random.IntN(processes)

				if s.tries == tries {
					s.done = true
					result.lost++
				}
			}
		}
	}

	f.run(vacant, play)
	f.startCenter(rate, rate)
	f.run(length-vacant, func(at time.Duration) { play(at + vacant) })

	result.most = f.maxSpent(window)

	return result
}

// takeUp makes a process spend the cost of a call that takes up a stream.
func (f *fleet) takeUp(s *takeUp, marked bool) (quota.Verdict, time.Duration) {
	if !marked {
		return f.take(s.process, s.cost)
	}

	l := f.processes[s.process]

	verdict, wait := l.Resume(f.now, s.call)
	if verdict == quota.Ask && f.disconnected[s.process] {
		verdict, wait = l.ResumeFromShare(f.now, s.call)
	}

	if verdict == quota.Ask {
		f.asked++

		denied, _ := f.center.AskResumed(f.now, apricotway.NodeID(fmt.Sprint(s.process)), workspace, l.Stated(workspace), s.cost)
		verdict, wait = l.RecordResumption(f.now, s.call, denied)
	}

	if verdict == quota.Spent {
		f.spent[len(f.spent)-1] += s.cost
	}

	if verdict == quota.Denied {
		l.Leave(s.call)
	}

	return verdict, wait
}

// TestStreamsTakenUpAfterRestart guards against streams that are refused when their callers take them up after a start of all processes, because
// new calls have spent the shares of the limit. The processes must not spend more than without knowing them, and new calls get some as well.
func TestStreamsTakenUpAfterRestart(t *testing.T) {
	for _, processes := range []int{8, 71, 390} {
		for _, vacant := range []time.Duration{1600 * time.Millisecond, 3400 * time.Millisecond} {
			for _, demand := range []float64{1.5, 3} {
				t.Run(fmt.Sprintf("%d processes, %s without a center, demand %.1f", processes, vacant, demand), func(t *testing.T) {
					t.Parallel()

					const seeds = 3

					var marked, unmarked restart

					for seed := range uint64(seeds) {
						marked.add(playRestart(processes, seed, vacant, demand, true))
						unmarked.add(playRestart(processes, seed, vacant, demand, false))
					}

					if got := float64(marked.refused) / float64(marked.tries); got > 0.05 {
						t.Errorf("got %.3f of the tries to take up a stream refused (unmarked %.3f), want at most 0.05", got,
							float64(unmarked.refused)/float64(unmarked.tries))
					}

					if got, want := marked.lost, 0; got != want {
						t.Errorf("got %d of %d streams refused at each try (unmarked %d of %d), want %d", got, marked.streams, unmarked.lost,
							unmarked.streams, want)
					}

					// The order of the calls changes what is left of shares that are too small for the next call.
					within := seeds * 13500 * float64(processes) * (window.Seconds() + 1)
					if got, want := marked.most, max(unmarked.most, within)*1.005; got > want {
						t.Errorf("got %.0f units in the fullest windows, want at most %.0f", got, want)
					}

					if got, want := marked.admitted/marked.called, 0.75*unmarked.admitted/unmarked.called; got < want {
						t.Errorf("got %.3f of the new calls admitted, want at least %.3f", got, want)
					}
				})
			}
		}
	}
}

// add adds the figures of another run.
func (r *restart) add(other restart) {
	r.streams += other.streams
	r.lost += other.lost
	r.tries += other.tries
	r.refused += other.refused
	r.called += other.called
	r.admitted += other.admitted
	r.most += other.most
}

// TestAllCallsMarked guards against callers who get more than the limit, or shut out the new calls of their workspace, by marking all their
// calls as ones that take up streams.
func TestAllCallsMarked(t *testing.T) {
	const quarter = 0.25

	for name, connected := range map[string]bool{"shares": false, "center": true} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 1))
			f := newFleet(8, rate, burst)

			if !connected {
				f.startProcesses(8, rate, burst)
			}

			var waiting []*takeUp

			due, called, admitted := 0.0, 0.0, 0.0

			f.run(2*window, func(at time.Duration) {
				spent := f.spent[len(f.spent)-1]
				for due += quarter * rate * step.Seconds(); due > 0; due -= 500 {
					called += 500
					f.call(random.IntN(8), 500)
				}

				admitted += f.spent[len(f.spent)-1] - spent

				for range 4 {
					cost := 300 + 1500*random.Float64()
					waiting = append(waiting, &takeUp{
						process: random.IntN(8), cost: cost, at: at, call: quota.NewResumption(f.now, workspace, cost, remaining),
					})
				}

				pending := waiting[:0]

				for _, s := range waiting {
					if verdict, _ := f.takeUp(s, true); verdict == quota.Wait {
						pending = append(pending, s)
					}
				}

				waiting = pending
			})

			if got, want := f.maxSpent(window), (rate*window.Seconds()+burst)*1.02; got > want {
				t.Errorf("got %.0f units in a window, want at most %.0f", got, want)
			}

			if got := admitted / called; got < 0.5 {
				t.Errorf("got %.3f of the new calls admitted that request a quarter of the limit, want at least 0.5", got)
			}
		})
	}
}

// TestReserveReleased guards against units that stay reserved for streams whose callers have left.
func TestReserveReleased(t *testing.T) {
	const processes, share = 4, burst / 4

	now := time.Unix(1000, 0)
	l := quota.New()
	l.SetMembers(processes, 120*time.Millisecond)
	l.SetLimits(now, version, limits(rate, burst))

	now = now.Add(time.Minute)
	if verdict, _ := l.Take(now, workspace, share); verdict != quota.Spent {
		t.Fatalf("got %s for a full share, want %s", verdict, quota.Spent)
	}

	r := quota.NewResumption(now, workspace, share, remaining)
	if verdict, _ := l.Resume(now, r); verdict != quota.Wait {
		t.Fatalf("got %s for a stream at an empty share, want %s", verdict, quota.Wait)
	}

	now = now.Add(time.Second)
	if verdict, _ := l.Take(now, workspace, share); verdict != quota.Denied {
		t.Errorf("got %s for a new call while a stream waits, want %s", verdict, quota.Denied)
	}

	l.Leave(r)

	if verdict, _ := l.Take(now, workspace, share); verdict != quota.Spent {
		t.Errorf("got %s for a new call after the caller of the stream left, want %s", verdict, quota.Spent)
	}

	c := quota.NewCenter()
	c.SetLimits(now, version, limits(rate, burst))

	stated := l.Stated(workspace)
	if wait, _ := c.AskResumed(now, "a", workspace, stated, burst); wait == 0 {
		t.Error("got units from an empty bucket")
	}

	now = now.Add(window)
	if wait, _ := c.Ask(now, workspace, stated, burst); wait != 0 {
		t.Errorf("got a wait of %s for a new call after the stream no longer asked, want none", wait)
	}
}

// TestStreamsThatCannotWait guards against callers who wait for units that can't be there in time, or longer than a part of the time that
// they have left.
func TestStreamsThatCannotWait(t *testing.T) {
	now := time.Unix(1000, 0)
	l := quota.New()
	l.SetMembers(4, 120*time.Millisecond)
	l.SetLimits(now, version, limits(rate, burst))

	if verdict, _ := l.Take(now, workspace, burst/8); verdict != quota.Spent {
		t.Fatalf("got %s for what a process begins with, want %s", verdict, quota.Spent)
	}

	var waiting []*quota.Resumption

	// Each costs what accrues for streams in half a second.
	for i, want := range []quota.Verdict{quota.Wait, quota.Wait, quota.Wait, quota.Wait, quota.Denied} {
		r := quota.NewResumption(now, workspace, rate/4*0.75/2, remaining)

		verdict, wait := l.Resume(now, r)
		if verdict != want {
			t.Errorf("call %d: got %s, want %s", i, verdict, want)
		}

		if verdict == quota.Denied && wait != 2500*time.Millisecond {
			t.Errorf("call %d: got a wait of %s, want 2.5s", i, wait)
		}

		waiting = append(waiting, r)
	}

	hasty := quota.NewResumption(now, workspace, 1, time.Second)
	if verdict, _ := l.Resume(now, hasty); verdict != quota.Denied {
		t.Errorf("got %s for a caller with one second left, want %s", verdict, quota.Denied)
	}

	// The streams are served in the order of their arrival, and each tells the next.
	for i, r := range waiting[:4] {
		now = now.Add(501 * time.Millisecond)

		if i > 0 {
			select {
			case <-r.Turn():
			default:
				t.Errorf("call %d: not told that it is the first", i)
			}
		}

		if verdict, _ := l.Resume(now.Add(-time.Duration(i)*time.Millisecond), r); verdict != quota.Spent {
			t.Errorf("call %d: got %s at its time, want %s", i, verdict, quota.Spent)
		}
	}
}
