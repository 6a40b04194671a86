package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

const (
	// idlePrefillRate is the number of prompt tokens that an engine processes in a millisecond while nothing else runs: the rate
	// of the operators' engines, less the decoding steps in between.
	idlePrefillRate = 45.0
	// delayPerRunningCall is the time in milliseconds by which each running call delays the first event of another call.
	delayPerRunningCall = 0.8
	// idleFirstEvent is the time in milliseconds to the first event on an idle engine.
	idleFirstEvent = 25.0
	// initialPlainMillis is the assumed time in milliseconds of a call to a service that is not a language model, before any call
	// was measured.
	initialPlainMillis = 30.0
	// ejectedPenalty, in milliseconds, ranks ejected servers behind all others.
	ejectedPenalty = 1e6
	// rejectedPenalty, in milliseconds, ranks a server that has just rejected a call behind those that have room, and before the
	// ejected ones. The work that the other processes report does not show the rejection.
	rejectedPenalty = 1e5
	// rejectionHold is the time for which a rejection counts: a quarter of the shortest objective (300 ms) on a plain service.
	rejectionHold = 75 * time.Millisecond
	// otherZonePenalty, in milliseconds, is the cost of traffic between availability zones.
	otherZonePenalty = 2.0
	// unreadShare is the mean fraction of a prompt that is still to be processed when another call arrives. An engine finishes the
	// prompt that it has started, and then takes the next one by urgency.
	unreadShare = 0.5
	// minCandidates is the minimum number of servers that a call is compared on.
	minCandidates = 3
	// rateWindow is the time over which the rate of calls is averaged.
	rateWindow = 2 * time.Second
	// scoreNoise is the largest relative random increase of a score. It keeps processes with the same view from choosing the same
	// server.
	scoreNoise = 0.1
	// noServerRetryAfter is the retry delay given to callers when no server is known.
	noServerRetryAfter = 500 * time.Millisecond
	// minFullRetryAfter is the shortest retry delay given to callers when all slots are taken.
	minFullRetryAfter = 300 * time.Millisecond

	// minEjection and maxEjection bound the time for which a failing server is avoided; it doubles with each failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfterFailures is the number of consecutive failures that ejects a server, and ejectFailureRate is the failure rate that
	// does so.
	ejectAfterFailures = 2
	ejectFailureRate   = 0.4
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2
	// reportLifetime is the time for which a load report of a server is used.
	reportLifetime = 2 * time.Second
	// cacheLifetime is the time for which a prompt part counts as cached after this process last sent it to the server.
	cacheLifetime = 30 * time.Second
	// cacheEntries bounds the prompt parts remembered for one server.
	cacheEntries = 512
	// homeHitRate is the probability that the home server of a prompt has its shared parts cached because of calls of other
	// processes.
	homeHitRate = 0.85
	// prefillWeight is the weight in the score of the time that the prompt itself needs, since calls that arrive meanwhile wait
	// for it.
	prefillWeight = 3.0
	// minLatencyFactor and maxLatencyFactor bound the ratio of observed to estimated latency of a server.
	minLatencyFactor, maxLatencyFactor = 0.5, 8.0
	// failurePenalty is the penalty in milliseconds of a server that fails every call.
	failurePenalty = 800.0
)

// server is what this process knows of one backend server.
type server struct {
	backend apricotway.Backend
	added   time.Time
	// hash identifies the server in rendezvous hashing.
	hash uint64
	// said is what the server has said of itself; nil while it has said nothing.
	said *statements
	// brittle is what this start of the server has said of its brittleness.
	brittle brittleness
	// sentAt is the time of the last call that was sent to the server.
	sentAt time.Time
	// ratedAt is the time at which the rate for a brittle server was determined.
	ratedAt time.Time

	// own is the work of this process that is in flight on the server.
	own Work

	// others is the work of the other processes, which counts until othersUntil.
	others      Work
	othersUntil time.Time

	// load is the newest load report of the server, received at loadAt. ownAtReport is the number of calls of this process that ran
	// there at that time.
	load        apricotway.BackendLoad
	loadAt      time.Time
	ownAtReport int
	// speed is what all processes together have learned of the server's speed.
	speed learnedSpeed
	// ramp is the slow start of the server.
	ramp ramp
	// latencyFactor is the moving average of the ratio of observed to estimated latency.
	latencyFactor float64
	plainMillis   float64 // average milliseconds of a call without a prompt
	failureRate   float64 // moving average from 0 to 1

	// ejection is the length of the last ejection; 0 once the server has recovered.
	consecutiveFailures int
	ejection            time.Duration
	ejectedUntil        time.Time
	// rejectsUntil is the time until which a rejection counts.
	rejectsUntil time.Time

	// cached holds the time of the last use of each prompt prefix, by the hash of the prefix.
	cached map[uint64]time.Time
}

func newServer(backend apricotway.Backend, now time.Time) *server {
	return &server{
		backend: backend, added: now, hash: xxhash.Sum64String(string(backend.ID)), latencyFactor: 1, plainMillis: initialPlainMillis, cached: map[uint64]time.Time{},
	}
}

// estimate is the expected cost of a call on one server.
type estimate struct {
	// score orders the servers; the one with the lowest score is chosen.
	score float64
	wait  time.Duration
	// queue is the part of the wait that other calls cause.
	queue   time.Duration
	prefill float64
	full    bool
	// model is the wait in milliseconds on a server with speed factor 1.
	model float64
	// cost is the time in milliseconds by which the call raises the score of the next one.
	cost float64
}

// chainLink is one prefix of a prompt: a hash over its parts and the number of tokens up to its end.
type chainLink struct {
	hash   uint64
	tokens int
}

// chainOf returns the prefixes of a prompt, one for each part, the shortest first.
func chainOf(parts []apricotway.PromptPart) []chainLink {
	chain := make([]chainLink, len(parts))

	var (
		hash   uint64
		tokens int
	)

	for i, part := range parts {
		hash = combineHashes(hash, part.ID)
		tokens += part.Tokens
		chain[i] = chainLink{hash: hash, tokens: tokens}
	}

	return chain
}

// combineHashes returns a hash of both values.
func combineHashes(a, b uint64) uint64 {
	var buffer [16]byte
	for i := range 8 {
		buffer[i], buffer[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}

	return xxhash.Sum64(buffer[:])
}

// sharedPrefix returns the longest prefix that other requests may share: all parts but the last one, which only this request
// has.
func sharedPrefix(chain []chainLink) (chainLink, bool) {
	if len(chain) < 2 {
		return chainLink{}, false
	}

	return chain[len(chain)-2], true
}

// homeLocked returns the home server of a prompt: the server that all processes prefer for the prompt's shared parts, by
// rendezvous hashing. It returns nil for a prompt without shared parts.
func (p *Pool) homeLocked(service apricotway.Service, chain []chainLink, servers serverRange) *server {
	link, ok := sharedPrefix(chain)
	if !ok {
		return nil
	}

	var (
		home *server
		best uint64
	)

	rank := -1

	for _, s := range p.services[service] {
		if s.leaving() {
			continue
		}

		if rank++; !servers.contains(rank) {
			continue
		}

		if weight := combineHashes(link.hash, s.hash); home == nil || weight > best {
			home, best = s, weight
		}
	}

	return home
}

// currentWork estimates the work on the server: that of this process, and that of the others from their reports or else from
// the load report of the server.
func (s *server) currentWork(now time.Time) Work {
	work := s.own

	if now.Before(s.othersUntil) {
		work.Add(s.others, 1)
	} else if now.Sub(s.loadAt) < reportLifetime {
		work.Running += max(s.load.Running+s.load.Waiting-s.ownAtReport, 0)
	}

	return work
}

// addPrefill adds the prompt of a call that waits for its first event; sign -1 subtracts it again.
func (s *server) addPrefill(tokens, sign float64, promptTokens int) {
	size := SizeOf(promptTokens)
	s.own.Prefill[size] = max(s.own.Prefill[size]+sign*tokens, 0)
	s.own.Prompts[size] = max(s.own.Prompts[size]+int(sign), 0)
}

// prefillAhead returns the number of tokens that are processed before the first event of a prompt of the given size class: the
// prompts of the same and of smaller classes, and the rest of a larger prompt that is being processed.
func (w *Work) prefillAhead(size int) float64 {
	var tokens, larger float64

	prompts := 0

	for other, waiting := range w.Prefill {
		if other > size {
			larger += waiting
			prompts += w.Prompts[other]
		} else {
			tokens += waiting
		}
	}

	return tokens + unreadShare*larger/float64(max(prompts, 1))
}

// slots returns the number of calls that the server can run at a time.
func (s *server) slots() float64 {
	if s.backend.Slots > 0 {
		return float64(s.backend.Slots)
	}

	if s.load.Slots > 0 {
		return float64(s.load.Slots)
	}

	const unknown = 8

	return unknown
}

// slowdown returns the factor by which the server currently reports to be slower than normal.
func (s *server) slowdown(now time.Time) float64 {
	if now.Sub(s.loadAt) < reportLifetime && s.load.Slowdown > 0 {
		return s.load.Slowdown
	}

	return 1
}

// estimate returns the expected cost of the request on the server. home tells whether it is the home server of the prompt.
func (s *server) estimate(now time.Time, request Request, chain []chainLink, home bool) estimate {
	work := s.currentWork(now)
	running := float64(work.Running)
	full := running >= s.slots()
	failing := s.failureRate * failurePenalty

	if request.Once {
		failing *= 2
	}

	if request.PromptTokens == 0 {
		factor := s.timeFactor(now, kindPlain)
		model := initialPlainMillis * max((running+1)/s.slots(), 1)
		wait := model * factor

		return estimate{
			score: wait + initialPlainMillis*factor*running/s.slots() + failing, wait: milliseconds(wait), full: full, model: model,
			cost: initialPlainMillis * factor / s.slots(),
		}
	}

	own := float64(request.PromptTokens) - s.cachedTokens(now, chain, home)
	prefill := work.prefillAhead(SizeOf(request.PromptTokens))
	factor := s.timeFactor(now, kindOf(request))
	model := idleFirstEvent + delayPerRunningCall*running + (prefill+own)/idlePrefillRate
	wait := model * factor
	queue := prefill / idlePrefillRate * factor

	if full {
		// A slot becomes free when a running call ends.
		turnover := slotTurnover * (running - s.slots() + 1) / s.slots()
		model += turnover
		wait += turnover
	}

	return estimate{
		score: wait + prefillWeight*own/idlePrefillRate + failing, wait: milliseconds(wait), queue: milliseconds(queue), prefill: own, full: full,
		model: model, cost: (own/idlePrefillRate + delayPerRunningCall) * factor,
	}
}

// slotTurnover is the time in milliseconds in which all slots of an engine become free once.
const slotTurnover = 2500.0

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// cachedTokens returns the number of prompt tokens that the server is expected to have cached.
func (s *server) cachedTokens(now time.Time, chain []chainLink, home bool) float64 {
	for i := len(chain) - 1; i >= 0; i-- {
		if at, ok := s.cached[chain[i].hash]; ok && now.Sub(at) < cacheLifetime {
			return float64(chain[i].tokens)
		}
	}

	if link, ok := sharedPrefix(chain); ok && home {
		return homeHitRate * float64(link.tokens)
	}

	return 0
}

// markCached records that the server processes a prompt. The last part belongs to this request alone and is not shared with
// others.
func (s *server) markCached(now time.Time, parts []apricotway.PromptPart) {
	for _, link := range chainOf(parts) {
		s.cached[link.hash] = now
	}

	if len(s.cached) <= cacheEntries {
		return
	}

	oldest := now.Add(-cacheLifetime)
	for hash, at := range s.cached {
		if at.Before(oldest) || len(s.cached) > cacheEntries {
			delete(s.cached, hash)
		}
	}
}

// setLoad stores a load report of the server.
func (s *server) setLoad(now time.Time, load apricotway.BackendLoad) {
	s.load, s.loadAt, s.ownAtReport = load, now, s.own.Running
}

// observeLatency updates the latency estimates with the time that the start of an answer took.
func (s *server) observeLatency(taken, expected time.Duration) {
	if expected <= 0 {
		return
	}

	ratio := min(max(s.latencyFactor*float64(taken)/float64(expected), minLatencyFactor), maxLatencyFactor)
	s.latencyFactor += smoothing * (ratio - s.latencyFactor)
	s.plainMillis += smoothing * (float64(taken)/float64(time.Millisecond) - s.plainMillis)
}

// recordOutcome updates the failure statistics with the outcome of a call.
func (s *server) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeDone:
		s.failureRate -= smoothing * s.failureRate
		s.consecutiveFailures = 0

		if !now.Before(s.ejectedUntil) {
			s.ejection = 0
		}
	case OutcomeFailed, OutcomeUnreachable:
		s.failureRate += smoothing * (1 - s.failureRate)
		s.consecutiveFailures++

		if s.consecutiveFailures >= ejectAfterFailures || s.failureRate > ejectFailureRate || outcome == OutcomeUnreachable {
			s.eject(now)
		}
	case OutcomeMisdirected:
		// Another server has the address, so this server is gone even if the server list still shows it.
		s.ejection = maxEjection
		s.ejectedUntil = now.Add(maxEjection)
	case OutcomeFull:
		s.load.Running, s.loadAt = max(s.load.Running, int(s.slots())), now
		s.rejectsUntil = now.Add(rejectionHold)
	case OutcomeLeft:
	}
}

// eject excludes the server from the choice for a time that doubles with each ejection.
func (s *server) eject(now time.Time) {
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
}
