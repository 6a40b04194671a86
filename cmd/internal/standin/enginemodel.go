package standin

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/engine"
)

// EngineTimes holds the speeds of an engine.
type EngineTimes struct {
	// PrefillPerToken is the time for one prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// DecodePerToken is the time for one generated token.
	DecodePerToken time.Duration
}

// EngineModel models the work of an engine. The text of a token depends only on the prompt and the token's index, so that
// a gap, a repeat or a mix-up of answers shows in the text.
type EngineModel struct {
	times   EngineTimes
	running atomic.Int64
}

// NewEngineModel returns a model with the given speeds.
func NewEngineModel(times EngineTimes) *EngineModel { return &EngineModel{times: times} }

// vocabulary holds token texts, with characters of several bytes among them.
var vocabulary = []string{
	" copper", " pan", " lining", " worn", " tin", " rim", " belt", " kernel", " lot", " reject", " μ", " °C", " ok", ".",
	" calibrate", " replace", " check", " heat", " batch", " é", " 漢", "\n",
}

// TokenText returns the text of one token of the answer to a prompt.
func TokenText(prompt string, index int) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt)
	_, _ = fmt.Fprintf(digest, "#%d", index)

	return vocabulary[digest.Sum64()%uint64(len(vocabulary))]
}

// Generate runs one request and emits its tokens in order.
func (m *EngineModel) Generate(
	ctx context.Context, request engine.Request, emit func(apricotway.Token) error,
) error {
	m.running.Add(1)
	defer m.running.Add(-1)

	prompt := apricotway.EstimateTokens(request.Prompt) + request.ResumeTokens
	if err := wait(ctx, time.Duration(prompt)*m.times.PrefillPerToken); err != nil {
		return err
	}

	for index := request.ResumeTokens; index < request.MaxTokens; index++ {
		if err := wait(ctx, m.times.DecodePerToken); err != nil {
			return err
		}

		token := apricotway.Token{Index: index, Text: TokenText(request.Prompt, index)}
		if index == request.MaxTokens-1 {
			token.Finish = apricotway.FinishLength
		}

		if err := emit(token); err != nil {
			return err
		}
	}

	return nil
}

// Load returns the engine's load report.
func (m *EngineModel) Load(now time.Time) apricotway.LoadReport {
	return apricotway.LoadReport{Running: int(m.running.Load()), Time: now}
}

func wait(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}

	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
