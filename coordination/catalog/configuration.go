package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/changeset"
)

const (
	methodConfiguration apricotway.Method = "configuration"

	// partBytes bounds what one answer holds of a configuration, so that a try that fails loses little.
	partBytes = 32 << 10
	// partTimeout bounds the request for one part.
	partTimeout = time.Second
	// supplyRate and supplyBurst bound in bytes a second, and in bytes, what a process sends of configurations to others, so that many that
	// ask at the same time don't fill its link with answers that come too late. The rate is a fifth of a link of 10 Mbit/s.
	supplyRate  = 256 << 10
	supplyBurst = 128 << 10
	// maxSnapshotBytes bounds the size of a whole configuration that is fetched.
	maxSnapshotBytes = 64 << 20
	// maxSources bounds the processes that are asked for a newer configuration, one after the other.
	maxSources = 3
	// maxPartFailures is the number of requests for the next part that may fail in a row before another process is asked, from which the
	// configuration has to be fetched from its beginning.
	maxPartFailures = 3
)

// errReplaced reports that a process has replaced the whole configuration of which this one has a part. Versions with large changes may come
// faster than their parts, so that other sources have to be tried.
var errReplaced = errors.New("the process tells another version from its beginning")

// errBusy reports that a process sends as much to others as it may.
var errBusy = errors.New("the process sends configurations to others")

// errNotHeld reports that a process has no newer configuration.
var errNotHeld = errors.New("the process has no newer configuration")

// ConfigurationRequest asks another process for a newer configuration: for the changes after the one in force at the requesting process or,
// where these are not kept, for a part of a whole one.
type ConfigurationRequest struct {
	// Version is the version in force at the requesting process, 0 without one.
	Version uint64
	// Whole is set when changes can't be used.
	Whole bool
	// Snapshot is the version of the whole configuration of which the requesting process has the first Offset bytes; 0 if it has none.
	Snapshot uint64
	Offset   int
}

// ConfigurationPart is the answer to a ConfigurationRequest. It has changes or a part of a snapshot, or neither.
type ConfigurationPart struct {
	// Version is the version in force at the answering process.
	Version uint64
	// Busy is set if there is nothing but Version since the process sends as much to others as it may.
	Busy bool
	// Changes are encoded changes that lead on from the requested version.
	Changes [][]byte
	// Content is the part from Offset on of the Size bytes of an encoded whole configuration of version Snapshot.
	Snapshot uint64
	Size     int
	Offset   int
	Content  []byte
}

// supply is the allowance for what a process sends of configurations to others.
type supply struct {
	bytes float64
	at    time.Duration
}

// take takes bytes from the allowance at a boot time, and reports whether there were any. An answer may overdraw it.
func (s *supply) take(now time.Duration, bytes int) bool {
	s.bytes = min(s.bytes+supplyRate*(now-s.at).Seconds(), supplyBurst)
	s.at = now

	if s.bytes <= 0 {
		return false
	}

	s.bytes -= float64(bytes)

	return true
}

// snapshot is what this process has of a whole configuration that it fetches. It is kept between attempts.
type snapshot struct {
	// source is the process from which the content comes. Others may have a whole configuration of another version.
	source  apricotway.NodeID
	version uint64
	size    int
	content []byte
	// failures counts the requests that have failed since the last part.
	failures int
}

// apply puts a configuration from the operators' store in force unless its version is not newer than the current one. The position is the
// one after its record, and from what was known when the read began.
func (c *Catalog) apply(deployment *apricotway.Deployment, from readState, position apricotway.StorePosition) error {
	c.applying.Lock()
	defer c.applying.Unlock()

	if deployment != nil && (c.table.Load() == nil || deployment.Version > c.inForce()) {
		document, err := changeset.New(deployment, position)
		if err != nil {
			return err
		}

		if err := c.history.Advance(document); err != nil {
			return err
		}

		c.enactLocked(deployment)
	}

	// A configuration from another process may have led further during the read.
	if c.read == from {
		c.read = readState{position: position, known: true}
	}

	return nil
}

// adopt puts a whole configuration from another process in force unless it is not newer than the current one.
func (c *Catalog) adopt(document *changeset.Document) error {
	c.applying.Lock()
	defer c.applying.Unlock()

	if c.table.Load() != nil && document.Deployment.Version <= c.inForce() {
		return nil
	}

	if err := c.history.Advance(document); err != nil {
		return err
	}

	c.enactLocked(document.Deployment)
	c.continueAtLocked(document.Position)

	return nil
}

// advance applies encoded changes from another process. Those that lead to versions which are not newer than the current one have no effect.
func (c *Catalog) advance(changes [][]byte) error {
	c.applying.Lock()
	defer c.applying.Unlock()

	document := c.history.Newest()
	if document == nil || len(changes) == 0 {
		return nil
	}

	document, err := c.followLocked(document, changes)

	if document.Deployment.Version > c.inForce() {
		c.enactLocked(document.Deployment)
		c.continueAtLocked(document.Position)
	}

	return err
}

// followLocked applies encoded changes to the newest document, and returns the one to which those before the first error lead.
func (c *Catalog) followLocked(document *changeset.Document, changes [][]byte) (*changeset.Document, error) {
	for _, content := range changes {
		change, err := changeset.DecodeChange(content)
		if err != nil {
			return document, err
		}

		if change.To <= document.Deployment.Version {
			continue
		}

		next, err := document.Apply(change)
		if err != nil {
			return document, err
		}

		c.history.AdvanceBy(next, content)
		document = next
	}

	return document, nil
}

// continueAtLocked makes the next read of the store begin after the record of a configuration from another process.
func (c *Catalog) continueAtLocked(position apricotway.StorePosition) {
	if position.Offset > 0 {
		c.read = readState{position: position, known: true}
	}
}

// changesAfter returns the version in force with the encoded changes that lead on from another one, none if these are not kept.
func (c *Catalog) changesAfter(version uint64) (newest uint64, changes [][]byte) {
	c.applying.Lock()
	defer c.applying.Unlock()

	changes, _ = c.history.After(version, changeset.MaxChangeBytes)

	return c.inForce(), changes
}

// part answers another process's request for a newer configuration.
func (c *Catalog) part(request ConfigurationRequest) (ConfigurationPart, error) {
	c.applying.Lock()
	defer c.applying.Unlock()

	part := ConfigurationPart{Version: c.inForce()}
	if part.Version <= request.Version {
		return part, nil
	}

	if !request.Whole {
		if changes, ok := c.history.After(request.Version, partBytes); ok {
			return c.supplyLocked(part, func(part *ConfigurationPart) { part.Changes = changes }, changes...), nil
		}
	}

	version, content, err := c.history.Snapshot()
	if err != nil {
		return ConfigurationPart{}, err
	}

	offset := 0
	if request.Snapshot == version && request.Offset > 0 && request.Offset < len(content) {
		offset = request.Offset
	}

	piece := content[offset:min(offset+partBytes, len(content))]

	return c.supplyLocked(part, func(part *ConfigurationPart) {
		part.Snapshot, part.Size, part.Offset, part.Content = version, len(content), offset, piece
	}, piece), nil
}

// supplyLocked fills an answer with contents if this process may send them. The caller holds c.applying.
func (c *Catalog) supplyLocked(part ConfigurationPart, fill func(part *ConfigurationPart), contents ...[]byte) ConfigurationPart {
	size := 0
	for _, content := range contents {
		size += len(content)
	}

	if part.Busy = !c.supply.take(c.boot(), size); !part.Busy {
		fill(&part)
	}

	return part
}

// fetchNewer gets a newer configuration from other processes, first from the one that announced it. It returns nil once the newest known
// version is in force.
func (c *Catalog) fetchNewer(ctx context.Context) error {
	if c.queries == nil {
		return ErrNoNews
	}

	members := c.queries.alive()
	preferred, exclusive := c.preferredSource()

	if i := slices.IndexFunc(members, func(m apricotway.Member) bool { return m.Node == preferred }); i >= 0 {
		members[0], members[i] = members[i], members[0]

		if exclusive {
			members = members[:1]
		}
	}

	result := ErrNoNews

	for _, member := range members[:min(len(members), maxSources)] {
		if result = c.fetch(ctx, member); result == nil && c.announced.since.Load() == 0 {
			return nil
		}
	}

	if result == nil {
		return errNotHeld
	}

	return result
}

// preferredSource returns the process to ask first for a newer configuration, and whether to ask no other one as it has sent a part of it.
func (c *Catalog) preferredSource() (node apricotway.NodeID, exclusive bool) {
	c.fetching.Lock()
	defer c.fetching.Unlock()

	if len(c.partial.content) > 0 && c.partial.failures < maxPartFailures {
		return c.partial.source, true
	}

	return c.announcer(), false
}

// fetch gets the newest configuration of another process.
func (c *Catalog) fetch(ctx context.Context, member apricotway.Member) error {
	c.fetching.Lock()
	defer c.fetching.Unlock()

	request := ConfigurationRequest{}

	for {
		request.Version, request.Snapshot, request.Offset = c.inForce(), 0, 0
		if c.partial.source == member.Node {
			request.Snapshot, request.Offset = c.partial.version, len(c.partial.content)
		}

		part, err := c.requestPart(ctx, member, request)

		switch {
		case err != nil:
			c.partial.failures++
			return err
		case part.Version <= request.Version:
			return nil
		case part.Busy:
			return errBusy
		case len(part.Changes) > 0 && !request.Whole:
			// The other process may run another release, or its changes may be of a store before a restore.
			request.Whole = c.advance(part.Changes) != nil || c.inForce() <= request.Version
		case len(part.Content) > 0:
			if err := c.takePart(member.Node, part); err != nil {
				return err
			}

			if part.Offset < request.Offset {
				return errReplaced
			}
		default:
			return errNotHeld
		}
	}
}

func (c *Catalog) requestPart(ctx context.Context, member apricotway.Member, request ConfigurationRequest) (ConfigurationPart, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()

	return apricotway.CallPeer[ConfigurationPart](ctx, c.queries.peers, member.Peers, methodConfiguration, request)
}

// takePart adds a part to the snapshot that is being fetched, and puts it in force when it is complete. The caller holds c.fetching.
func (c *Catalog) takePart(source apricotway.NodeID, part ConfigurationPart) error {
	if part.Offset == 0 && part.Size <= maxSnapshotBytes {
		c.partial = snapshot{source: source, version: part.Snapshot, size: part.Size}
	}

	if source != c.partial.source || part.Snapshot != c.partial.version || part.Size != c.partial.size || part.Offset != len(c.partial.content) {
		c.partial = snapshot{}
		return errors.Wrapf(changeset.ErrCorrupt, "part from %d on of %d bytes", part.Offset, part.Size)
	}

	c.partial.failures = 0
	c.partial.content = append(c.partial.content, part.Content...)

	if len(c.partial.content) < c.partial.size {
		return nil
	}

	content := c.partial.content
	c.partial = snapshot{}

	document, err := changeset.Decode(content)
	if err != nil {
		return err
	}

	before := c.inForce()
	if err := c.adopt(document); err != nil {
		return err
	}

	if c.inForce() <= before {
		return errNotHeld
	}

	return nil
}
