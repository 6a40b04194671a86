package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotway/apricotway"
)

// Lags are the times after which a difference between the stream and the host list is no longer attributed to a lag.
type Lags struct {
	// Start is the time after which a created host must be on the list.
	Start time.Duration
	// List is the time for which the list may omit a host that it has shown, or still show one that was released.
	List time.Duration
}

// Tracker compares the hosts recorded in the stream with the host list. It is not safe for concurrent use.
type Tracker struct {
	lags Lags
	// seen holds the time at which the list last showed each host.
	seen map[apricotway.BackendServerID]time.Time
	// unexpected holds, for each listed host that was ordered through the stream but is not part of the fleet, the time since
	// when that has been so. Either its release is not visible yet, or its order took effect after it was abandoned.
	unexpected map[apricotway.BackendServerID]time.Time
}

// NewTracker returns a tracker that has not seen a list.
func NewTracker(lags Lags) *Tracker {
	return &Tracker{
		lags: lags, seen: map[apricotway.BackendServerID]time.Time{}, unexpected: map[apricotway.BackendServerID]time.Time{},
	}
}

// Track returns the hosts of the region, and intents to release the hosts that have disappeared and those that are not part
// of the fleet. The list must have been read before the stream, so that the fold knows the order of every listed host.
func (t *Tracker) Track(
	now time.Time, fold *Fold, service apricotway.Service, list []apricotway.BackendServer,
) ([]Host, []Intent) {
	var (
		hosts       []Host
		corrections []Intent
	)

	listed := map[apricotway.BackendServerID]apricotway.BackendServer{}
	for _, server := range list {
		listed[server.ID] = server
	}

	open := fold.OpenIntents()
	releasing := map[apricotway.BackendServerID]bool{}
	tokens := map[string]bool{}

	for _, o := range open {
		// A host that an intent of another action created is no superfluous one.
		tokens[o.Token] = true

		switch o.Action {
		case ActionCreate:
			hosts = append(hosts, Host{Market: o.Market, State: HostPending})
		case ActionRelease:
			releasing[o.Host] = true
		}
	}

	for id, owned := range fold.OwnedHosts() {
		server, shown := listed[id]

		switch {
		case releasing[id]:
			hosts = append(hosts, Host{ID: id, Market: owned.Market, State: HostLeaving})
		case shown && server.State == apricotway.HostLive:
			t.seen[id] = now
			hosts = append(hosts, Host{ID: id, Market: owned.Market, State: HostLive})
		case shown:
			t.seen[id] = now
			hosts = append(hosts, Host{ID: id, Market: owned.Market, State: HostLeaving})
		case t.lost(now, id, owned):
			corrections = append(corrections, Intent{Action: ActionRelease, Market: owned.Market, Host: id})
		default:
			hosts = append(hosts, Host{ID: id, Market: owned.Market, State: HostPending})
		}
	}

	others, unwanted := t.trackOthers(now, fold, service, list, tokens, releasing)
	hosts, corrections = append(hosts, others...), append(corrections, unwanted...)

	for id := range t.seen {
		if _, owned := fold.OwnedHosts()[id]; !owned {
			delete(t.seen, id)
		}
	}

	slices.SortFunc(corrections, func(a, b Intent) int { return strings.Compare(string(a.Host), string(b.Host)) })

	return hosts, corrections
}

// trackOthers returns the listed foreign hosts, and intents to release the hosts that were ordered through the stream but
// belong neither to an open order nor to the fleet.
func (t *Tracker) trackOthers(
	now time.Time, fold *Fold, service apricotway.Service, list []apricotway.BackendServer,
	tokens map[string]bool, releasing map[apricotway.BackendServerID]bool,
) ([]Host, []Intent) {
	var (
		hosts   []Host
		intents []Intent
	)

	unexpected := map[apricotway.BackendServerID]time.Time{}

	for _, server := range list {
		_, owned := fold.OwnedHosts()[server.ID]

		switch {
		case owned || tokens[server.ClientToken] || releasing[server.ID]:
		case fold.IssuedToken(server.ClientToken):
			since, known := t.unexpected[server.ID]
			if !known {
				since = now
			}

			unexpected[server.ID] = since

			if server.State == apricotway.HostLive && now.Sub(since) >= t.lags.List {
				intents = append(intents, Intent{Action: ActionRelease, Host: server.ID})
			}
		case server.Service == service:
			state := HostLive
			if server.State != apricotway.HostLive {
				state = HostLeaving
			}

			market := Market{Zone: server.Zone, MachineClass: server.MachineClass}
			hosts = append(hosts, Host{ID: server.ID, Market: market, State: state, Foreign: true})
		}
	}

	t.unexpected = unexpected

	return hosts, intents
}

// lost tells whether a host that is not on the list has been missing for longer than a lag explains.
func (t *Tracker) lost(now time.Time, id apricotway.BackendServerID, owned OwnedHost) bool {
	if seen, ok := t.seen[id]; ok {
		return now.Sub(seen) >= t.lags.List
	}

	return now.Sub(owned.Read) >= t.lags.Start
}
