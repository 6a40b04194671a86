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
	// rejectionMemory is the time after a rejection in which no more slots are offered than calls are to begin. All processes hear of others in
	// it.
	rejectionMemory = 4 * time.Second
	// brittleSpread times the square root of its slots is the room that is left free at a brittle server on average, as calls end at random, so
	// that the calls that run vary about that much. brittleUsedRejections is the share of the rejections of a second that is taken for room.
	// brittleMinUse is the least share of its slots that is used, and brittleMinFree the least share that is left free.
	brittleSpread         = 1.6
	brittleUsedRejections = 0.25
	brittleMinUse         = 0.3
	brittleMinFree        = 0.2
	// brittleSlotLifetime and brittleAloneTime: see intake. What begins at once when all processes use their open slots has to fit into the
	// room that is left free, so that a slot lives longer only where most processes would have no call for it, up to maxBrittleSlotLifetime.
	brittleSlotLifetime    = 300 * time.Millisecond
	maxBrittleSlotLifetime = time.Second
	brittleAloneTime       = 3 * time.Second
	// brittleHold is the time for which a call without a slot is assumed to be held.
	brittleHold = 400 * time.Millisecond
	// maxOffered is the most slots that are offered for each call that is to begin: the more of them find no call, the more varies the number of
	// those that do in a burst.
	maxOffered = 3
	// brittleBurst is the number of calls that may arrive at all processes at once, for each call that the servers can run at a time.
	brittleBurst = 3
	// briefArrivals and lastingArrivals are the times over which the arrivals at this process are averaged.
	briefArrivals, lastingArrivals = 700 * time.Millisecond, 6 * time.Second
	// rateStep is the ratio of two rates of brittle servers that count as different.
	rateStep = 1.1
	// ratePeriod is the time for which the rate of a server is used before it is determined anew.
	ratePeriod = 100 * time.Millisecond
	// initialModelTime and initialPlainTime are the assumed durations of calls with and without a prompt before any was measured.
	initialModelTime, initialPlainTime = 2 * time.Second, 100 * time.Millisecond
)

// brittleness is what the answers of a server, or of any server of a service, said last of how many calls they can turn away in a second.
type brittleness struct {
	at         time.Time
	rejections int
	// endedAt is the time of the last answer that did not say so, to a call that was sent after the last one which did.
	endedAt time.Time
	// rejectedAt is the time of the last call that was turned away for want of room, as far as is known. It is zero for a server.
	rejectedAt time.Time
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

// serviceBrittleness is what a process knows of the brittleness of a service at one time.
type serviceBrittleness struct {
	// known is nil if no server of the service has ever said that it is brittle.
	known *brittleness
	holds bool
}

func (p *Pool) serviceBrittlenessLocked(now time.Time, service apricotway.Service) serviceBrittleness {
	known := p.brittleServices[service]

	return serviceBrittleness{known, known.holds(now)}
}

// covers reports whether a server is brittle by its own answers, or, while it has given none, by those of other servers of its service: the
// servers of a service become brittle together, and one that is back after a fall has said nothing yet.
func (b serviceBrittleness) covers(now time.Time, s *server) bool {
	switch {
	case s.brittle.holds(now):
		return true
	case b.holds:
		return now.Sub(s.brittle.endedAt) >= brittleMemory
	default:
		return false
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
func (p *Pool) admitsLocked(now time.Time, s *server, service serviceBrittleness) bool {
	if service.known == nil {
		return true
	}

	if !service.covers(now, s) {
		if p.brittleLimits.Limited(s.backend.ID) {
			p.brittleLimits.ClearRate(s.backend.ID)
		}

		s.ratedAt = time.Time{}

		return true
	}

	if now.Sub(s.ratedAt) >= ratePeriod {
		s.ratedAt = now
		slots := p.sharedSlotsLocked(now, s)
		p.brittleLimits.SetRate(now, s.sentAt, s.backend.ID, slots.perSecond, slots.lifetime)
	}

	return float64(s.currentWork(now).Running) < s.slots() && p.brittleLimits.Allows(now, s.backend.ID)
}

// usedSlotsLocked returns the number of slots of a brittle server that are used on average.
func (p *Pool) usedSlotsLocked(now time.Time, s *server) float64 {
	free := brittleSpread*math.Sqrt(s.slots()) - brittleUsedRejections*float64(p.rejectionsLocked(now, s))

	return max(s.slots()-max(free, brittleMinFree*s.slots()), brittleMinUse*s.slots())
}

// beginRateLocked returns the calls that a brittle server is given per second by all processes together.
func (p *Pool) beginRateLocked(now time.Time, s *server) float64 {
	return p.usedSlotsLocked(now, s) / p.meanDurationLocked(s.backend.Service).Seconds()
}

// sharedSlots are the slots of a brittle server that all processes share.
type sharedSlots struct {
	perSecond float64
	lifetime  time.Duration
}

// sharedSlotsLocked returns the slots of a brittle server. With many processes before few servers most slots find no call, so more are offered
// than calls are to begin, as far as the calls of a burst at all processes still fit into the server.
func (p *Pool) sharedSlotsLocked(now time.Time, s *server) sharedSlots {
	service := s.backend.Service
	begins := p.beginRateLocked(now, s)

	slots := s.slots() * float64(len(p.services[service]))
	foundInBurst := 1 - math.Exp(-brittleBurst*slots/float64(max(p.processes, 1)))
	lifetime := min(time.Duration(float64(brittleSlotLifetime)/foundInBurst), maxBrittleSlotLifetime)

	rate := begins

	if now.Sub(p.brittleServices[service].rejectedAt) >= rejectionMemory {
		reach := (brittleHold + lifetime).Seconds()
		found := 1 - math.Exp(-p.arrivalRateLocked(now, service)*reach)

		unfinished := p.usedSlotsLocked(now, s) * max(1-reach/p.meanDurationLocked(service).Seconds(), 0)
		room := s.slots() + brittleUsedRejections*float64(p.rejectionsLocked(now, s)) - unfinished

		rate = max(min(begins/found, room/foundInBurst/reach, maxOffered*begins), begins)
	}

	return sharedSlots{math.Pow(rateStep, math.Floor(math.Log(rate)/math.Log(rateStep))), lifetime}
}

// rejectionsLocked returns the calls that a brittle server can turn away in a second.
func (p *Pool) rejectionsLocked(now time.Time, s *server) int {
	if s.brittle.holds(now) {
		return s.brittle.rejections
	}

	return p.brittleServices[s.backend.Service].rejections
}

// arrivals holds the rate at which calls for a service arrive at this process, over a short and over a long time.
type arrivals struct{ brief, lasting callRate }

func newArrivals() *arrivals {
	return &arrivals{brief: callRate{window: briefArrivals}, lasting: callRate{window: lastingArrivals}}
}

func (a *arrivals) add(now time.Time) {
	a.brief.add(now)
	a.lasting.add(now)
}

// arrivalRateLocked returns the calls for a service that arrived at this process per second, without the newest one. Of the rates over the two
// times the higher one counts: a burst shows in the brief one first.
func (p *Pool) arrivalRateLocked(now time.Time, service apricotway.Service) float64 {
	known := p.arrivals[service]
	if known == nil {
		return 0
	}

	return max(known.brief.current(now)-1/briefArrivals.Seconds(), known.lasting.current(now)-1/lastingArrivals.Seconds(), 0)
}

// meanDurationLocked returns the mean duration of the calls at a service.
func (p *Pool) meanDurationLocked(service apricotway.Service) time.Duration {
	if mean := p.durations[service].mean; mean > 0 {
		return mean
	}

	if p.engineTimeLocked(service).calls > 0 {
		return initialModelTime
	}

	return initialPlainTime
}

// durationWeight is the number of calls over which the mean duration of the calls at a service is taken.
const durationWeight = 20

// meanDuration is the mean duration of the calls at a service.
type meanDuration struct {
	mean time.Duration
	// calls is the number of calls that were measured here, at most durationWeight.
	calls int
}

// recordDurationLocked records how long a server worked on a call.
func (p *Pool) recordDurationLocked(service apricotway.Service, took time.Duration) {
	known := p.durations[service]
	known.calls = min(known.calls+1, durationWeight)

	if known.mean == 0 {
		known.mean = took
	}

	known.mean = max(known.mean+(took-known.mean)/durationWeight, time.Millisecond)
	p.durations[service] = known
}

// learnDurationLocked records the mean duration that another process has told. A process that measured few calls goes by it.
func (p *Pool) learnDurationLocked(service apricotway.Service, told time.Duration) {
	known := p.durations[service]

	switch {
	case told <= 0:
		return
	case known.mean == 0:
		known.mean = told
	default:
		known.mean += (told - known.mean) / time.Duration(1+known.calls)
	}

	p.durations[service] = known
}

// brittleWaitLocked returns about the time until this process may send a call to one of the brittle servers that could take it; 0 if none
// could.
func (p *Pool) brittleWaitLocked(now time.Time, request Request) time.Duration {
	service := p.serviceBrittlenessLocked(now, request.Service)
	if service.known == nil {
		return 0
	}

	rate := 0.0

	for _, s := range p.services[request.Service] {
		if !s.leaving() && !s.paused(now) && p.mayUseLocked(now, request, s) && service.covers(now, s) {
			rate += p.beginRateLocked(now, s)
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
	// Duration is the mean duration of the service's calls, or 0 if the process has measured none.
	Duration time.Duration
	// RejectionAge is the time since the last call that was turned away, or 0 if the process knows of none.
	RejectionAge time.Duration
}

// BrittleServices returns the services whose servers are brittle as far as this process knows.
func (p *Pool) BrittleServices(now time.Time) []BrittleService {
	p.mu.Lock()
	defer p.mu.Unlock()

	var services []BrittleService

	for name, known := range p.brittleServices {
		if known.holds(now) {
			var rejectionAge time.Duration
			if !known.rejectedAt.IsZero() {
				rejectionAge = max(now.Sub(known.rejectedAt), 1)
			}

			services = append(services, BrittleService{
				Service: name, Rejections: known.rejections, Age: now.Sub(known.at), Duration: p.durations[name].mean, RejectionAge: rejectionAge,
			})
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

		p.learnDurationLocked(service.Service, service.Duration)

		if at := asOf.Add(-service.RejectionAge); service.RejectionAge > 0 && at.After(known.rejectedAt) {
			known.rejectedAt = at
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
