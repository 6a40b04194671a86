package standin

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// EngineTimes holds the durations of an engine's work. A step generates one token for each request that has completed its
// prefill, and prefills at most EngineLimits.PrefillChunk prompt tokens.
type EngineTimes struct {
	// PrefillPerToken is the time to prefill one prompt token that is not cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the duration of a step that decodes for one request.
	DecodePerToken time.Duration
	// DecodePerSequence is added to the step for each further request that decodes in it.
	DecodePerSequence time.Duration
}

// EngineLimits holds the capacity of an engine. Zero means no limit, except that zero CacheBlocks means no cache.
type EngineLimits struct {
	// Batch bounds the requests that run concurrently.
	Batch int
	// KVTokens bounds the prompt and answer tokens of the running requests.
	KVTokens int
	// CacheBlocks bounds the prefix cache, which evicts the least recently used block.
	CacheBlocks int
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int
}

// EngineReports configures the delay and loss of the reports of an engine.
type EngineReports struct {
	// LoadLag is the age of a load report, EventLag that of the newest reported cache event.
	LoadLag, EventLag time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap uint64
}

// ModelOption configures an EngineModel.
type ModelOption func(*EngineModel)

// WithEngineLimits sets the capacity; by default it is unlimited, without a cache.
func WithEngineLimits(limits EngineLimits) ModelOption {
	return func(m *EngineModel) { m.limits = limits }
}

// WithEngineReports sets the delay and loss of reports; by default there are none.
func WithEngineReports(reports EngineReports) ModelOption {
	return func(m *EngineModel) { m.reports = reports }
}

// maxEvents bounds the number of cache events that are kept for readers.
const maxEvents = 8192

// EngineModel simulates an engine in real time, with continuous batching, a prefix cache and priorities. The text of a token
// depends only on the prompt and the index of the token, so that missing, repeated or mixed-up tokens show in the text.
type EngineModel struct {
	times   EngineTimes
	limits  EngineLimits
	reports EngineReports

	mu      sync.Mutex
	waiting []*sequence
	batch   []*sequence
	// kv is the KV cache memory that the batch reserves, in tokens.
	kv int
	// stepping is true while the goroutine that runs the steps exists. It exits when the engine is idle.
	stepping bool
	stepEnd  time.Time
	// idle signals the goroutine that the last request was cancelled, so that it does not outlive the requests.
	idle     chan struct{}
	slow     []slowWindow
	arrivals uint64
	cache    blockCache
	events   []cacheEvent
	sequence uint64
	history  []apricotway.LoadReport

	generated, prefilled, cached int
}

type slowWindow struct {
	from, to time.Time
	factor   float64
}

type cacheEvent struct {
	apricotway.CacheEvent

	time time.Time
}

// sequence is a waiting or running request.
type sequence struct {
	rank    int
	arrival uint64
	blocks  []uint64
	// All in tokens: prompt is the prefill without cache hits, prefill the part that remains, kv the reserved memory,
	// remaining the answer tokens that are still to be generated.
	prompt, prefill, kv int
	remaining           int
	produced            atomic.Int64
	notify              chan struct{}
}

// NewEngineModel returns an idle engine model with the given times.
func NewEngineModel(times EngineTimes, options ...ModelOption) *EngineModel {
	m := &EngineModel{times: times, idle: make(chan struct{}, 1)}
	for _, option := range options {
		option(m)
	}

	m.cache.limit = m.limits.CacheBlocks

	return m
}

// Slow multiplies the engine's times by the factor within a time window. The largest factor of overlapping windows counts.
func (m *EngineModel) Slow(from, to time.Time, factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.slow = append(m.slow, slowWindow{from, to, factor})
}

// vocabulary lists the token texts, some of which have multi-byte characters.
var vocabulary = []string{
	" copper", " pan", " lining", " worn", " tin", " rim", " belt", " kernel", " lot", " reject", " μ", " °C", " ok", ".",
	" calibrate", " replace", " check", " heat", " batch", " é", " 漢", "\n",
}

// TokenText returns the text of one token of the answer to a prompt.
func TokenText(prompt string, index int) string {
	return promptDigest(prompt).text(index)
}

// textSource derives the token texts of an answer from the digest of the prompt.
type textSource struct{ digest xxhash.Digest }

func promptDigest(prompt string) textSource {
	var source textSource

	source.digest.Reset()
	_, _ = source.digest.WriteString(prompt)

	return source
}

func (s textSource) text(index int) string {
	var buffer [24]byte

	_, _ = s.digest.Write(strconv.AppendInt(append(buffer[:0], '#'), int64(index), 10))

	return vocabulary[s.digest.Sum64()%uint64(len(vocabulary))]
}

// Generate runs one request and calls emit with its tokens in order. An error of emit cancels the request.
func (m *EngineModel) Generate(
	ctx context.Context, request engine.Request, emit func(apricotway.Token) error,
) error {
	if err := ctx.Err(); err != nil || request.MaxTokens <= request.ResumeTokens {
		return err
	}

	s, source := m.enqueue(request), promptDigest(request.Prompt)
	defer m.remove(s)

	for index := request.ResumeTokens; index < request.MaxTokens; {
		select {
		case <-s.notify:
		case <-ctx.Done():
			return ctx.Err()
		}

		for ready := request.ResumeTokens + int(s.produced.Load()); index < ready; index++ {
			token := apricotway.Token{Index: index, Text: source.text(index)}
			if index == request.MaxTokens-1 {
				token.Finish = apricotway.FinishLength
			}

			if err := emit(token); err != nil {
				return err
			}
		}
	}

	return nil
}

func (m *EngineModel) enqueue(request engine.Request) *sequence {
	s := &sequence{
		rank:      rank(request.Priority),
		prompt:    apricotway.EstimateTokens(request.Prompt) + request.ResumeTokens,
		remaining: request.MaxTokens - request.ResumeTokens,
		notify:    make(chan struct{}, 1),
	}
	s.kv = s.prompt + s.remaining

	if m.limits.CacheBlocks > 0 {
		s.blocks = apricotway.PrefixBlocks(nil, request.Prompt)
	}

	if request.KVHandle != "" {
		// With an imported KV cache only one token is left to prefill.
		s.prompt, s.blocks = 1, nil
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.arrivals++
	s.arrival = m.arrivals
	m.waiting = append(m.waiting, s)
	m.record(time.Now())

	if !m.stepping {
		m.stepping, m.stepEnd = true, time.Now()
		go m.run()
	}

	return s
}

func rank(priority string) int {
	switch apricotway.Priority(priority) {
	case apricotway.PriorityHigh:
		return 0
	case apricotway.PriorityLow:
		return 2
	case apricotway.PriorityNormal:
	}

	return 1
}

// remove takes a cancelled request out of the queue or the batch; a finished one was removed from the batch after its last step.
func (m *EngineModel) remove(s *sequence) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if i := slices.Index(m.waiting, s); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}

	if i := slices.Index(m.batch, s); i >= 0 {
		m.batch = slices.Delete(m.batch, i, i+1)
		m.kv -= s.kv
	}

	m.record(time.Now())

	if m.empty() {
		select {
		case m.idle <- struct{}{}:
		default:
		}
	}
}

func (m *EngineModel) empty() bool { return len(m.batch)+len(m.waiting) == 0 }

// run executes steps until no request is left. Each step starts at the time when the previous one was due to end, so that late
// timers do not slow the engine down.
func (m *EngineModel) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()

	for {
		m.mu.Lock()
		m.admit()

		if len(m.batch) == 0 {
			m.stepping = false
			m.mu.Unlock()

			return
		}

		duration, decoding := m.planStep()
		m.stepEnd = m.stepEnd.Add(duration)
		m.mu.Unlock()

		timer.Reset(time.Until(m.stepEnd))

		if m.cancelledBefore(timer.C) {
			return
		}

		m.mu.Lock()
		m.finishStep(decoding)
		m.mu.Unlock()
	}
}

// admit moves waiting requests into the batch by priority, then by arrival. The caller holds the lock.
func (m *EngineModel) admit() {
	slices.SortFunc(m.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrival, b.arrival))
	})

	for len(m.waiting) > 0 {
		s := m.waiting[0]
		full := m.limits.Batch > 0 && len(m.batch) >= m.limits.Batch
		noMemory := m.limits.KVTokens > 0 && m.kv+s.kv > m.limits.KVTokens

		// A request that exceeds the memory runs alone; otherwise it would wait forever.
		if len(m.batch) > 0 && (full || noMemory) {
			return
		}

		hit := m.cache.match(s.blocks) * apricotway.BlockTokens
		s.prefill = max(s.prompt-hit, 1)
		m.cached += s.prompt - s.prefill
		m.prefilled += s.prefill
		m.kv += s.kv
		m.batch = append(m.batch, s)
		m.waiting = m.waiting[1:]
	}
}

// planStep distributes the prefill chunk over the batch by priority. It returns the duration of the step and the requests that
// decode in it. The caller holds the lock.
func (m *EngineModel) planStep() (time.Duration, []*sequence) {
	slices.SortStableFunc(m.batch, func(a, b *sequence) int { return cmp.Compare(a.rank, b.rank) })

	chunk, spent := m.limits.PrefillChunk, 0
	if chunk == 0 {
		chunk = int(^uint(0) >> 1)
	}

	var decoding []*sequence

	for _, s := range m.batch {
		part := min(s.prefill, chunk-spent)
		s.prefill -= part
		spent += part

		// The step that completes the prefill of a request also generates its first token.
		if s.prefill == 0 {
			decoding = append(decoding, s)
		}
	}

	duration := time.Duration(spent) * m.times.PrefillPerToken
	if len(decoding) > 0 {
		duration += m.times.DecodePerToken + time.Duration(len(decoding)-1)*m.times.DecodePerSequence
	}

	return time.Duration(float64(duration) * m.factor(m.stepEnd)), decoding
}

// cancelledBefore waits for the end of a step. It returns true if all requests were cancelled before it.
func (m *EngineModel) cancelledBefore(end <-chan time.Time) bool {
	for {
		select {
		case <-end:
			return false
		case <-m.idle:
		}

		m.mu.Lock()
		if m.empty() {
			m.stepping = false
			m.mu.Unlock()

			return true
		}
		m.mu.Unlock()
	}
}

func (m *EngineModel) factor(now time.Time) float64 {
	factor := 1.0

	for _, window := range m.slow {
		if !now.Before(window.from) && now.Before(window.to) {
			factor = max(factor, window.factor)
		}
	}

	return factor
}

// finishStep adds the tokens of a step to its requests and removes the completed ones. The caller holds the lock.
func (m *EngineModel) finishStep(decoding []*sequence) {
	for _, s := range decoding {
		if s.produced.Add(1) == 1 {
			m.store(s.blocks)
		}

		s.remaining--
		m.generated++

		select {
		case s.notify <- struct{}{}:
		default:
		}
	}

	m.batch = slices.DeleteFunc(m.batch, func(s *sequence) bool {
		if s.remaining <= 0 {
			m.kv -= s.kv
		}

		return s.remaining <= 0
	})
	m.record(m.stepEnd)
}

func (m *EngineModel) store(blocks []uint64) {
	stored, evicted := m.cache.store(blocks)
	m.addEvents(apricotway.CacheStored, stored)
	m.addEvents(apricotway.CacheEvicted, evicted)
}

func (m *EngineModel) addEvents(kind apricotway.CacheEventKind, blocks []uint64) {
	for _, block := range blocks {
		m.sequence++
		if m.reports.EventGap > 0 && m.sequence%m.reports.EventGap == 0 {
			continue
		}

		event := apricotway.CacheEvent{Sequence: m.sequence, Kind: kind, Block: block}
		m.events = append(m.events, cacheEvent{event, m.stepEnd})
	}

	if len(m.events) > maxEvents {
		m.events = slices.Delete(m.events, 0, len(m.events)-maxEvents)
	}
}

// CacheEvents returns the events after a sequence number that are at least EventLag old.
func (m *EngineModel) CacheEvents(now time.Time, after uint64) []apricotway.CacheEvent {
	m.mu.Lock()
	defer m.mu.Unlock()

	events := []apricotway.CacheEvent{}

	first, _ := slices.BinarySearchFunc(m.events, after+1, func(e cacheEvent, sequence uint64) int {
		return cmp.Compare(e.Sequence, sequence)
	})
	for _, event := range m.events[first:] {
		if now.Sub(event.time) < m.reports.EventLag {
			break
		}

		events = append(events, event.CacheEvent)
	}

	return events
}

// Load returns the load report, which describes the state of the engine LoadLag ago.
func (m *EngineModel) Load(now time.Time) apricotway.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()

	seen := now.Add(-m.reports.LoadLag)
	if m.reports.LoadLag == 0 {
		return m.currentLoad(seen)
	}

	report := apricotway.LoadReport{}

	for _, old := range m.history {
		if old.Time.After(seen) {
			break
		}

		report = old
	}

	report.Time = seen

	return report
}

// Now returns the current load, without the lag of a report.
func (m *EngineModel) Now(now time.Time) apricotway.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.currentLoad(now)
}

// record stores the current load for later reports. The caller holds the lock.
func (m *EngineModel) record(now time.Time) {
	if m.reports.LoadLag == 0 {
		return
	}

	keep := now.Add(-2 * m.reports.LoadLag)
	stale := 0

	for stale+1 < len(m.history) && m.history[stale+1].Time.Before(keep) {
		stale++
	}

	m.history = append(slices.Delete(m.history, 0, stale), m.currentLoad(now))
}

func (m *EngineModel) currentLoad(now time.Time) apricotway.LoadReport {
	report := apricotway.LoadReport{Running: len(m.batch), Waiting: len(m.waiting), Time: now}
	for _, s := range m.batch {
		report.TokensInFlight += s.prefill + s.remaining
	}

	for _, s := range m.waiting {
		report.TokensInFlight += s.prompt + s.remaining
	}

	return report
}

// EngineWork holds the numbers of tokens that an engine has generated, prefilled and found in its cache.
type EngineWork struct{ Generated, Prefilled, Cached int }

// Work returns the tokens that the engine has processed so far.
func (m *EngineModel) Work() EngineWork {
	m.mu.Lock()
	defer m.mu.Unlock()

	return EngineWork{Generated: m.generated, Prefilled: m.prefilled, Cached: m.cached}
}

// Forecast estimates the time from now until the first and the last token of a request on this engine, from its actual state.
// The oracle among the routing policies uses it.
func (m *EngineModel) Forecast(now time.Time, blocks []uint64, prompt, answer int) (first, last time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	prefill := max(prompt-m.cache.peek(blocks)*apricotway.BlockTokens, 1)
	step := m.times.DecodePerToken + time.Duration(len(m.batch))*m.times.DecodePerSequence

	for _, s := range m.batch {
		if s.rank <= 1 {
			prefill += s.prefill
		}
	}

	ahead, remaining := 0, make([]int, 0, len(m.batch)+len(m.waiting))
	for _, s := range m.batch {
		remaining = append(remaining, s.remaining)
	}

	for _, s := range m.waiting {
		if s.rank <= 1 {
			prefill += s.prompt
			ahead++
		}
	}

	slices.Sort(remaining)

	if limit := m.limits.Batch; limit > 0 && len(m.batch)+ahead >= limit && len(remaining) > 0 {
		first = time.Duration(remaining[min(len(m.batch)+ahead-limit, len(remaining)-1)]) * step
	}

	first += time.Duration(prefill)*m.times.PrefillPerToken + step
	last = first + time.Duration(answer-1)*step

	if factor := m.factor(now); factor > 1 {
		first, last = time.Duration(float64(first)*factor), time.Duration(float64(last)*factor)
	}

	return first, last
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
