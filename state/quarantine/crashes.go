package quarantine

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// CrashLimit is the number of crashes of backend servers under the same request content after which the content is refused.
	// The operators' rule on retries allows three.
	CrashLimit = 3
	// SuspectThreshold is the number of crashes from which all processes learn of a content, so that an answer to it in any process
	// clears it.
	SuspectThreshold = 2
	// sameCrashWindow is the time within which further failed calls on one server belong to the same crash.
	sameCrashWindow = time.Second
	// maxContents bounds the number of contents that are tracked. Crashes of other contents are not counted until tracked ones
	// expire.
	maxContents = 2048
)

// Crash is one crash of a backend server while it ran a call.
type Crash struct {
	Digest Digest
	Server apricotway.BackendServerID
}

// Crashes counts the crashes of backend servers by the content of the calls that they were running. It limits the damage of a
// call that crashes each server that runs it and is repeated through other processes. A content that is answered is harmless,
// and its count is reset. Crashes is safe for concurrent use.
type Crashes struct {
	keep time.Duration

	mu sync.Mutex
	// contents holds the counted crashes of each content.
	contents map[Digest]*contentCrashes
}

type contentCrashes struct {
	count int
	// last is the time of the newest counted crash, and countedAt the time of the last counted crash on each server.
	last      time.Time
	countedAt map[apricotway.BackendServerID]time.Time
}

// NewCrashes returns an empty Crashes whose entries are kept for the given time after their last crash.
func NewCrashes(keep time.Duration) *Crashes {
	return &Crashes{keep: keep, contents: map[Digest]*contentCrashes{}}
}

// Add counts a crash. It returns false for a crash that was already counted, and for a new content when too many are tracked.
func (c *Crashes) Add(now time.Time, crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	known := c.contents[crash.Digest]
	if known == nil {
		if c.dropExpired(now); len(c.contents) >= maxContents {
			return false
		}

		known = &contentCrashes{countedAt: map[apricotway.BackendServerID]time.Time{}}
		c.contents[crash.Digest] = known
	}

	if at, ok := known.countedAt[crash.Server]; ok && now.Sub(at) < sameCrashWindow {
		return false
	}

	known.count++
	known.last, known.countedAt[crash.Server] = now, now

	return true
}

// Count returns the number of crashes of a content.
func (c *Crashes) Count(now time.Time, digest Digest) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	if known := c.contents[digest]; known != nil && now.Sub(known.last) < c.keep {
		return known.count
	}

	return 0
}

// Clear removes a content that was answered. It returns false when the content was not tracked.
func (c *Crashes) Clear(digest Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	_, known := c.contents[digest]
	delete(c.contents, digest)

	return known
}

// Empty reports whether no content is tracked.
func (c *Crashes) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.contents) == 0
}

// Suspects returns the contents with at least SuspectThreshold crashes, and drops expired contents.
func (c *Crashes) Suspects(now time.Time) map[Digest]int {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.dropExpired(now)

	suspects := map[Digest]int{}

	for digest, known := range c.contents {
		if known.count >= SuspectThreshold {
			suspects[digest] = known.count
		}
	}

	return suspects
}

func (c *Crashes) dropExpired(now time.Time) {
	for digest, known := range c.contents {
		if now.Sub(known.last) >= c.keep {
			delete(c.contents, digest)
		}
	}
}
