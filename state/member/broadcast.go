package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxBroadcasts bounds the entries kept, and with them the memory, to a few megabytes.
	maxBroadcasts = 8192
	// maxLifetime bounds how long an entry is kept.
	maxLifetime = 24 * time.Hour
)

// key names an update: a member by its node, or a broadcast by topic and name.
type key struct {
	node  apricotway.NodeID
	topic apricotway.Topic
	name  string
}

func memberKey(node apricotway.NodeID) key { return key{node: node} }

func (k key) compare(other key) int {
	return cmp.Or(cmp.Compare(k.node, other.node), cmp.Compare(k.topic, other.topic), cmp.Compare(k.name, other.name))
}

// class orders updates by their importance: a burst of one class must not hold up those before it.
func (k key) class() int {
	switch k.topic {
	case "":
		return 0
	case apricotway.TopicTokens, apricotway.TopicDemand, apricotway.TopicReading, apricotway.TopicHost:
		return 2
	case apricotway.TopicNotice, apricotway.TopicRevision, apricotway.TopicQuarantine, apricotway.TopicList,
		apricotway.TopicDuty:
		return 1
	default: // a topic of a newer release
		return 1
	}
}

// queue counts how often each pending update has been sent.
type queue struct {
	pending map[key]pending
	turn    uint64
}

// pending is the number of times an update was sent and its turn among those with the same number.
type pending struct {
	sent int
	turn uint64
}

func newQueue() queue { return queue{pending: map[key]pending{}} }

// add starts an update anew. One that was not sent yet keeps its turn: otherwise an update that is replaced more often than
// its turn comes would never be sent.
func (q *queue) add(k key) {
	if old, ok := q.pending[k]; ok && old.sent == 0 {
		return
	}

	q.turn++
	q.pending[k] = pending{turn: q.turn}
}

// sent counts one use of an update and drops it at the limit.
func (q *queue) sent(k key, limit int) {
	q.turn++

	if update := (pending{q.pending[k].sent + 1, q.turn}); update.sent < limit {
		q.pending[k] = update
	} else {
		delete(q.pending, k)
	}
}

func (q *queue) drop(k key) { delete(q.pending, k) }

// order returns the updates by class, and within a class those sent least often first, in turn. In the order of their keys,
// the first ones of frequent updates would take the whole budget of a packet each time.
func (q *queue) order() []key {
	keys := make([]key, 0, len(q.pending))
	for k := range q.pending {
		keys = append(keys, k)
	}

	slices.SortFunc(keys, func(a, b key) int {
		x, y := q.pending[a], q.pending[b]

		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(x.sent, y.sent), cmp.Compare(x.turn, y.turn))
	})

	return keys
}

type stored struct {
	entry   apricotway.BroadcastEntry
	expires time.Time
}

// store holds the newest version of each broadcast.
type store map[key]stored

func broadcastKey(b apricotway.BroadcastEntry) key { return key{topic: b.Topic, name: b.Key} }

// put keeps an entry that is valid and newer than the known one.
func (s store) put(now time.Time, entry apricotway.BroadcastEntry) bool {
	if entry.Topic == "" || len(entry.Topic)+len(entry.Key)+len(entry.Payload) > apricotway.MaxBroadcast ||
		entry.Lifetime <= 0 {
		return false
	}

	k := broadcastKey(entry)

	known, ok := s[k]
	if ok && entry.Version <= known.entry.Version || !ok && len(s) >= maxBroadcasts {
		return false
	}

	s[k] = stored{entry: entry, expires: now.Add(min(entry.Lifetime, maxLifetime))}

	return true
}

// get returns an entry with its remaining lifetime.
func (s store) get(k key, now time.Time) (apricotway.BroadcastEntry, bool) {
	found, ok := s[k]
	if !ok || !now.Before(found.expires) {
		return apricotway.BroadcastEntry{}, false
	}

	entry := found.entry
	entry.Lifetime = found.expires.Sub(now)

	return entry, true
}

func (s store) all(now time.Time) []apricotway.BroadcastEntry {
	var list []apricotway.BroadcastEntry

	for k := range s {
		if entry, ok := s.get(k, now); ok {
			list = append(list, entry)
		}
	}

	slices.SortFunc(list, func(a, b apricotway.BroadcastEntry) int { return broadcastKey(a).compare(broadcastKey(b)) })

	return list
}

// expire drops what has reached its lifetime and reports whether there was any.
func (s store) expire(now time.Time, pending *queue) bool {
	before := len(s)

	for k, entry := range s {
		if !now.Before(entry.expires) {
			delete(s, k)
			pending.drop(k)
		}
	}

	return len(s) < before
}

// Publish spreads an entry of this process. It reports false for an entry that is invalid or not newer than the known one.
func (m *Machine) Publish(now time.Time, entry apricotway.BroadcastEntry) (Output, bool) {
	if !m.store.put(now, entry) {
		return m.take(), false
	}

	m.spread(now, entry)

	return m.Tick(now), true
}

// Broadcasts returns the known entries of a topic in the order of their keys.
func (m *Machine) Broadcasts(now time.Time, topic apricotway.Topic) []apricotway.BroadcastEntry {
	return slices.DeleteFunc(m.store.all(now), func(b apricotway.BroadcastEntry) bool { return b.Topic != topic })
}

func (m *Machine) keep(now time.Time, entry apricotway.BroadcastEntry) {
	if m.store.put(now, entry) {
		m.out.Broadcasts = append(m.out.Broadcasts, entry)
		m.spread(now, entry)
	}
}

// spread queues an entry. Frequent ones wait for the regular probes, since the next ones replace them. So do changes of the
// host list: nothing goes wrong until they are known.
func (m *Machine) spread(now time.Time, entry apricotway.BroadcastEntry) {
	m.digestKnown = false
	m.enqueue(broadcastKey(entry))

	if !entry.Topic.Frequent() && entry.Topic != apricotway.TopicHost {
		m.urgent(now)
	}
}
