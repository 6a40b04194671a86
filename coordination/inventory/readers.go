package inventory

import (
	"context"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

const (
	// announcePeriod is the time between two signs of the readers. One a turn would cost more than the list's changes.
	announcePeriod = 10 * time.Second
	// silence is the time without a sign after which a process reads by itself, and the time between two such readings.
	// It holds several signs, since each may be lost.
	silence = 4 * announcePeriod
	// retryPeriod is the time between two readings of a process that hears no other reader. A frozen process shows the same
	// gap in its own time.
	retryPeriod = 10 * time.Second
)

// keyAll is the key of the entries that all processes share.
const keyAll = "all"

// reading is the sign that a process reads the list.
type reading struct {
	Node apricotway.NodeID `json:"node"`
}

// shares reports whether the processes read the list in turn and tell each other of the changes.
func (i *Inventory) shares() bool { return i.broadcasts != nil && i.membership != nil }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// runReadings reads the list in turn with the other processes. It reads at once at the start, after a pause of this process,
// and when another process asks everybody to; by itself when it is alone or hears no other reader.
func (i *Inventory) runReadings(ctx context.Context) error {
	i.Refresh(ctx)

	i.mu.Lock()
	i.heard = time.Now()
	i.mu.Unlock()

	for {
		wait, alone := i.nextReading()
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
		case i.unheard():
			i.logger.V(1).Info("host list read out of turn", "event", 341)
			i.Refresh(ctx)
		}
	}
}

// nextReading returns the time until the next turn, and whether this process reads by itself. It does so too until the first
// reading has succeeded.
func (i *Inventory) nextReading() (wait time.Duration, alone bool) {
	select {
	case <-i.ready:
	default:
		return i.period, true
	}

	if !i.shares() {
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

// unheard reports whether no other process seems to read the list. Then the own last reading may be one of long ago.
func (i *Inventory) unheard() bool {
	i.mu.RLock()
	defer i.mu.RUnlock()

	return time.Since(i.heard) > silence && time.Since(i.listing.Begun) >= retryPeriod
}

// announce tells the other processes that this one reads, unless another one has told so.
func (i *Inventory) announce() {
	now := time.Now()

	i.mu.Lock()

	if now.Sub(i.heard) < announcePeriod || now.Sub(i.announced) < announcePeriod ||
		now.Sub(i.listing.Begun) > announcePeriod { // the list did not answer
		i.mu.Unlock()
		return
	}

	i.announced = now
	i.readingVersion = max(i.readingVersion+1, uint64(now.UnixMilli()))
	version := i.readingVersion
	i.mu.Unlock()

	// Another process may have used the version at the same time, which is a sign as well.
	_ = apricotway.PublishValue(i.broadcasts, apricotway.TopicReading, keyAll, version, silence,
		reading{Node: i.membership.Self().Node})
}

// subscribeChanges takes over what other processes read.
func (i *Inventory) subscribeChanges() {
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicReading, func(_ string, version uint64, _ reading) {
		i.mu.Lock()
		defer i.mu.Unlock()

		i.heard, i.readingVersion = time.Now(), max(i.readingVersion, version)
	})
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicList, func(_ string, version uint64, _ reading) {
		i.mu.Lock()
		newer := version > i.listVersion

		if newer {
			i.asked, i.listVersion = time.Now(), version
		}

		i.mu.Unlock()

		if newer {
			signal(i.reread)
		}
	})
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicHost, i.takeChange)

	for _, entry := range i.broadcasts.Latest(apricotway.TopicHost) {
		if change, err := apricotway.DecodeValue[inventory.Change](entry); err == nil {
			i.takeChange(entry.Key, entry.Version, change)
		}
	}
}

// takeChange keeps a change that is newer than the known one.
func (i *Inventory) takeChange(key string, version uint64, change inventory.Change) {
	id := apricotway.BackendServerID(key)

	i.mu.Lock()

	newer := version > i.changes[id].Version && change.Server.ID == id
	if newer {
		i.changes[id] = inventory.KnownChange{Change: change, Version: version, Received: time.Now()}
		i.altered = true
	}

	i.mu.Unlock()

	if newer {
		signal(i.arrived)
	}
}

// publishChanges tells the other processes what the last reading shows that was not known before. The caller holds reading.
func (i *Inventory) publishChanges(before inventory.Listing) {
	now := time.Now()

	i.mu.Lock()

	changes := inventory.Changes(before, i.current)
	many := len(changes) > inventory.MaxChanges
	wave := inventory.Leaves(before, i.current, i.notices) > inventory.MaxChanges
	// A list that answers now with an older and now with a newer state must not make all processes read again and again. A
	// wave of leaves cannot repeat itself, since their notices are known then.
	ask := wave || many && now.Sub(i.asked) >= inventory.Settle

	if ask {
		i.asked = now
		i.listVersion = max(i.listVersion+1, uint64(now.UnixMilli()))
	}

	version, listing := i.listVersion, i.listing

	var told []inventory.KnownChange

	for _, change := range changes {
		known, ok := inventory.Tell(now, listing, i.changes[change.Server.ID], change)
		if ok && !many {
			i.changes[change.Server.ID] = known
			told = append(told, known)
		}
	}

	i.mu.Unlock()

	if ask {
		i.logger.Info("host list changed much", "event", 342, "changes", len(changes))

		if err := apricotway.PublishValue(i.broadcasts, apricotway.TopicList, keyAll, version, silence,
			reading{Node: i.membership.Self().Node}); err != nil {
			i.logger.V(1).Info("reading of the host list not asked for", "event", 343, "error", err.Error())
		}
	}

	for _, known := range told {
		if err := apricotway.PublishValue(i.broadcasts, apricotway.TopicHost, string(known.Server.ID), known.Version,
			inventory.ChangeLifetime, known.Change); err != nil {
			i.logger.V(1).Info("change of the host list not published", "event", 340, "server", known.Server.ID,
				"error", err.Error())
		}
	}
}
