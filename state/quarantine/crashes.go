package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// CrashLimit is the number of crashes of backend servers under a fingerprint from which calls with it are refused. The operators'
	// rules allow three for a repeated call and five for a part of prompts.
	CrashLimit = 3
	// SuspectThreshold is the number of crashes from which a fingerprint is a finding, so that all processes report answers to it.
	SuspectThreshold = 2
	// sameCrashWindow is the time within which further broken calls of one server belong to the same crash. It covers the time
	// between two reports of a process.
	sameCrashWindow = 2 * time.Second
	// answerMemory is the time for which an answer acquits a fingerprint in advance: several servers that crash at once for another
	// reason break off calls with the parts that all calls share.
	answerMemory = 2 * time.Second
	// maxAnswered bounds the fingerprints whose answers are remembered, twice over.
	maxAnswered = 1 << 15
	// maxSuspects bounds the suspects that are tracked. The oldest crashes are dropped first.
	maxSuspects = 4096
	// maxCrashSuspects bounds the suspects of one crash. Further ones are not counted.
	maxCrashSuspects = 1024
	// firstTrial is the time from a refusal until one call is sent as a trial. It doubles with each trial up to maxTrialGap, with
	// which the crashes of the trials alone keep a content refused.
	firstTrial        = 20 * time.Second
	trialGapsPerCrash = 4
)

// Fingerprint identifies a part of the content of calls: one part of their prompts, or the content as a whole.
type Fingerprint uint64

// Suspect is a call whose connection broke before its answer had begun, or in the middle of it as the server crashed.
type Suspect struct {
	Server apricotway.BackendServerID
	// Content holds the fingerprints of the call's content.
	Content []Fingerprint
}

// Finding is a fingerprint that several crashes have in common.
type Finding struct {
	Fingerprint Fingerprint
	// Common holds, in ascending order, the fingerprints that all suspects with Fingerprint share, itself included. The crashes can't
	// tell these apart, so the finding concerns the calls that have all of them.
	Common []Fingerprint
	// Crashes is the number of crashes of servers that had such a suspect.
	Crashes int
	// Refused is set when calls that the finding concerns must not be sent.
	Refused bool
}

// Concerns reports whether a content has everything that the finding is about.
func (f Finding) Concerns(content []Fingerprint) bool {
	return !slices.ContainsFunc(f.Common, func(part Fingerprint) bool { return !slices.Contains(content, part) })
}

// Crashes finds what the calls that crash backend servers have in common. A server that crashes takes all its calls with it. Those
// whose answers had not begun are suspects. A content that crashes servers is among the suspects of each crash and is never answered,
// so an answer acquits all its fingerprints of the earlier crashes. Crashes is safe for concurrent use.
type Crashes struct {
	keep time.Duration

	mu sync.Mutex
	// crashes holds the tracked crashes, the oldest first. Each has at least one suspect, and each suspect at least one fingerprint.
	crashes []*crash
	// mentions counts the suspects of all crashes that have a fingerprint.
	mentions map[Fingerprint]int
	// answered and answeredBefore hold the fingerprints that were answered since rotatedAt and in the span before it.
	answered, answeredBefore map[Fingerprint]bool
	rotatedAt                time.Time
	// findings is the last result of find, nil when crashes has changed since.
	findings []Finding
	found    bool
	// trials holds the time of the next trial for each refused fingerprint.
	trials map[Fingerprint]trial
}

// crash is one crash of a server.
type crash struct {
	server   apricotway.BackendServerID
	at       time.Time
	suspects [][]Fingerprint
}

type trial struct {
	next time.Time
	gap  time.Duration
}

// NewCrashes returns an empty Crashes that keeps each crash for the given time.
func NewCrashes(keep time.Duration) *Crashes {
	return &Crashes{
		keep: keep, mentions: map[Fingerprint]int{}, answered: map[Fingerprint]bool{}, answeredBefore: map[Fingerprint]bool{},
		trials: map[Fingerprint]trial{},
	}
}

// Add counts a suspect, except for the fingerprints that were answered lately.
func (c *Crashes) Add(now time.Time, suspect Suspect) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.rotate(now)

	content := slices.DeleteFunc(slices.Clone(suspect.Content), func(part Fingerprint) bool {
		return c.answered[part] || c.answeredBefore[part]
	})
	c.add(now, suspect.Server, content)
}

// add counts a suspect under the crash of its server. The caller holds c.mu and passes ownership of content.
func (c *Crashes) add(now time.Time, server apricotway.BackendServerID, content []Fingerprint) {
	slices.Sort(content)

	content = slices.Compact(content)
	if len(content) == 0 {
		return
	}

	at := slices.IndexFunc(c.crashes, func(known *crash) bool {
		return known.server == server && now.Sub(known.at) < sameCrashWindow
	})
	if at < 0 {
		at = len(c.crashes)
		c.crashes = append(c.crashes, &crash{server: server, at: now})
	}

	known := c.crashes[at]
	if len(known.suspects) >= maxCrashSuspects ||
		slices.ContainsFunc(known.suspects, func(other []Fingerprint) bool { return slices.Equal(other, content) }) {
		return
	}

	known.suspects = append(known.suspects, content)
	c.found = false

	for _, part := range content {
		c.mentions[part]++
	}

	for c.suspects() > maxSuspects {
		c.dropOldest()
	}
}

// Suspects returns the number of suspects that are tracked.
func (c *Crashes) Suspects() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.suspects()
}

func (c *Crashes) suspects() int {
	count := 0
	for _, known := range c.crashes {
		count += len(known.suspects)
	}

	return count
}

// dropOldest removes the oldest crash. The caller holds c.mu.
func (c *Crashes) dropOldest() {
	for _, content := range c.crashes[0].suspects {
		c.forget(content...)
	}

	c.crashes, c.found = slices.Delete(c.crashes, 0, 1), false
}

// forget removes mentions of fingerprints. The caller holds c.mu.
func (c *Crashes) forget(parts ...Fingerprint) {
	for _, part := range parts {
		if c.mentions[part]--; c.mentions[part] <= 0 {
			delete(c.mentions, part)
		}
	}
}

// Answered acquits fingerprints of the crashes so far, since calls with them were answered.
func (c *Crashes) Answered(now time.Time, parts []Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.rotate(now)

	acquitted := map[Fingerprint]bool{}

	for _, part := range parts {
		if len(c.answered) < maxAnswered {
			c.answered[part] = true
		}

		if c.mentions[part] > 0 {
			acquitted[part] = true
		}
	}

	if len(acquitted) == 0 {
		return
	}

	for _, known := range c.crashes {
		for i, content := range known.suspects {
			known.suspects[i] = slices.DeleteFunc(content, func(part Fingerprint) bool { return acquitted[part] })
		}

		known.suspects = slices.DeleteFunc(known.suspects, func(content []Fingerprint) bool { return len(content) == 0 })
	}

	c.crashes = slices.DeleteFunc(c.crashes, func(known *crash) bool { return len(known.suspects) == 0 })
	c.found = false

	for part := range acquitted {
		delete(c.mentions, part)
	}
}

// rotate drops the answers older than twice answerMemory. The caller holds c.mu.
func (c *Crashes) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if age < answerMemory && len(c.answered) < maxAnswered {
		return
	}

	c.answeredBefore = c.answered
	if age >= 2*answerMemory {
		c.answeredBefore = map[Fingerprint]bool{}
	}

	c.answered, c.rotatedAt = map[Fingerprint]bool{}, now
}

// Findings returns what the crashes have in common. The caller must not change it.
func (c *Crashes) Findings(now time.Time) []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.currentFindings(now)
}

// currentFindings is Findings for callers that hold c.mu.
func (c *Crashes) currentFindings(now time.Time) []Finding {
	for len(c.crashes) > 0 && now.Sub(c.crashes[0].at) >= c.keep {
		c.dropOldest()
	}

	if c.found {
		return c.findings
	}

	c.findings, c.found = c.find(), true
	trials := map[Fingerprint]trial{}

	for _, finding := range c.findings {
		if !finding.Refused {
			continue
		}

		known, ok := c.trials[finding.Fingerprint]
		if !ok {
			known = trial{next: now.Add(firstTrial), gap: firstTrial}
		}

		trials[finding.Fingerprint] = known
	}

	c.trials = trials

	return c.findings
}

// Adopt takes over the refusals that another Crashes came to, for example at a predecessor whose crashes are not known here.
func (c *Crashes) Adopt(now time.Time, findings []Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, finding := range findings {
		if !finding.Refused || slices.ContainsFunc(c.currentFindings(now), func(known Finding) bool {
			return known.Refused && known.Fingerprint == finding.Fingerprint
		}) {
			continue
		}

		for i := range CrashLimit {
			server := fmt.Sprintf("adopted-%x-%d", finding.Fingerprint, i)
			c.add(now, apricotway.BackendServerID(server), slices.Clone(finding.Common))
		}
	}
}

// GrantTrial reports whether one call that a refusal concerns may be sent now, to find out whether it still crashes servers.
func (c *Crashes) GrantTrial(now time.Time, fingerprint Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.currentFindings(now)

	known, ok := c.trials[fingerprint]
	if !ok || now.Before(known.next) {
		return false
	}

	known.gap = min(2*known.gap, c.keep/trialGapsPerCrash)
	known.next = now.Add(known.gap)
	c.trials[fingerprint] = known

	return true
}

// evidence holds what the suspects with one fingerprint tell.
type evidence struct {
	fingerprint Fingerprint
	common      []Fingerprint
	// crashes holds the indices of the crashes with such a suspect.
	crashes map[int]bool
}

// find returns the fingerprints with SuspectThreshold crashes or more that a fingerprint with more crashes doesn't explain. The caller
// holds c.mu.
func (c *Crashes) find() []Finding {
	var (
		open      = c.collectEvidence()
		explained = map[int]bool{}
		findings  []Finding
	)

	unexplained := func(e *evidence) int {
		count := 0

		for at := range e.crashes {
			if !explained[at] {
				count++
			}
		}

		return count
	}

	for {
		open = slices.DeleteFunc(open, func(e *evidence) bool { return unexplained(e) < SuspectThreshold })
		if len(open) == 0 {
			return findings
		}

		best := slices.MaxFunc(open, func(a, b *evidence) int {
			return cmp.Or(cmp.Compare(unexplained(a), unexplained(b)), cmp.Compare(len(a.common), len(b.common)),
				cmp.Compare(b.fingerprint, a.fingerprint))
		})

		findings = append(findings, Finding{
			Fingerprint: best.fingerprint, Common: best.common, Crashes: len(best.crashes),
			Refused: unexplained(best) >= CrashLimit,
		})

		maps.Copy(explained, best.crashes)
	}
}

// collectEvidence returns the evidence about each fingerprint that may be a finding. The caller holds c.mu.
func (c *Crashes) collectEvidence() []*evidence {
	byFingerprint := map[Fingerprint]*evidence{}

	for at, known := range c.crashes {
		for _, content := range known.suspects {
			for _, part := range content {
				// A fingerprint has at most one crash per mention.
				if c.mentions[part] < SuspectThreshold {
					continue
				}

				e := byFingerprint[part]
				if e == nil {
					e = &evidence{fingerprint: part, common: slices.Clone(content), crashes: map[int]bool{}}
					byFingerprint[part] = e
				}

				e.crashes[at] = true
				e.common = slices.DeleteFunc(e.common, func(other Fingerprint) bool {
					_, shared := slices.BinarySearch(content, other)
					return !shared
				})
			}
		}
	}

	return slices.Collect(maps.Values(byFingerprint))
}
