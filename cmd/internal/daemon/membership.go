package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/coordination/rollout"
	"github.com/apricotway/apricotway/internal/build"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/transport/operator"
	"github.com/apricotway/apricotway/transport/probe"
)

// WithdrawMargin is the time allowed for a leave notice to reach every process. Until then another process may still hand out
// the address of the leaving one. It exceeds the 2 s within which notices are known everywhere.
const WithdrawMargin = 3 * time.Second

// probeKeySize is the size in bytes of the random key that a process uses when its settings have no probe key.
const probeKeySize = 32

// startMembership binds the probe socket and starts the membership. Without a probe key in the settings the process stays the
// only member, because it could not distinguish probes of other processes from forged ones.
func (d *Daemon) startMembership(
	ctx context.Context, log apricotway.Log, registry prometheus.Registerer,
) (*membership.Driver, error) {
	s := d.settings

	key, err := hex.DecodeString(s.ProbeKey)
	if err != nil {
		return nil, errors.Wrap(err, "decode probe key")
	}

	if len(key) == 0 {
		key = make([]byte, probeKeySize)
		_, _ = rand.Read(key) // never returns an error
		log = nil
	}

	socket, err := probe.Listen(ctx, s.Listen.Probes, key, registry)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}

	d.probes = socket.Address()
	self := apricotway.Member{
		Node: s.Node, Region: s.Region, Zone: s.Zone,
		Callers:  advertised(s.Advertise.Callers, d.callers.address),
		Peers:    advertised(s.Advertise.Peers, d.Peers()),
		Probes:   advertised(s.Advertise.Probes, d.probes),
		Operator: advertised(s.Advertise.Operator, d.operator.address),
	}

	driver := membership.New(d.supervisor, self, socket, d.peers, d.peerServer, log,
		membership.WithLogger(d.logger), membership.WithKey(key), membership.WithSeeds(s.Seeds),
		membership.WithValidity(time.Duration(s.Stop.AddressValidity)),
		membership.WithReady(func() bool { return d.Ready() == nil }),
		membership.WithUnknown(d.unknown.Of("member")))
	driver.Register(registry)
	socket.Receive(d.supervisor, driver.Receive)

	d.rollout = rollout.New(d.supervisor, driver, driver, build.Name(), rollout.WithLogger(d.logger))
	d.rollout.Register(registry)
	registry.MustRegister(d.unknown)

	return driver, nil
}

func advertised(address, bound netip.AddrPort) netip.AddrPort {
	if address.IsValid() {
		return address
	}

	return bound
}

// registerMembers registers the operator API endpoint that lists this process and its known members, sorted by node ID.
func (d *Daemon) registerMembers(server *operator.Server) {
	server.HandleJSON("/v1/members", func() any {
		members := append(d.membership.Members(), d.membership.Self())
		slices.SortFunc(members, func(a, b apricotway.Member) int {
			if a.Node < b.Node {
				return -1
			}

			return 1
		})

		return members
	})
}

// Probes returns the UDP address on which the process receives membership probes.
func (d *Daemon) Probes() netip.AddrPort { return d.probes }

// closeWhenLeaving sets "Connection: close" on the responses of a leaving process, so that callers send no further requests on
// the connection. Closing idle connections instead would cut off requests that are already on their way.
func (d *Daemon) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}

		handler.ServeHTTP(&leavingWriter{ResponseWriter: w, leaving: &d.leaving}, r)
	})
}

// leavingWriter sets "Connection: close" also on the response to a request that was read before the process began to leave.
type leavingWriter struct {
	http.ResponseWriter

	leaving *atomic.Bool
	// headerSent is set once the header is on its way.
	headerSent bool
}

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	if w.leaving.Load() {
		w.Header().Set("Connection", "close")
	}

	w.headerSent = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *leavingWriter) Write(content []byte) (int, error) {
	if !w.headerSent {
		w.WriteHeader(http.StatusOK)
	}

	return w.ResponseWriter.Write(content)
}

// Unwrap lets http.ResponseController find the connection's own writer.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withdraw announces that the process leaves, then waits, still serving, until no caller can hold an unexpired address of it.
func (d *Daemon) withdraw(ctx context.Context) {
	d.membership.AnnounceLeave()
	d.leaving.Store(true)

	wait := time.Duration(d.settings.Stop.AddressValidity)
	if slices.ContainsFunc(d.membership.Members(), func(m apricotway.Member) bool {
		return m.State != apricotway.MemberDead
	}) {
		wait += WithdrawMargin
	}

	pause.For(ctx, wait)
}
