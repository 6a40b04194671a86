package intake

import (
	"time"

	"github.com/apricotway/apricotway"
)

// Board collects the statements of all processes, at the process that collects the reports. It is not safe for concurrent use.
type Board struct {
	facts map[apricotway.BackendServerID]fact
}

// NewBoard returns a board without statements.
func NewBoard() *Board { return &Board{facts: map[apricotway.BackendServerID]fact{}} }

// Add records the statements of a report that has just arrived.
func (b *Board) Add(now time.Time, learned []Statement) {
	for _, statement := range learned {
		f := factOf(now, statement)
		if known, ok := b.facts[statement.Server]; f.known() && (!ok || known.replacedBy(f)) {
			b.facts[statement.Server] = f
		}
	}
}

// Statements returns the newest statement of each server.
func (b *Board) Statements(now time.Time) []Statement {
	for id, f := range b.facts {
		if f.expired(now) {
			delete(b.facts, id)
		}
	}

	return statements(now, b.facts)
}
