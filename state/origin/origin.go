// Package origin decides which backend servers may continue a stream: those of the lineage that began it. It keeps the lineages of streams
// and the software versions that are in service. It performs no I/O; callers pass in the current time.
package origin

import "github.com/apricotway/apricotway"

// Origin is what is known about the beginning of a stream. The zero value stands for a stream that has not begun, which every server may
// begin.
type Origin struct {
	begun, known bool
	// outdated is set if this process could not learn in time whether other versions are in service.
	outdated bool
	// unsettled is set if the lineage is not known because of an outage of the store, so that it may be known soon.
	unsettled bool
	lineage   apricotway.Lineage
	// service is empty unless a record states it.
	service apricotway.Service
}

// At returns the origin of a stream that a server of the lineage began.
func At(lineage apricotway.Lineage) Origin { return Origin{begun: true, known: true, lineage: lineage} }

// Unknown returns the origin of a stream that has begun at a server of which nothing is known. No server may continue it.
func Unknown() Origin { return Origin{begun: true} }

// Outdated returns the origin of a stream that has begun at a server of which this process knows nothing, though others may.
func Outdated() Origin { return Origin{begun: true, outdated: true} }

// IsOutdated reports whether another process may know the origin because its list of backend servers is newer.
func (o Origin) IsOutdated() bool { return o.outdated }

// IsUnsettled reports whether the lineage is not known because of an outage of the store only.
func (o Origin) IsUnsettled() bool { return o.unsettled }

// Service returns the service at which the stream began; empty if that is not known.
func (o Origin) Service() apricotway.Service { return o.service }

// Version returns the software version at which the stream began; empty if that is not known.
func (o Origin) Version() apricotway.SoftwareVersion { return o.lineage.Software }

// Begun reports whether the stream has begun.
func (o Origin) Begun() bool { return o.begun }

// Known reports whether the lineage of a stream that has begun is known.
func (o Origin) Known() bool { return o.known }

// Allows reports whether a server of the lineage may generate the rest of the stream.
func (o Origin) Allows(server apricotway.Lineage) bool {
	return !o.begun || o.known && o.lineage == server
}
