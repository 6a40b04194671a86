package account

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/fleet"
)

// span is the period in which a host was owned; to is zero while it is still owned.
type span struct {
	market   fleet.Market
	from, to time.Time
}

// HostHistory computes from a fleet stream for how long hosts were owned. A host is owned from the record of its creation to
// that of its release, by the times of the log service, which are the same for every reader.
type HostHistory struct {
	fold  *fleet.Fold
	open  map[apricotway.BackendServerID]span
	ended []span
	now   time.Time
}

// NewHostHistory returns an empty history of the stream.
func NewHostHistory(stream apricotway.Stream) *HostHistory {
	return &HostHistory{fold: fleet.New(stream), open: map[apricotway.BackendServerID]span{}}
}

// Next returns the offset to read from next.
func (h *HostHistory) Next() apricotway.Offset { return h.fold.Next() }

// Now returns the time of the newest record applied, up to which the history is complete; zero without records.
func (h *HostHistory) Now() time.Time { return h.now }

// Apply applies a record of the stream. Records must be applied in order.
func (h *HostHistory) Apply(record apricotway.StoredRecord) {
	if record.Offset < h.fold.Next() {
		return
	}

	// If the log service's clock steps back, durations must not become negative.
	if record.Time.After(h.now) {
		h.now = record.Time.UTC()
	}

	h.fold.Apply(record, h.now)

	if record.Kind != fleet.KindOutcome {
		return
	}

	owned := h.fold.OwnedHosts()
	for id, host := range owned {
		if _, ok := h.open[id]; !ok {
			h.open[id] = span{market: host.Market, from: h.now}
		}
	}

	for id, open := range h.open {
		if _, ok := owned[id]; !ok {
			open.to = h.now
			h.ended = append(h.ended, open)
			delete(h.open, id)
		}
	}
}

// Forget drops the hosts that were released at or before the given time.
func (h *HostHistory) Forget(before time.Time) {
	h.ended = slices.DeleteFunc(h.ended, func(s span) bool { return !s.to.After(before) })
}

// Between returns the host time of each market in a period, sorted by market and without prices.
func (h *HostHistory) Between(from, to time.Time) []HostTime {
	times := map[fleet.Market]time.Duration{}
	add := func(s span) {
		begin, end := s.from, to
		if from.After(begin) {
			begin = from
		}

		if !s.to.IsZero() && s.to.Before(end) {
			end = s.to
		}

		if end.After(begin) {
			times[s.market] += end.Sub(begin)
		}
	}

	for _, s := range h.open {
		add(s)
	}

	for _, s := range h.ended {
		add(s)
	}

	lines := make([]HostTime, 0, len(times))
	for market, duration := range times {
		lines = append(lines, HostTime{Market: market, Microseconds: duration.Microseconds()})
	}

	slices.SortFunc(lines, func(a, b HostTime) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.MachineClass, b.MachineClass),
			cmp.Compare(boolOrder(a.Reclaimable), boolOrder(b.Reclaimable)))
	})

	return lines
}

func boolOrder(set bool) int {
	if set {
		return 1
	}

	return 0
}
