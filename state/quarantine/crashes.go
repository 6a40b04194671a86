package quarantine

import (
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// CrashLimit is the number of crashes of backend servers under one content after which it is refused; the operators' rule
	// on retries allows three.
	CrashLimit = 3
	// CrashSuspect is the number of crashes from which all processes are told of a content, so that an answer to it anywhere
	// clears it.
	CrashSuspect = 2
	// crashSpacing is the time within which further broken calls at one server belong to the same crash.
	crashSpacing = time.Second
	// maxContents bounds the contents that are kept. Further ones are not counted until others have ended.
	maxContents = 2048
)

// Crash is one crash of a backend server under a call.
type Crash struct {
	Digest Digest
	Server apricotway.BackendServerID
}

// Crashes counts the crashes of backend servers under calls of one content. A content that was answered is innocent: its count
// begins anew. It answers the load of a call that crashes each server that runs it and comes again at other processes. It is safe
// for concurrent use.
type Crashes struct {
	keep time.Duration

	mu sync.Mutex
	// contents holds for each content the counted crashes, each by its server and time.
	contents map[Digest]*content
}

type content struct {
	count int
	// last is the time of the newest crash, at the time of the last counted crash of each server.
	last time.Time
	at   map[apricotway.BackendServerID]time.Time
}

// NewCrashes returns an empty count whose entries hold for the given time after their last crash.
func NewCrashes(keep time.Duration) *Crashes {
	return &Crashes{keep: keep, contents: map[Digest]*content{}}
}

// Add counts a crash. It returns false when the crash is known already.
func (c *Crashes) Add(now time.Time, crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	known := c.contents[crash.Digest]
	if known == nil {
		if c.dropEnded(now); len(c.contents) >= maxContents {
			return false
		}

		known = &content{at: map[apricotway.BackendServerID]time.Time{}}
		c.contents[crash.Digest] = known
	}

	if at, ok := known.at[crash.Server]; ok && now.Sub(at) < crashSpacing {
		return false
	}

	known.count++
	known.last, known.at[crash.Server] = now, now

	return true
}

// Count returns the crashes of a content.
func (c *Crashes) Count(now time.Time, digest Digest) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	if known := c.contents[digest]; known != nil && now.Sub(known.last) < c.keep {
		return known.count
	}

	return 0
}

// Clear forgets a content that was answered. It returns false when none was known.
func (c *Crashes) Clear(digest Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	_, known := c.contents[digest]
	delete(c.contents, digest)

	return known
}

// Empty tells whether no content is counted.
func (c *Crashes) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.contents) == 0
}

// Suspects returns the contents with CrashSuspect crashes or more, and drops those that have ended.
func (c *Crashes) Suspects(now time.Time) map[Digest]int {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.dropEnded(now)

	suspects := map[Digest]int{}

	for digest, known := range c.contents {
		if known.count >= CrashSuspect {
			suspects[digest] = known.count
		}
	}

	return suspects
}

func (c *Crashes) dropEnded(now time.Time) {
	for digest, known := range c.contents {
		if now.Sub(known.last) >= c.keep {
			delete(c.contents, digest)
		}
	}
}
