// Package bench measures routing and admission with an open-loop load on engine models that run in this process.
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
	// Prefixes is the number of shared prefixes, of PrefixTokens each; their use follows Zipf's law.
	Prefixes     int
	PrefixTokens int
	// Prompt and Answer are the ranges of a short request in tokens, beyond the shared prefix.
	Prompt, Answer span
	// LongPart of the requests have a prompt and an answer that are LongFactor times longer.
	LongPart   float64
	LongFactor span
	// Workspaces are the parts of the workspaces in the traffic.
	Workspaces []float64
}

// span is a range with both ends.
type span [2]int

func (s span) mean() float64 { return float64(s[0]+s[1]) / 2 }

func (s span) draw(random *rand.Rand) int { return s[0] + random.IntN(s[1]-s[0]+1) }

// Workloads returns the workloads of the two owners.
func Workloads() []Workload {
	times := standin.EngineTimes{
		PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 8 * time.Millisecond, DecodePerSequence: 250 * time.Microsecond,
	}
	limits := standin.EngineLimits{Batch: 8, KVTokens: 120_000, CacheBlocks: 160, PrefillChunk: 512}

	return []Workload{
		{
			Name: "shop", Service: "shop-model", Engines: 10, Times: times, Limits: limits,
			Prefixes: 60, PrefixTokens: 512, Prompt: span{64, 256}, Answer: span{16, 32},
			LongPart: 0.05, LongFactor: span{8, 30}, Workspaces: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		},
		{
			Name: "belt", Service: "belt-assistant", Engines: 10, Times: times, Limits: limits,
			Prefixes: 40, PrefixTokens: 768, Prompt: span{128, 384}, Answer: span{12, 24},
			LongPart: 0.05, LongFactor: span{8, 30}, Workspaces: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
		},
	}
}

// step is the time of one step of an engine with a full batch.
func (w *Workload) step() time.Duration {
	return w.Times.DecodePerToken + time.Duration(w.Limits.Batch-1)*w.Times.DecodePerSequence
}

// cost is the part of an engine's time that a request takes.
func (w *Workload) cost(prefill, answer float64) float64 {
	return prefill*w.Times.PrefillPerToken.Seconds() + answer*w.step().Seconds()/float64(w.Limits.Batch)
}

// Capacity returns the requests per second that the engines can finish when every shared prefix is cached.
func (w *Workload) Capacity(long bool) float64 {
	factor := 1.0
	if long {
		factor = 1 - w.LongPart + w.LongPart*w.LongFactor.mean()
	}

	return float64(w.Engines) / w.cost(factor*w.Prompt.mean(), factor*w.Answer.mean())
}

// arrival is one request of the load.
type arrival struct {
	at        time.Duration
	id        apricotway.RequestID
	workspace apricotway.Workspace
	prompt    string
	tokens    int
	blocks    []uint64
	answer    int
	// maximum is what the caller asks for; it only bounds the answer, as callers seldom know the length.
	maximum  int
	long     bool
	deadline time.Duration
	router   int
	// ideal is the number of prompt tokens that one engine with an unlimited cache would find there.
	ideal int
}

// arrivals generates the load of one run. Equal arguments give equal loads.
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
			at:     time.Duration(at * float64(time.Second)),
			id:     apricotway.RequestID(fmt.Sprintf("%d-%d", seed, len(list))),
			router: random.IntN(routers),
		}
		w.drawWorkspace(random, &a)
		w.drawText(random, &a, popularity.Uint64(), long)

		for _, block := range a.blocks {
			if !seen[block] {
				break
			}

			a.ideal += apricotway.BlockTokens
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

func (w *Workload) drawText(random *rand.Rand, a *arrival, prefix uint64, long bool) {
	factor := 1
	if random.Float64() < w.LongPart && long {
		factor, a.long = w.LongFactor.draw(random), true
	}

	a.tokens = w.PrefixTokens + factor*w.Prompt.draw(random)
	a.answer = factor * w.Answer.draw(random)
	a.maximum = a.answer * (2 + random.IntN(3))

	shared := fmt.Sprintf("%-15d\n", prefix)
	own := fmt.Sprintf("%016x", random.Uint64())
	a.prompt = strings.Repeat(shared, w.PrefixTokens/4) + strings.Repeat(own, a.tokens/4)[:4*(a.tokens-w.PrefixTokens)]
	a.blocks = apricotway.PrefixBlocks(nil, a.prompt)

	// Ten times the undisturbed time, and not below 2 s.
	alone := float64(a.tokens)*w.Times.PrefillPerToken.Seconds() + float64(a.answer)*w.step().Seconds()
	a.deadline = max(time.Duration(10*alone*float64(time.Second)), 2*time.Second)
}
