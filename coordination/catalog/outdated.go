package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// outdatedCheckPeriod is the time between two checks whether the configuration in force is outdated.
	outdatedCheckPeriod = 250 * time.Millisecond
	// outdatedLogPeriod is the time between two lines about a configuration that stays outdated.
	outdatedLogPeriod = 5 * time.Second
	// outdatedTolerance is the time for which calls are decided by a configuration after a newer one has been announced. Operators expect
	// a confirmed configuration in force within 2 s, and its announcement takes up to 1 s of these.
	outdatedTolerance = time.Second
	// maxAnnouncements bounds the announced versions that are remembered one by one.
	maxAnnouncements = 64
)

// Versions describes how current the configuration of a process is.
type Versions struct {
	// InForce is the version in force, 0 without one.
	InForce uint64 `json:"inForce"`
	// Known is the newest version that this process knows to exist; at least InForce.
	Known uint64 `json:"known"`
	// OutdatedFor is the time since this process first knew of a version newer than InForce, 0 while it knows of none.
	OutdatedFor time.Duration `json:"outdatedFor"`
	// ConfirmedFor is the age of the newest proof that no newer version existed.
	ConfirmedFor time.Duration `json:"confirmedFor"`
	// Problem is why the last attempt to get a newer version failed, empty if it succeeded or there was none.
	Problem string `json:"problem"`
}

// announcement tells that a version exists.
type announcement struct {
	version uint64
	// at is the boot time at which this process first knew of the version.
	at time.Duration
}

// announcements holds the versions that a process knows to exist and does not have.
type announcements struct {
	// since is the boot time of the first of newer; 0 while there is none.
	since atomic.Int64

	mu sync.Mutex
	// newer holds the versions newer than the one in force in ascending order.
	newer []announcement
	// source is the process that announced the newest one.
	source apricotway.NodeID
	// problem is why the last attempt to get a newer version failed.
	problem string
	// logged is the boot time of the last line about the outdated configuration; 0 if there is none since it was current.
	logged time.Duration
	// loggedSince is the value of since at the first of these lines.
	loggedSince time.Duration
}

// inForce returns the version in force, 0 without one.
func (c *Catalog) inForce() uint64 {
	if table := c.table.Load(); table != nil {
		return table.Version
	}

	return 0
}

// Versions returns how current the configuration is.
func (c *Catalog) Versions() Versions {
	now := c.boot()
	versions := Versions{InForce: c.inForce(), OutdatedFor: c.outdatedFor(now)}
	versions.Known = max(versions.InForce, c.announcedVersion.Load())

	if proven := c.provenAt.Load(); proven != 0 {
		versions.ConfirmedFor = now - time.Duration(proven)
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	versions.Problem = c.announced.problem

	return versions
}

// outdatedFor returns the time since a version newer than the one in force is known, 0 while none is.
func (c *Catalog) outdatedFor(now time.Duration) time.Duration {
	if since := c.announced.since.Load(); since != 0 {
		return now - time.Duration(since)
	}

	return 0
}

// Outdated reports whether a newer configuration than the one in force has been known for so long that calls must not be decided by the
// one in force.
func (c *Catalog) Outdated() bool { return c.outdatedFor(c.boot()) > outdatedTolerance }

// AwaitCurrent reports whether a call may be refused because the configuration in force lacks its route or key: no newer version is known, and
// it was proven recently enough for a decision about keys. It waits a little until that is so.
func (c *Catalog) AwaitCurrent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()

	for {
		enacted := *c.enacted.Load()

		if c.announced.since.Load() == 0 {
			return c.AwaitKeys(ctx)
		}

		c.requestRefresh()

		select {
		case <-enacted:
		case <-ctx.Done():
			return false
		}
	}
}

// noteVersion records a version of the configuration that another process has.
func (c *Catalog) noteVersion(version uint64, source apricotway.NodeID) {
	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	if version <= max(c.inForce(), c.announcedVersion.Load()) {
		return
	}

	c.announcedVersion.Store(version)
	c.announced.source = source

	// The first one tells since when the configuration is outdated.
	if len(c.announced.newer) == maxAnnouncements {
		c.announced.newer = append(c.announced.newer[:1], c.announced.newer[maxAnnouncements/2:]...)
	}

	c.announced.newer = append(c.announced.newer, announcement{version, c.boot()})
	c.announced.since.Store(int64(c.announced.newer[0].at))
}

// announcer returns the process that announced the newest known version.
func (c *Catalog) announcer() apricotway.NodeID {
	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	return c.announced.source
}

// noteAttempt records how an attempt to get a newer version ended.
func (c *Catalog) noteAttempt(err error) {
	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	c.announced.problem = ""
	if err != nil {
		c.announced.problem = err.Error()
	}
}

// noteInForce forgets the announcements of a version that has come into force and of those before it.
func (c *Catalog) noteInForce(version uint64) {
	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	for len(c.announced.newer) > 0 && c.announced.newer[0].version <= version {
		c.announced.newer = c.announced.newer[1:]
	}

	if len(c.announced.newer) > 0 {
		c.announced.since.Store(int64(c.announced.newer[0].at))
		return
	}

	if c.announced.logged != 0 {
		c.logger.Info("configuration is current again", "event", 397, "version", version, "outdatedFor", c.boot()-c.announced.loggedSince)
	}

	c.announced.since.Store(0)
	c.announced.logged, c.announced.problem = 0, ""
}

// checkOutdated requests another attempt to get a newer version and logs that there was no success for long.
func (c *Catalog) checkOutdated(context.Context, time.Time) {
	versions := c.Versions()
	if versions.OutdatedFor == 0 {
		return
	}

	c.requestRefresh()

	if versions.OutdatedFor <= outdatedTolerance {
		return
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	now := c.boot()
	if c.announced.logged == 0 {
		c.announced.loggedSince = now - versions.OutdatedFor
	} else if now-c.announced.logged < outdatedLogPeriod {
		return
	}

	c.announced.logged = now
	c.logger.Info("configuration is outdated", "event", 396, "version", versions.InForce, "known", versions.Known,
		"outdatedFor", versions.OutdatedFor, "confirmedFor", versions.ConfirmedFor, "problem", versions.Problem)
}
