package routing

import (
	"math/bits"

	"github.com/apricotway/apricotway"
)

const (
	// priorTokens is the expected length of an answer before any was observed.
	priorTokens = 256
	// lengthWeight is the weight of a new answer in the moving averages.
	lengthWeight = 0.1
	// minAnswers is the number of answers from which on an average is used.
	minAnswers = 3
	// longFactor is the multiple of the service's median above which work counts as long.
	longFactor = 4
	// medianStep is the relative step by which the running medians follow the observations.
	medianStep = 0.05
)

// predictor predicts the length of answers from the history of each service.
type predictor struct {
	services map[apricotway.Service]*lengthHistory
}

type lengthHistory struct {
	// buckets holds the average answer lengths by the magnitudes of prompt length and requested maximum; prompts holds them
	// by the magnitude of the prompt length alone. median is the running median of the answer lengths, medianPrompts that of
	// the prompt lengths.
	buckets       [24][24]average
	prompts       [24]average
	all           average
	median        float64
	medianPrompts float64
}

type average struct {
	value float32
	count int32
}

func (a *average) add(value float64) {
	a.count++
	// The first ten answers have equal weight.
	weight := max(lengthWeight, 1/float32(a.count))
	a.value += weight * (float32(value) - a.value)
}

func magnitude(n int) int { return min(bits.Len(uint(max(n, 0))), 23) }

// predict returns the expected answer length in tokens and whether the work is long, in its answer or its prompt.
func (p *predictor) predict(work Work) (tokens float64, long bool) {
	history := p.services[work.Service]
	if history == nil {
		return float64(min(work.MaxTokens, priorTokens)), false
	}

	prompt := magnitude(work.PromptTokens)
	tokens = priorTokens

	for _, source := range []*average{
		&history.buckets[prompt][magnitude(work.MaxTokens)], &history.prompts[prompt], &history.all,
	} {
		if source.count >= minAnswers {
			tokens = float64(source.value)
			break
		}
	}

	tokens = min(tokens, float64(work.MaxTokens))
	long = tokens > longFactor*history.median || float64(work.PromptTokens) > longFactor*history.medianPrompts

	return tokens, long
}

func (p *predictor) observe(work Work, tokens int) {
	history := p.services[work.Service]
	if history == nil {
		history = &lengthHistory{median: float64(tokens), medianPrompts: float64(work.PromptTokens)}
		p.services[work.Service] = history
	}

	prompt := magnitude(work.PromptTokens)
	history.buckets[prompt][magnitude(work.MaxTokens)].add(float64(tokens))
	history.prompts[prompt].add(float64(tokens))
	history.all.add(float64(tokens))

	stepMedian(&history.median, float64(tokens))
	stepMedian(&history.medianPrompts, float64(work.PromptTokens))
}

// stepMedian moves a running median one step towards a value.
func stepMedian(median *float64, value float64) {
	switch {
	case value > *median:
		*median *= 1 + medianStep
	case value < *median:
		*median *= 1 - medianStep
	}

	*median = max(*median, 1)
}
