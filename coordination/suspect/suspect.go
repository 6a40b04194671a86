// Package suspect finds the calls that crash backend servers, across all processes. Each process counts the crashes that it
// observes by call content, reports them to the holder of the duties, and receives the contents that have crashed several servers.
// A content with quarantine.CrashLimit crashes is refused.
package suspect

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// Lifetime is the time after the last crash of a content for which its crashes count.
	Lifetime = 10 * time.Minute
	// maxReport bounds the crashes and the cleared contents of one report, so that a report stays small when many servers
	// fail at once.
	maxReport = 128
	// maxUnreported bounds the crashes that are kept and the cleared contents that wait for a report. When it is exceeded, the
	// oldest crashes and the newest cleared contents are dropped.
	maxUnreported = 2048
)

// Report is the part of a process's report to the holder of the duties that deals with crashes.
type Report struct {
	Crashes []quarantine.Crash
	// Answered holds contents that were suspect and have been answered successfully since.
	Answered []quarantine.Digest
}

// Suspects holds the crash counts that one process knows. It is safe for concurrent use.
type Suspects struct {
	logger logr.Logger
	now    func() time.Time
	own    *quarantine.Crashes

	mu sync.Mutex
	// globalCounts holds the crashes of suspect contents over all processes, from the holder's last answer.
	globalCounts map[quarantine.Digest]int
	// crashes holds the crashes that this process observed. The first reported ones of them are known to the holder whose fencing
	// number is holder.
	crashes  []quarantine.Crash
	reported int
	holder   apricotway.Offset
	// cleared holds the answered contents that have not been reported to the holder yet.
	cleared []quarantine.Digest
}

// Option configures a Suspects.
type Option func(*Suspects)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(s *Suspects) { s.logger = logger } }

// New returns a Suspects without any crash.
func New(options ...Option) *Suspects {
	s := &Suspects{logger: logr.Discard(), now: time.Now, own: quarantine.NewCrashes(Lifetime)}
	for _, option := range options {
		option(s)
	}

	return s
}

// HasSuspects reports whether any content has crashes, so that the digests of calls have to be computed.
func (s *Suspects) HasSuspects() bool {
	if !s.own.Empty() {
		return true
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.globalCounts) > 0
}

// Refuses reports whether calls of a content must not be sent any more.
func (s *Suspects) Refuses(digest quarantine.Digest) bool {
	s.mu.Lock()
	global := s.globalCounts[digest]
	s.mu.Unlock()

	return max(global, s.own.Count(s.now(), digest)) >= quarantine.CrashLimit
}

// RecordBroken counts a call whose connection broke while the server may have been working on it.
func (s *Suspects) RecordBroken(digest quarantine.Digest, server apricotway.BackendServerID) {
	now := s.now()

	crash := quarantine.Crash{Digest: digest, Server: server}
	if !s.own.Add(now, crash) {
		return
	}

	s.mu.Lock()
	s.crashes = append(s.crashes, crash)

	if excess := len(s.crashes) - maxUnreported; excess > 0 {
		s.crashes = s.crashes[excess:]
		s.reported = max(s.reported-excess, 0)
	}
	s.mu.Unlock()

	if count := s.own.Count(now, digest); count >= quarantine.SuspectThreshold {
		s.logger.Info("several backend servers crashed during calls of the same content", "event", 317, "digest", digest, "server", server, "crashes", count)
	}
}

// RecordAnswered clears a content, since a server has answered a call of it without crashing.
func (s *Suspects) RecordAnswered(digest quarantine.Digest) {
	known := s.own.Clear(digest)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.globalCounts[digest] == 0 && !known {
		return
	}

	// A report that is being sent may still carry the crash, so the clearing goes into a later one.
	delete(s.globalCounts, digest)

	if len(s.cleared) < maxUnreported {
		s.cleared = append(s.cleared, digest)
	}
}

// Report returns the crashes and cleared contents that the holder with the given fencing number does not know yet. The caller calls
// confirm once the holder has received them.
func (s *Suspects) Report(holder apricotway.Offset) (report Report, confirm func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.holder != holder {
		s.holder, s.reported = holder, 0
		s.dropExpired()
	}

	crashes := s.crashes[s.reported:min(s.reported+maxReport, len(s.crashes))]
	answered := s.cleared[:min(maxReport, len(s.cleared))]
	report = Report{Crashes: append([]quarantine.Crash(nil), crashes...), Answered: append([]quarantine.Digest(nil), answered...)}

	return report, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		if s.holder == holder {
			s.reported = min(s.reported+len(report.Crashes), len(s.crashes))
		}

		s.cleared = s.cleared[min(len(report.Answered), len(s.cleared)):]
	}
}

// dropExpired drops the crashes that no longer count. The caller holds s.mu.
func (s *Suspects) dropExpired() {
	now, kept := s.now(), s.crashes[:0]

	for _, crash := range s.crashes {
		if s.own.Count(now, crash.Digest) > 0 {
			kept = append(kept, crash)
		}
	}

	s.crashes = kept
}

// SetGlobalCounts replaces the crash counts over all processes by those of the holder's answer.
func (s *Suspects) SetGlobalCounts(counts map[quarantine.Digest]int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for digest, count := range counts {
		if count >= quarantine.CrashLimit && s.globalCounts[digest] < quarantine.CrashLimit {
			s.logger.Info("refusing all calls of a content that crashes backend servers", "event", 318, "digest", digest, "crashes", count)
		}
	}

	s.globalCounts = counts
}
