package inventory

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

// subscribe receives the notices of other processes, including those broadcast before this inventory was created.
func (i *Inventory) subscribe() {
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicNotice,
		func(key string, version uint64, notice inventory.Notice) {
			i.acceptNotice(apricotway.BackendServerID(key), version, notice)
		})

	for _, entry := range i.broadcasts.Latest(apricotway.TopicNotice) {
		if notice, err := apricotway.DecodeValue[inventory.Notice](entry); err == nil {
			i.acceptNotice(apricotway.BackendServerID(entry.Key), entry.Version, notice)
		}
	}
}

// acceptNotice stores a notice if it is newer than the known one about the server.
func (i *Inventory) acceptNotice(id apricotway.BackendServerID, version uint64, notice inventory.Notice) {
	arrived := inventory.Known{Notice: notice, Version: version, Received: time.Now()}

	i.mu.Lock()

	newer := arrived.Replaces(i.notices[id])
	if newer {
		i.notices[id] = arrived
	}

	i.mu.Unlock()

	if !newer {
		return
	}

	i.logger.V(1).Info("received a notice about a server", "event", 212, "server", id, "state", notice.State)

	signal(i.received)
}

// publishLeaves publishes a notice for each leaving server of a list.
func (i *Inventory) publishLeaves(servers []apricotway.BackendServer) {
	for _, server := range servers {
		if server.State == apricotway.HostLeaving {
			i.publish(server.ID, inventory.Notice{State: inventory.NoticeLeaving, Deadline: server.Deadline})
		}
	}
}

// publish broadcasts a notice about a server unless the other processes already know its content.
func (i *Inventory) publish(id apricotway.BackendServerID, notice inventory.Notice) {
	if i.broadcasts == nil {
		return
	}

	now := time.Now()

	i.mu.Lock()

	next, ok := inventory.NextNotice(now, i.current, i.notices[id], notice)
	if ok {
		i.notices[id] = next
	}

	i.mu.Unlock()

	if !ok {
		return
	}

	err := apricotway.PublishValue(i.broadcasts, apricotway.TopicNotice, string(id), next.Version, next.Lifetime(now), notice)
	if err != nil {
		// The version is refused if another process published the same notice at the same time.
		i.logger.V(1).Info("publishing a notice about a server failed", "event", 213, "server", id, "error", err.Error())
	}
}

// MarkLost records that a call found the server dead at the given time. The server is taken out of use here at once, and at the
// other processes by a notice.
func (i *Inventory) MarkLost(id apricotway.BackendServerID, now time.Time) {
	i.mu.Lock()

	observation := i.observations[id]
	known := observation.Dead(now)
	observation.Lost = now
	tell := observation.Published.IsZero() || now.Sub(observation.Published) >= inventory.DeathLifetime

	if tell {
		observation.Published = now
	}

	i.observations[id] = observation
	i.mu.Unlock()

	// Many requests find one server dead at the same time; only the first one has to recompute the view.
	if !known {
		i.merge(nil)
	}

	if tell {
		i.publish(id, inventory.Notice{State: inventory.NoticeDead})
	}
}

// MarkReached records a successful call of a server that began at the given time. It overrides an earlier observation or notice
// that the server is dead.
func (i *Inventory) MarkReached(id apricotway.BackendServerID, begun time.Time) {
	i.mu.RLock()
	observation, observed := i.observations[id]
	notice := i.notices[id]
	i.mu.RUnlock()

	reportedDead := notice.State == inventory.NoticeDead && begun.After(notice.Received)
	if !reportedDead && (!observed || !begun.After(observation.Lost)) {
		return
	}

	i.mu.Lock()

	observation = i.observations[id]
	observation.Reached = begun
	i.observations[id] = observation
	i.mu.Unlock()

	i.merge(nil)

	if reportedDead {
		i.publish(id, inventory.Notice{State: inventory.NoticeAlive})
	}
}
