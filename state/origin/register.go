package origin

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

const (
	// MinLifetime is the least time for which the origin of a stream is kept: callers may wait longer than the timeout of a route.
	MinLifetime = 30 * time.Second
	// ClockTolerance is added to lifetimes, since the clocks of processes differ.
	ClockTolerance = 5 * time.Second
	// maxStreams bounds the streams that are remembered. Beyond it the oldest are forgotten.
	maxStreams = 1 << 16
	// bornTolerance is the time before the stated start of a server from which its streams may belong to that start.
	bornTolerance = 2 * time.Second
)

// Stream identifies a stream by a hash of the attempt that brought its first event.
type Stream uint64

// StreamOf returns the stream that an attempt began.
func StreamOf(attempt apricotway.AttemptID) Stream {
	return Stream(xxhash.Sum64String(string(attempt)))
}

// Beginning is the beginning of a stream at a server.
type Beginning struct {
	Stream  Stream
	Service apricotway.Service
	// Version is meaningless if Uncertain is set: the server may have been of another version when the stream began.
	Version   apricotway.SoftwareVersion
	Uncertain bool
	// Outage is set only with Uncertain, if an outage of the store is the only reason for it. Such a doubt may be withdrawn.
	Outage bool
	// Proven is set only without Uncertain, once such a doubt has been withdrawn. It outweighs doubts of this kind, which may arrive later.
	Proven bool
}

// sameVersion reports whether both beginnings tell the same version.
func (b Beginning) sameVersion(other Beginning) bool {
	return !b.Uncertain && !other.Uncertain && b.Service == other.Service && b.Version == other.Version
}

// Copy is a beginning that one process gives another one. Server and Born, the start that its entry stated, let that one tell whether the
// entry was outdated.
type Copy struct {
	Beginning

	Server apricotway.BackendServerID
	Born   time.Time
}

// Evidence is what the origin of a stream is known from.
type Evidence string

// The values of Evidence.
const (
	// EvidenceNone means that the origin is not known here; another process may know it.
	EvidenceNone Evidence = "none"
	// EvidenceRecord means that a process recorded the first event of the stream.
	EvidenceRecord Evidence = "record"
	// EvidenceOnlyVersion means that only one version was in service until after the stream has begun.
	EvidenceOnlyVersion Evidence = "onlyVersion"
	// EvidenceOutdated means that one version is known, but the list of backend servers may be older than the stream.
	EvidenceOutdated Evidence = "outdated"
)

// Source is where the record of a stream's beginning comes from.
type Source string

// The values of Source.
const (
	SourceNone  Source = ""
	SourceOwn   Source = "own"
	SourceCopy  Source = "copy"
	SourceStore Source = "store"
)

// Doubt is why the version at which a stream began is not known although there is a record of it.
type Doubt string

// The values of Doubt.
const (
	DoubtNone Doubt = ""
	// DoubtOutage means that the server may have started again while the list of backend servers was not known.
	DoubtOutage Doubt = "outage"
	// DoubtRestart means that the server has started again with another version, before or after the beginning. Doubts that processes of builds
	// up to 275b5bc tell count as such.
	DoubtRestart Doubt = "restart"
)

// Sharing is whether other processes know where a stream of this process began.
type Sharing string

// The values of Sharing.
const (
	// SharingNone means that they know it or don't have to.
	SharingNone Sharing = "none"
	// SharingPending means that it is to be written to the store.
	SharingPending Sharing = "pending"
)

// Versions holds, for the software versions of one service, the time at which the last server of the version left the list; zero while one is
// on the list.
type Versions map[apricotway.SoftwareVersion]time.Time

// Register keeps the origins of streams, and the versions that are or lately were in service. It is safe for concurrent use.
type Register struct {
	// changed has an element after the versions in service have changed, enqueued after a beginning has become pending, and copied after one
	// that another process should hold a copy of.
	changed, enqueued, copied chan struct{}

	mu       sync.Mutex
	lifetime time.Duration
	// listedAt is the boot time as of which the list of backend servers is known; 0 while it is not known.
	listedAt time.Duration
	// listSeen is the time of the last call of SetListed, gapFrom the one before an outage of the store, and gapEnd that of the first call after
	// it; zero before. goodSeen is the last call after which every server that had started counted as registered.
	listSeen, gapFrom, gapEnd, goodSeen time.Time
	// gapListed is the boot time as of which the first list after the outage was known.
	gapListed time.Duration
	// away is set once a read of the list has failed since the last call of SetListed.
	away bool
	// held returns the time since which this process has had a connection to a server without a break.
	held func(address netip.AddrPort) (time.Time, bool)
	// awaitsHistory is set while the versions that were in service before this process started are not known.
	awaitsHistory bool
	services      map[apricotway.Service]*service
	streams       map[Stream]record
	// order holds the streams by the time of their beginning. An entry whose time is not that of the record is outdated.
	order []aged
	// pending are the beginnings that other processes have to know.
	pending []Beginning
	// deferred are the beginnings that other processes have to know if another version joins.
	deferred []Beginning
	// copies are the streams whose beginnings another process should hold a copy of.
	copies []Stream
	// stored are the streams whose beginnings this process wrote to the store, for the process that holds copies of them.
	stored []Stream
	// unconfirmed are the copies that came while the process that recorded them was to write them to the store, by the time of their coming or of
	// the withdrawal of their doubts.
	unconfirmed []aged
	// doubted holds at least the streams whose doubts may be withdrawn.
	doubted map[Stream]struct{}
	// entries holds what is known of the newest entries by the addresses of their servers.
	entries map[netip.AddrPort]entry
}

// service is the state of one service.
type service struct {
	servers  map[apricotway.BackendServerID]apricotway.Backend
	versions Versions
}

// record is the beginning of a stream with the server and the time.
type record struct {
	Beginning

	// server is empty if the beginning was read from the store.
	server apricotway.BackendServerID
	// born is the start that the entry of the server stated.
	born time.Time
	// copied is set if this process holds the beginning for the process that recorded it, written if that one writes it to the store, and
	// confirmed once it has; without copied, confirmed is set once this process has written the beginning.
	copied, written, confirmed bool
	// at is the time of the beginning, or a later one if another process recorded it.
	at time.Time
	// awaited is the time since which the process that recorded the beginning is to write it to the store; zero if it isn't.
	awaited time.Time
	// address is that of the server, and heldSince the time since which this process had a connection to it at the beginning; zero for none.
	address   netip.AddrPort
	heldSince time.Time
	// unproven is set if the server may have started again since its entry was written: the store was away, and the connections to the server
	// don't show that it has not.
	unproven bool
}

// own reports whether this process recorded the beginning.
func (r record) own() bool { return r.server != "" && !r.copied }

// told reports whether this process writes the beginning to the store when other processes have to know it.
func (r record) told() bool { return !r.stored() && !r.written && !r.confirmed }

// stored reports whether the beginning was read from the store.
func (r record) stored() bool { return r.server == "" && !r.copied }

type aged struct {
	stream Stream
	at     time.Time
}

// NewRegister returns a register that knows no server yet.
func NewRegister() *Register {
	return &Register{
		changed: make(chan struct{}, 1), enqueued: make(chan struct{}, 1), copied: make(chan struct{}, 1),
		lifetime: MinLifetime + ClockTolerance, services: map[apricotway.Service]*service{}, streams: map[Stream]record{},
		doubted: map[Stream]struct{}{}, entries: map[netip.AddrPort]entry{},
	}
}

// Changed returns a channel that has an element after the versions in service have changed.
func (r *Register) Changed() <-chan struct{} { return r.changed }

// Enqueued returns a channel that has an element after beginnings have become pending.
func (r *Register) Enqueued() <-chan struct{} { return r.enqueued }

// Copied returns a channel that has an element after there are beginnings of which another process should hold a copy, or that were stored.
func (r *Register) Copied() <-chan struct{} { return r.copied }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// deferLocked keeps beginnings that no other process has to know at once.
func (r *Register) deferLocked(beginnings ...Beginning) {
	r.deferred = append(r.deferred, beginnings...)
	r.deferred = r.deferred[max(len(r.deferred)-maxStreams, 0):]
}

// enqueueLocked makes beginnings pending that other processes have to know.
func (r *Register) enqueueLocked(beginnings ...Beginning) {
	r.pending = append(r.pending, beginnings...)
	signal(r.enqueued)
}

// SetLifetime sets the longest time between the beginning of a stream and the last call that may continue it. It is never shortened, since
// older streams may still need it.
func (r *Register) SetLifetime(lifetime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lifetime = max(r.lifetime, lifetime+ClockTolerance)
}

// Lifetime returns the time for which the origin of a stream is needed.
func (r *Register) Lifetime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.lifetime
}

// AwaitHistory makes the register answer only for streams that it knows until AddHistory is called.
func (r *Register) AwaitHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.awaitsHistory = true
}

// AddHistory adds the versions that other processes saw in service. Those that have no server on the list of this process have left at the
// latest now.
func (r *Register) AddHistory(now time.Time, history map[apricotway.Service]Versions) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.awaitsHistory = false

	for name, versions := range history {
		s := r.serviceLocked(name)

		for version, left := range versions {
			if left.IsZero() || left.After(now) {
				left = now
			}

			if known, ok := s.versions[version]; !ok || !known.IsZero() && left.After(known) {
				r.setVersionLocked(now, name, version, left)
			}
		}
	}
}

// SetListed records the boot time as of which Update and Remove have told the list of backend servers.
func (r *Register) SetListed(asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.listedAt = max(r.listedAt, asOf)

	now := time.Now()
	if !r.listSeen.IsZero() && now.Sub(r.listSeen) > outageAge {
		r.endOutageLocked(now, asOf)
	}

	r.listSeen, r.away = now, false
	r.settleLocked(now)

	if r.gapEnd.IsZero() || now.Sub(r.gapEnd) >= registrationTime {
		r.goodSeen = now
		r.proveLocked(now)
	}
}

// Listed returns the boot time as of which the list of backend servers is known; 0 while it is not known.
func (r *Register) Listed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.listedAt
}

func (r *Register) serviceLocked(name apricotway.Service) *service {
	s := r.services[name]
	if s == nil {
		s = &service{servers: map[apricotway.BackendServerID]apricotway.Backend{}, versions: Versions{}}
		r.services[name] = s
	}

	return s
}

// setVersionLocked records when a version left, zero if it is in service. If it is the second version of the service, the streams that began
// before become pending.
func (r *Register) setVersionLocked(now time.Time, name apricotway.Service, version apricotway.SoftwareVersion, left time.Time) {
	s := r.serviceLocked(name)
	before := r.mixedLocked(now, s)
	s.versions[version] = left

	signal(r.changed)

	if before || !r.mixedLocked(now, s) {
		return
	}

	for _, known := range r.streams {
		if known.Service == name && known.told() && now.Sub(known.at) < r.lifetime {
			r.enqueueLocked(known.Beginning)
		}
	}
}

// mixedLocked reports whether streams of a service that are still needed may have begun at different versions.
func (r *Register) mixedLocked(now time.Time, s *service) bool { return r.neededLocked(now, s) > 1 }

// neededLocked returns the number of versions of which streams may still be needed.
func (r *Register) neededLocked(now time.Time, s *service) int {
	count := 0

	for _, left := range s.versions {
		if left.IsZero() || now.Sub(left) < r.lifetime {
			count++
		}
	}

	return count
}

// Update records the entry of a server.
func (r *Register) Update(now time.Time, backend apricotway.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()

	s := r.serviceLocked(backend.Service)

	before, known := s.servers[backend.ID]
	if known && before.Version != backend.Version {
		r.doubtLocked(backend)
	}

	if known && before.Address != backend.Address {
		r.dropEntryLocked(before)
	}

	if last := r.entries[backend.Address]; !last.states(backend) {
		delete(r.entries, backend.Address)
	}

	s.servers[backend.ID] = backend

	if known && before.Version != backend.Version {
		r.leaveLocked(now, s, backend.Service, before.Version)
	}

	if left, ok := s.versions[backend.Version]; !ok || !left.IsZero() {
		r.setVersionLocked(now, backend.Service, backend.Version, time.Time{})
	}
}

// doubtLocked marks the streams of a server that started again with another version. They may have begun before its entry was read.
func (r *Register) doubtLocked(backend apricotway.Backend) {
	for stream, known := range r.streams {
		if known.server == backend.ID && known.doubtful(backend) {
			known.Uncertain, known.Outage, known.Proven = true, false, false
			known.confirmed = false
			r.streams[stream] = known
			r.enqueueLocked(known.Beginning)
		}
	}
}

// doubtful reports whether the stream may have begun after the start that an entry of its server states, at another version than recorded.
func (r record) doubtful(server apricotway.Backend) bool {
	if r.copied && (r.Version == server.Version || server.Born.Before(r.born)) {
		return false
	}

	return !r.at.Before(server.Born.Add(-bornTolerance))
}

// Remove records that a server left the list.
func (r *Register) Remove(now time.Time, backend apricotway.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()

	s := r.serviceLocked(backend.Service)
	delete(s.servers, backend.ID)
	r.dropEntryLocked(backend)
	r.leaveLocked(now, s, backend.Service, backend.Version)
}

// leaveLocked records that a version left if no server of it is on the list.
func (r *Register) leaveLocked(now time.Time, s *service, name apricotway.Service, version apricotway.SoftwareVersion) {
	for _, other := range s.servers {
		if other.Version == version {
			return
		}
	}

	r.setVersionLocked(now, name, version, now)

	for version, left := range s.versions {
		if !left.IsZero() && now.Sub(left) >= r.lifetime {
			delete(s.versions, version)
		}
	}
}

// Versions returns the versions of each service that are in service or have left within the lifetime of a stream.
func (r *Register) Versions(now time.Time) map[apricotway.Service]Versions {
	r.mu.Lock()
	defer r.mu.Unlock()

	all := map[apricotway.Service]Versions{}

	for name, s := range r.services {
		versions := Versions{}

		for version, left := range s.versions {
			if left.IsZero() || now.Sub(left) < r.lifetime {
				versions[version] = left
			}
		}

		if len(versions) > 0 {
			all[name] = versions
		}
	}

	return all
}

// InService returns the number of versions of a service that are in service or have left within the lifetime of a stream, and whether those
// that were in service before this process started are known.
func (r *Register) InService(now time.Time, name apricotway.Service) (versions int, history bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.neededLocked(now, r.serviceLocked(name)), !r.awaitsHistory
}

// Begin records that a server sent the first event of a stream. It returns whether other processes know where the stream began.
func (r *Register) Begin(now time.Time, stream Stream, server apricotway.Backend) Sharing {
	r.mu.Lock()
	defer r.mu.Unlock()

	mixed := r.mixedLocked(now, r.serviceLocked(server.Service))
	beginning := Beginning{Stream: stream, Service: server.Service, Version: server.Version}

	known, ok := r.streams[stream]
	if ok && (known.sameVersion(beginning) || known.own() && known.Outage) {
		return SharingNone
	}

	added := record{Beginning: beginning, server: server.ID, born: server.Born, at: now, address: server.Address}

	var proven bool
	if added.heldSince, proven = r.provenLocked(server.Address); !proven && !r.listSeen.IsZero() {
		added.unproven = true
		added.Outage = r.outageLocked(now) && !r.confirmedLocked(now, server.Address, server.Born)
		added.Uncertain = added.Outage
	}

	r.addLocked(now, added)
	r.copyLocked(stream)

	if added.Outage {
		r.doubted[stream] = struct{}{}
	}

	if mixed {
		r.enqueueLocked(added.Beginning)
		return SharingPending
	}

	// A second version may join while no process runs.
	r.deferLocked(added.Beginning)

	return SharingNone
}

// IsStored reports whether the store has what this process recorded of a stream.
func (r *Register) IsStored(stream Stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	known := r.streams[stream]

	return known.own() && known.confirmed
}

// copyLocked makes other processes hold a copy of what is known of a stream.
func (r *Register) copyLocked(stream Stream) {
	r.copies = append(r.copies, stream)
	r.copies = r.copies[max(len(r.copies)-maxStreams, 0):]
	signal(r.copied)
}

// Learn records beginnings that other processes told, in any order. What this process saw itself is kept, and a doubt stays unless it is withdrawn. A
// copy that says the same is kept too, since it names the server.
func (r *Register) Learn(now time.Time, told []Beginning) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, beginning := range told {
		known, ok := r.streams[beginning.Stream]

		switch {
		case ok && known.copied && known.Beginning == beginning:
			known.confirmed = true
			r.streams[beginning.Stream] = known
		case ok && known.contradicts(beginning):
			beginning.Uncertain, beginning.Outage, beginning.Proven = true, !beginning.Proven, false
			r.addLocked(now, record{Beginning: beginning, at: now})
		case ok && !known.yieldsTo(beginning):
		case ok && known.copied && beginning.Outage && known.Version == beginning.Version:
			known.Beginning, known.confirmed = beginning, true
			r.doubtOutageLocked(now, known)
		default:
			r.addLocked(now, record{Beginning: beginning, at: now})
		}
	}
}

// yieldsTo reports whether what another process told of the beginning replaces the record. What was told first may arrive last, so the order
// doesn't count: a restart of the server outweighs a withdrawn doubt, that one outweighs an outage, and an outage the version that was recorded.
func (r record) yieldsTo(told Beginning) bool {
	switch {
	case r.own():
		return false
	case r.Uncertain:
		return r.Outage && (told.Proven || told.Uncertain && !told.Outage)
	case r.Proven:
		return told.Uncertain && !told.Outage
	default:
		return true
	}
}

// contradicts reports whether what another process told has the same weight as the record, but names another version. Neither is believed, since
// records are not read in the order in which they were written.
func (r record) contradicts(told Beginning) bool {
	return !r.own() && !r.Uncertain && !told.Uncertain && r.Proven == told.Proven && !r.sameVersion(told)
}

// Hold keeps copies of the beginnings that another process recorded. They become pending once there is a second version, unless that process
// writes them to the store itself and confirms that.
func (r *Register) Hold(now time.Time, copies []Copy, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, c := range copies {
		if known, ok := r.streams[c.Stream]; ok && !known.yieldsTo(c.Beginning) {
			continue
		}

		s := r.serviceLocked(c.Service)
		added := record{Beginning: c.Beginning, server: c.Server, born: c.Born, copied: true, written: written, at: now, awaited: now}

		doubted := false
		if server, ok := s.servers[c.Server]; ok && !c.Uncertain {
			doubted = added.doubtful(server)
			added.Uncertain = doubted
			added.Proven = added.Proven && !doubted
		}

		r.addLocked(now, added)

		if written {
			r.awaitWriteLocked(c.Stream, now)
		}

		if doubted || !written && r.mixedLocked(now, s) {
			r.enqueueLocked(added.Beginning)
		}

		if added.Outage {
			r.doubtOutageLocked(now, added)
		}
	}
}

func (r *Register) awaitWriteLocked(stream Stream, now time.Time) {
	r.unconfirmed = append(r.unconfirmed, aged{stream, now})
	r.unconfirmed = r.unconfirmed[max(len(r.unconfirmed)-maxStreams, 0):]
}

// Confirm records that another process has written beginnings to the store of which this one holds copies.
func (r *Register) Confirm(streams []Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, stream := range streams {
		if known, ok := r.streams[stream]; ok && known.copied {
			known.confirmed = true
			r.streams[stream] = known
		}
	}
}

// TakeOver makes those copies pending that another process was to write to the store, but has not confirmed within a time.
func (r *Register) TakeOver(now time.Time, within time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for len(r.unconfirmed) > 0 && now.Sub(r.unconfirmed[0].at) >= within {
		oldest := r.unconfirmed[0]
		r.unconfirmed = r.unconfirmed[1:]

		known := r.streams[oldest.stream]
		if !known.copied || !known.written || known.confirmed || !known.awaited.Equal(oldest.at) {
			continue
		}

		known.written = false
		r.streams[oldest.stream] = known

		if r.mixedLocked(now, r.serviceLocked(known.Service)) {
			r.enqueueLocked(known.Beginning)
		}
	}

	if len(r.unconfirmed) == 0 {
		r.unconfirmed = nil
	}
}

// Stored records that this process has written beginnings to the store.
func (r *Register) Stored(beginnings []Beginning) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, beginning := range beginnings {
		known := r.streams[beginning.Stream]
		if known.own() {
			known.confirmed = known.Beginning == beginning
			r.streams[beginning.Stream] = known
		}

		r.stored = append(r.stored, beginning.Stream)
	}

	r.stored = r.stored[max(len(r.stored)-maxStreams, 0):]
	signal(r.copied)
}

// TakeStored returns the streams whose beginnings this process has written to the store, and forgets them.
func (r *Register) TakeStored() []Stream {
	r.mu.Lock()
	defer r.mu.Unlock()

	taken := r.stored
	r.stored = nil

	return taken
}

func (r *Register) addLocked(now time.Time, added record) {
	r.streams[added.Stream] = added
	r.order = append(r.order, aged{added.Stream, now})

	for len(r.order) > 0 && (len(r.order) > maxStreams || now.Sub(r.order[0].at) >= r.lifetime) {
		oldest := r.order[0]
		r.order = r.order[1:]

		if r.streams[oldest.stream].at.Equal(oldest.at) {
			delete(r.streams, oldest.stream)
		}
	}
}

// origin returns the origin that the record states.
func (r record) origin() Origin {
	if r.Uncertain {
		return Origin{begun: true, unsettled: r.Outage}
	}

	found := At(apricotway.Lineage{Software: r.Version})
	found.service = r.Service

	return found
}

// originLocked returns the origin that a record states at present. An outage of the store shows late, so that streams which began in its first
// seconds have not been marked.
func (r *Register) originLocked(known record) Origin {
	now := time.Now()
	if known.own() && known.unproven && known.at.After(r.listSeen) && r.outageLocked(now) && !r.confirmedLocked(now, known.address, known.born) {
		return Unknown()
	}

	return known.origin()
}

// Recorded returns the origin of a stream of which there is a record.
func (r *Register) Recorded(stream Stream) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	known, ok := r.streams[stream]
	if !ok {
		return Origin{}, false
	}

	return r.originLocked(known), true
}

// Find returns the origin of a stream of a service, and what it rests on. Since is a boot time after the beginning of the stream, such as that
// of the call which takes it up.
func (r *Register) Find(now time.Time, since time.Duration, name apricotway.Service, stream Stream) (Origin, Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if known, ok := r.streams[stream]; ok {
		return r.originLocked(known), EvidenceRecord
	}

	s := r.serviceLocked(name)
	if r.awaitsHistory || r.mixedLocked(now, s) {
		return Unknown(), EvidenceNone
	}

	// Another process may have read the entry of a second version and begun the stream there.
	if r.listedAt < since {
		return Outdated(), EvidenceOutdated
	}

	for version, left := range s.versions {
		if left.IsZero() || now.Sub(left) < r.lifetime {
			return At(apricotway.Lineage{Software: version}), EvidenceOnlyVersion
		}
	}

	return Unknown(), EvidenceNone
}

// TakeDeferred returns the beginnings that no other process has to know at once, up to a number of them, and forgets them. It leaves those whose
// server may have started again since its entry was written, until every such start would have been registered.
func (r *Register) TakeDeferred(now time.Time, limit int) []Beginning {
	r.mu.Lock()
	defer r.mu.Unlock()

	var taken, left []Beginning

	for i, beginning := range r.deferred {
		known, ok := r.streams[beginning.Stream]

		switch {
		case !ok || known.confirmed:
		case len(taken) == limit:
			left = append(left, r.deferred[i:]...)
			r.deferred = left

			return taken
		case known.unproven && now.Sub(known.at) < registrationTime:
			left = append(left, beginning)
		default:
			taken = append(taken, known.Beginning)
		}
	}

	r.deferred = left

	return taken
}

// ReturnDeferred keeps beginnings that could not be written.
func (r *Register) ReturnDeferred(taken []Beginning) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.deferLocked(taken...)
}

// TakePending returns the beginnings that other processes have to know, as they are known now, up to a number of them, and forgets them.
func (r *Register) TakePending(limit int) []Beginning {
	r.mu.Lock()
	defer r.mu.Unlock()

	taken := r.pending[:min(limit, len(r.pending))]
	r.pending = r.pending[len(taken):]

	for i, beginning := range taken {
		if known, ok := r.streams[beginning.Stream]; ok {
			taken[i] = known.Beginning
		}
	}

	if len(r.pending) == 0 {
		r.pending = nil
	} else {
		signal(r.enqueued)
	}

	return taken
}

// TakeCopies returns beginnings of one service of which another process should hold a copy, up to a number of them, and forgets that it
// should.
func (r *Register) TakeCopies(limit int) (taken []Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for len(r.copies) > 0 && len(taken) < limit {
		if known, ok := r.streams[r.copies[0]]; ok {
			if len(taken) > 0 && taken[0].Service != known.Service {
				break
			}

			taken = append(taken, Copy{known.Beginning, known.server, known.born})
		}

		r.copies = r.copies[1:]
	}

	if len(r.copies) == 0 {
		r.copies = nil
	} else {
		signal(r.copied)
	}

	return taken
}

// Copies returns beginnings as another process should hold them.
func (r *Register) Copies(beginnings []Beginning) []Copy {
	r.mu.Lock()
	defer r.mu.Unlock()

	copies := make([]Copy, len(beginnings))
	for i, beginning := range beginnings {
		known := r.streams[beginning.Stream]
		copies[i] = Copy{beginning, known.server, known.born}
	}

	return copies
}

// ReturnPending makes beginnings pending again that could not be told.
func (r *Register) ReturnPending(taken []Beginning) {
	r.mu.Lock()
	defer r.mu.Unlock()

	// The oldest ones are no longer needed after a long outage.
	kept := slices.Concat(taken, r.pending)
	r.pending = kept[max(len(kept)-maxStreams, 0):]
	signal(r.enqueued)
}

// Republish makes the versions in service and the beginnings at mixed services known again to processes that may have lost them. The process
// that recorded a beginning of which this process has a copy may have ended.
func (r *Register) Republish(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.pending, r.deferred = nil, nil

	signal(r.changed)

	for stream, known := range r.streams {
		if known.stored() || now.Sub(known.at) >= r.lifetime {
			continue
		}

		switch mixed := r.mixedLocked(now, r.serviceLocked(known.Service)); {
		case mixed:
			r.enqueueLocked(known.Beginning)
		case known.own():
			r.deferLocked(known.Beginning)
		}

		known.confirmed = known.confirmed && !known.own()
		r.streams[stream] = known
	}
}

// Account returns where the record of a stream comes from, and why its version is not known.
func (r *Register) Account(stream Stream) (Source, Doubt) {
	r.mu.Lock()
	defer r.mu.Unlock()

	known, ok := r.streams[stream]
	if !ok {
		return SourceNone, DoubtNone
	}

	source := SourceOwn

	switch {
	case known.copied:
		source = SourceCopy
	case known.stored():
		source = SourceStore
	}

	switch {
	case r.originLocked(known).Known():
		return source, DoubtNone
	case known.Uncertain && !known.Outage:
		return source, DoubtRestart
	default:
		return source, DoubtOutage
	}
}

// Doubted returns the number of streams that are remembered and whose versions are not known.
func (r *Register) Doubted() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	count := 0

	for _, known := range r.streams {
		if known.Uncertain {
			count++
		}
	}

	return count
}

// Size returns the number of streams that are remembered.
func (r *Register) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.streams)
}
