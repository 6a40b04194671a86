// Package callerlimit keeps the limits that callers may go by while a change of the configuration spreads.
package callerlimit

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// spreadTime is the longest time for which callers may go by a configuration after this process has put a newer one in force.
const spreadTime = 10 * time.Second

// Limits holds the newest limits and those that were replaced within spreadTime. It is safe for concurrent use.
type Limits struct {
	mu     sync.Mutex
	newest apricotway.CallerLimits
	// configured is set once a configuration has stated newest.
	configured bool
	// replaced holds earlier limits, the oldest first.
	replaced []replaced
}

// replaced is a set of limits with the time at which newer ones replaced it.
type replaced struct {
	limits apricotway.CallerLimits
	at     time.Time
}

// New returns limits that apply until a configuration is known.
func New(unconfigured apricotway.CallerLimits) *Limits { return &Limits{newest: unconfigured} }

// Replace puts the limits of a newer configuration in force.
func (l *Limits) Replace(now time.Time, newest apricotway.CallerLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.configured && newest != l.newest {
		l.replaced = append(l.replaced, replaced{l.newest, now})
	}

	l.newest, l.configured = newest, true
}

// InForce returns for each limit the most that any configuration allows by which callers may go.
func (l *Limits) InForce(now time.Time) apricotway.CallerLimits {
	l.mu.Lock()
	defer l.mu.Unlock()

	for len(l.replaced) > 0 && now.Sub(l.replaced[0].at) > spreadTime {
		l.replaced = l.replaced[1:]
	}

	most := l.newest
	for _, r := range l.replaced {
		most.HeaderBytes = max(most.HeaderBytes, r.limits.HeaderBytes)
		most.BodyBytes = max(most.BodyBytes, r.limits.BodyBytes)
		most.HeaderTimeout = max(most.HeaderTimeout, r.limits.HeaderTimeout)
		most.IdleTimeout = max(most.IdleTimeout, r.limits.IdleTimeout)
	}

	return most
}
