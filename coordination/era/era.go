// Package era tells the parts of a process when the operators' store has come back from an older copy. Such a store has lost its
// newest records and gives their offsets out again, so a position or a claim from an earlier era says nothing about the present log.
package era

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
)

// Tracker holds the newest era that the process has seen in an answer of the store. It is safe for concurrent use.
type Tracker struct {
	logger logr.Logger

	mu      sync.Mutex
	current apricotway.StoreEra
	changed []func()
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(t *Tracker) { t.logger = logger } }

// New returns a Tracker that has seen no era.
func New(options ...Option) *Tracker {
	t := &Tracker{logger: logr.Discard()}
	for _, option := range options {
		option(t)
	}

	return t
}

// Observe records the era of an answer. Answers may arrive out of order, so an older era than the known one is ignored.
func (t *Tracker) Observe(era apricotway.StoreEra) {
	t.mu.Lock()
	before := t.current

	if era <= before {
		t.mu.Unlock()
		return
	}

	t.current = era
	changed := t.changed
	t.mu.Unlock()

	// The first answer tells no change.
	if before == 0 {
		return
	}

	t.logger.Info("the operators' store has come back from an older copy", "event", 361, "era", era, "before", before)

	for _, call := range changed {
		call()
	}
}

// Current returns the newest known era, 0 while none is known.
func (t *Tracker) Current() apricotway.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.current
}

// Subscribe makes Observe call a function after each change of the era. It must not block.
func (t *Tracker) Subscribe(changed func()) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.changed = append(t.changed, changed)
}
