// Package platform implements HTTP clients for services of the platform: the host list, the cloud API that creates and releases
// hosts, and the weight store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/rawjson"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// callTimeout applies to each call of a platform service.
const callTimeout = 5 * time.Second

// maxNameBytes is the longest identifier or service of a host in the list.
const maxNameBytes = 255

// maxProblemBytes limits the reason for ignoring a host, which may quote its entry.
const maxProblemBytes = 256

// errInvalidHost reports an entry of the host list that names no host to use.
var errInvalidHost = errors.New("invalid entry")

// Hosts implements apricotway.HostList over HTTP.
type Hosts struct {
	address   netip.AddrPort
	transport http.RoundTripper
	logger    logr.Logger

	mu sync.Mutex
	// invalid holds the hashes of the entries that the last read ignored.
	invalid map[uint64]bool
}

var _ apricotway.HostList = (*Hosts)(nil)

// HostsOption configures a Hosts.
type HostsOption func(*Hosts)

// WithLogger sets the logger for entries of the list that are ignored.
func WithLogger(logger logr.Logger) HostsOption { return func(h *Hosts) { h.logger = logger } }

// NewHosts returns a client of the host list at the address.
func NewHosts(address netip.AddrPort, options ...HostsOption) *Hosts {
	h := &Hosts{address: address, transport: httpjson.NewTransport(), logger: logr.Discard()}
	for _, option := range options {
		option(h)
	}

	return h
}

// Hosts implements apricotway.HostList. An entry that cannot be decoded or names no host to use does not affect the others.
func (h *Hosts) Hosts(ctx context.Context) ([]apricotway.BackendServer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var document json.RawMessage
	if err := httpjson.Do(ctx, h.transport, http.MethodGet, httpjson.URL(h.address, "/hosts"), nil, &document); err != nil {
		return nil, errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	}

	if string(bytes.TrimSpace(document)) == "null" {
		return nil, nil
	}

	entries, err := rawjson.Elements(document)
	if err != nil {
		return nil, errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	}

	servers := make([]apricotway.BackendServer, 0, len(entries))
	invalid := map[uint64]bool{}

	for _, entry := range entries {
		server, err := decodeHost(entry)
		if err == nil {
			servers = append(servers, server)
			continue
		}

		hash := xxhash.Sum64(entry)
		if !h.wasInvalid(hash) && !invalid[hash] {
			h.logInvalid(entry, err)
		}

		invalid[hash] = true
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.invalid = invalid

	return servers, nil
}

func (h *Hosts) wasInvalid(hash uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.invalid[hash]
}

func (h *Hosts) logInvalid(entry []byte, err error) {
	var id string
	// Without a readable identifier the entry is logged with an empty one.
	if members, err := rawjson.Members(entry); err == nil {
		_ = json.Unmarshal(members["id"], &id)
	}

	h.logger.Info("ignored an invalid entry of the host list", "event", 217, "server", shorten(id), "problem", shorten(err.Error()))
}

func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxProblemBytes)], "")
}

func decodeHost(entry []byte) (apricotway.BackendServer, error) {
	var server apricotway.BackendServer
	if err := json.Unmarshal(entry, &server); err != nil {
		return server, errors.Wrap(errInvalidHost, err.Error())
	}

	ip := server.Address.Addr()

	switch {
	case !validName(string(server.ID)):
		return server, errors.Wrap(errInvalidHost, "identifier is empty, too long, or has bytes other than visible ASCII")
	case server.Service == "" || len(server.Service) > maxNameBytes:
		return server, errors.Wrap(errInvalidHost, "service is empty or too long")
	case server.State != apricotway.HostLive && server.State != apricotway.HostLeaving:
		return server, errors.Wrapf(errInvalidHost, "unknown state %q", server.State)
	case !ip.IsValid() || server.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "":
		return server, errors.Wrapf(errInvalidHost, "address %s cannot be dialled", server.Address)
	}

	return server, nil
}

func validName(name string) bool {
	odd := func(r rune) bool { return r <= ' ' || r > '~' }

	return name != "" && len(name) <= maxNameBytes && strings.IndexFunc(name, odd) < 0
}
