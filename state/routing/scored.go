package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Term is a part of the score that can be switched off, to measure what it contributes.
type Term string

// The terms of the score.
const (
	// TermWait is the expected wait for a slot in the engine's batch.
	TermWait Term = "wait"
	// TermPrefill is the expected time to prefill the prompt tokens that miss the engine's cache.
	TermPrefill Term = "prefill"
	// TermDecode is the expected time to generate the answer.
	TermDecode Term = "decode"
	// TermPeers is the load that other processes announced.
	TermPeers Term = "peers"
	// TermEcho assumes that, between two announcements, each peer sends an engine as much work as this process does.
	TermEcho Term = "echo"
	// TermReports is the load in the engines' reports.
	TermReports Term = "reports"
	// TermPace multiplies the score of an engine that is slower than others of its kind.
	TermPace Term = "pace"
	// TermFirstToken lets late first tokens count in the pace too.
	TermFirstToken Term = "firstToken"
	// TermHome sends a prefix that is in no cache to its rendezvous engine.
	TermHome Term = "home"
	// TermLongBudget limits the slots that long work takes on each engine.
	TermLongBudget Term = "longBudget"
	// TermEvents updates the prefix index from the engines' cache events.
	TermEvents Term = "events"
)

// Terms returns all terms of the score.
func Terms() []Term {
	return []Term{
		TermWait, TermPrefill, TermDecode, TermPeers, TermEcho, TermReports, TermPace, TermFirstToken, TermHome, TermLongBudget,
		TermEvents,
	}
}

const (
	// DefaultLongShare is the fraction of an engine's slots that long work may take. At twice the capacity, 543 of 19,560
	// requests were late with 0.75 and 105 with 0.5, at about the same goodput.
	DefaultLongShare = 0.5
	// PeerLifetime is the age at which a peer's announcement is no longer used: one second between two announcements, two
	// more in which an announcement waits for the probes that carry it, and time for one announcement that is lost.
	PeerLifetime = 5 * time.Second
	// candidateAge is the time after an engine's last candidacy from which on it no longer counts as capacity.
	candidateAge = 3 * time.Second
	// forgetAfter is the time after an engine's last candidacy at which its state is dropped.
	forgetAfter = time.Minute
	// probeAfter is the time without an observation after which a slow engine is probed, and probePeriod the time between
	// two probes of one engine.
	probeAfter  = 200 * time.Millisecond
	probePeriod = 200 * time.Millisecond
	// historySize bounds the past loads of an engine that are kept to interpret its lagging reports.
	historySize = 64
	// prefillDelayFactor weighs the delay that a prefill causes to each request in the batch, which waits for it too.
	prefillDelayFactor = 2
	// longBudgetPenalty is the penalty in seconds of an engine whose budget of long work is used up.
	longBudgetPenalty = 3600
)

// Scored chooses the engine with the lowest expected time to the last token. It is the policy used in production; the others
// are baselines and bounds.
type Scored struct {
	longShare float64
	off       map[Term]bool

	mu        sync.Mutex
	engines   map[apricotway.BackendServerID]*engineState
	list      []*engineState
	freeBits  []int
	attempts  map[apricotway.AttemptID]*attempt
	kinds     map[engineKind]*speedModel
	index     prefixIndex
	predictor predictor
	// peers holds the last announcement of each peer; peersSeen is the time when the newest one arrived.
	peers     map[apricotway.NodeID]*announcement
	peersSeen time.Time
	nextSweep time.Time
	// depth is a scratch buffer: the number of leading prompt blocks that each engine holds, by bit.
	depth [maxEngines]uint8
	// candidates is the scratch buffer of Choose: the candidates with their estimated load.
	candidates []candidate
}

// load is the work that one process has on an engine.
type load struct {
	attempts int
	// decode is the predicted number of tokens left to generate. prefill is the number of prompt tokens that miss the cache,
	// summed over short attempts without a first token: engines prefill short attempts before long ones. long is the number
	// of long attempts.
	decode, prefill float64
	long            int
}

func (l *load) add(other load, sign int) {
	l.attempts += sign * other.attempts
	l.decode += float64(sign) * other.decode
	l.prefill += float64(sign) * other.prefill
	l.long += sign * other.long
}

// engineState is what the policy knows about one engine.
type engineState struct {
	id apricotway.BackendServerID
	// bit is the position of the engine in every engineSet, -1 if it has none.
	bit           int
	lastCandidate time.Time
	speeds        *speedModel
	pace          pace

	// own is the work of this process; peers is the sum of the announcements.
	own, peers load
	// report is the newest load report; others is the part of it that is not the work of this process.
	report apricotway.LoadReport
	others load
	// lastProgress is the time of the last token of an own attempt; decoding counts the running ones with a token.
	lastProgress time.Time
	decoding     int
	// started totals the short attempts that this process has started and their predicted tokens. echoed is the part of it
	// that predates the last announcement of each peer, summed over the peers; reported is the part that predates the report.
	started, echoed, reported startedWork
	lastProbe                 time.Time
	sequence                  uint64

	history     [historySize]pastLoad
	historyNext int
}

type pastLoad struct {
	time    time.Time
	load    load
	started startedWork
}

type attempt struct {
	engine    *engineState
	work      Work
	predicted float64
	uncached  float64
	long      bool
	// unqueued is set when the engine had a free slot and no other prefill at the start, so that the time to the first token
	// is the time of this prefill.
	unqueued bool
	// expected is the expected time to the first token in seconds.
	expected  float64
	started   time.Time
	lastToken time.Time
	tokens    int
	hasTokens bool
}

// announcement is the last one that a peer sent.
type announcement struct {
	time   time.Time
	shares []Share
	// started holds the totals of each engine, by bit, at the time of the announcement.
	started [maxEngines]startedWork
}

// startedWork totals attempts and their predicted tokens. Integers can be added and subtracted without a rounding error.
type startedWork struct{ attempts, tokens int }

func (w *startedWork) add(other startedWork, sign int) {
	w.attempts += sign * other.attempts
	w.tokens += sign * other.tokens
}

// ScoredOption configures a policy under construction.
type ScoredOption func(*Scored)

// WithLongShare sets the fraction of an engine's slots that long work may take.
func WithLongShare(share float64) ScoredOption {
	return func(s *Scored) { s.longShare = share }
}

// WithoutTerms switches terms of the score off.
func WithoutTerms(terms ...Term) ScoredOption {
	return func(s *Scored) {
		for _, term := range terms {
			s.off[term] = true
		}
	}
}

// NewScored returns a policy without any observations.
func NewScored(options ...ScoredOption) *Scored {
	s := &Scored{
		longShare: DefaultLongShare,
		off:       map[Term]bool{},
		engines:   map[apricotway.BackendServerID]*engineState{},
		attempts:  map[apricotway.AttemptID]*attempt{},
		kinds:     map[engineKind]*speedModel{},
		index:     newPrefixIndex(indexBlocks),
		predictor: predictor{services: map[apricotway.Service]*lengthHistory{}},
		peers:     map[apricotway.NodeID]*announcement{},
	}
	for bit := range maxEngines {
		s.freeBits = append(s.freeBits, maxEngines-1-bit)
	}

	for _, option := range options {
		option(s)
	}

	return s
}

// Predict returns the expected answer length in tokens and whether the work counts as long.
func (s *Scored) Predict(work Work) (tokens int, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	predicted, long := s.predictor.predict(work)

	return int(predicted), long
}

// Choose implements Policy. A prompt whose prefix is in no known cache goes to its rendezvous engine, unless that is slow or has
// too much load. All other work goes to the engine with the lowest score.
func (s *Scored) Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	deepest := s.index.depths(work.Blocks, &s.depth)
	predicted, long := s.predictor.predict(work)
	total := 0.0

	s.candidates = slices.Grow(s.candidates[:0], len(candidates))[:len(candidates)]
	announced := s.hasAnnouncements(now)

	for i := range candidates {
		c := &s.candidates[i]
		c.engine = s.candidateState(now, &candidates[i])
		s.estimateLoad(announced, c.engine, &c.load)
		total += c.load.attempts()
	}

	s.dropIdleEngines(now)

	var (
		best, home                = -1, -1
		lowest                    float64
		homeWeight                uint64
		bestExcluded              bool
		bound                     = math.Ceil(loadBound * (total + 1) / float64(max(len(candidates), 1)))
		key                       = affinity(work)
		useHome                   = deepest == 0 && len(work.Blocks) > 0 && !s.off[TermHome]
		promptTokens, blockTokens = float64(work.PromptTokens), float64(apricotway.BlockTokens)
	)

	for i := range s.candidates {
		e, l := s.candidates[i].engine, &s.candidates[i].load
		excluded := len(work.Excluded) > 0 && slices.Contains(work.Excluded, e.id)

		if best >= 0 && excluded && !bestExcluded {
			continue
		}

		uncached := promptTokens
		if e.bit >= 0 {
			uncached = max(promptTokens-float64(s.depth[e.bit])*blockTokens, 1)
		}

		value := s.score(now, e, l, uncached, predicted, long)

		if best < 0 || value < lowest || bestExcluded && !excluded {
			best, lowest, bestExcluded = i, value, excluded
		}

		if !useHome || excluded || l.attempts()+1 > bound || s.slowness(now, e) > slowRatio || value > longBudgetPenalty {
			continue
		}

		if weight := rendezvous(key, e.id); home < 0 || weight > homeWeight {
			home, homeWeight = i, weight
		}
	}

	if home >= 0 {
		return home
	}

	return best
}

// candidate is an engine with its estimated load, while Choose runs.
type candidate struct {
	engine *engineState
	load   estimate
}

// estimate is the work on an engine as this process estimates it.
type estimate struct{ own, others load }

func (e *estimate) attempts() float64 { return float64(e.own.attempts + e.others.attempts) }
func (e *estimate) decode() float64   { return e.own.decode + e.others.decode }
func (e *estimate) prefill() float64  { return e.own.prefill + e.others.prefill }
func (e *estimate) long() int         { return e.own.long + e.others.long }

// hasAnnouncements tells whether there are announcements of other processes, the newest of which has not expired.
func (s *Scored) hasAnnouncements(now time.Time) bool {
	return !s.off[TermPeers] && len(s.peers) > 0 && now.Sub(s.peersSeen) < PeerLifetime
}

// estimateLoad estimates the work on an engine. Own work is known exactly. The work of others comes from their announcements
// or from the last report minus the own work at its time, whichever is newer. Peers decide from about the same information, so
// each is assumed to have sent the engine as much work since then as this process has.
func (s *Scored) estimateLoad(announced bool, e *engineState, l *estimate) {
	l.own, l.others = e.own, load{}
	echo := len(s.peers) > 0 && !s.off[TermEcho]

	switch {
	case announced && (s.off[TermReports] || !e.report.Time.After(s.peersSeen)):
		l.others = e.peers

		if echo {
			l.others.echo(len(s.peers), e.started, e.echoed)
		}
	case !s.off[TermReports]:
		l.others = e.others

		if echo && announced {
			l.others.echo(len(s.peers), e.started, startedWork{len(s.peers) * e.reported.attempts, len(s.peers) * e.reported.tokens})
		}
	}
}

// echo adds, once per peer, the work that this process has started, minus the part that is already in the announcements or
// the report.
func (l *load) echo(peers int, started, known startedWork) {
	l.attempts += peers*started.attempts - known.attempts
	l.decode += float64(peers*started.tokens - known.tokens)
}

// score returns the expected time to the last token in seconds.
func (s *Scored) score(now time.Time, e *engineState, l *estimate, uncached, predicted float64, long bool) float64 {
	speeds, n := e.speeds, l.attempts()
	interval := speeds.interval(n + 1)
	value := 0.0

	if !s.off[TermWait] {
		if slots := float64(speeds.slots); slots > 0 && n >= slots {
			value += (n - slots + 1) * l.decode() / n * interval / slots
		}

		value += l.prefill() * speeds.prefillPerToken()
	}

	if !s.off[TermPrefill] {
		value += (1 + prefillDelayFactor*n) * uncached * speeds.prefillPerToken()
	}

	if !s.off[TermDecode] {
		value += predicted * interval
	}

	value *= s.slowness(now, e)

	if long && !s.off[TermLongBudget] && speeds.slots > 0 && float64(l.long()) >= s.longShare*float64(speeds.slots) {
		value += longBudgetPenalty
	}

	return value
}

// slowness returns how many times slower an engine is than others of its kind, or 1 if it is not slow.
func (s *Scored) slowness(now time.Time, e *engineState) float64 {
	if s.off[TermPace] {
		return 1
	}

	ratio := e.pace.ratio

	// Running streams without a token for longer than expected show a lower bound of the engine's slowness.
	if e.decoding > 0 {
		if expected := e.speeds.interval(float64(e.own.attempts)); expected > 0 {
			ratio = max(ratio, now.Sub(e.lastProgress).Seconds()/expected/2)
		}
	}

	ratio /= e.speeds.median
	if ratio < slowRatio {
		return 1
	}

	return ratio
}

// candidateState returns the state of a candidate and creates it on first sight.
func (s *Scored) candidateState(now time.Time, server *apricotway.BackendServer) *engineState {
	e := s.engines[server.ID]
	if e == nil {
		e = s.addEngine(server.ID)
	}

	e.lastCandidate = now

	if e.speeds == nil {
		k := engineKind{server.Service, server.MachineClass, server.Version}
		if s.kinds[k] == nil {
			s.kinds[k] = newSpeedModel()
		}

		e.speeds = s.kinds[k]
	}

	if !now.Before(e.speeds.medianDue) {
		e.speeds.updateMedian(now, s.list)
	}

	return e
}

func (s *Scored) addEngine(id apricotway.BackendServerID) *engineState {
	e := &engineState{id: id, bit: -1, pace: pace{ratio: 1}}

	if last := len(s.freeBits) - 1; last >= 0 {
		e.bit, s.freeBits = s.freeBits[last], s.freeBits[:last]
	}

	for _, peer := range s.peers {
		if e.bit >= 0 {
			peer.started[e.bit] = startedWork{}
		}

		for i := range peer.shares {
			if peer.shares[i].Server == id {
				e.peers.add(peer.shares[i].load(), 1)
			}
		}
	}

	s.engines[id] = e
	s.list = append(s.list, e)

	return e
}

// dropIdleEngines drops engines that have not been candidates for forgetAfter and run nothing.
func (s *Scored) dropIdleEngines(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}

	s.nextSweep = now.Add(forgetAfter / 4)

	s.list = slices.DeleteFunc(s.list, func(e *engineState) bool {
		if now.Sub(e.lastCandidate) < forgetAfter || e.own.attempts > 0 {
			return false
		}

		delete(s.engines, e.id)

		if e.bit >= 0 {
			s.index.removeEngine(e.bit)
			s.freeBits = append(s.freeBits, e.bit)
		}

		return true
	})
}

// Started implements Policy.
func (s *Scored) Started(
	now time.Time, server apricotway.BackendServerID, id apricotway.AttemptID, work Work,
) {
	s.mu.Lock()
	defer s.mu.Unlock()

	e := s.engines[server]
	if e == nil || e.speeds == nil {
		return
	}

	s.index.depths(work.Blocks, &s.depth)

	predicted, long := s.predictor.predict(work)
	a := &attempt{engine: e, work: work, predicted: predicted, long: long, started: now, lastToken: now}
	a.uncached = float64(work.PromptTokens)

	if e.bit >= 0 {
		a.uncached = max(a.uncached-float64(s.depth[e.bit])*apricotway.BlockTokens, 1)

		for _, block := range work.Blocks {
			s.index.add(block, e.bit)
		}
	}

	var l estimate

	s.estimateLoad(s.hasAnnouncements(now), e, &l)
	a.unqueued = l.prefill() == 0 && (e.speeds.slots == 0 || l.attempts() < float64(e.speeds.slots))
	a.expected = s.expectedFirstToken(e, &l, a.uncached)
	s.attempts[id] = a

	if !long {
		e.started.add(startedWork{1, int(math.Round(predicted))}, 1)
	}

	e.own.add(load{attempts: 1, decode: predicted, prefill: a.backlog(), long: boolToInt(long)}, 1)
	e.recordLoad(now)
}

func (s *Scored) expectedFirstToken(e *engineState, l *estimate, uncached float64) float64 {
	interval := e.speeds.interval(l.attempts() + 1)

	return 1.5*interval + (uncached+l.prefill())*e.speeds.prefillPerToken()
}

func boolToInt(is bool) int {
	if is {
		return 1
	}

	return 0
}

// recordLoad keeps the current own load to interpret later reports.
func (e *engineState) recordLoad(now time.Time) {
	e.history[e.historyNext%historySize] = pastLoad{now, e.own, e.started}
	e.historyNext++
}

// ownAt returns the own load and the totals of started work at a past time, or zeros if that is not in the history.
func (e *engineState) ownAt(when time.Time) (load, startedWork) {
	for back := 1; back <= min(e.historyNext, historySize); back++ {
		if past := e.history[(e.historyNext-back)%historySize]; !past.time.After(when) {
			return past.load, past.started
		}
	}

	return load{}, startedWork{}
}

// Token implements Policy.
func (s *Scored) Token(now time.Time, _ apricotway.BackendServerID, id apricotway.AttemptID, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.attempts[id]
	if a == nil || count < 1 {
		return
	}

	e := a.engine
	e.lastProgress = now

	var l estimate

	s.estimateLoad(s.hasAnnouncements(now), e, &l)

	if !a.hasTokens {
		a.hasTokens = true
		e.decoding++
		e.own.prefill = max(e.own.prefill-a.backlog(), 0)
		s.firstToken(now, a, &l)
	} else {
		s.nextToken(now, a, &l, count)
	}

	e.own.decode -= max(min(a.predicted-float64(a.tokens), float64(count)), 0)
	a.tokens += count
	a.lastToken = now
}

func (s *Scored) firstToken(now time.Time, a *attempt, l *estimate) {
	e, taken := a.engine, now.Sub(a.started).Seconds()

	if a.unqueued && a.uncached > apricotway.BlockTokens && e.pace.ratio < slowRatio*e.speeds.median {
		e.speeds.observePrefill(a.uncached, taken-e.speeds.interval(l.attempts()))
	}

	if !s.off[TermFirstToken] && a.unqueued && a.expected > 0 && e.speeds.n > 50 {
		if ratio := taken / a.expected; ratio > slowRatio || e.decoding == 1 {
			e.pace.observe(now, min(ratio, 8), paceTime.Seconds()/4)
		}
	}
}

func (s *Scored) nextToken(now time.Time, a *attempt, l *estimate, count int) {
	e, interval := a.engine, now.Sub(a.lastToken).Seconds()/float64(count)
	n := l.attempts()

	if e.speeds.slots > 0 {
		n = min(n, float64(e.speeds.slots))
	}

	if expected := e.speeds.interval(n); expected > 0 && e.speeds.n > 50 {
		e.pace.observe(now, min(interval/expected, 8), interval*float64(count))
	}

	// The observations of a slow engine would raise the expectation for its kind.
	if e.pace.ratio < slowRatio*e.speeds.median {
		e.speeds.observe(n, interval)
	}
}

// Ended implements Policy.
func (s *Scored) Ended(
	now time.Time, _ apricotway.BackendServerID, id apricotway.AttemptID, outcome Outcome,
) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.attempts[id]
	if a == nil {
		return
	}

	delete(s.attempts, id)

	left := load{attempts: 1, decode: max(a.predicted-float64(a.tokens), 0), long: boolToInt(a.long)}
	if a.hasTokens {
		a.engine.decoding--
	} else {
		left.prefill = a.backlog()
	}

	a.engine.own.add(left, -1)
	a.engine.recordLoad(now)

	if outcome == OutcomeFinished && !a.probe() {
		s.predictor.observe(a.work, a.tokens)
	}
}

// backlog returns the prompt tokens of this attempt that short work has to wait for.
func (a *attempt) backlog() float64 {
	if a.long {
		return 0
	}

	return a.uncached
}

// probe tells whether the attempt is a probe (see Probes), which carries no prompt of a caller.
func (a *attempt) probe() bool { return a.work.PromptTokens == 0 }

// Reported implements Policy.
func (s *Scored) Reported(_ time.Time, server apricotway.BackendServerID, report apricotway.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()

	e := s.engines[server]
	if e == nil || e.speeds == nil || !report.Time.After(e.report.Time) {
		return
	}

	e.report = report
	if report.Waiting > 0 {
		e.speeds.slots = max(e.speeds.slots, report.Running)
	}

	own, started := e.ownAt(report.Time)
	e.reported = started
	e.others = load{
		attempts: max(report.Running+report.Waiting-own.attempts, 0),
		decode:   max(float64(report.TokensInFlight)-own.decode-own.prefill, 0),
	}
}

// Cached implements Policy.
func (s *Scored) Cached(_ time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()

	e := s.engines[server]
	if e == nil || e.bit < 0 || s.off[TermEvents] {
		return
	}

	for _, event := range events {
		if event.Sequence <= e.sequence {
			continue
		}

		e.sequence = event.Sequence

		switch event.Kind {
		case apricotway.CacheStored:
			s.index.add(event.Block, e.bit)
		case apricotway.CacheEvicted:
			s.index.remove(event.Block, e.bit)
		}
	}
}

// CacheSequence returns the number of the last cache event known from an engine, after which its events are missing.
func (s *Scored) CacheSequence(server apricotway.BackendServerID) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	if e := s.engines[server]; e != nil {
		return e.sequence
	}

	return 0
}

// Shares returns the work of this process on each engine, to be announced to its peers.
func (s *Scored) Shares() []Share {
	s.mu.Lock()
	defer s.mu.Unlock()

	shares := []Share{}

	for _, e := range s.list {
		if e.own.attempts > 0 {
			shares = append(shares, Share{e.id, e.own.attempts, e.own.decode, e.own.prefill, e.own.long})
		}
	}

	return shares
}

// PeerShares takes a peer's announcement, which replaces its previous one.
func (s *Scored) PeerShares(now time.Time, peer apricotway.NodeID, shares []Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for node, old := range s.peers {
		if now.Sub(old.time) > PeerLifetime {
			s.forgetPeer(node)
		}
	}

	a := s.peers[peer]
	if a == nil {
		a = &announcement{}
		s.peers[peer] = a
	} else {
		s.addAnnouncement(a, -1)
	}

	a.time, a.shares, s.peersSeen = now, slices.Clone(shares), now

	for _, e := range s.list {
		if e.bit >= 0 {
			a.started[e.bit] = e.started
		}
	}

	s.addAnnouncement(a, 1)
}

// ForgetPeer drops the announcement of a peer that has left.
func (s *Scored) ForgetPeer(peer apricotway.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.forgetPeer(peer)
}

func (s *Scored) forgetPeer(peer apricotway.NodeID) {
	if a := s.peers[peer]; a != nil {
		s.addAnnouncement(a, -1)
		delete(s.peers, peer)
	}
}

// addAnnouncement adds an announcement to the sums of the engines, or subtracts it from them.
func (s *Scored) addAnnouncement(a *announcement, sign int) {
	for i := range a.shares {
		if e := s.engines[a.shares[i].Server]; e != nil {
			e.peers.add(a.shares[i].load(), sign)
		}
	}

	for _, e := range s.list {
		if e.bit >= 0 {
			e.echoed.add(a.started[e.bit], sign)
		}
	}
}

// WorthHedging tells whether a hedge could help an attempt: it has no token yet, or its engine is slow.
func (s *Scored) WorthHedging(now time.Time, id apricotway.AttemptID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.attempts[id]

	return a != nil && (!a.hasTokens || s.slowness(now, a.engine) > 1)
}

// Probes returns the slow engines with too few recent observations to notice their recovery. The caller sends each of them a
// short request of its own and reports it like any attempt, with an empty Work.
func (s *Scored) Probes(now time.Time) []apricotway.BackendServerID {
	s.mu.Lock()
	defer s.mu.Unlock()

	var due []apricotway.BackendServerID

	for _, e := range s.list {
		if e.speeds == nil || s.slowness(now, e) < slowRatio ||
			now.Sub(e.pace.lastSeen) < probeAfter || now.Sub(e.lastProbe) < probePeriod {
			continue
		}

		e.lastProbe = now
		due = append(due, e.id)
	}

	return due
}

// Capacity is the total capacity of engines.
type Capacity struct {
	// Slots is the number of requests that run at once, 0 while unknown; Long is the part of it that long work may take.
	Slots, Long float64
	// TokensPerSecond is the rate of generation with all slots taken.
	TokensPerSecond float64
}

// Capacity returns the capacity of the engines that were candidates for a service within candidateAge. An engine that is
// slow counts only by its relative speed.
func (s *Scored) Capacity(now time.Time, service apricotway.Service) Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()

	var c Capacity

	for k, speeds := range s.kinds {
		if k.service != service || speeds.slots == 0 {
			continue
		}

		for _, e := range s.list {
			if e.speeds != speeds || now.Sub(e.lastCandidate) > candidateAge {
				continue
			}

			part := float64(speeds.slots) / s.slowness(now, e)
			c.Slots += part
			c.Long += part * s.longShare
			c.TokensPerSecond += part / max(speeds.interval(float64(speeds.slots)), 1e-6)
		}
	}

	return c
}
