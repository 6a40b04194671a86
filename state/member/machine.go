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
	// maxRelays bounds the indirect probes that a process has pending for others.
	maxRelays = 64
	// differingAcks is the number of consecutive acknowledgements with another digest that leads to a full exchange.
	differingAcks = 3
	// urgentRounds is the number of rounds of extra probes for one update. With three probes a round, one round reaches 94%
	// of the members, and two reach more than 99%.
	urgentRounds = 2
	// maxRecent bounds the recent updates that are sent again to a member whose view differs.
	maxRecent = 8
	// maxMembers bounds the entries kept, dead ones included, in case a peer sends entries of members that do not exist.
	maxMembers = 8192
)

// Stats counts events since the start of the process.
type Stats struct {
	ProbesSent, ProbesLost, Suspicions, Refutations, Ignored uint64
}

// member is the state that the machine keeps of one other process.
type member struct {
	entry Entry
	// deadline ends the suspicion of a suspect or the retention of a dead member; it is zero in other states.
	deadline time.Time
}

// probe is the probe of the current period.
type probe struct {
	target       apricotway.NodeID
	sequence     uint64
	indirectAt   time.Time
	indirectSent bool
}

// relay is a probe sent on behalf of another process, whose probe had the given sequence.
type relay struct {
	to       netip.AddrPort
	sequence uint64
	target   apricotway.NodeID
	deadline time.Time
}

// Machine is the membership state machine of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Entry
	members map[apricotway.NodeID]*member
	// live counts the members that are not dead.
	live int
	// probeOrder holds the members still to be probed in this round, shuffled.
	probeOrder   []apricotway.NodeID
	sequence     uint64
	currentProbe *probe
	relays       map[uint64]relay
	queue        queue
	store        store

	lastTick, nextProbe, nextReconnect, nextExchange time.Time
	// urgentAt is the time of the next round of extra probes, zero when none is due.
	urgentAt, lastUrgent time.Time

	// urgentRounds is the number of rounds of extra probes left to send.
	urgentRounds int
	// recent holds the keys of the last updates, the newest at the end.
	recent []key
	// proberDiffers is set when the last received probe came from a member with another view.
	proberDiffers bool
	// joining is set while the first full state is merged; its entries are then not sent on.
	joining bool
	// digest is the hash of the view, valid while digestKnown is set.
	digest      uint64
	digestKnown bool
	// lastContact is the time of the last answer to a probe of this process.
	lastContact time.Time
	// differing counts the consecutive acknowledgements with another digest.
	differing  int
	nextRepair time.Time

	stats Stats
	// out collects the output until takeOutput.
	out Output
}

// New returns the machine of the process described by self.
func New(self Entry, config Config, random *rand.Rand, now time.Time) *Machine {
	self.State = apricotway.MemberAlive
	self.Incarnation = max(self.Incarnation, 1)

	m := &Machine{
		config: config, random: random, self: self,
		members: map[apricotway.NodeID]*member{}, relays: map[uint64]relay{},
		// A random start keeps late answers to a previous process at this address from matching a probe of this one.
		sequence: random.Uint64() >> 1,
		queue:    newQueue(), store: store{},
		lastTick:     now,
		lastContact:  now,
		nextProbe:    now.Add(jitter(random, config.Period)),
		nextExchange: now.Add(jitter(random, config.ExchangePeriod)),
	}
	m.announceSelf(now)

	return m
}

func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d))) + 1
}

// Self returns the entry of this process.
func (m *Machine) Self() Entry { return m.self }

// LastContact returns when another member last answered a probe of this process, or the time of the start.
func (m *Machine) LastContact() time.Time { return m.lastContact }

// Stats returns the counters of this process.
func (m *Machine) Stats() Stats { return m.stats }

// Entries returns all known members except this process, dead ones included, sorted by node.
func (m *Machine) Entries() []Entry {
	entries := make([]Entry, 0, len(m.members))
	for _, other := range m.members {
		entries = append(entries, other.entry)
	}

	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })

	return entries
}

// Next returns the time at which Tick has to be called next, unless another call comes first.
func (m *Machine) Next() time.Time {
	next := m.nextProbe
	if m.currentProbe != nil && !m.currentProbe.indirectSent && m.currentProbe.indirectAt.Before(next) {
		next = m.currentProbe.indirectAt
	}

	if !m.urgentAt.IsZero() && m.urgentAt.Before(next) {
		next = m.urgentAt
	}

	return next
}

// Tick sends the probes that are due and ends the suspicions that have expired.
func (m *Machine) Tick(now time.Time) Output {
	// While a process was paused it could not receive answers and refutations, so the pending probe does not count, and
	// suspicions last longer by the pause.
	if gap := now.Sub(m.lastTick); gap > 2*m.config.Period {
		m.resumeAfterPause(now, gap)
	}

	m.lastTick = now
	m.expire(now)

	if m.currentProbe != nil && !m.currentProbe.indirectSent && !now.Before(m.currentProbe.indirectAt) {
		m.requestIndirectProbes()
	}

	if !now.Before(m.nextProbe) {
		m.startPeriod(now)
	}

	if !m.urgentAt.IsZero() && !now.Before(m.urgentAt) {
		m.sendUrgent(now)
	}

	return m.takeOutput()
}

func (m *Machine) takeOutput() Output {
	out := m.out
	m.out = Output{}

	return out
}

func (m *Machine) resumeAfterPause(now time.Time, gap time.Duration) {
	m.currentProbe = nil
	m.nextProbe = now

	for _, other := range m.members {
		if other.entry.State == apricotway.MemberSuspect {
			other.deadline = other.deadline.Add(gap)
		}
	}

	if target, ok := m.randomMembers(1, ""); ok {
		m.out.Exchange = append(m.out.Exchange, target[0].Peers)
	}
}

// expire declares suspects dead, and drops dead members, relays and broadcasts whose time is over.
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
	if m.currentProbe != nil {
		m.stats.ProbesLost++
		m.suspect(now, m.currentProbe.target)
		m.currentProbe = nil
	}

	m.nextProbe = m.nextProbe.Add(m.config.Period)
	if !m.nextProbe.After(now) {
		m.nextProbe = now.Add(m.config.Period)
	}

	if target, ok := m.nextTarget(); ok {
		m.currentProbe = &probe{
			target: target.Node, sequence: m.sendProbe(now, target), indirectAt: now.Add(m.config.AckTimeout),
		}
	}

	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.config.ReconnectPeriod)
		m.probeDead(now)
	}

	if !now.Before(m.nextExchange) {
		m.nextExchange = now.Add(m.config.ExchangePeriod)
		if target, ok := m.randomMembers(1, ""); ok {
			m.out.Exchange = append(m.out.Exchange, target[0].Peers)
		}
	}
}

// probeDead probes a random dead member, so that the two sides of a healed network partition find each other again.
func (m *Machine) probeDead(now time.Time) {
	var dead []Entry

	for _, entry := range m.Entries() {
		if entry.State == apricotway.MemberDead {
			dead = append(dead, entry)
		}
	}

	if len(dead) > 0 {
		m.sendProbe(now, dead[m.random.IntN(len(dead))])
	}
}

// nextTarget returns the next member of the shuffled round. Rounds over all members bound the time until a failed member is
// probed; independent random choices would not.
func (m *Machine) nextTarget() (Entry, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			node := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]

			if other := m.members[node]; other != nil && other.entry.State != apricotway.MemberDead {
				return other.entry, true
			}
		}

		m.probeOrder = slices.Sorted(maps.Keys(m.members))
		m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}

	return Entry{}, false
}

// randomMembers returns up to count random members that are not dead, except the given one.
func (m *Machine) randomMembers(count int, without apricotway.NodeID) ([]Entry, bool) {
	var candidates []Entry

	for _, node := range slices.Sorted(maps.Keys(m.members)) {
		if entry := m.members[node].entry; entry.State != apricotway.MemberDead && node != without {
			candidates = append(candidates, entry)
		}
	}

	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return candidates[:min(count, len(candidates))], len(candidates) > 0
}

// sendProbe sends a probe to a member and returns its sequence number.
func (m *Machine) sendProbe(now time.Time, target Entry) uint64 {
	m.sequence++
	m.stats.ProbesSent++

	message := Message{Kind: KindProbe, Sequence: m.sequence, Target: target.Node, Digest: m.viewDigest()}
	m.sendMessage(now, target.Probes, message, target.Node)

	return m.sequence
}

// sendMessage adds pending updates to a message and sends it. A receiver that is not alive according to this process gets its
// own entry, so that it can refute a suspicion at once.
func (m *Machine) sendMessage(now time.Time, to netip.AddrPort, message Message, receiver apricotway.NodeID) {
	message.From = m.self.Node
	budget := payloadBudget

	if other := m.members[receiver]; other != nil && other.entry.State != apricotway.MemberAlive {
		message.Entries = append(message.Entries, other.entry)
		budget -= entrySize(other.entry)
	}

	budget = m.addUpdates(now, &message, budget)

	if message.Kind == KindAck && m.proberDiffers {
		m.addRecentUpdates(now, &message, budget)
	}

	m.out.Packets = append(m.out.Packets, Packet{To: to, Message: message})
}

// addUpdates adds pending updates to a message, those sent least often first, and returns the rest of the budget in bytes.
func (m *Machine) addUpdates(now time.Time, message *Message, budget int) int {
	limit := m.config.Repeat * bits.Len(uint(m.live+1))
	frequent := map[apricotway.Topic]int{
		apricotway.TopicTokens: tokenBudget, apricotway.TopicDemand: demandBudget,
		apricotway.TopicHostListReader: readingBudget,
	}

	for _, key := range m.queue.order() {
		if key.topic == "" {
			entry, ok := m.lookup(key.node)
			if size := entrySize(entry); ok && size <= budget {
				budget -= size
				message.Entries = append(message.Entries, entry)
				m.queue.markSent(key, limit)
			}

			continue
		}

		entry, ok := m.store.get(key, now)
		size := broadcastSize(entry)

		if !ok || size > budget || key.topic.Renewed() && size > frequent[key.topic] {
			continue
		}

		frequent[key.topic] -= size
		budget -= size
		message.Broadcasts = append(message.Broadcasts, entry)
		m.queue.markSent(key, limit)
	}

	return budget
}

// addRecentUpdates adds recent updates that have been sent often enough already. The receiver's view differs, most likely
// because it missed one of them.
func (m *Machine) addRecentUpdates(now time.Time, message *Message, budget int) {
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

// enqueue adds an update to the next messages.
func (m *Machine) enqueue(k key) {
	m.queue.add(k)

	if !k.topic.Renewed() {
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

func (m *Machine) requestIndirectProbes() {
	m.currentProbe.indirectSent = true

	target := m.members[m.currentProbe.target]
	if target == nil {
		return
	}

	helpers, _ := m.randomMembers(m.config.Indirect, m.currentProbe.target)
	for _, helper := range helpers {
		m.sendMessage(m.lastTick, helper.Probes, Message{
			Kind: KindIndirect, Sequence: m.currentProbe.sequence,
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

// sendUrgent sends extra probes, which carry urgent updates. If each process on the way waited for its next period, an
// update would take several seconds at several hundred members.
func (m *Machine) sendUrgent(now time.Time) {
	m.urgentAt, m.lastUrgent = time.Time{}, now
	if m.urgentRounds--; m.urgentRounds > 0 {
		m.urgentAt = now.Add(m.config.UrgentGap)
	}

	targets, _ := m.randomMembers(m.config.Indirect, "")
	for _, target := range targets {
		m.sendProbe(now, target)
	}
}

func (m *Machine) scheduleUrgent(now time.Time) {
	m.urgentRounds = urgentRounds

	if m.urgentAt.IsZero() {
		m.urgentAt = now
		if earliest := m.lastUrgent.Add(m.config.UrgentGap); earliest.After(now) {
			m.urgentAt = earliest
		}
	}
}

// Receive handles a message from another process.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, message Message) Output {
	if message.From == "" || message.From == m.self.Node {
		m.stats.Ignored++
		return m.takeOutput()
	}

	for _, entry := range message.Entries {
		m.apply(now, entry)
	}

	for _, entry := range message.Broadcasts {
		m.receiveBroadcast(now, entry)
	}

	m.checkSender(message)

	switch message.Kind {
	case KindProbe:
		if message.Target != "" && message.Target != m.self.Node {
			m.stats.Ignored++
			break
		}

		// The acknowledgement goes to the source address of the probe: through a proxy there is no other way back.
		m.proberDiffers = message.Digest != m.viewDigest()
		m.sendMessage(now, from, Message{
			Kind: KindAck, Sequence: message.Sequence, Target: m.self.Node, Unknown: m.members[message.From] == nil,
			Digest: m.viewDigest(),
		}, message.From)
	case KindIndirect:
		m.relay(now, from, message)
	case KindAck:
		m.acknowledge(now, message)
	default:
		m.stats.Ignored++
		m.out.Unknown = append(m.out.Unknown, "kind "+string(message.Kind))
	}

	return m.takeOutput()
}

// checkSender requests an exchange with a sender that does not know this process, and with one that this process holds for
// dead, unless the message itself announces the sender's end.
func (m *Machine) checkSender(message Message) {
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
	m.sendMessage(now, message.TargetAddress,
		Message{Kind: KindProbe, Sequence: m.sequence, Target: message.Target}, message.Target)
}

func (m *Machine) acknowledge(now time.Time, message Message) {
	if r, ok := m.relays[message.Sequence]; ok && r.target == message.Target {
		delete(m.relays, message.Sequence)
		m.sendMessage(now, r.to, Message{Kind: KindAck, Sequence: r.sequence, Target: r.target}, "")

		return
	}

	if m.currentProbe != nil && m.currentProbe.sequence == message.Sequence && m.currentProbe.target == message.Target {
		m.currentProbe, m.lastContact = nil, now
		m.compareDigest(now, message)
	}
}

// apply merges an entry received from another process or created by this one. Entries about this process are refuted.
func (m *Machine) apply(now time.Time, entry Entry) {
	if !entry.valid() {
		m.stats.Ignored++

		if entry.State != "" && rank[entry.State] == 0 {
			m.out.Unknown = append(m.out.Unknown, "state "+string(entry.State))
		}

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
		// There is no need to store the death of a member that is not known.
		if entry.State == apricotway.MemberDead {
			return
		}

		other = &member{}
		m.members[entry.Node] = other
		m.live++
	} else if !entry.supersedes(other.entry) {
		return
	}

	// Only the member itself announces its end, and at a new incarnation. With the known incarnation the sender has
	// concluded the death, possibly behind a network partition. Each process then gives the member the full suspicion time
	// of its own to refute it.
	if entry.State == apricotway.MemberDead && entry.Incarnation == other.entry.Incarnation {
		entry.State = apricotway.MemberSuspect
		if !entry.supersedes(other.entry) {
			return
		}
	}

	m.set(now, other, entry)
}

// set replaces the entry of a member and updates what depends on it.
func (m *Machine) set(now time.Time, other *member, entry Entry) {
	returned := other.entry.State == apricotway.MemberDead && entry.State != apricotway.MemberDead
	if returned {
		m.live++
		m.out.Exchange = append(m.out.Exchange, entry.Peers)
	}

	if entry.State == apricotway.MemberDead && other.entry.State != apricotway.MemberDead {
		m.live--
	}

	// A new member is inserted at a random place of the round, so that not all others probe it at the same time.
	if other.entry.Node == "" || returned {
		m.probeOrder = slices.Insert(m.probeOrder, m.random.IntN(len(m.probeOrder)+1), entry.Node)
	}

	other.entry = entry
	m.digestKnown = false
	other.deadline = m.deadline(now, entry.State)

	if !m.joining {
		m.enqueue(memberKey(entry.Node))
	}

	m.out.Changes = append(m.out.Changes, entry)

	if entry.State == apricotway.MemberLeaving || entry.State == apricotway.MemberDead {
		m.scheduleUrgent(now)
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

// refute raises the incarnation of this process above that of an entry about it, if the entry is newer than its own or more severe. An
// entry of the same incarnation and state may lack fields, because a process of an older build passed it on; a refutation would lack them
// there as well.
func (m *Machine) refute(now time.Time, entry Entry) {
	if !entry.supersedes(m.self) {
		return
	}

	m.stats.Refutations++
	m.self.Incarnation = entry.Incarnation + 1
	m.announceSelf(now)
}

func (m *Machine) announceSelf(now time.Time) {
	m.digestKnown = false
	m.enqueue(memberKey(m.self.Node))
	m.scheduleUrgent(now)
}

// SetReady announces whether this process may be offered to callers, and whether it has lost its paths to the backend servers.
func (m *Machine) SetReady(now time.Time, ready, isolated bool) Output {
	if (m.self.Ready != ready || m.self.Isolated != isolated) && m.self.State == apricotway.MemberAlive {
		m.self.Ready, m.self.Isolated = ready, isolated
		m.self.Incarnation++
		m.announceSelf(now)
	}

	return m.Tick(now)
}

// Leave announces that this process takes no new callers. That is final.
func (m *Machine) Leave(now time.Time) Output { return m.announceEnd(now, apricotway.MemberLeaving) }

// Stopped announces that this process ends now, so that the others do not have to detect it with probes.
func (m *Machine) Stopped(now time.Time) Output { return m.announceEnd(now, apricotway.MemberDead) }

func (m *Machine) announceEnd(now time.Time, state apricotway.MemberState) Output {
	if rank[state] > rank[m.self.State] {
		m.self.State = state
		// Ready stays false if a suspicion replaces the state in the entry, so that the member is not offered to callers.
		m.self.Ready = false
		m.self.Incarnation++
		m.announceSelf(now)
		m.sendUrgent(now)
	}

	return m.Tick(now)
}

// Live returns the number of processes that are not known as dead, this one included.
func (m *Machine) Live() int { return m.live + 1 }

// State returns the full state for an exchange. Frequent broadcasts are left out; their next versions follow soon.
func (m *Machine) State(now time.Time) State {
	entries := append(m.Entries(), m.self)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })

	state := State{Entries: entries, Broadcasts: slices.DeleteFunc(m.store.all(now), func(b apricotway.BroadcastEntry) bool {
		return b.Topic.Renewed()
	})}

	state.Digest = m.viewDigest()

	return state
}

// viewDigest returns a hash of the live members with their incarnations and of the broadcasts with their versions. It does
// not depend on the order in which the view was built.
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
		if !k.topic.Renewed() {
			text = append(append(append(text, k.topic...), 0), k.name...)
			mix(kept.entry.Version)
		}
	}

	m.digestKnown = true

	return m.digest
}

// compareDigest requests a full exchange after several consecutive acknowledgements from members with another view. An update
// is sent a limited number of times, so a process paused for a second can miss all of them. A single difference is normal
// while an update spreads.
func (m *Machine) compareDigest(now time.Time, message Message) {
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

// Merge merges the full state of another process.
func (m *Machine) Merge(now time.Time, state State) Output {
	// A process that joins knows nothing that the others do not know already.
	m.joining = m.live == 0
	defer func() { m.joining = false }()

	for _, entry := range state.Entries {
		m.apply(now, entry)
	}

	for _, entry := range state.Broadcasts {
		m.receiveBroadcast(now, entry)
	}

	return m.takeOutput()
}
