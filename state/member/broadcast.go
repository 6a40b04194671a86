package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxBroadcasts bounds the broadcasts kept; they take a few megabytes at most.
	maxBroadcasts = 8192
	// maxLifetime bounds the lifetime of a broadcast.
	maxLifetime = 24 * time.Hour
)

// key identifies an update: a member by its node, or a broadcast by topic and name.
type key struct {
	node  apricotway.NodeID
	topic apricotway.Topic
	name  string
}

func memberKey(node apricotway.NodeID) key { return key{node: node} }

func (k key) compare(other key) int {
	return cmp.Or(cmp.Compare(k.node, other.node), cmp.Compare(k.topic, other.topic), cmp.Compare(k.name, other.name))
}

// class returns the priority of an update, 0 for the highest. A burst in one class must not delay the classes before it.
func (k key) class() int {
	switch k.topic {
	case "":
		return 0
	case apricotway.TopicTokens, apricotway.TopicDemand, apricotway.TopicHostListReader, apricotway.TopicHostChange,
		apricotway.TopicBuild:
		return 2
	case apricotway.TopicNotice, apricotway.TopicRevision, apricotway.TopicQuarantine, apricotway.TopicReadHostList,
		apricotway.TopicDuty:
		return 1
	default: // a topic that a newer release added
		return 1
	}
}

// queue holds the updates to be sent, with the number of times each has been sent.
type queue struct {
	pending map[key]pending
	turn    uint64
}

// pending holds how often an update was sent, and its turn among updates sent equally often.
type pending struct {
	sent int
	turn uint64
}

func newQueue() queue { return queue{pending: map[key]pending{}} }

// add queues an update as not yet sent. One that has not been sent keeps its turn; otherwise an update replaced more often
// than its turn comes would never be sent.
func (q *queue) add(k key) {
	if old, ok := q.pending[k]; ok && old.sent == 0 {
		return
	}

	q.turn++
	q.pending[k] = pending{turn: q.turn}
}

// markSent counts a sending of an update, and drops the update at the limit.
func (q *queue) markSent(k key, limit int) {
	q.turn++

	if update := (pending{q.pending[k].sent + 1, q.turn}); update.sent < limit {
		q.pending[k] = update
	} else {
		delete(q.pending, k)
	}
}

func (q *queue) drop(k key) { delete(q.pending, k) }

// order returns the updates by class, then by how often they were sent, then by turn. If they were sorted by key instead,
// the frequent updates with the first keys would take the whole budget of every packet.
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

// put stores an entry if it is valid and newer than the stored version.
func (s store) put(now time.Time, entry apricotway.BroadcastEntry) bool {
	if entry.Topic == "" || len(entry.Topic)+len(entry.Key)+len(entry.Payload) > apricotway.MaxBroadcastBytes ||
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

// get returns an entry with its remaining lifetime, and false if it is unknown or expired.
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

// expire drops the entries whose lifetime is over, and reports whether there were any.
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

// Publish broadcasts an entry of this process. It returns false if the entry is invalid or not newer than the stored one.
func (m *Machine) Publish(now time.Time, entry apricotway.BroadcastEntry) (Output, bool) {
	if !m.store.put(now, entry) {
		return m.takeOutput(), false
	}

	m.enqueueBroadcast(now, entry)

	return m.Tick(now), true
}

// Broadcasts returns the known entries of a topic, sorted by key.
func (m *Machine) Broadcasts(now time.Time, topic apricotway.Topic) []apricotway.BroadcastEntry {
	return slices.DeleteFunc(m.store.all(now), func(b apricotway.BroadcastEntry) bool { return b.Topic != topic })
}

func (m *Machine) receiveBroadcast(now time.Time, entry apricotway.BroadcastEntry) {
	if m.store.put(now, entry) {
		m.out.Broadcasts = append(m.out.Broadcasts, entry)
		m.enqueueBroadcast(now, entry)
	}
}

// enqueueBroadcast queues an entry. Frequent entries wait for the regular probes, since the next version replaces them soon.
// So do changes of the host list, which do no harm while they are unknown.
func (m *Machine) enqueueBroadcast(now time.Time, entry apricotway.BroadcastEntry) {
	m.digestKnown = false
	m.enqueue(broadcastKey(entry))

	if !entry.Topic.Renewed() && entry.Topic != apricotway.TopicHostChange {
		m.scheduleUrgent(now)
	}
}
