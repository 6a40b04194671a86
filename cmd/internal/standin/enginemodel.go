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

// EngineTimes holds the speeds of an engine. A step of the engine generates one token for each running request and
// prefills at most PrefillChunk prompt tokens.
type EngineTimes struct {
	// PrefillPerToken is the time for one prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// DecodePerToken is the time of a step that decodes for one request.
	DecodePerToken time.Duration
	// DecodePerSequence is added to a step for each further request that it decodes for.
	DecodePerSequence time.Duration
}

// EngineLimits holds the sizes of an engine. Zero stands for no limit, and for no cache.
type EngineLimits struct {
	// Batch bounds the requests that run at once.
	Batch int
	// KVTokens bounds the prompt and answer tokens of the running requests.
	KVTokens int
	// CacheBlocks bounds the prefix cache, which evicts the least recently used block.
	CacheBlocks int
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int
}

// EngineReports describes how an engine reports its state.
type EngineReports struct {
	// LoadLag is the age of a load report, EventLag that of the newest cache event.
	LoadLag, EventLag time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap uint64
}

// ModelOption changes an engine model under construction.
type ModelOption func(*EngineModel)

// WithEngineLimits sets the sizes.
func WithEngineLimits(limits EngineLimits) ModelOption {
	return func(m *EngineModel) { m.limits = limits }
}

// WithEngineReports sets the delays of the reports.
func WithEngineReports(reports EngineReports) ModelOption {
	return func(m *EngineModel) { m.reports = reports }
}

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 8192

// EngineModel models an engine in real time: continuous batching, a prefix cache and priorities. The text of a token
// depends only on the prompt and the token's index, so that a gap, a repeat or a mix-up of answers shows in the text.
type EngineModel struct {
	times   EngineTimes
	limits  EngineLimits
	reports EngineReports

	mu      sync.Mutex
	waiting []*sequence
	batch   []*sequence
	// kv is the memory of the batch in tokens.
	kv int
	// stepping is set while the goroutine that runs the steps lives. It ends when the engine is idle.
	stepping bool
	stepEnd  time.Time
	// idle tells the goroutine that the last request was cancelled, so that it does not outlive the requests.
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

// sequence is one request inside the engine.
type sequence struct {
	rank    int
	arrival uint64
	blocks  []uint64
	// prompt is the prefill without any cache hit, prefill what is left of it, kv the memory that the request reserves.
	prompt, prefill, kv int
	left                int
	produced            atomic.Int64
	notify              chan struct{}
}

// NewEngineModel returns a model with the given speeds.
func NewEngineModel(times EngineTimes, options ...ModelOption) *EngineModel {
	m := &EngineModel{times: times, idle: make(chan struct{}, 1)}
	for _, option := range options {
		option(m)
	}

	m.cache.limit = m.limits.CacheBlocks

	return m
}

// Slow multiplies the engine's times by the factor within a window.
func (m *EngineModel) Slow(from, to time.Time, factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.slow = append(m.slow, slowWindow{from, to, factor})
}

// vocabulary holds token texts, with characters of several bytes among them.
var vocabulary = []string{
	" copper", " pan", " lining", " worn", " tin", " rim", " belt", " kernel", " lot", " reject", " μ", " °C", " ok", ".",
	" calibrate", " replace", " check", " heat", " batch", " é", " 漢", "\n",
}

// TokenText returns the text of one token of the answer to a prompt.
func TokenText(prompt string, index int) string {
	return promptDigest(prompt).text(index)
}

// textSource is the digest of a prompt, from which the texts of its tokens follow.
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

// Generate runs one request and emits its tokens in order.
func (m *EngineModel) Generate(
	ctx context.Context, request engine.Request, emit func(apricotway.Token) error,
) error {
	if err := ctx.Err(); err != nil || request.MaxTokens <= request.ResumeTokens {
		return err
	}

	s, source := m.enter(request), promptDigest(request.Prompt)
	defer m.leave(s)

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

func (m *EngineModel) enter(request engine.Request) *sequence {
	s := &sequence{
		rank:   rank(request.Priority),
		prompt: apricotway.EstimateTokens(request.Prompt) + request.ResumeTokens,
		left:   request.MaxTokens - request.ResumeTokens,
		notify: make(chan struct{}, 1),
	}
	s.kv = s.prompt + s.left

	if m.limits.CacheBlocks > 0 {
		s.blocks = apricotway.PrefixBlocks(nil, request.Prompt)
	}

	if request.KVHandle != "" {
		// An imported KV cache leaves one token to prefill.
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

// leave removes a request that was cancelled; a finished one has left the batch with its last step.
func (m *EngineModel) leave(s *sequence) {
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

// run executes steps until no request is left. Each step begins when the previous one was due to end, so that late timers
// do not slow the engine.
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

		duration, decoding := m.plan()
		m.stepEnd = m.stepEnd.Add(duration)
		m.mu.Unlock()

		timer.Reset(time.Until(m.stepEnd))

		if m.cancelled(timer.C) {
			return
		}

		m.mu.Lock()
		m.finish(decoding)
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

		// A request larger than the memory runs alone rather than never.
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

// plan spends the prefill chunk on the batch by priority and returns the duration of the step and the requests that decode
// in it. The caller holds the lock.
func (m *EngineModel) plan() (time.Duration, []*sequence) {
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

		// The step that completes a prefill also generates the first token.
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

// cancelled waits for the end of a step and returns true when all requests have left before it.
func (m *EngineModel) cancelled(end <-chan time.Time) bool {
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

// finish hands out the tokens of a step. The caller holds the lock.
func (m *EngineModel) finish(decoding []*sequence) {
	for _, s := range decoding {
		if s.produced.Add(1) == 1 {
			m.store(s.blocks)
		}

		s.left--
		m.generated++

		select {
		case s.notify <- struct{}{}:
		default:
		}
	}

	m.batch = slices.DeleteFunc(m.batch, func(s *sequence) bool {
		if s.left <= 0 {
			m.kv -= s.kv
		}

		return s.left <= 0
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

// CacheEvents returns the events behind a sequence number that are old enough to be seen.
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

// Load returns the engine's load report, which describes the engine as it was before the lag.
func (m *EngineModel) Load(now time.Time) apricotway.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()

	seen := now.Add(-m.reports.LoadLag)
	if m.reports.LoadLag == 0 {
		return m.current(seen)
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

// Now returns the present load without the lag, as a direct probe would see it.
func (m *EngineModel) Now(now time.Time) apricotway.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.current(now)
}

// record keeps the present load for later reports. The caller holds the lock.
func (m *EngineModel) record(now time.Time) {
	if m.reports.LoadLag == 0 {
		return
	}

	keep := now.Add(-2 * m.reports.LoadLag)
	stale := 0

	for stale+1 < len(m.history) && m.history[stale+1].Time.Before(keep) {
		stale++
	}

	m.history = append(slices.Delete(m.history, 0, stale), m.current(now))
}

func (m *EngineModel) current(now time.Time) apricotway.LoadReport {
	report := apricotway.LoadReport{Running: len(m.batch), Waiting: len(m.waiting), Time: now}
	for _, s := range m.batch {
		report.TokensInFlight += s.prefill + s.left
	}

	for _, s := range m.waiting {
		report.TokensInFlight += s.prompt + s.left
	}

	return report
}

// EngineWork counts what an engine has done, in tokens.
type EngineWork struct{ Generated, Prefilled, Cached int }

// Work returns what the engine has done so far.
func (m *EngineModel) Work() EngineWork {
	m.mu.Lock()
	defer m.mu.Unlock()

	return EngineWork{Generated: m.generated, Prefilled: m.prefilled, Cached: m.cached}
}

// Forecast returns the time that a request would take here until its first and until its last token, from the engine's true
// state. It serves the oracle among the routing policies.
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
		remaining = append(remaining, s.left)
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
