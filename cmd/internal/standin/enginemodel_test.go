package standin

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/transport/engine"
)

var times = EngineTimes{
	PrefillPerToken: time.Millisecond, DecodePerToken: 10 * time.Millisecond, DecodePerSequence: 2 * time.Millisecond,
}

// generate runs a request and returns its text and the times to the first and the last token.
func generate(t *testing.T, m *EngineModel, request engine.Request) (text string, first, last time.Duration) {
	t.Helper()

	start := time.Now()

	err := m.Generate(t.Context(), request, func(token apricotway.Token) error {
		if text == "" {
			first = time.Since(start)
		}

		text += token.Text

		return nil
	})
	if err != nil {
		t.Error(err)
	}

	return text, first, time.Since(start)
}

// Measurements depend on the times of the model. Guards against a prefill, cache hit, decode step or slow window that takes a
// wrong time.
func TestEngineModelTimes(t *testing.T) {
	prompt := strings.Repeat("abcd", 256)
	request := engine.Request{Prompt: prompt, MaxTokens: 5}

	bubble.Test(t, func(t *testing.T) {
		m := NewEngineModel(times, WithEngineLimits(EngineLimits{Batch: 2, CacheBlocks: 8}))

		text, first, last := generate(t, m, request)
		if want := 266 * time.Millisecond; first != want || last != want+40*time.Millisecond {
			t.Errorf("cold: got %v and %v, want %v and 40 ms more", first, last, want)
		}

		want := ""
		for index := range 5 {
			want += TokenText(prompt, index)
		}

		if text != want {
			t.Errorf("got text %q, want %q", text, want)
		}

		if _, first, _ = generate(t, m, request); first != 11*time.Millisecond {
			t.Errorf("cached: got first token after %v, want 11 ms", first)
		}

		m.Slow(time.Now(), time.Now().Add(time.Second), 4)

		if _, first, _ = generate(t, m, request); first != 44*time.Millisecond {
			t.Errorf("slowed: got first token after %v, want 44 ms", first)
		}

		<-time.After(2 * time.Second)

		if got := m.Work(); got != (EngineWork{Generated: 15, Prefilled: 258, Cached: 510}) {
			t.Errorf("got work %+v, want 15 generated, 258 prefilled and 510 cached tokens", got)
		}
	})
}

// Guards against a batch limit that does not make requests wait, in the order of priority: measurements would then never have a
// queue.
func TestEngineModelBatch(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := NewEngineModel(times, WithEngineLimits(EngineLimits{Batch: 1}),
			WithEngineReports(EngineReports{LoadLag: 50 * time.Millisecond}))

		var (
			group sync.WaitGroup
			mu    sync.Mutex
			order []string
		)

		for _, priority := range []string{"normal", "low", "high"} {
			group.Go(func() {
				generate(t, m, engine.Request{Prompt: "x", MaxTokens: 10, Priority: priority})
				mu.Lock()
				defer mu.Unlock()

				order = append(order, priority)
			})
			synctest.Wait()
		}

		if got := m.Load(time.Now()); got.Running != 0 || got.Waiting != 0 {
			t.Errorf("got load %+v, want the idle state of 50 ms ago", got)
		}

		<-time.After(60 * time.Millisecond)

		if got := m.Load(time.Now()); got.Running != 1 || got.Waiting != 2 {
			t.Errorf("got load %+v, want 1 running and 2 waiting", got)
		}

		group.Wait()

		if got, want := strings.Join(order, " "), "normal high low"; got != want {
			t.Errorf("got order %q, want %q", got, want)
		}

		<-time.After(time.Second)
	})
}

// Guards against cache events without delay, gaps or evictions. A policy that is tested only with complete and current events
// would fail in practice.
func TestEngineModelCacheEvents(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := NewEngineModel(times, WithEngineLimits(EngineLimits{CacheBlocks: 2}),
			WithEngineReports(EngineReports{EventLag: time.Second, EventGap: 3}))

		for _, letter := range []string{"abcd", "efgh"} {
			generate(t, m, engine.Request{Prompt: strings.Repeat(letter, 128), MaxTokens: 1})
		}

		if got := m.CacheEvents(time.Now().Add(500*time.Millisecond), 0); len(got) != 0 {
			t.Errorf("got %d events before the lag, want none", len(got))
		}

		var got []string
		for _, event := range m.CacheEvents(time.Now().Add(time.Second), 1) {
			got = append(got, string(event.Kind))
		}

		// Six events: two stored, two stored, two evicted. The third and the sixth are dropped, the first precedes the range.
		if want := "stored stored evicted"; strings.Join(got, " ") != want {
			t.Errorf("got events %v, want %q", got, want)
		}

		<-time.After(time.Second)
	})
}
