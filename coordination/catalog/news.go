package catalog

import (
	"time"

	"github.com/apricotway/apricotway"
)

const (
	// maxListAge is the age of the list from which a process reads the store itself. It is below the 2 s within which a leaving
	// server must stop getting calls.
	maxListAge = 1500 * time.Millisecond
	// readerConfigWait bounds one long-polling read of the configuration at the process that passes it on. Twice that plus the
	// time between two requests for news is well below maxProofAge.
	readerConfigWait = 600 * time.Millisecond
	// newsMargin is the part of maxListAge that is reserved for the transfer of the news and for slow processes.
	newsMargin = 500 * time.Millisecond
	// maxProofAge bounds the age of the proof that a process passes on. A process that is cut off from the store for longer
	// passes on nothing, so every process then reads the store itself.
	maxProofAge = 2500 * time.Millisecond
	// maxKeptChanges bounds the changes that are kept for other processes. One that is further behind gets the whole list.
	maxKeptChanges = 512
)

// Position is the position up to which a process has another one's changes of the list, those of Source up to Sequence, and the version of
// the configuration that it has.
type Position struct {
	Source   apricotway.NodeID
	Sequence uint64
	// Configuration is 0 if the process has none, or runs a release that doesn't tell it.
	Configuration uint64
}

// News is what one process passes on of what it read from the store, so that not every process has to read it.
type News struct {
	Position

	// Fresh reports whether the process can currently read the store; if not, only Source, Version and Configuration are set.
	Fresh bool
	// NoList reports that the news tell nothing of the list, which was too large for them.
	NoList bool
	// Whole reports whether Changes is the whole list rather than the changes after the requested position.
	Whole   bool
	Changes []apricotway.BackendChange
	// Version is the version of the newest configuration, and Configuration holds encoded changes that lead to it. It is empty if these
	// are not kept, and the process then fetches the configuration.
	Version       uint64
	Configuration [][]byte
	// Arriving is set while the process takes long to read what may be a newer configuration.
	Arriving bool
	// Age and ListAge are the times from the beginning of the last reads of the configuration and of the list until the news were
	// made.
	Age, ListAge time.Duration
}

// journal keeps the last effective changes of the list for other processes.
type journal struct {
	sequence uint64
	changes  []apricotway.BackendChange
}

func (j *journal) add(change apricotway.BackendChange) {
	j.sequence++
	j.changes = append(j.changes, change)

	if len(j.changes) > maxKeptChanges {
		j.changes = append(j.changes[:0], j.changes[len(j.changes)-maxKeptChanges/2:]...)
	}
}

// after returns the changes after a sequence number, and false if they are no longer kept.
func (j *journal) after(sequence uint64) ([]apricotway.BackendChange, bool) {
	behind := j.sequence - sequence
	if sequence > j.sequence || behind > uint64(len(j.changes)) {
		return nil, false
	}

	return append([]apricotway.BackendChange(nil), j.changes[uint64(len(j.changes))-behind:]...), true
}

// Position returns the position up to which this process has another one's changes.
func (c *Catalog) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()

	position := c.peerPosition
	position.Configuration = c.inForce()

	return position
}

// BootTime returns the time on the boot clock, on which the ages of proofs are measured. A caller passes it to ApplyNews.
func (c *Catalog) BootTime() time.Duration { return c.boot() }

// News returns what this process read from the store after another one's position, or only its configuration if its own reads are too old.
func (c *Catalog) News(self apricotway.NodeID, after Position) News {
	// The proof has to be taken before the version: a newer one could be that of a newer version.
	proven := c.provenAt.Load()
	age := c.boot() - time.Duration(proven)
	version, changes := c.changesAfter(after.Configuration)

	c.mu.Lock()
	defer c.mu.Unlock()

	listAge := c.boot() - c.listAsOf

	news := News{Position: Position{Source: self}, Version: version, Configuration: changes}

	// After an outage this process keeps servers whose entries lapsed for a while. Other processes may have read that these are
	// gone.
	if version == 0 || !c.listed || proven == 0 || age > maxProofAge || listAge > maxListAge ||
		c.storeFailing || time.Since(c.outageEnd) < reregistrationTime {
		return news
	}

	news.Fresh, news.Sequence, news.Age, news.ListAge, news.Arriving = true, c.journal.sequence, age, listAge, c.readsSlowly()

	if changes, ok := c.journal.after(after.Sequence); ok && after.Source == self {
		news.Changes = changes
		return news
	}

	news.Whole = true

	for _, backend := range c.servers.Backends() {
		news.Changes = append(news.Changes, apricotway.BackendChange{ID: backend.ID, Backend: &backend})
	}

	return news
}

// ApplyNews applies the news of another process. The request for them was sent at the boot time sent, before they were made, so the
// true age of the news is at most the age that is computed from it.
func (c *Catalog) ApplyNews(sent time.Duration, news News) {
	if err := c.advance(news.Configuration); err != nil {
		c.noteAttempt(err)
	}

	if !news.Fresh {
		c.noteNewer(news)
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.applyProof(sent, news)

	if news.NoList {
		return
	}

	// Ignore a list older than what this process read itself or took from another one, and changes that don't follow its
	// position.
	if made := sent - news.ListAge; made < c.listAsOf || !news.Whole && news.Source != c.peerPosition.Source {
		if news.Whole {
			c.offered = offer{news.Position, c.boot() - news.ListAge}
		}

		return
	}

	changes := news.Changes
	if news.Whole {
		changes = append(changes, c.missing(changes)...)
	}

	for _, change := range changes {
		if change.Backend == nil {
			c.remove(change.ID)
		} else {
			delete(c.lapsed, change.ID)
			c.update(*change.Backend)
		}
	}

	c.peerPosition, c.offered, c.listed = news.Position, offer{}, true
	c.newsAsOf = max(c.newsAsOf, sent-news.ListAge)
	c.advanceListLocked(c.newsAsOf)
}

// offer is the position of another process's whole list that was not applied.
type offer struct {
	position Position
	// asOf is the latest boot time as of which the list was known; 0 if there is no offer.
	asOf time.Duration
}

// takeOffer takes over the position of a list that was not applied, once the own list is known as of a later time: the changes after that
// position then complete the own list. Whole lists that arrive after the next own read would otherwise be requested without end. The caller
// holds c.mu.
func (c *Catalog) takeOffer() {
	if c.offered.asOf == 0 || c.listAsOf < c.offered.asOf || len(c.lapsed) > 0 || c.ignored || c.rereadList {
		return
	}

	c.peerPosition, c.offered = c.offered.position, offer{}
}

// readsSlowly reports whether this process has been receiving a configuration for so long that others should read it themselves.
func (c *Catalog) readsSlowly() bool {
	began := c.arriving.Load()

	return began != 0 && c.boot()-time.Duration(began) > slowRead
}

// applyProof uses the news as a proof of this process's configuration, or requests a newer one if the news name it.
func (c *Catalog) applyProof(sent time.Duration, news News) {
	if news.Arriving {
		c.requestRefresh()
	}

	// The proof is about the version in the news, so it holds only for a process that has that version.
	table := c.table.Load()
	if table != nil && table.Version >= news.Version {
		c.recordProof(sent - news.Age)
		return
	}

	c.noteNewer(news)
}

// noteNewer records the version in news and requests it if it is newer than the one in force.
func (c *Catalog) noteNewer(news News) {
	if news.Version > c.inForce() {
		c.noteVersion(news.Version, news.Source)
		c.requestRefresh()
	}
}

// hasFreshNews reports whether another process currently passes its news on to this one.
func (c *Catalog) hasFreshNews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.newsAsOf != 0 && c.boot()-c.newsAsOf < maxListAge && c.table.Load() != nil
}

// SetReader sets whether this process has to read the store on behalf of the others, and the time between two requests of another
// process for the news.
func (c *Catalog) SetReader(self bool, asked time.Duration) {
	c.isReader.Store(self)
	c.newsInterval.Store(int64(asked))
}

// listTiming returns how long a read of the list waits for changes, and the pause after it. The list that a reader passes on is
// up to two waits and a pause old, and must not exceed maxListAge before the others ask again.
func (c *Catalog) listTiming() (wait, gap time.Duration) {
	if !c.isReader.Load() {
		return listWait, listPause
	}

	return minListWait, min(max(maxListAge-newsMargin-2*minListWait-time.Duration(c.newsInterval.Load()), minListPause), listPause)
}

// configReadWait returns how long a read of the configuration waits for a newer one. The proof that a reader passes on is up to
// two waits old.
func (c *Catalog) configReadWait() time.Duration {
	if !c.isReader.Load() {
		return configWait
	}

	return readerConfigWait
}
