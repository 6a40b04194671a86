// Package suspect knows the calls that crash backend servers, over all processes. Each process counts the crashes that it sees,
// tells them to the process that performs the duties, and hears which contents have crashed several servers.
package suspect

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// Lifetime is the time after its last crash for which a content is counted.
	Lifetime = 10 * time.Minute
	// maxReport bounds the crashes and the cleared contents of one report, so that a report stays small while many servers
	// fail at once.
	maxReport = 128
	// maxUntold bounds the crashes and the cleared contents that wait for a report. The oldest go first.
	maxUntold = 2048
)

// Report is what a process tells of the calls under which servers crashed.
type Report struct {
	Crashes []quarantine.Crash
	// Answered holds contents that were suspect and have been answered since.
	Answered []quarantine.Digest
}

// Suspects is the knowledge of one process. It is safe for concurrent use.
type Suspects struct {
	logger logr.Logger
	now    func() time.Time
	own    *quarantine.Crashes

	mu sync.Mutex
	// heard holds the crashes over all processes of the contents that the holder of the duties named last.
	heard map[quarantine.Digest]int
	// kept holds the crashes of this process, the first told of them known to the holder with the number holder.
	kept   []quarantine.Crash
	told   int
	holder apricotway.Offset
	// answered holds contents of which the holder has to be told that they were answered.
	answered []quarantine.Digest
}

// Option changes the suspects under construction.
type Option func(*Suspects)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(s *Suspects) { s.logger = logger } }

// New returns the knowledge of a process that has seen no crash.
func New(options ...Option) *Suspects {
	s := &Suspects{logger: logr.Discard(), now: time.Now, own: quarantine.NewCrashes(Lifetime)}
	for _, option := range options {
		option(s)
	}

	return s
}

// Watching tells whether any content is suspect, so that digests are needed.
func (s *Suspects) Watching() bool {
	if !s.own.Empty() {
		return true
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.heard) > 0
}

// Refuses tells whether a content must not be sent any more.
func (s *Suspects) Refuses(digest quarantine.Digest) bool {
	s.mu.Lock()
	heard := s.heard[digest]
	s.mu.Unlock()

	return max(heard, s.own.Count(s.now(), digest)) >= quarantine.CrashLimit
}

// Broken counts a call whose connection ended while the server may have worked on it.
func (s *Suspects) Broken(digest quarantine.Digest, server apricotway.BackendServerID) {
	now := s.now()

	crash := quarantine.Crash{Digest: digest, Server: server}
	if !s.own.Add(now, crash) {
		return
	}

	s.mu.Lock()
	s.kept = append(s.kept, crash)

	if excess := len(s.kept) - maxUntold; excess > 0 {
		s.kept = s.kept[excess:]
		s.told = max(s.told-excess, 0)
	}
	s.mu.Unlock()

	if count := s.own.Count(now, digest); count >= quarantine.CrashSuspect {
		s.logger.Info("backend servers crashed under one call", "event", 317, "digest", digest, "server", server, "crashes", count)
	}
}

// Answered clears a content.
func (s *Suspects) Answered(digest quarantine.Digest) {
	known := s.own.Clear(digest)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.heard[digest] == 0 && !known {
		return
	}

	// A report under way may still carry the crash: the answer goes with a later one.
	delete(s.heard, digest)

	if len(s.answered) < maxUntold {
		s.answered = append(s.answered, digest)
	}
}

// Report returns what the holder with the given number has not been told yet. The function is called when it has been.
func (s *Suspects) Report(holder apricotway.Offset) (report Report, told func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.holder != holder {
		s.holder, s.told = holder, 0
		s.dropEnded()
	}

	crashes := s.kept[s.told:min(s.told+maxReport, len(s.kept))]
	answered := s.answered[:min(maxReport, len(s.answered))]
	report = Report{Crashes: append([]quarantine.Crash(nil), crashes...), Answered: append([]quarantine.Digest(nil), answered...)}

	return report, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		if s.holder == holder {
			s.told = min(s.told+len(report.Crashes), len(s.kept))
		}

		s.answered = s.answered[min(len(report.Answered), len(s.answered)):]
	}
}

// dropEnded drops the crashes of contents that count no more; it needs the lock.
func (s *Suspects) dropEnded() {
	now, kept := s.now(), s.kept[:0]

	for _, crash := range s.kept {
		if s.own.Count(now, crash.Digest) > 0 {
			kept = append(kept, crash)
		}
	}

	s.kept = kept
}

// Take sets the crashes over all processes that the holder named.
func (s *Suspects) Take(heard map[quarantine.Digest]int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for digest, count := range heard {
		if count >= quarantine.CrashLimit && s.heard[digest] < quarantine.CrashLimit {
			s.logger.Info("calls of one content refused: they crash backend servers", "event", 318, "digest", digest, "crashes", count)
		}
	}

	s.heard = heard
}
