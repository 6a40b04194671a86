// Package quarantine tracks requests that may crash engines, identified by a digest of their content. It performs no I/O;
// callers pass in the current time.
package quarantine

import (
	"cmp"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// Digest identifies the content of a request.
type Digest string

// State is what is known about a digest.
type State string

// The values of State, in ascending order of severity.
const (
	StateClear State = "clear"
	// StateSuspect requests were running on an engine when it crashed. They run alone on an engine until they are cleared.
	StateSuspect State = "suspect"
	// StateQuarantined requests crashed an engine while they ran alone on it. They are refused.
	StateQuarantined State = "quarantined"
)

var rank = map[State]int{StateClear: 0, StateSuspect: 1, StateQuarantined: 2}

// Entry is the state of one digest. Processes exchange entries.
type Entry struct {
	Digest Digest
	State  State
	// Version grows with every change. The entry with the higher version wins; with equal versions the more severe state wins.
	Version uint64
	// Until is the time at which the entry expires.
	Until time.Time
	// Position is the number of tokens that were generated before the crash.
	Position int
	// Trial is the engine on which the suspect runs alone until TrialUntil; empty without a trial. No other request is sent to
	// that engine meanwhile.
	Trial      apricotway.BackendServerID
	TrialUntil time.Time
}

// Set holds the entries of a process. It is safe for concurrent use.
type Set struct {
	keep time.Duration

	mu sync.Mutex
	// entries includes cleared digests until they expire, so that a suspicion with a lower version that arrives late does not take
	// effect.
	entries map[Digest]Entry
}

// New returns an empty set whose entries are kept for the given time after their last change.
func New(keep time.Duration) *Set { return &Set{keep: keep, entries: map[Digest]Entry{}} }

// Entry returns the entry of a digest.
func (s *Set) Entry(now time.Time, digest Digest) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.entry(now, digest)
}

// entry returns the entry of a digest, and drops it when it has expired. The caller holds the lock.
func (s *Set) entry(now time.Time, digest Digest) Entry {
	entry, ok := s.entries[digest]
	if ok && now.Before(entry.Until) {
		return entry
	}

	delete(s.entries, digest)

	return Entry{Digest: digest, State: StateClear}
}

// store saves the entry with the next version. The caller holds the lock.
func (s *Set) store(now time.Time, entry Entry) Entry {
	entry.Version++
	entry.Until = now.Add(s.keep)
	s.entries[entry.Digest] = entry

	return entry
}

// Crashed records that an engine crashed while it ran the request, after how many generated tokens, and whether the request was
// alone on the engine.
func (s *Set) Crashed(now time.Time, digest Digest, position int, alone bool) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()

	entry := s.entry(now, digest)
	if entry.State == StateQuarantined {
		return entry
	}

	entry.State, entry.Position = StateSuspect, max(entry.Position, position)
	if alone {
		entry.State = StateQuarantined
	}

	entry.Trial, entry.TrialUntil = "", time.Time{}

	return s.store(now, entry)
}

// BeginTrial starts the trial of a suspect on an engine. It returns false when the digest is not a suspect, is already on
// trial, or the engine is reserved for another trial.
func (s *Set) BeginTrial(now time.Time, digest Digest, server apricotway.BackendServerID, until time.Time) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	entry := s.entry(now, digest)
	if entry.State != StateSuspect || now.Before(entry.TrialUntil) || s.reserved(now, server) {
		return entry, false
	}

	entry.Trial, entry.TrialUntil = server, until

	return s.store(now, entry), true
}

// TrialHolds reports whether the trial of a digest is still valid after the entries of other processes have arrived. Two processes
// may reserve the same engine at the same time; the smaller digest keeps it.
func (s *Set) TrialHolds(now time.Time, digest Digest, server apricotway.BackendServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if entry := s.entry(now, digest); entry.Trial != server || !now.Before(entry.TrialUntil) {
		return false
	}

	for _, other := range s.entries {
		if other.Trial == server && other.Digest < digest && now.Before(other.TrialUntil) {
			return false
		}
	}

	return true
}

// EndTrial ends a trial. The digest is cleared when the request proved harmless and stays suspect otherwise.
func (s *Set) EndTrial(now time.Time, digest Digest, harmless bool) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	entry := s.entry(now, digest)
	if entry.State != StateSuspect {
		return entry, false
	}

	entry.Trial, entry.TrialUntil = "", time.Time{}
	if harmless {
		entry.State, entry.Position = StateClear, 0
	}

	return s.store(now, entry), true
}

// Merge stores a newer entry of another process and reports whether it changed the set.
func (s *Set) Merge(now time.Time, entry Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := s.entry(now, entry.Digest)
	newer := cmp.Or(
		cmp.Compare(entry.Version, known.Version),
		cmp.Compare(rank[entry.State], rank[known.State]),
		cmp.Compare(entry.Trial, known.Trial),
	) > 0

	if !newer || !now.Before(entry.Until) {
		return false
	}

	s.entries[entry.Digest] = entry

	return true
}

// Reserved reports whether an engine is reserved for a trial.
func (s *Set) Reserved(now time.Time, server apricotway.BackendServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.reserved(now, server)
}

func (s *Set) reserved(now time.Time, server apricotway.BackendServerID) bool {
	for _, entry := range s.entries {
		if entry.Trial == server && now.Before(entry.TrialUntil) && now.Before(entry.Until) {
			return true
		}
	}

	return false
}

// Sweep removes the expired entries.
func (s *Set) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for digest := range s.entries {
		s.entry(now, digest)
	}
}
