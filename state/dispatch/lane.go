package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// longPromptClass is the size class from which prompts are long. An engine needs 90 ms or more to process such a prompt, and
	// delivers no first event of another call meanwhile.
	longPromptClass = 2
	// meanPrefillRate is the number of prompt tokens that an engine processes in a millisecond between its decoding steps,
	// averaged over the operators' engines, including slower ones.
	meanPrefillRate = 32.0
	// runningPerEngine is the number of running calls that fully use an engine which processes no prompt, without slowing their
	// answers down.
	runningPerEngine = 30.0
	// engineTimeWindow is the time over which the engine time of calls is averaged.
	engineTimeWindow = 20 * time.Second
	// minCallsForSplit is the number of recent calls from which the shares of long and short prompts are reliable.
	minCallsForSplit = 10.0
	// minServersForSplit is the number of engines from which long and short prompts go to separate engines. With fewer engines,
	// all calls are served better if they share all of them.
	minServersForSplit = 14
	// shortPromptPenalty and longPromptPenalty, in milliseconds, are added to the score of engines outside the range of the call:
	// it is placed there only if the engines in its range are slower by more than that.
	shortPromptPenalty, longPromptPenalty = 150.0, 5000.0
	// maxWaitShare and maxQueueShare are fractions of the latency objective. A call is refused if its expected wait and the part
	// of the wait caused by other calls exceed them.
	maxWaitShare, maxQueueShare = 0.9, 0.05
)

// serverRange is a range of the engines of a service ordered by hash. Long prompts use the first engines and short prompts the
// rest, so that an engine that processes long prompts delays few other calls. All processes derive the same order from the
// hashes, without exchanging messages.
type serverRange struct {
	// first (inclusive) and end (exclusive) bound the ranks.
	first, end int
	// outsidePenalty, in milliseconds, is added to the score of servers outside the range.
	outsidePenalty float64
}

func (r serverRange) contains(rank int) bool { return rank >= r.first && rank < r.end }

// allServers is the range of calls that may use every server.
var allServers = serverRange{end: math.MaxInt}

// engineTime is the decaying sum of engine time in milliseconds that recent calls used, separately for long and short prompts.
type engineTime struct {
	long, short, calls float64
	at                 time.Time
}

// add records calls new calls with a prompt of the given number of tokens and the engine time that they took. calls is 0 for
// further time of a call that was already counted.
func (e *engineTime) add(now time.Time, tokens int, calls, took float64) {
	keep := math.Exp(-now.Sub(e.at).Seconds() / engineTimeWindow.Seconds())
	e.long, e.short, e.calls, e.at = e.long*keep, e.short*keep, e.calls*keep+calls, now

	if SizeOf(tokens) >= longPromptClass {
		e.long += took
	} else {
		e.short += took
	}
}

func (p *Pool) engineTimeLocked(service apricotway.Service) *engineTime {
	if p.engineTimes[service] == nil {
		p.engineTimes[service] = &engineTime{}
	}

	return p.engineTimes[service]
}

// serverRangeLocked returns the servers that are preferred for a request.
func (p *Pool) serverRangeLocked(request Request) serverRange {
	used := p.engineTimeLocked(request.Service)
	if request.PromptTokens == 0 || used.calls < minCallsForSplit || used.long == 0 || used.short == 0 {
		return allServers
	}

	usable := 0

	for _, s := range p.services[request.Service] {
		if !s.leaving() {
			usable++
		}
	}

	if usable < minServersForSplit {
		return allServers
	}

	part := used.long / (used.long + used.short)
	border := min(max(int(math.Round(part*float64(usable))), 1), usable-1)

	if SizeOf(request.PromptTokens) >= longPromptClass {
		return serverRange{end: border, outsidePenalty: longPromptPenalty}
	}

	return serverRange{first: border, end: usable, outsidePenalty: shortPromptPenalty}
}

// tooLate reports whether the first event would miss the objective because of other calls. Such a call would make the next ones
// late as well. A call that is late only because of its own prompt is served.
func (e estimate) tooLate(objective time.Duration) bool {
	return objective > 0 && e.wait > time.Duration(maxWaitShare*float64(objective)) && e.queue > time.Duration(maxQueueShare*float64(objective))
}
