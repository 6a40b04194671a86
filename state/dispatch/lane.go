package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// longSize is the size from which prompts are long: an engine reads one for 90 ms and more, and answers nobody else for the
	// first time meanwhile.
	longSize = 2
	// readRate is the number of prompt tokens that an engine reads in a millisecond between its steps, on the average over slower
	// engines; measured on the operators' engines.
	readRate = 32.0
	// runningPerEngine is the number of running calls that take the whole of an engine which reads no prompt, without their
	// answers becoming slow.
	runningPerEngine = 30.0
	// mixLife is the time over which the mixture of calls is averaged.
	mixLife = 20 * time.Second
	// leastMix is the number of calls from which the mixture is known.
	leastMix = 10.0
	// leastLanes is the number of engines from which long and short prompts are kept apart. Fewer serve better together.
	leastLanes = 14
	// shortCrossing and longCrossing in milliseconds are the waits for which a call rather leaves its lane.
	shortCrossing, longCrossing = 150.0, 5000.0
	// lateWait and lateQueue are the wait and its part caused by other calls, in objectives, above which a call is refused.
	lateWait, lateQueue = 0.9, 0.05
)

// lane is a part of the engines of a service in the order of their hashes: long prompts take the first ones and short ones the
// rest, so that an engine that reads long prompts delays few others. All processes know the order, without telling each other.
type lane struct {
	// first and end bound the ranks.
	first, end int
	// crossing in milliseconds is the wait for which a call rather leaves the lane.
	crossing float64
}

func (l lane) holds(rank int) bool { return rank >= l.first && rank < l.end }

// everyServer is the lane of calls that are not kept apart.
var everyServer = lane{end: math.MaxInt}

// mixture is what calls took of the engines of late, in milliseconds of an engine, those with long prompts apart.
type mixture struct {
	long, short, calls float64
	at                 time.Time
}

// add notes a call of a prompt of the given tokens, or what more it took.
func (m *mixture) add(now time.Time, tokens int, calls, took float64) {
	keep := math.Exp(-now.Sub(m.at).Seconds() / mixLife.Seconds())
	m.long, m.short, m.calls, m.at = m.long*keep, m.short*keep, m.calls*keep+calls, now

	if SizeOf(tokens) >= longSize {
		m.long += took
	} else {
		m.short += took
	}
}

func (p *Pool) mixLocked(service apricotway.Service) *mixture {
	if p.mixes[service] == nil {
		p.mixes[service] = &mixture{}
	}

	return p.mixes[service]
}

// laneLocked returns the lane of a request.
func (p *Pool) laneLocked(request Request) lane {
	mix := p.mixLocked(request.Service)
	if request.PromptTokens == 0 || mix.calls < leastMix || mix.long == 0 || mix.short == 0 {
		return everyServer
	}

	usable := 0

	for _, s := range p.services[request.Service] {
		if !s.backend.Leaving {
			usable++
		}
	}

	if usable < leastLanes {
		return everyServer
	}

	part := mix.long / (mix.long + mix.short)
	border := min(max(int(math.Round(part*float64(usable))), 1), usable-1)

	if SizeOf(request.PromptTokens) >= longSize {
		return lane{end: border, crossing: longCrossing}
	}

	return lane{first: border, end: usable, crossing: shortCrossing}
}

// late tells whether the first event would come too late because of other calls. Such a call makes the next ones late as well. A
// call that is late by its own prompt is served.
func (e estimate) late(objective time.Duration) bool {
	return objective > 0 && e.wait > time.Duration(lateWait*float64(objective)) && e.queue > time.Duration(lateQueue*float64(objective))
}
