package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Term is an input of the score that measurements can switch off.
type Term string

// The terms of the score.
const (
	// TermWait is the expected wait for a place in the engine's batch.
	TermWait Term = "wait"
	// TermPrefill is the expected prefill after prefix hits.
	TermPrefill Term = "prefill"
	// TermDecode is the expected time for decoding.
	TermDecode Term = "decode"
	// TermPeers is the load that other processes announced.
	TermPeers Term = "peers"
	// TermEcho expects peers to decide like this process between two announcements.
	TermEcho Term = "echo"
	// TermReports is the load of engine reports.
	TermReports Term = "reports"
	// TermPace is the comparison of an engine's pace with its equals.
	TermPace Term = "pace"
	// TermFirstToken is the comparison of first-token times.
	TermFirstToken Term = "firstToken"
	// TermHome is the rendezvous engine for a cold prefix.
	TermHome Term = "home"
	// TermLongBudget is the budget of long work on each engine.
	TermLongBudget Term = "longBudget"
	// TermEvents are the cache events of engines.
	TermEvents Term = "events"
)

// Terms returns every term.
func Terms() []Term {
	return []Term{
		TermWait, TermPrefill, TermDecode, TermPeers, TermEcho, TermReports, TermPace, TermFirstToken, TermHome, TermLongBudget,
		TermEvents,
	}
}

const (
	// DefaultLongShare is the part of an engine's places that long work may hold. In trials at twice the capacity, 543 of
	// 19,560 requests were late with 0.75 and 105 with 0.5, at about the same goodput.
	DefaultLongShare = 0.5
	// PeerLifetime is the age at which a peer's announcement is no longer used. It covers the second between two entries, two
	// more in which they wait for probes, and one that was lost.
	PeerLifetime = 5 * time.Second
	// candidateAge is the age at which an engine that is no candidate any more gives no capacity.
	candidateAge = 3 * time.Second
	// forgetAfter is the time after which an engine that is no candidate any more is forgotten.
	forgetAfter = time.Minute
	// probeAfter is the time without an observation after which a slow engine is probed, and probePeriod the time between
	// two probes of one engine.
	probeAfter  = 200 * time.Millisecond
	probePeriod = 200 * time.Millisecond
	// historySize bounds the past counts that are kept to interpret lagging reports.
	historySize = 64
	// missShared weighs the delay that a prefill causes to each request in the batch, which waits for it too.
	missShared = 2
	// overload is the penalty in seconds of an engine whose budget of long work is spent.
	overload = 3600
)

// Scored is the project's own policy. It chooses the engine with the lowest expected time to the last token.
type Scored struct {
	longShare float64
	off       map[Term]bool

	mu        sync.Mutex
	engines   map[apricotway.BackendServerID]*engineState
	list      []*engineState
	freeSlots []int
	attempts  map[apricotway.AttemptID]*attempt
	kinds     map[kind]*speeds
	index     prefixIndex
	predictor predictor
	// peers holds the last announcement of each peer; peersSeen is the time of the newest one.
	peers     map[apricotway.NodeID]*announcement
	peersSeen time.Time
	sweep     time.Time
	depth     [maxEngines]uint8
	// chosen holds the engines of the candidates and the estimates of their load during a choice.
	chosen []candidate
}

// load is the work that one process has on an engine.
type load struct {
	attempts int
	// decode is the predicted number of tokens left to generate, prefill the prompt tokens that miss the cache, of short
	// attempts without a first token: engines prefill them before long ones. long counts long attempts.
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
	id     apricotway.BackendServerID
	slot   int
	seen   time.Time
	speeds *speeds
	pace   pace

	// peers is the sum of the announcements.
	own, peers load
	// report is the newest load report; others is what it says about work of other processes.
	report       apricotway.LoadReport
	others       load
	lastProgress time.Time
	decoding     int
	// started sums up the own short attempts and their tokens. Echoed is what of it lies before the last announcement of each
	// peer, reported what lies before the report.
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
	// alone is set when the engine had a free place and no other prefill at the start.
	alone     bool
	expected  float64
	started   time.Time
	last      time.Time
	tokens    int
	hasTokens bool
}

// announcement is what a peer told last.
type announcement struct {
	time   time.Time
	shares []Share
	// started holds the engines' own started work at that time, by slot.
	started [maxEngines]startedWork
}

// startedWork counts attempts and their predicted tokens. Whole numbers add up and subtract without a rest.
type startedWork struct{ attempts, tokens int }

func (w *startedWork) add(other startedWork, sign int) {
	w.attempts += sign * other.attempts
	w.tokens += sign * other.tokens
}

// ScoredOption changes a policy under construction.
type ScoredOption func(*Scored)

// WithLongShare sets the part of an engine's places that long work may hold.
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

// NewScored returns a policy that knows nothing yet.
func NewScored(options ...ScoredOption) *Scored {
	s := &Scored{
		longShare: DefaultLongShare,
		off:       map[Term]bool{},
		engines:   map[apricotway.BackendServerID]*engineState{},
		attempts:  map[apricotway.AttemptID]*attempt{},
		kinds:     map[kind]*speeds{},
		index:     newPrefixIndex(indexBlocks),
		predictor: predictor{services: map[apricotway.Service]*lengthHistory{}},
		peers:     map[apricotway.NodeID]*announcement{},
	}
	for slot := range maxEngines {
		s.freeSlots = append(s.freeSlots, maxEngines-1-slot)
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

// Choose implements Policy.
func (s *Scored) Choose(now time.Time, work Work, candidates []apricotway.BackendServer) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	deepest := s.index.depths(work.Blocks, &s.depth)
	predicted, long := s.predictor.predict(work)
	total := 0.0

	s.chosen = slices.Grow(s.chosen[:0], len(candidates))[:len(candidates)]
	announced := s.announced(now)

	for i := range candidates {
		c := &s.chosen[i]
		c.engine = s.engine(now, &candidates[i])
		s.load(announced, c.engine, &c.load)
		total += c.load.attempts()
	}

	s.forget(now)

	var (
		best, home           = -1, -1
		lowest               float64
		homeWeight           uint64
		bestExcluded         bool
		bound                = math.Ceil(loadBound * (total + 1) / float64(max(len(candidates), 1)))
		key                  = affinity(work)
		useHome              = deepest == 0 && len(work.Blocks) > 0 && !s.off[TermHome]
		fullDepth, lostBlock = float64(work.PromptTokens), float64(apricotway.BlockTokens)
	)

	for i := range s.chosen {
		e, l := s.chosen[i].engine, &s.chosen[i].load
		excluded := len(work.Excluded) > 0 && slices.Contains(work.Excluded, e.id)

		if best >= 0 && excluded && !bestExcluded {
			continue
		}

		miss := fullDepth
		if e.slot >= 0 {
			miss = max(fullDepth-float64(s.depth[e.slot])*lostBlock, 1)
		}

		value := s.score(now, e, l, miss, predicted, long)

		if best < 0 || value < lowest || bestExcluded && !excluded {
			best, lowest, bestExcluded = i, value, excluded
		}

		if !useHome || excluded || l.attempts()+1 > bound || s.slowness(now, e) > slowRatio || value > overload {
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

// candidate is one engine during a choice.
type candidate struct {
	engine *engineState
	load   estimate
}

// estimate is the work on an engine as this process sees it.
type estimate struct{ own, others load }

func (e *estimate) attempts() float64 { return float64(e.own.attempts + e.others.attempts) }
func (e *estimate) decode() float64   { return e.own.decode + e.others.decode }
func (e *estimate) prefill() float64  { return e.own.prefill + e.others.prefill }
func (e *estimate) long() int         { return e.own.long + e.others.long }

// announced tells whether announcements of other processes are known and not out of date.
func (s *Scored) announced(now time.Time) bool {
	return !s.off[TermPeers] && len(s.peers) > 0 && now.Sub(s.peersSeen) < PeerLifetime
}

// load estimates the work on an engine. Own work is known exactly. The work of others comes from their announcements or
// from the last report less the own work at its time, whichever is newer. Peers decide from the same information: since then
// each is expected to have sent to the engine what this process has sent to it.
func (s *Scored) load(announced bool, e *engineState, l *estimate) {
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

// echo adds the own started work as often as there are peers, less what is known of them.
func (l *load) echo(peers int, started, known startedWork) {
	l.attempts += peers*started.attempts - known.attempts
	l.decode += float64(peers*started.tokens - known.tokens)
}

// score returns the expected time to the last token in seconds.
func (s *Scored) score(now time.Time, e *engineState, l *estimate, miss, predicted float64, long bool) float64 {
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
		value += (1 + missShared*n) * miss * speeds.prefillPerToken()
	}

	if !s.off[TermDecode] {
		value += predicted * interval
	}

	value *= s.slowness(now, e)

	if long && !s.off[TermLongBudget] && speeds.slots > 0 && float64(l.long()) >= s.longShare*float64(speeds.slots) {
		value += overload
	}

	return value
}

// slowness returns by how much an engine is slower than its equals, and 1 for an engine that is not.
func (s *Scored) slowness(now time.Time, e *engineState) float64 {
	if s.off[TermPace] {
		return 1
	}

	ratio := e.pace.ratio

	// Without any token of running streams for longer than expected, the engine is at least as slow as the silence shows.
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

// engine returns the state of a candidate and creates it on first sight.
func (s *Scored) engine(now time.Time, server *apricotway.BackendServer) *engineState {
	e := s.engines[server.ID]
	if e == nil {
		e = s.addEngine(server.ID)
	}

	e.seen = now

	if e.speeds == nil {
		k := kind{server.Service, server.MachineClass, server.Version}
		if s.kinds[k] == nil {
			s.kinds[k] = newSpeeds()
		}

		e.speeds = s.kinds[k]
	}

	if !now.Before(e.speeds.medianDue) {
		e.speeds.updateMedian(now, s.list)
	}

	return e
}

func (s *Scored) addEngine(id apricotway.BackendServerID) *engineState {
	e := &engineState{id: id, slot: -1, pace: pace{ratio: 1}}

	if last := len(s.freeSlots) - 1; last >= 0 {
		e.slot, s.freeSlots = s.freeSlots[last], s.freeSlots[:last]
	}

	for _, peer := range s.peers {
		if e.slot >= 0 {
			peer.started[e.slot] = startedWork{}
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

// forget drops engines that have not been candidates for a while.
func (s *Scored) forget(now time.Time) {
	if now.Before(s.sweep) {
		return
	}

	s.sweep = now.Add(forgetAfter / 4)

	s.list = slices.DeleteFunc(s.list, func(e *engineState) bool {
		if now.Sub(e.seen) < forgetAfter || e.own.attempts > 0 {
			return false
		}

		delete(s.engines, e.id)

		if e.slot >= 0 {
			s.index.removeEngine(e.slot)
			s.freeSlots = append(s.freeSlots, e.slot)
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
	a := &attempt{engine: e, work: work, predicted: predicted, long: long, started: now, last: now}
	a.uncached = float64(work.PromptTokens)

	if e.slot >= 0 {
		a.uncached = max(a.uncached-float64(s.depth[e.slot])*apricotway.BlockTokens, 1)

		for _, block := range work.Blocks {
			s.index.add(block, e.slot)
		}
	}

	var l estimate

	s.load(s.announced(now), e, &l)
	a.alone = l.prefill() == 0 && (e.speeds.slots == 0 || l.attempts() < float64(e.speeds.slots))
	a.expected = s.expectedFirst(e, &l, a.uncached)
	s.attempts[id] = a

	if !long {
		e.started.add(startedWork{1, int(math.Round(predicted))}, 1)
	}

	e.own.add(load{attempts: 1, decode: predicted, prefill: a.backlog(), long: count(long)}, 1)
	e.remember(now)
}

func (s *Scored) expectedFirst(e *engineState, l *estimate, miss float64) float64 {
	interval := e.speeds.interval(l.attempts() + 1)

	return 1.5*interval + (miss+l.prefill())*e.speeds.prefillPerToken()
}

func count(is bool) int {
	if is {
		return 1
	}

	return 0
}

// remember keeps the present own load for the interpretation of later reports.
func (e *engineState) remember(now time.Time) {
	e.history[e.historyNext%historySize] = pastLoad{now, e.own, e.started}
	e.historyNext++
}

// ownAt returns the own load and the started work at a past time.
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

	s.load(s.announced(now), e, &l)

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
	a.last = now
}

func (s *Scored) firstToken(now time.Time, a *attempt, l *estimate) {
	e, taken := a.engine, now.Sub(a.started).Seconds()

	if a.alone && a.uncached > apricotway.BlockTokens && e.pace.ratio < slowRatio*e.speeds.median {
		e.speeds.observePrefill(a.uncached, taken-e.speeds.interval(l.attempts()))
	}

	if !s.off[TermFirstToken] && a.alone && a.expected > 0 && e.speeds.n > 50 {
		if ratio := taken / a.expected; ratio > slowRatio || e.decoding == 1 {
			e.pace.observe(now, min(ratio, 8), paceTime.Seconds()/4)
		}
	}
}

func (s *Scored) nextToken(now time.Time, a *attempt, l *estimate, count int) {
	e, interval := a.engine, now.Sub(a.last).Seconds()/float64(count)
	n := l.attempts()

	if e.speeds.slots > 0 {
		n = min(n, float64(e.speeds.slots))
	}

	if expected := e.speeds.interval(n); expected > 0 && e.speeds.n > 50 {
		e.pace.observe(now, min(interval/expected, 8), interval*float64(count))
	}

	// A slow engine must not teach its kind that this speed is usual.
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

	left := load{attempts: 1, decode: max(a.predicted-float64(a.tokens), 0), long: count(a.long)}
	if a.hasTokens {
		a.engine.decoding--
	} else {
		left.prefill = a.backlog()
	}

	a.engine.own.add(left, -1)
	a.engine.remember(now)

	if outcome == OutcomeFinished && !a.probe() {
		s.predictor.observe(a.work, a.tokens)
	}
}

// backlog is the part of the prefill that short work waits for.
func (a *attempt) backlog() float64 {
	if a.long {
		return 0
	}

	return a.uncached
}

// probe tells whether the attempt is a probe, which carries no prompt of a caller.
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
	if e == nil || e.slot < 0 || s.off[TermEvents] {
		return
	}

	for _, event := range events {
		if event.Sequence <= e.sequence {
			continue
		}

		e.sequence = event.Sequence

		switch event.Kind {
		case apricotway.CacheStored:
			s.index.add(event.Block, e.slot)
		case apricotway.CacheEvicted:
			s.index.remove(event.Block, e.slot)
		}
	}
}

// CacheSequence returns the sequence number behind which an engine's cache events are still unknown.
func (s *Scored) CacheSequence(server apricotway.BackendServerID) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	if e := s.engines[server]; e != nil {
		return e.sequence
	}

	return 0
}

// Shares returns this process's work on each engine, for its peers.
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

// PeerShares takes a peer's announcement, which replaces its earlier one.
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
		s.addPeer(a, -1)
	}

	a.time, a.shares, s.peersSeen = now, slices.Clone(shares), now

	for _, e := range s.list {
		if e.slot >= 0 {
			a.started[e.slot] = e.started
		}
	}

	s.addPeer(a, 1)
}

// ForgetPeer drops the announcement of a peer that is gone.
func (s *Scored) ForgetPeer(peer apricotway.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.forgetPeer(peer)
}

func (s *Scored) forgetPeer(peer apricotway.NodeID) {
	if a := s.peers[peer]; a != nil {
		s.addPeer(a, -1)
		delete(s.peers, peer)
	}
}

// addPeer adds an announcement to the sums of the engines, or takes it out of them.
func (s *Scored) addPeer(a *announcement, sign int) {
	for i := range a.shares {
		if e := s.engines[a.shares[i].Server]; e != nil {
			e.peers.add(a.shares[i].load(), sign)
		}
	}

	for _, e := range s.list {
		if e.slot >= 0 {
			e.echoed.add(a.started[e.slot], sign)
		}
	}
}

// Stuck tells whether an attempt is worth a hedge: it has no token yet, or its engine is slow.
func (s *Scored) Stuck(now time.Time, id apricotway.AttemptID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.attempts[id]

	return a != nil && (!a.hasTokens || s.slowness(now, a.engine) > 1)
}

// Probes returns the slow engines from which too little is heard to notice their recovery. The caller sends each of them
// a short request of its own and reports it like any attempt, with an empty Work.
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

// Capacity is what the engines can run at once.
type Capacity struct {
	// Slots is the number of requests, 0 while it is unknown; Long is the part of it that long work may hold.
	Slots, Long float64
	// TokensPerSecond is the rate of generation with all places taken.
	TokensPerSecond float64
}

// Capacity returns the capacity of the engines seen as candidates of a service in the last seconds. Slow engines count
// for less.
func (s *Scored) Capacity(now time.Time, service apricotway.Service) Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()

	var c Capacity

	for k, speeds := range s.kinds {
		if k.service != service || speeds.slots == 0 {
			continue
		}

		for _, e := range s.list {
			if e.speeds != speeds || now.Sub(e.seen) > candidateAge {
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
