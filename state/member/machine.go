package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

const (
	// maxRelays bounds the indirect probes that a process performs for others at a time.
	maxRelays = 64
	// differingAcks is the number of acknowledgements in a row with another digest after which states are exchanged.
	differingAcks = 3
	// urgentRounds is the number of rounds of extra probes for one update. One round of three reaches 94% of the members,
	// two reach more than 99%.
	urgentRounds = 2
	// maxRecent bounds the updates that are sent again to a member with another view.
	maxRecent = 8
	// maxMembers bounds the entries kept, dead ones included, against a peer that invents members.
	maxMembers = 8192
)

// Stats counts events since the start.
type Stats struct {
	ProbesSent, ProbesLost, Suspicions, Refutations, Ignored uint64
}

// member is what the machine keeps of one other process.
type member struct {
	entry Entry
	// deadline ends the suspicion of a suspect and the retention of a dead member.
	deadline time.Time
}

// probe is the probe of the current period.
type probe struct {
	target      apricotway.NodeID
	sequence    uint64
	indirectAt  time.Time
	indirectWas bool
}

// relay is an indirect probe performed for another process.
type relay struct {
	to       netip.AddrPort
	sequence uint64
	target   apricotway.NodeID
	deadline time.Time
}

// Machine is the membership state of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Entry
	members map[apricotway.NodeID]*member
	// live counts the members that are not dead.
	live int
	// order is the shuffled round of members still to be probed.
	order    []apricotway.NodeID
	sequence uint64
	current  *probe
	relays   map[uint64]relay
	queue    queue
	store    store

	lastTick, nextProbe, nextReconnect, nextExchange time.Time
	// urgentAt is the time of the next round of extra probes, zero when none is due.
	urgentAt, lastUrgent time.Time

	// urgentRounds is the number of rounds of extra probes still to send.
	urgentRounds int
	// recent holds the last updates, the newest at the end.
	recent []key
	// differs tells that the probe that is being answered came from a member with another view.
	differs bool
	// quiet is set while the first full state is merged.
	quiet bool
	// digest identifies the view while digestKnown is set.
	digest      uint64
	digestKnown bool
	// contact is the time of the last answer to an own probe.
	contact time.Time
	// differing counts the acknowledgements in a row with another digest.
	differing  int
	nextRepair time.Time

	stats Stats
	out   Output
}

// New returns the machine of the process that self describes.
func New(self Entry, config Config, random *rand.Rand, now time.Time) *Machine {
	self.State = apricotway.MemberAlive
	self.Incarnation = max(self.Incarnation, 1)

	m := &Machine{
		config: config, random: random, self: self,
		members: map[apricotway.NodeID]*member{}, relays: map[uint64]relay{},
		// A random start keeps the answers to probes of an earlier process from matching.
		sequence: random.Uint64() >> 1,
		queue:    newQueue(), store: store{},
		lastTick:     now,
		contact:      now,
		nextProbe:    now.Add(jitter(random, config.Period)),
		nextExchange: now.Add(jitter(random, config.ExchangePeriod)),
	}
	m.announceSelf(now)

	return m
}

func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d))) + 1
}

// Self returns this process.
func (m *Machine) Self() Entry { return m.self }

// LastContact returns the time of the last answer of another member to a probe of this process, or of its start.
func (m *Machine) LastContact() time.Time { return m.contact }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Entries returns all known members but this process, dead ones included, in the order of their nodes.
func (m *Machine) Entries() []Entry {
	entries := make([]Entry, 0, len(m.members))
	for _, other := range m.members {
		entries = append(entries, other.entry)
	}

	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })

	return entries
}

// Next returns the time at which Tick has to be called next.
func (m *Machine) Next() time.Time {
	next := m.nextProbe
	if m.current != nil && !m.current.indirectWas && m.current.indirectAt.Before(next) {
		next = m.current.indirectAt
	}

	if !m.urgentAt.IsZero() && m.urgentAt.Before(next) {
		next = m.urgentAt
	}

	return next
}

// Tick performs what is due.
func (m *Machine) Tick(now time.Time) Output {
	// A process that was paused has missed the answers and refutations that arrived meanwhile, so its timers start anew.
	if gap := now.Sub(m.lastTick); gap > 2*m.config.Period {
		m.resume(now, gap)
	}

	m.lastTick = now
	m.expire(now)

	if m.current != nil && !m.current.indirectWas && !now.Before(m.current.indirectAt) {
		m.askOthers()
	}

	if !now.Before(m.nextProbe) {
		m.startPeriod(now)
	}

	if !m.urgentAt.IsZero() && !now.Before(m.urgentAt) {
		m.sendUrgent(now)
	}

	return m.take()
}

func (m *Machine) take() Output {
	out := m.out
	m.out = Output{}

	return out
}

func (m *Machine) resume(now time.Time, gap time.Duration) {
	m.current = nil
	m.nextProbe = now

	for _, other := range m.members {
		if other.entry.State == apricotway.MemberSuspect {
			other.deadline = other.deadline.Add(gap)
		}
	}

	if target, ok := m.pick(1, ""); ok {
		m.out.Exchange = append(m.out.Exchange, target[0].Peers)
	}
}

// expire ends suspicions and forgets dead members.
func (m *Machine) expire(now time.Time) {
	for _, node := range slices.Sorted(maps.Keys(m.members)) {
		other := m.members[node]
		if other.deadline.IsZero() || now.Before(other.deadline) {
			continue
		}

		switch other.entry.State {
		case apricotway.MemberSuspect:
			entry := other.entry
			entry.State = apricotway.MemberDead
			m.set(now, other, entry)
		case apricotway.MemberDead:
			delete(m.members, node)
			m.queue.drop(memberKey(node))
		case apricotway.MemberAlive, apricotway.MemberLeaving:
		}
	}

	for sequence, r := range m.relays {
		if now.After(r.deadline) {
			delete(m.relays, sequence)
		}
	}

	if m.store.expire(now, &m.queue) {
		m.digestKnown = false
	}
}

func (m *Machine) startPeriod(now time.Time) {
	if m.current != nil {
		m.stats.ProbesLost++
		m.suspect(now, m.current.target)
		m.current = nil
	}

	m.nextProbe = m.nextProbe.Add(m.config.Period)
	if !m.nextProbe.After(now) {
		m.nextProbe = now.Add(m.config.Period)
	}

	if target, ok := m.nextTarget(); ok {
		m.current = &probe{
			target: target.Node, sequence: m.send(now, target), indirectAt: now.Add(m.config.AckTimeout),
		}
	}

	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.config.ReconnectPeriod)
		m.probeDead(now)
	}

	if !now.Before(m.nextExchange) {
		m.nextExchange = now.Add(m.config.ExchangePeriod)
		if target, ok := m.pick(1, ""); ok {
			m.out.Exchange = append(m.out.Exchange, target[0].Peers)
		}
	}
}

// probeDead probes one dead member, so that the sides of a healed network cut find each other again.
func (m *Machine) probeDead(now time.Time) {
	var dead []Entry

	for _, entry := range m.Entries() {
		if entry.State == apricotway.MemberDead {
			dead = append(dead, entry)
		}
	}

	if len(dead) > 0 {
		m.send(now, dead[m.random.IntN(len(dead))])
	}
}

// nextTarget returns the next member of the shuffled round. A round over all members bounds the time until a failed
// member is probed, which independent random choices do not.
func (m *Machine) nextTarget() (Entry, bool) {
	for range 2 {
		for len(m.order) > 0 {
			node := m.order[0]
			m.order = m.order[1:]

			if other := m.members[node]; other != nil && other.entry.State != apricotway.MemberDead {
				return other.entry, true
			}
		}

		m.order = slices.Sorted(maps.Keys(m.members))
		m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}

	return Entry{}, false
}

// pick returns up to count random members that are not dead, without the given one.
func (m *Machine) pick(count int, without apricotway.NodeID) ([]Entry, bool) {
	var candidates []Entry

	for _, node := range slices.Sorted(maps.Keys(m.members)) {
		if entry := m.members[node].entry; entry.State != apricotway.MemberDead && node != without {
			candidates = append(candidates, entry)
		}
	}

	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return candidates[:min(count, len(candidates))], len(candidates) > 0
}

// send probes a member and returns the sequence number.
func (m *Machine) send(now time.Time, target Entry) uint64 {
	m.sequence++
	m.stats.ProbesSent++

	message := Message{Kind: KindProbe, Sequence: m.sequence, Target: target.Node, Digest: m.viewDigest()}
	m.post(now, target.Probes, message, target.Node)

	return m.sequence
}

// post adds entries to a message. A receiver that is suspected or taken for dead is told so at once, for it to refute.
func (m *Machine) post(now time.Time, to netip.AddrPort, message Message, receiver apricotway.NodeID) {
	message.From = m.self.Node
	budget := payloadBudget

	if other := m.members[receiver]; other != nil && other.entry.State != apricotway.MemberAlive {
		message.Entries = append(message.Entries, other.entry)
		budget -= entrySize(other.entry)
	}

	budget = m.fill(now, &message, budget)

	if message.Kind == KindAck && m.differs {
		m.fillRecent(now, &message, budget)
	}

	m.out.Packets = append(m.out.Packets, Packet{To: to, Message: message})
}

// fill adds the updates that were sent least often.
func (m *Machine) fill(now time.Time, message *Message, budget int) int {
	limit := m.config.Repeat * bits.Len(uint(m.live+1))
	frequent := map[apricotway.Topic]int{
		apricotway.TopicTokens: tokenBudget, apricotway.TopicDemand: demandBudget,
		apricotway.TopicReading: readingBudget,
	}

	for _, key := range m.queue.order() {
		if key.topic == "" {
			entry, ok := m.lookup(key.node)
			if size := entrySize(entry); ok && size <= budget {
				budget -= size
				message.Entries = append(message.Entries, entry)
				m.queue.sent(key, limit)
			}

			continue
		}

		entry, ok := m.store.get(key, now)
		size := broadcastSize(entry)

		if !ok || size > budget || key.topic.Frequent() && size > frequent[key.topic] {
			continue
		}

		frequent[key.topic] -= size
		budget -= size
		message.Broadcasts = append(message.Broadcasts, entry)
		m.queue.sent(key, limit)
	}

	return budget
}

// fillRecent adds the last updates, also those that were repeated often enough. The prober has another view, and most
// likely misses one of them.
func (m *Machine) fillRecent(now time.Time, message *Message, budget int) {
	for _, key := range m.recent {
		if _, pending := m.queue.pending[key]; pending {
			continue
		}

		if entry, ok := m.lookup(key.node); ok && key.topic == "" && entrySize(entry) <= budget {
			budget -= entrySize(entry)
			message.Entries = append(message.Entries, entry)
		}

		if entry, ok := m.store.get(key, now); ok && broadcastSize(entry) <= budget {
			budget -= broadcastSize(entry)
			message.Broadcasts = append(message.Broadcasts, entry)
		}
	}
}

// enqueue makes an update travel on the next messages.
func (m *Machine) enqueue(k key) {
	m.queue.add(k)

	if !k.topic.Frequent() {
		m.recent = append(slices.DeleteFunc(m.recent, func(other key) bool { return other == k }), k)
		m.recent = m.recent[max(0, len(m.recent)-maxRecent):]
	}
}

func (m *Machine) lookup(node apricotway.NodeID) (Entry, bool) {
	if node == m.self.Node {
		return m.self, true
	}

	if other := m.members[node]; other != nil {
		return other.entry, true
	}

	return Entry{}, false
}

func (m *Machine) askOthers() {
	m.current.indirectWas = true

	target := m.members[m.current.target]
	if target == nil {
		return
	}

	helpers, _ := m.pick(m.config.Indirect, m.current.target)
	for _, helper := range helpers {
		m.post(m.lastTick, helper.Probes, Message{
			Kind: KindIndirect, Sequence: m.current.sequence,
			Target: target.entry.Node, TargetAddress: target.entry.Probes,
		}, helper.Node)
	}
}

func (m *Machine) suspect(now time.Time, node apricotway.NodeID) {
	other := m.members[node]
	if other == nil || other.entry.State == apricotway.MemberSuspect || other.entry.State == apricotway.MemberDead {
		return
	}

	entry := other.entry
	entry.State = apricotway.MemberSuspect
	m.stats.Suspicions++
	m.apply(now, entry)
}

// sendUrgent spreads urgent updates by extra probes, since waiting for the next period of each process on the way would
// take several seconds at several hundred members.
func (m *Machine) sendUrgent(now time.Time) {
	m.urgentAt, m.lastUrgent = time.Time{}, now
	if m.urgentRounds--; m.urgentRounds > 0 {
		m.urgentAt = now.Add(m.config.UrgentGap)
	}

	targets, _ := m.pick(m.config.Indirect, "")
	for _, target := range targets {
		m.send(now, target)
	}
}

func (m *Machine) urgent(now time.Time) {
	m.urgentRounds = urgentRounds

	if m.urgentAt.IsZero() {
		m.urgentAt = now
		if earliest := m.lastUrgent.Add(m.config.UrgentGap); earliest.After(now) {
			m.urgentAt = earliest
		}
	}
}

// Receive handles a message.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, message Message) Output {
	if message.From == "" || message.From == m.self.Node {
		m.stats.Ignored++
		return m.take()
	}

	for _, entry := range message.Entries {
		m.apply(now, entry)
	}

	for _, entry := range message.Broadcasts {
		m.keep(now, entry)
	}

	m.meet(message)

	switch message.Kind {
	case KindProbe:
		if message.Target != "" && message.Target != m.self.Node {
			m.stats.Ignored++
			break
		}

		// The acknowledgement goes to where the probe came from: behind a proxy that is the only way back.
		m.differs = message.Digest != m.viewDigest()
		m.post(now, from, Message{
			Kind: KindAck, Sequence: message.Sequence, Target: m.self.Node, Unknown: m.members[message.From] == nil,
			Digest: m.viewDigest(),
		}, message.From)
	case KindIndirect:
		m.relay(now, from, message)
	case KindAck:
		m.acknowledge(now, message)
	default:
		m.stats.Ignored++
	}

	return m.take()
}

// meet asks for the full state of a sender that was taken for dead, unless the sender itself announces its end, and of one
// that does not know this process.
func (m *Machine) meet(message Message) {
	other := m.members[message.From]
	if other == nil {
		return
	}

	ended := slices.ContainsFunc(message.Entries, func(e Entry) bool {
		return e.Node == message.From && e.State == apricotway.MemberDead
	})

	if message.Unknown || other.entry.State == apricotway.MemberDead && !ended {
		m.out.Exchange = append(m.out.Exchange, other.entry.Peers)
	}
}

func (m *Machine) relay(now time.Time, from netip.AddrPort, message Message) {
	if len(m.relays) >= maxRelays || !message.TargetAddress.IsValid() {
		m.stats.Ignored++
		return
	}

	m.sequence++
	m.relays[m.sequence] = relay{
		to: from, sequence: message.Sequence, target: message.Target, deadline: now.Add(m.config.Period),
	}
	m.post(now, message.TargetAddress,
		Message{Kind: KindProbe, Sequence: m.sequence, Target: message.Target}, message.Target)
}

func (m *Machine) acknowledge(now time.Time, message Message) {
	if r, ok := m.relays[message.Sequence]; ok && r.target == message.Target {
		delete(m.relays, message.Sequence)
		m.post(now, r.to, Message{Kind: KindAck, Sequence: r.sequence, Target: r.target}, "")

		return
	}

	if m.current != nil && m.current.sequence == message.Sequence && m.current.target == message.Target {
		m.current, m.contact = nil, now
		m.compare(now, message)
	}
}

// apply takes an entry. Entries about this process are refuted.
func (m *Machine) apply(now time.Time, entry Entry) {
	if !entry.valid() {
		m.stats.Ignored++
		return
	}

	if entry.Node == m.self.Node {
		m.refute(now, entry)
		return
	}

	other := m.members[entry.Node]
	if other == nil {
		if len(m.members) >= maxMembers {
			m.stats.Ignored++
			return
		}
		// A dead member that is not known needs no entry: nothing here has to be corrected.
		if entry.State == apricotway.MemberDead {
			return
		}

		other = &member{}
		m.members[entry.Node] = other
		m.live++
	} else if !entry.supersedes(other.entry) {
		return
	}

	// Only the member itself announces its end at a new incarnation. Otherwise the sender concluded the death, possibly
	// behind a network cut, so each process gives the member the whole time of a suspicion of its own to refute it.
	if entry.State == apricotway.MemberDead && entry.Incarnation == other.entry.Incarnation {
		entry.State = apricotway.MemberSuspect
		if !entry.supersedes(other.entry) {
			return
		}
	}

	m.set(now, other, entry)
}

// set replaces the entry of a member.
func (m *Machine) set(now time.Time, other *member, entry Entry) {
	returned := other.entry.State == apricotway.MemberDead && entry.State != apricotway.MemberDead
	if returned {
		m.live++
		m.out.Exchange = append(m.out.Exchange, entry.Peers)
	}

	if entry.State == apricotway.MemberDead && other.entry.State != apricotway.MemberDead {
		m.live--
	}

	// A new member takes a random place in the round, so that it is not probed by all others at the same time.
	if other.entry.Node == "" || returned {
		m.order = slices.Insert(m.order, m.random.IntN(len(m.order)+1), entry.Node)
	}

	other.entry = entry
	m.digestKnown = false
	other.deadline = m.deadline(now, entry.State)

	if !m.quiet {
		m.enqueue(memberKey(entry.Node))
	}

	m.out.Changes = append(m.out.Changes, entry)

	if entry.State == apricotway.MemberLeaving || entry.State == apricotway.MemberDead {
		m.urgent(now)
	}
}

func (m *Machine) deadline(now time.Time, state apricotway.MemberState) time.Time {
	switch state {
	case apricotway.MemberSuspect:
		factor := max(1, math.Log10(float64(m.live+1)))
		return now.Add(time.Duration(factor * float64(m.config.SuspicionPeriods) * float64(m.config.Period)))
	case apricotway.MemberDead:
		return now.Add(m.config.DeadRetention)
	case apricotway.MemberAlive, apricotway.MemberLeaving:
	}

	return time.Time{}
}

// refute raises the incarnation when another process holds something else to be true of this one.
func (m *Machine) refute(now time.Time, entry Entry) {
	if entry == m.self || entry.Incarnation < m.self.Incarnation {
		return
	}

	m.stats.Refutations++
	m.self.Incarnation = entry.Incarnation + 1
	m.announceSelf(now)
}

func (m *Machine) announceSelf(now time.Time) {
	m.digestKnown = false
	m.enqueue(memberKey(m.self.Node))
	m.urgent(now)
}

// SetReady announces that this process may be handed out to callers, or no longer.
func (m *Machine) SetReady(now time.Time, ready bool) Output {
	if m.self.Ready != ready && m.self.State == apricotway.MemberAlive {
		m.self.Ready = ready
		m.self.Incarnation++
		m.announceSelf(now)
	}

	return m.Tick(now)
}

// Leave announces that this process takes no new callers. It cannot be taken back.
func (m *Machine) Leave(now time.Time) Output { return m.end(now, apricotway.MemberLeaving) }

// Stopped announces that this process ends now, so that the others need not find out by probes.
func (m *Machine) Stopped(now time.Time) Output { return m.end(now, apricotway.MemberDead) }

func (m *Machine) end(now time.Time, state apricotway.MemberState) Output {
	if rank[state] > rank[m.self.State] {
		m.self.State = state
		// A suspicion replaces the state in the entry but keeps this field, and with it the member stays withdrawn.
		m.self.Ready = false
		m.self.Incarnation++
		m.announceSelf(now)
		m.sendUrgent(now)
	}

	return m.Tick(now)
}

// State returns the full state for an exchange, without frequent entries.
func (m *Machine) State(now time.Time) State {
	entries := append(m.Entries(), m.self)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })

	state := State{Entries: entries, Broadcasts: slices.DeleteFunc(m.store.all(now), func(b apricotway.BroadcastEntry) bool {
		return b.Topic.Frequent()
	})}

	state.Digest = m.viewDigest()

	return state
}

// viewDigest identifies the live members with their incarnations and the broadcasts with their versions. Equal views have
// equal digests in whatever order they were built.
func (m *Machine) viewDigest() uint64 {
	if m.digestKnown {
		return m.digest
	}

	var text []byte

	m.digest = 0
	mix := func(value uint64) {
		text = binary.LittleEndian.AppendUint64(append(text, 0), value)
		m.digest ^= xxhash.Sum64(text)
		text = text[:0]
	}

	text = append(text, m.self.Node...)
	mix(m.self.Incarnation)

	for node, other := range m.members {
		if other.entry.State != apricotway.MemberDead {
			text = append(text, node...)
			mix(other.entry.Incarnation)
		}
	}

	for k, kept := range m.store {
		if !k.topic.Frequent() {
			text = append(append(append(text, k.topic...), 0), k.name...)
			mix(kept.entry.Version)
		}
	}

	m.digestKnown = true

	return m.digest
}

// compare asks for a full exchange when several acknowledgements in a row came from members with another view. An update
// is repeated only some times, so a process that was paused for a second can miss every copy of it; a single difference is
// common while an update spreads.
func (m *Machine) compare(now time.Time, message Message) {
	if message.Digest == m.viewDigest() {
		m.differing = 0
		return
	}

	m.differing++
	other := m.members[message.Target]

	if m.differing >= differingAcks && other != nil && !now.Before(m.nextRepair) {
		m.differing, m.nextRepair = 0, now.Add(m.config.RepairGap)
		m.out.Exchange = append(m.out.Exchange, other.entry.Peers)
	}
}

// Merge takes the full state of another process.
func (m *Machine) Merge(now time.Time, state State) Output {
	// A process that joins has nothing to tell about members that all others know already.
	m.quiet = m.live == 0
	defer func() { m.quiet = false }()

	for _, entry := range state.Entries {
		m.apply(now, entry)
	}

	for _, entry := range state.Broadcasts {
		m.keep(now, entry)
	}

	return m.take()
}
