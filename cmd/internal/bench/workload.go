// Package bench measures routing and admission policies. It sends an open-loop load, in which requests arrive at their
// intended times whether or not earlier ones have finished, to engine models that run in the same process.
package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// Workload describes the requests of one owner and the engines that serve them.
type Workload struct {
	Name    string
	Service apricotway.Service
	Engines int
	Times   standin.EngineTimes
	Limits  standin.EngineLimits
	// Prefixes is the number of shared prompt prefixes, each PrefixTokens long. Their popularity follows Zipf's law.
	Prefixes     int
	PrefixTokens int
	// Prompt and Answer are the token ranges of a short request. Prompt excludes the shared prefix.
	Prompt, Answer tokenRange
	// LongPart is the fraction of requests whose prompt and answer are LongFactor times longer.
	LongPart   float64
	LongFactor tokenRange
	// Workspaces holds each workspace's fraction of the traffic.
	Workspaces []float64
}

// tokenRange is a range of integers that includes both ends.
type tokenRange [2]int

func (s tokenRange) mean() float64 { return float64(s[0]+s[1]) / 2 }

func (s tokenRange) draw(random *rand.Rand) int { return s[0] + random.IntN(s[1]-s[0]+1) }

// Workloads returns the workloads of the two owners.
func Workloads() []Workload {
	times := standin.EngineTimes{
		PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 8 * time.Millisecond, DecodePerSequence: 250 * time.Microsecond,
	}
	limits := standin.EngineLimits{Batch: 8, KVTokens: 120_000, CacheBlocks: 160, PrefillChunk: 512}

	return []Workload{
		{
			Name: "shop", Service: "shop-model", Engines: 10, Times: times, Limits: limits,
			Prefixes: 60, PrefixTokens: 512, Prompt: tokenRange{64, 256}, Answer: tokenRange{16, 32},
			LongPart: 0.05, LongFactor: tokenRange{8, 30}, Workspaces: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		},
		{
			Name: "belt", Service: "belt-assistant", Engines: 10, Times: times, Limits: limits,
			Prefixes: 40, PrefixTokens: 768, Prompt: tokenRange{128, 384}, Answer: tokenRange{12, 24},
			LongPart: 0.05, LongFactor: tokenRange{8, 30}, Workspaces: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
		},
	}
}

// stepTime returns the duration of one decode step of an engine with a full batch.
func (w *Workload) stepTime() time.Duration {
	return w.Times.DecodePerToken + time.Duration(w.Limits.Batch-1)*w.Times.DecodePerSequence
}

// engineSeconds returns the engine time in seconds that a request uses, with a full batch, for the given numbers of
// prefilled prompt tokens and of answer tokens.
func (w *Workload) engineSeconds(prefill, answer float64) float64 {
	return prefill*w.Times.PrefillPerToken.Seconds() + answer*w.stepTime().Seconds()/float64(w.Limits.Batch)
}

// Capacity returns the requests per second that the engines can finish when every shared prefix is cached.
func (w *Workload) Capacity(long bool) float64 {
	factor := 1.0
	if long {
		factor = 1 - w.LongPart + w.LongPart*w.LongFactor.mean()
	}

	return float64(w.Engines) / w.engineSeconds(factor*w.Prompt.mean(), factor*w.Answer.mean())
}

// arrival is one request of the generated load.
type arrival struct {
	// sendAfter is the intended send time, from the start of the run.
	sendAfter time.Duration
	id        apricotway.RequestID
	workspace apricotway.Workspace
	prompt    string
	// promptTokens is the length of the prompt.
	promptTokens int
	// blocks holds the hashes of the prompt's prefix blocks.
	blocks []uint64
	// answerTokens is the true length of the answer in tokens.
	answerTokens int
	// maxTokens is the limit on answer tokens that the caller sets. It exceeds the true length, because callers seldom
	// know that.
	maxTokens int
	long      bool
	// deadline counts from the intended send time.
	deadline time.Duration
	// router is the index of the entry process that gets the request.
	router int
	// idealHits is the number of prompt tokens that one engine with an unlimited cache would find in its cache.
	idealHits int
}

// arrivals generates the load of one run with Poisson arrivals. Equal arguments give equal loads.
func (w *Workload) arrivals(seed uint64, rate float64, duration time.Duration, long bool, routers int) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := rand.NewZipf(random, 1.1, 2, uint64(w.Prefixes-1))
	seen := map[uint64]bool{}

	var list []arrival

	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return list
		}

		a := arrival{
			sendAfter: time.Duration(at * float64(time.Second)),
			id:        apricotway.RequestID(fmt.Sprintf("%d-%d", seed, len(list))),
			router:    random.IntN(routers),
		}
		w.drawWorkspace(random, &a)
		w.drawPrompt(random, &a, popularity.Uint64(), long)

		for _, block := range a.blocks {
			if !seen[block] {
				break
			}

			a.idealHits += apricotway.BlockTokens
		}

		for _, block := range a.blocks {
			seen[block] = true
		}

		list = append(list, a)
	}
}

func (w *Workload) drawWorkspace(random *rand.Rand, a *arrival) {
	point := random.Float64()

	index := slices.IndexFunc(w.Workspaces, func(part float64) bool {
		point -= part
		return point < 0
	})
	if index < 0 {
		index = len(w.Workspaces) - 1
	}

	a.workspace = w.workspace(index)
}

func (w *Workload) workspace(index int) apricotway.Workspace {
	return apricotway.Workspace(fmt.Sprintf("%s-%d", w.Name, index))
}

func (w *Workload) drawPrompt(random *rand.Rand, a *arrival, prefix uint64, long bool) {
	factor := 1
	if random.Float64() < w.LongPart && long {
		factor, a.long = w.LongFactor.draw(random), true
	}

	a.promptTokens = w.PrefixTokens + factor*w.Prompt.draw(random)
	a.answerTokens = factor * w.Answer.draw(random)
	a.maxTokens = a.answerTokens * (2 + random.IntN(3))

	shared := fmt.Sprintf("%-15d\n", prefix)
	unique := fmt.Sprintf("%016x", random.Uint64())
	a.prompt = strings.Repeat(shared, w.PrefixTokens/4) + strings.Repeat(unique, a.promptTokens/4)[:4*(a.promptTokens-w.PrefixTokens)]
	a.blocks = apricotway.PrefixBlocks(nil, a.prompt)

	// The deadline is 10 times the duration of the request on an engine with a full batch, without queueing or cached
	// prefix, and at least 2 s.
	alone := float64(a.promptTokens)*w.Times.PrefillPerToken.Seconds() + float64(a.answerTokens)*w.stepTime().Seconds()
	a.deadline = max(time.Duration(10*alone*float64(time.Second)), 2*time.Second)
}
