package dispatch

import (
	"math"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// unevenFrom and evenBelow are the root mean squares of the speed steps of a service's servers from which calls are spread by speed,
	// and below which they no longer are. Speeds of 0.7, 0.7 and 1.7 have 2.4; measured steps of equal servers have up to 1.
	unevenFrom, evenBelow = 1.7, 1.3
	// spreadPasses bounds the passes over the servers in which the level of pickSpread is found.
	spreadPasses = 8
)

// spread holds the servers that one call is spread over, or else those that it is not compared on. It is reused, so that a choice
// allocates nothing.
type spread struct {
	servers []spreadServer
	// skipped counts the servers that the call is not compared on, and spare is any of them, with its rank.
	skipped   int
	spare     *server
	spareRank int
	// held is one of the servers in slow start that the call was held back from, more likely one with more of its allowance left.
	held     *server
	heldRoom float64
}

type spreadServer struct {
	server *server
	// score is the cost of the call now, and cost that of each further call until the next report, in milliseconds.
	score, cost float64
	estimate    estimate
}

// updateEvenLocked records for each service whether the learned speeds of its servers differ.
func (p *Pool) updateEvenLocked() {
	if p.speeds.uneven == nil {
		p.speeds.uneven = map[apricotway.Service]bool{}
	}

	for service, servers := range p.services {
		var sum float64

		for _, s := range servers {
			step := float64(p.speeds.steps[s.backend.ID])
			sum += step * step
		}

		limit := unevenFrom
		if p.speeds.uneven[service] {
			limit = evenBelow
		}

		p.speeds.uneven[service] = math.Sqrt(sum/float64(max(len(servers), 1))) >= limit
	}
}

// spreadsLocked reports whether the calls of a service are spread by speed.
func (p *Pool) spreadsLocked(now time.Time, service apricotway.Service) bool {
	return p.processes > 1 && now.Before(p.speeds.until) && p.speeds.uneven[service]
}

// unseenLocked returns the calls of a kind that the other processes place between two reports of theirs.
func (p *Pool) unseenLocked(now time.Time, kind callKind) float64 {
	rate := p.callRates[kind]
	if rate == nil || p.processes < 2 {
		return 0
	}

	return rate.current(now) * p.period.Seconds() * float64(p.processes-1)
}

// stepLocked decides by chance whether a call is compared on a server. always is set if only slow start may keep it from the server, and
// first if it is compared on no other one yet.
func (p *Pool) stepLocked(
	now time.Time, s *server, request *Request, rank int, preferred serverRange, chance float64, always, first bool,
) rampStep {
	step := rampNone
	if s.ramp.allowance > 0 {
		step = p.rampStepLocked(now, s, request, chance, preferred.contains(rank))
	}

	if step == rampNone && !always && p.skipLocked(now, s, request, rank, chance, first) {
		return rampHeld
	}

	return step
}

// skipLocked reports whether a call is not compared on a server, by chance. Without learned speeds the first server is always compared, so
// that there is a choice even if chance skips all others. That doesn't hold for a stream that has begun: the first one of a version with few
// servers is the same in all processes, and after a start of all of them it got half of the streams that callers took up.
func (p *Pool) skipLocked(now time.Time, s *server, request *Request, rank int, chance float64, first bool) bool {
	if !p.learnsSpeeds && !request.Origin.Begun() {
		return !first && p.random.Float64() >= chance
	}

	if chance >= 1 || p.random.Float64() < chance/s.slowerBy(now) {
		return false
	}

	if p.spread.skipped++; p.random.IntN(p.spread.skipped) == 0 {
		p.spread.spare, p.spread.spareRank = s, rank
	}

	return true
}

// pickLocked returns the server that the call is spread to. Without spread it is any of the servers that the call was not compared on,
// for the case that the others are ejected or that there are none.
func (p *Pool) pickLocked(now time.Time, request Request, chain []chainLink, preferred serverRange) *spreadServer {
	if spare := p.spread.spare; spare != nil {
		e := spare.estimate(now, request, chain, false)
		score := p.scoreLocked(now, spare, e.score, preferred.contains(p.spread.spareRank), preferred)
		p.spread.servers = append(p.spread.servers, spreadServer{server: spare, score: max(score, ejectedPenalty), cost: e.cost, estimate: e})

		return &p.spread.servers[0]
	}

	if len(p.spread.servers) == 0 {
		return nil
	}

	return p.pickSpreadLocked(1 + p.unseenLocked(now, callKind{request.Service, SizeOf(request.PromptTokens) >= longPromptClass}))
}

// pickSpreadLocked chooses a server by chance such that the calls of all processes between two reports, which choose by the same news,
// bring the servers to the same score. Each server's chance is the number of calls that raise its score to that level. With little
// traffic it is the server with the lowest score, and with much traffic the chances follow the speeds.
func (p *Pool) pickSpreadLocked(calls float64) *spreadServer {
	list := p.spread.servers
	level := math.Inf(1)

	for range spreadPasses {
		var places, weighted float64

		for i := range list {
			if s := &list[i]; s.score < level {
				places += 1 / s.cost
				weighted += s.score / s.cost
			}
		}

		next := (calls + weighted) / places
		if next >= level {
			break
		}

		level = next
	}

	var sum float64
	for i := range list {
		sum += max(level-list[i].score, 0) / list[i].cost
	}

	at := p.random.Float64() * sum
	chosen := &list[0]

	for i := range list {
		s := &list[i]
		if s.score >= level {
			continue
		}

		chosen = s

		if at -= (level - s.score) / s.cost; at < 0 {
			break
		}
	}

	return chosen
}
