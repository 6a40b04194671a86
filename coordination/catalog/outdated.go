package catalog

import (
	"context"
	"sync"
	"time"
)

const (
	// outdatedCheckPeriod is the time between two checks whether the configuration in force is outdated.
	outdatedCheckPeriod = 250 * time.Millisecond
	// outdatedLogPeriod is the time between two lines about a configuration that stays outdated.
	outdatedLogPeriod = 5 * time.Second
	// outdatedTolerance is the time within which a newer version usually follows its announcement.
	outdatedTolerance = time.Second
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

// announcement is what a process knows about a version that it does not have. Its methods are safe for concurrent use.
type announcement struct {
	mu sync.Mutex
	// since is the boot time at which a version newer than the one in force was first known; 0 while there is none.
	since time.Duration
	// problem is why the last attempt to get a newer version failed.
	problem string
	// logged is the boot time of the last line about the outdated configuration; 0 if there is none since it was current.
	logged time.Duration
}

// Versions returns how current the configuration is.
func (c *Catalog) Versions() Versions {
	versions := Versions{Known: c.announcedVersion.Load()}

	if table := c.table.Load(); table != nil {
		versions.InForce = table.Version
	}

	now := c.boot()

	if proven := c.provenAt.Load(); proven != 0 {
		versions.ConfirmedFor = now - time.Duration(proven)
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	versions.Problem = c.announced.problem

	if versions.Known > versions.InForce && c.announced.since != 0 {
		versions.OutdatedFor = now - c.announced.since
	}

	versions.Known = max(versions.Known, versions.InForce)

	return versions
}

// noteVersion records the version of a configuration that this process does not have yet.
func (c *Catalog) noteVersion(version uint64) {
	for {
		known := c.announcedVersion.Load()
		if version <= known {
			return
		}

		if c.announcedVersion.CompareAndSwap(known, version) {
			break
		}
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	if c.announced.since == 0 {
		c.announced.since = c.boot()
	}
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

// noteCaughtUp ends the time in which the configuration is outdated if the version in force is the newest known one.
func (c *Catalog) noteCaughtUp(version uint64) {
	if version < c.announcedVersion.Load() {
		return
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	if c.announced.logged != 0 {
		c.logger.Info("configuration is current again", "event", 397, "version", version, "outdatedFor", c.boot()-c.announced.since)
	}

	c.announced.since, c.announced.logged, c.announced.problem = 0, 0, ""
}

// reportOutdated logs that the configuration in force is outdated.
func (c *Catalog) reportOutdated(context.Context, time.Time) {
	versions := c.Versions()
	if versions.OutdatedFor <= outdatedTolerance {
		return
	}

	c.announced.mu.Lock()
	defer c.announced.mu.Unlock()

	now := c.boot()
	if c.announced.logged != 0 && now-c.announced.logged < outdatedLogPeriod {
		return
	}

	c.announced.logged = now
	c.logger.Info("configuration is outdated", "event", 396, "version", versions.InForce, "known", versions.Known,
		"outdatedFor", versions.OutdatedFor, "confirmedFor", versions.ConfirmedFor, "problem", versions.Problem)
}
