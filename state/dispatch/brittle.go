package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/intake"
)

const (
	// brittleMemory is the time for which a statement of brittleness holds without a newer answer: the operators give a statement contact_ms,
	// 3 s, to take effect, and an end of it as long to be heard.
	brittleMemory = 6 * time.Second
	// brittleSpread times the square root of its slots is the room that is left free at a brittle server on average, and brittleMinUse the
	// least share of its slots that is used. Calls end at random, so that the calls that run vary about that much.
	brittleSpread = 1.6
	brittleMinUse = 0.3
	// brittleSlotLifetime and brittleAloneTime: see intake. What begins at once when all processes use their open slots has to fit into the
	// room that is left free.
	brittleSlotLifetime = 300 * time.Millisecond
	brittleAloneTime    = 3 * time.Second
	// rateStep is the ratio of two rates of brittle servers that count as different.
	rateStep = 1.25
	// ratePeriod is the time for which the rate of a server is used before it is determined anew.
	ratePeriod = 500 * time.Millisecond
	// initialModelTime and initialPlainTime are the assumed durations of calls with and without a prompt before any was measured.
	initialModelTime, initialPlainTime = 2 * time.Second, 100 * time.Millisecond
)

// brittleness is what the answers of a server, or of any server of a service, said last of how many calls they can turn away in a second.
type brittleness struct {
	at         time.Time
	rejections int
	// endedAt is the time of the last answer that did not say so, to a call that was sent after the last one which did.
	endedAt time.Time
	// unreadable is set once a statement could not be read.
	unreadable bool
}

// record records an answer to a call that was sent at the given time.
func (b *brittleness) record(now, sent time.Time, stated apricotway.Brittleness) {
	switch stated.Statement {
	case apricotway.BrittleStated:
		if !b.holds(now) || stated.Rejections < b.rejections || sent.After(b.at) {
			b.rejections = stated.Rejections
		}

		b.at = now
	case apricotway.BrittleInvalid:
	case apricotway.BrittleAbsent:
		if sent.After(b.at) {
			b.endedAt = now
		}
	}
}

func (b *brittleness) holds(now time.Time) bool {
	return b != nil && !b.at.IsZero() && b.at.After(b.endedAt) && now.Sub(b.at) < brittleMemory
}

// brittle reports whether a server is brittle by its own answers, or, while it has given none, by those of other servers of its service: the
// servers of a service become brittle together, and one that is back after a fall has said nothing yet.
func (p *Pool) brittleLocked(now time.Time, s *server) bool {
	switch {
	case s.brittle.holds(now):
		return true
	case now.Sub(s.brittle.endedAt) < brittleMemory:
		return false
	default:
		return p.brittleServices[s.backend.Service].holds(now)
	}
}

// BrittleChange is what an answer changed in the belief whether its server is brittle.
type BrittleChange string

// The values of BrittleChange.
const (
	BrittleUnchanged BrittleChange = ""
	BrittleBegan     BrittleChange = "began"
	BrittleEnded     BrittleChange = "ended"
	// BrittleUnreadable is the first statement of a server that can't be read. It neither begins nor ends the belief.
	BrittleUnreadable BrittleChange = "unreadable"
)

// recordBrittleLocked records what an answer of a server says of its brittleness, and returns what that changes.
func (p *Pool) recordBrittleLocked(now, sent time.Time, s *server, stated apricotway.Brittleness) BrittleChange {
	if stated.Statement == apricotway.BrittleInvalid {
		if s.brittle.unreadable {
			return BrittleUnchanged
		}

		s.brittle.unreadable = true

		return BrittleUnreadable
	}

	before := s.brittle.holds(now)
	s.brittle.record(now, sent, stated)

	if stated.Statement == apricotway.BrittleStated {
		service := p.brittleServices[s.backend.Service]
		if service == nil {
			service = &brittleness{}
			p.brittleServices[s.backend.Service] = service
		}

		service.record(now, sent, stated)
	}

	switch holds := s.brittle.holds(now); {
	case holds && !before:
		return BrittleBegan
	case before && !holds:
		return BrittleEnded
	default:
		return BrittleUnchanged
	}
}

// admitsLocked reports whether a server may get a call as far as its brittleness is concerned: the rate at which it can begin calls is
// shared over the processes by slots, and it gets none while it is known to be full.
func (p *Pool) admitsLocked(now time.Time, s *server) bool {
	if len(p.brittleServices) == 0 {
		return true
	}

	if !p.brittleLocked(now, s) {
		if p.brittleLimits.Limited(s.backend.ID) {
			p.brittleLimits.Observe(now, now, s.backend.ID, apricotway.RequestLimit{})
		}

		return true
	}

	if !p.brittleLimits.Limited(s.backend.ID) || now.Sub(s.ratedAt) >= ratePeriod {
		s.ratedAt = now
		p.brittleLimits.Observe(now, now, s.backend.ID, apricotway.RequestLimit{
			Statement: apricotway.LimitStated, PerSecond: p.beginRateLocked(s),
		})
	}

	return float64(s.currentWork(now).Running) < s.slots() && p.brittleLimits.Allows(now, s.backend.ID)
}

// beginRateLocked returns the calls that a brittle server is given per second by all processes together.
func (p *Pool) beginRateLocked(s *server) float64 {
	used := max(s.slots()-brittleSpread*math.Sqrt(s.slots()), brittleMinUse*s.slots())
	rate := used / p.meanDurationLocked(s.backend.Service).Seconds()

	return math.Pow(rateStep, math.Floor(math.Log(rate)/math.Log(rateStep)))
}

// meanDurationLocked returns the mean duration of the calls at a service.
func (p *Pool) meanDurationLocked(service apricotway.Service) time.Duration {
	if mean := p.durations[service]; mean > 0 {
		return mean
	}

	if p.engineTimeLocked(service).calls > 0 {
		return initialModelTime
	}

	return initialPlainTime
}

// recordDurationLocked records how long a server worked on a call.
func (p *Pool) recordDurationLocked(service apricotway.Service, took time.Duration) {
	mean := p.durations[service]
	if mean == 0 {
		mean = took
	}

	const weight = 20

	p.durations[service] = max(mean+(took-mean)/weight, time.Millisecond)
}

// brittleWaitLocked returns about the time until this process may send a call to one of the brittle servers that could take it; 0 if none
// could.
func (p *Pool) brittleWaitLocked(now time.Time, request Request) time.Duration {
	rate := 0.0

	for _, s := range p.services[request.Service] {
		if !s.leaving() && !s.paused(now) && request.mayUse(s) && p.brittleLocked(now, s) {
			rate += p.beginRateLocked(s)
		}
	}

	if rate == 0 {
		return 0
	}

	wait := time.Duration(float64(max(p.processes, 1)) / rate * float64(time.Second))

	return min(max(wait, minLimitedRetryAfter), maxLimitedRetryAfter)
}

// BrittleService is a service of which a process has heard that its servers are brittle.
type BrittleService struct {
	Service    apricotway.Service
	Rejections int
	// Age is the time since an answer said so.
	Age time.Duration
}

// BrittleServices returns the services whose servers are brittle as far as this process knows.
func (p *Pool) BrittleServices(now time.Time) []BrittleService {
	p.mu.Lock()
	defer p.mu.Unlock()

	var services []BrittleService

	for name, known := range p.brittleServices {
		if known.holds(now) {
			services = append(services, BrittleService{Service: name, Rejections: known.rejections, Age: now.Sub(known.at)})
		}
	}

	return services
}

// LearnBrittle records what other processes have heard, with ages as of the given time. It returns the services that were not known to be
// brittle.
func (p *Pool) LearnBrittle(now, asOf time.Time, told []BrittleService) (changes []BrittleService) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, service := range told {
		known := p.brittleServices[service.Service]
		if known == nil {
			known = &brittleness{}
			p.brittleServices[service.Service] = known
		}

		if at := asOf.Add(-service.Age); at.After(known.at) {
			if !known.holds(now) {
				changes = append(changes, service)
			}

			known.at, known.rejections = at, service.Rejections
		}
	}

	return changes
}

// newBrittleLimits returns the slots of brittle servers.
func newBrittleLimits() *intake.Limits {
	return intake.New(intake.WithSlotLifetime(brittleSlotLifetime), intake.WithAloneTime(brittleAloneTime))
}
