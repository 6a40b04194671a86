package inventory

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

const (
	// announcePeriod is the time between two announcements of all readers together. An announcement for each read would cost
	// more than the changes of the list.
	announcePeriod = 10 * time.Second
	// announceTimeout is the time without an announcement after which a process reads the list out of turn. It is several times
	// the announcePeriod, since announcements may be lost.
	announceTimeout = 4 * announcePeriod
	// retryPeriod is the time between two reads of a process that receives no announcement of another reader. It is also the
	// delay of a timer from which a process counts as having been paused.
	retryPeriod = 10 * time.Second
)

// keyAll is the broadcast key of the entries that all processes share.
const keyAll = "all"

// reading is the payload of an announcement that a process reads the list, and of a request that all processes read it.
type reading struct {
	Node apricotway.NodeID `json:"node"`
}

// sharesReads reports whether the processes read the list in turn and broadcast its changes.
func (i *Inventory) sharesReads() bool { return i.broadcasts != nil && i.membership != nil }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// runReads reads the list in turn with the other processes. It also reads at the start, after a pause of this process, when
// another process asks all processes to read, and on its own schedule while it is the only reader or receives no announcement of
// another one.
func (i *Inventory) runReads(ctx context.Context) error {
	i.Refresh(ctx)

	i.mu.Lock()
	i.lastHeard = time.Now()
	i.mu.Unlock()

	for {
		wait, alone := i.nextRead()
		timer := time.NewTimer(wait)
		due := time.Now().Add(wait)

		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-i.reread:
			timer.Stop()
			i.read(ctx, false)

			continue
		case <-timer.C:
		}

		switch {
		case alone, time.Since(due) > retryPeriod:
			i.Refresh(ctx)
		case i.inTurn():
			i.Refresh(ctx)
			i.announce()
		case i.missesReaders():
			i.logger.V(1).Info("no reader announced itself; reading the host list out of turn", "event", 341)
			i.Refresh(ctx)
		}
	}
}

// nextRead returns the time until the next read, and whether this process reads on its own schedule and not in turn: if it is the
// only reader, or until the first read has succeeded.
func (i *Inventory) nextRead() (wait time.Duration, alone bool) {
	select {
	case <-i.ready:
	default:
		return i.period, true
	}

	if !i.sharesReads() {
		return i.period, true
	}

	readers := inventory.Readers(i.membership.Members(), i.membership.Self())
	if len(readers) == 1 {
		return i.period, true
	}

	return inventory.NextTurn(time.Now(), len(readers)), false
}

func (i *Inventory) inTurn() bool {
	self := i.membership.Self()

	return inventory.InTurn(time.Now(), inventory.Readers(i.membership.Members(), self), self.Node)
}

// missesReaders reports whether no other process has announced for a while that it reads the list, and the last own read is old
// enough for another one.
func (i *Inventory) missesReaders() bool {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return time.Since(i.lastHeard) > announceTimeout && time.Since(i.listing.Begun) >= retryPeriod
}

// announce broadcasts that this process reads the list, unless it or another process has done so within the announcePeriod.
func (i *Inventory) announce() {
	now := time.Now()

	i.mu.Lock()

	if now.Sub(i.lastHeard) < announcePeriod || now.Sub(i.announced) < announcePeriod ||
		now.Sub(i.listing.Begun) > announcePeriod { // the last read failed
		i.mu.Unlock()
		return
	}

	i.announced = now
	i.readingVersion = max(i.readingVersion+1, uint64(now.UnixMilli()))
	version := i.readingVersion
	i.mu.Unlock()

	// If the version is refused, another process has announced at the same time, which suffices.
	_ = apricotway.PublishValue(i.broadcasts, apricotway.TopicHostListReader, keyAll, version, announceTimeout,
		reading{Node: i.membership.Self().Node})
}

// subscribeChanges receives the announcements, the requests to read the list, and the changes that other processes publish.
func (i *Inventory) subscribeChanges() {
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicHostListReader, func(_ string, version uint64, _ reading) {
		i.mu.Lock()
		defer i.mu.Unlock()

		i.lastHeard, i.readingVersion = time.Now(), max(i.readingVersion, version)
	})
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicReadHostList, func(_ string, version uint64, _ reading) {
		i.mu.Lock()
		newer := version > i.listVersion

		if newer {
			i.rereadAsked, i.listVersion = time.Now(), version
		}

		i.mu.Unlock()

		if newer {
			signal(i.reread)
		}
	})
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicHostChange, i.acceptChange)

	for _, entry := range i.broadcasts.Latest(apricotway.TopicHostChange) {
		if change, err := apricotway.DecodeValue[inventory.Change](entry); err == nil {
			i.acceptChange(entry.Key, entry.Version, change)
		}
	}
}

// acceptChange stores a change if it is newer than the known one of the server.
func (i *Inventory) acceptChange(key string, version uint64, change inventory.Change) {
	id := apricotway.BackendServerID(key)

	i.mu.Lock()

	newer := version > i.changes[id].Version && change.Server.ID == id
	if newer {
		i.changes[id] = inventory.KnownChange{Change: change, Version: version, Received: time.Now()}
		i.currentStale = true
	}

	i.mu.Unlock()

	if newer {
		signal(i.received)
	}
}

// publishChanges broadcasts how the current set differs from the one before the last read. If there are too many changes, it asks
// all processes to read the list instead. The caller holds i.reading.
func (i *Inventory) publishChanges(before inventory.Listing) {
	now := time.Now()

	i.mu.Lock()

	changes := inventory.Changes(before, i.current)
	many := len(changes) > inventory.MaxChanges
	manyLeaves := inventory.CountNewLeaves(before, i.current, i.notices) > inventory.MaxChanges
	// A list whose answers alternate between an older and a newer state must not make all processes read repeatedly, so
	// requests are limited in time. Many new leaves need no such limit: their notices are known afterwards, so that they do not
	// count as new again.
	ask := manyLeaves || many && now.Sub(i.rereadAsked) >= inventory.ChangePrecedence

	if ask {
		i.rereadAsked = now
		i.listVersion = max(i.listVersion+1, uint64(now.UnixMilli()))
	}

	version, listing := i.listVersion, i.listing

	var published []inventory.KnownChange

	for _, change := range changes {
		known, ok := inventory.NextChange(now, listing, i.changes[change.Server.ID], change)
		if ok && !many {
			i.changes[change.Server.ID] = known
			published = append(published, known)
		}
	}

	i.mu.Unlock()

	if ask {
		i.logger.Info("many changes of the host list; asking all processes to read it", "event", 342, "changes", len(changes))

		if err := apricotway.PublishValue(i.broadcasts, apricotway.TopicReadHostList, keyAll, version, announceTimeout,
			reading{Node: i.membership.Self().Node}); err != nil {
			i.logger.V(1).Info("asking all processes to read the host list failed", "event", 343, "error", err.Error())
		}
	}

	for _, known := range published {
		if err := apricotway.PublishValue(i.broadcasts, apricotway.TopicHostChange, string(known.Server.ID), known.Version,
			inventory.ChangeLifetime, known.Change); err != nil {
			i.logger.V(1).Info("publishing a change of the host list failed", "event", 340, "server", known.Server.ID,
				"error", err.Error())
		}
	}
}
