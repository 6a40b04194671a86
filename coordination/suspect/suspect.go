// Package suspect finds the calls that crash backend servers, across all processes. Each process reports the calls that were waiting
// for their answer when a server crashed, and the contents that were answered, to the holder of the duties, and receives what the
// crashes have in common. Contents with quarantine.CrashLimit crashes are refused.
package suspect

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// Lifetime is the time for which a crash counts.
	Lifetime = 10 * time.Minute
	// maxReport bounds the suspects of one report, so that a report stays small when many servers fail at once.
	maxReport = 128
	// maxUnreported bounds the suspects that are kept and the answered fingerprints that wait for a report. When it is exceeded, the
	// oldest suspects and the newest answers are dropped.
	maxUnreported = 2048
)

// Report is the part of a process's report to the holder of the duties that deals with crashes.
type Report struct {
	Suspects []quarantine.Suspect
	// Answered holds the fingerprints of the calls that were answered since the last report.
	Answered []quarantine.Fingerprint
	// Refused holds the fingerprints of the findings under which this process refused calls since the last report.
	Refused []quarantine.Fingerprint
	// Findings holds the refusals of the last holder in the first report to another one.
	Findings []quarantine.Finding
}

// Verdict is the holder's answer to a Report.
type Verdict struct {
	Findings []quarantine.Finding
	// Trials holds the fingerprints of the findings under which the process may send one call.
	Trials []quarantine.Fingerprint
}

// Judge returns the holder's answer to the report of a process. crashes holds what all processes reported.
func Judge(now time.Time, crashes *quarantine.Crashes, report Report) Verdict {
	crashes.Adopt(now, report.Findings)
	crashes.Answered(now, report.Answered)

	for _, suspect := range report.Suspects {
		crashes.Add(now, suspect)
	}

	verdict := Verdict{Findings: crashes.Findings(now)}

	for _, fingerprint := range report.Refused {
		if crashes.GrantTrial(now, fingerprint) {
			verdict.Trials = append(verdict.Trials, fingerprint)
		}
	}

	return verdict
}

// Suspects holds what one process knows about calls that crash servers. It is safe for concurrent use.
type Suspects struct {
	logger logr.Logger
	now    func() time.Time

	mu sync.Mutex
	// findings holds the findings of the holder's last answer by their fingerprints, and trials those under which one call may be
	// sent.
	findings map[quarantine.Fingerprint]quarantine.Finding
	trials   fingerprints
	// suspects holds what this process observed. The first reported ones of them are known to the holder whose fencing number is
	// holder, and so are the findings if informed is set.
	suspects []observation
	reported int
	informed bool
	holder   apricotway.Offset
	// mentioned counts the suspects that have a fingerprint.
	mentioned map[quarantine.Fingerprint]int
	// answered and refused hold what has not been reported yet, answeredSent and refusedSent what the last report held if the holder
	// has not confirmed it.
	answered, refused, answeredSent, refusedSent fingerprints
}

type fingerprints = map[quarantine.Fingerprint]bool

// observation is a suspect with the time at which its connection broke.
type observation struct {
	quarantine.Suspect

	at time.Time
}

// Option configures a Suspects.
type Option func(*Suspects)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(s *Suspects) { s.logger = logger } }

// New returns a Suspects that knows of no crash.
func New(options ...Option) *Suspects {
	s := &Suspects{
		logger: logr.Discard(), now: time.Now, mentioned: map[quarantine.Fingerprint]int{},
		trials: fingerprints{}, answered: fingerprints{}, refused: fingerprints{},
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// HasSuspects reports whether any crash is known, so that the fingerprints of whole contents have to be computed.
func (s *Suspects) HasSuspects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.suspects)+len(s.findings) > 0
}

// Refuses reports whether a call with a content must not be sent. Of the calls that a finding concerns, one is let through for each
// trial that the holder grants.
func (s *Suspects) Refuses(content []quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, part := range content {
		finding, ok := s.findings[part]
		if !ok || !finding.Refused || !finding.Concerns(content) {
			continue
		}

		if s.trials[part] {
			delete(s.trials, part)
			s.logger.Info("sending a refused call as a trial", "event", 357, "fingerprint", name(part))

			continue
		}

		s.refused[part] = true

		return true
	}

	return false
}

// RecordBroken records a call on which a server may have crashed.
func (s *Suspects) RecordBroken(content []quarantine.Fingerprint, server apricotway.BackendServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.suspects = append(s.suspects, observation{quarantine.Suspect{Server: server, Content: slices.Clone(content)}, s.now()})

	for _, part := range content {
		s.mentioned[part]++
	}

	for len(s.suspects) > maxUnreported {
		s.forget(s.suspects[0])
		s.suspects = s.suspects[1:]
		s.reported = max(s.reported-1, 0)
	}
}

// RecordAnswered records that a server has begun to answer a call with a content without crashing.
func (s *Suspects) RecordAnswered(content []quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()

	acquitted := false

	s.acquitFindings(content)

	for _, part := range content {
		if len(s.answered) < maxUnreported {
			s.answered[part] = true
		}

		acquitted = acquitted || s.mentioned[part] > 0
		delete(s.mentioned, part)
	}

	if !acquitted {
		return
	}

	for i := range s.suspects {
		s.suspects[i].Content = slices.DeleteFunc(s.suspects[i].Content, func(part quarantine.Fingerprint) bool {
			return slices.Contains(content, part)
		})
	}
}

// acquitFindings removes answered fingerprints from what the findings are about, until the holder's next answer takes account of them.
// The caller holds s.mu.
func (s *Suspects) acquitFindings(content []quarantine.Fingerprint) {
	isAnswered := func(part quarantine.Fingerprint) bool { return slices.Contains(content, part) }

	for _, finding := range slices.Collect(maps.Values(s.findings)) {
		if !slices.ContainsFunc(finding.Common, isAnswered) {
			continue
		}

		delete(s.findings, finding.Fingerprint)

		if finding.Common = slices.DeleteFunc(slices.Clone(finding.Common), isAnswered); len(finding.Common) > 0 {
			finding.Fingerprint = finding.Common[0]
			s.findings[finding.Fingerprint] = finding
		}
	}
}

// forget removes the mentions of a suspect. The caller holds s.mu.
func (s *Suspects) forget(o observation) {
	for _, part := range o.Content {
		if s.mentioned[part]--; s.mentioned[part] <= 0 {
			delete(s.mentioned, part)
		}
	}
}

// Report returns what the holder with the given fencing number does not know yet. The caller calls confirm once the holder has
// received it.
func (s *Suspects) Report(holder apricotway.Offset) (report Report, confirm func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.holder != holder {
		s.holder, s.reported, s.informed = holder, 0, false
		s.dropExpired()
	}

	observed := s.suspects[s.reported:min(s.reported+maxReport, len(s.suspects))]

	for _, o := range observed {
		report.Suspects = append(report.Suspects, quarantine.Suspect{Server: o.Server, Content: slices.Clone(o.Content)})
	}

	maps.Copy(s.answered, s.answeredSent)
	maps.Copy(s.refused, s.refusedSent)
	report.Answered, report.Refused = slices.Collect(maps.Keys(s.answered)), slices.Collect(maps.Keys(s.refused))

	if !s.informed {
		for _, finding := range s.findings {
			if finding.Refused {
				report.Findings = append(report.Findings, finding)
			}
		}
	}

	s.answeredSent, s.refusedSent = s.answered, s.refused
	s.answered, s.refused = fingerprints{}, fingerprints{}

	return report, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.answeredSent, s.refusedSent = nil, nil

		if s.holder == holder {
			s.reported = min(s.reported+len(observed), len(s.suspects))
			s.informed = true
		}
	}
}

// dropExpired drops the suspects that no longer count. The caller holds s.mu.
func (s *Suspects) dropExpired() {
	now := s.now()
	s.suspects = slices.DeleteFunc(s.suspects, func(o observation) bool {
		expired := now.Sub(o.at) >= Lifetime
		if expired {
			s.forget(o)
		}

		return expired || len(o.Content) == 0
	})
}

// Apply applies the holder's answer to a report.
func (s *Suspects) Apply(verdict Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := s.findings
	s.findings = make(map[quarantine.Fingerprint]quarantine.Finding, len(verdict.Findings))

	for _, finding := range verdict.Findings {
		s.findings[finding.Fingerprint] = finding

		if before, ok := known[finding.Fingerprint]; ok && before.Refused == finding.Refused {
			continue
		}

		if finding.Refused {
			s.logger.Info("refusing all calls of a content that crashes backend servers", "event", 318, "fingerprint",
				name(finding.Fingerprint), "common", len(finding.Common), "crashes", finding.Crashes)
		} else {
			s.logger.Info("several backend servers crashed during calls of the same content", "event", 317, "fingerprint",
				name(finding.Fingerprint), "common", len(finding.Common), "crashes", finding.Crashes)
		}
	}

	for fingerprint, before := range known {
		if after := s.findings[fingerprint]; before.Refused && !after.Refused {
			s.logger.Info("no longer refusing calls of a content", "event", 358, "fingerprint", name(fingerprint))
		}
	}

	for _, fingerprint := range verdict.Trials {
		s.trials[fingerprint] = true
	}

	for fingerprint := range s.trials {
		if !s.findings[fingerprint].Refused {
			delete(s.trials, fingerprint)
		}
	}
}

// Learn takes over the refusals that a holder has saved, unless a holder has told some already.
func (s *Suspects) Learn(findings []quarantine.Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.findings != nil {
		return
	}

	s.findings = map[quarantine.Fingerprint]quarantine.Finding{}
	for _, finding := range findings {
		s.findings[finding.Fingerprint] = finding
	}
}

// Findings returns the findings of the holder's last answer.
func (s *Suspects) Findings() []quarantine.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.AppendSeq(make([]quarantine.Finding, 0, len(s.findings)), maps.Values(s.findings))
}

// name returns the form of a fingerprint in logs, which for a prompt part is its identifier.
func name(fingerprint quarantine.Fingerprint) string {
	return strconv.FormatUint(uint64(fingerprint), 16)
}
