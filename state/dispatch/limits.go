package dispatch

import (
	"slices"
	"time"

	"github.com/apricotway/apricotway/state/intake"
)

const (
	// minLimitedRetryAfter and maxLimitedRetryAfter bound the retry delay given to callers while limits leave no request.
	minLimitedRetryAfter, maxLimitedRetryAfter = 300 * time.Millisecond, 2 * time.Second
)

// SetSharing sets the processes that share the limits of servers.
func (p *Pool) SetSharing(now time.Time, members intake.Members) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.limits.SetMembers(now, members)
	p.brittleLimits.SetMembers(now, members)
}

// UncollectedLimits returns what this process knows about the limits of servers and the last answer to its reports did not have.
func (p *Pool) UncollectedLimits(now time.Time) []intake.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.limits.Uncollected(now)
}

// KnownLimits returns what this process knows about the limits of the servers on its list.
func (p *Pool) KnownLimits(now time.Time) []intake.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.DeleteFunc(p.limits.Known(now), func(s intake.Statement) bool { return p.servers[s.Server] == nil })
}

// LearnLimits records the statements of all processes from the answer to a report that was sent at the time asked. It returns those
// that changed a limit.
func (p *Pool) LearnLimits(now, asked time.Time, collected []intake.Statement) (changes []intake.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.limits.Learn(now, asked, collected)
}

// limitedWaitLocked returns the retry delay for a call that limits leave no server: about the time in which the first of them
// accepts one more request, with random additions so that callers don't return at once. It is 0 if no usable server is limited.
func (p *Pool) limitedWaitLocked(now time.Time, request Request) time.Duration {
	var shortest time.Duration

	for _, s := range p.services[request.Service] {
		if s.leaving() || s.paused(now) || !p.mayUseLocked(now, request, s) {
			continue
		}

		if wait := p.limits.Wait(s.backend.ID); wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}

	if shortest == 0 {
		return 0
	}

	shortest += time.Duration(p.random.Float64() * float64(shortest))

	return min(max(shortest, minLimitedRetryAfter), maxLimitedRetryAfter)
}
