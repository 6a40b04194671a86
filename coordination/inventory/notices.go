package inventory

import (
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

// subscribe takes over the notices of other processes, those known before this inventory included.
func (i *Inventory) subscribe() {
	apricotway.SubscribeValue(i.broadcasts, apricotway.TopicNotice,
		func(key string, version uint64, notice inventory.Notice) {
			i.take(apricotway.BackendServerID(key), version, notice)
		})

	for _, entry := range i.broadcasts.Latest(apricotway.TopicNotice) {
		if notice, err := apricotway.DecodeValue[inventory.Notice](entry); err == nil {
			i.take(apricotway.BackendServerID(entry.Key), entry.Version, notice)
		}
	}
}

// take keeps a notice that is newer than the known one.
func (i *Inventory) take(id apricotway.BackendServerID, version uint64, notice inventory.Notice) {
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

	i.logger.V(1).Info("notice received", "event", 212, "server", id, "state", notice.State)

	signal(i.arrived)
}

// publishLeaves tells the other processes of the leaving servers of a list.
func (i *Inventory) publishLeaves(servers []apricotway.BackendServer) {
	for _, server := range servers {
		if server.State == apricotway.HostLeaving {
			i.publish(server.ID, inventory.Notice{State: inventory.NoticeLeaving, Deadline: server.Deadline})
		}
	}
}

// publish tells the other processes of a server unless they know already.
func (i *Inventory) publish(id apricotway.BackendServerID, notice inventory.Notice) {
	if i.broadcasts == nil {
		return
	}

	now := time.Now()

	i.mu.Lock()

	next, ok := inventory.Next(now, i.current, i.notices[id], notice)
	if ok {
		i.notices[id] = next
	}

	i.mu.Unlock()

	if !ok {
		return
	}

	err := apricotway.PublishValue(i.broadcasts, apricotway.TopicNotice, string(id), next.Version, next.Lifetime(now), notice)
	if err != nil {
		// The version is refused when the same notice of another process arrived at the same time.
		i.logger.V(1).Info("notice not published", "event", 213, "server", id, "error", err.Error())
	}
}

// MarkLost takes a server out of use that was seen dying, here at once and soon at all other processes.
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

	// Many requests lose one server together; the first one took it out.
	if !known {
		i.merge(nil)
	}

	if tell {
		i.publish(id, inventory.Notice{State: inventory.NoticeDead})
	}
}

// MarkReached reports a successful call of a server that began at the given time. It corrects a death that was observed or
// told before.
func (i *Inventory) MarkReached(id apricotway.BackendServerID, begun time.Time) {
	i.mu.RLock()
	observation, observed := i.observations[id]
	notice := i.notices[id]
	i.mu.RUnlock()

	told := notice.State == inventory.NoticeDead && begun.After(notice.Received)
	if !told && (!observed || !begun.After(observation.Lost)) {
		return
	}

	i.mu.Lock()

	observation = i.observations[id]
	observation.Reached = begun
	i.observations[id] = observation
	i.mu.Unlock()

	i.merge(nil)

	if told {
		i.publish(id, inventory.Notice{State: inventory.NoticeAlive})
	}
}
