package daemon

import (
	"cmp"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway/cmd/internal/callers"
	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/transport/api"
	"github.com/apricotway/apricotway/transport/certificate"
	"github.com/apricotway/apricotway/transport/peer"
)

// connectPeers creates the server and client for calls between processes, with mutual TLS when the settings name certificates.
func (d *Daemon) connectPeers() error {
	serverOptions := []peer.ServerOption{
		peer.WithServerLogger(d.logger), peer.WithServerPanicHook(func() { d.panics.Count("peers") }),
		peer.WithServerUnknown(d.unknown.Of("method")),
	}

	var clientOptions []peer.ClientOption

	if files := d.settings.TLS.Peers; files != nil {
		source, err := certificate.New(d.supervisor, *files, certificate.WithLogger(d.logger))
		if err != nil {
			return errors.Wrap(err, "load certificate for peers")
		}

		serverOptions = append(serverOptions, peer.WithServerTLS(source.ServerConfig()))
		clientOptions = append(clientOptions, peer.WithClientTLS(source.ClientConfig))
	}

	d.peerServer = peer.NewServer(d.supervisor, d.peerListener, d.clock, serverOptions...)
	d.peers = peer.NewClient(d.clock, clientOptions...)

	return nil
}

// callersOptions returns the options of the server for callers: bounds, and TLS when the settings name a certificate.
func (d *Daemon) callersOptions(registry prometheus.Registerer) ([]callers.Option, error) {
	options := append(process.BoundCallers(d.logger, registry, d.bodies, cmp.Or(d.settings.MemoryMegabytes, defaultMemoryMegabytes)).Callers(),
		callers.WithRefusalBody(api.RefusalBody))

	files := d.settings.TLS.Callers
	if files == nil {
		return options, nil
	}

	source, err := certificate.New(d.supervisor, *files, certificate.WithLogger(d.logger))
	if err != nil {
		return nil, errors.Wrap(err, "load certificate for callers")
	}

	return append(options, callers.WithTLS(source.ServerConfig())), nil
}

func operatorDigests(operators []settings.Operator) []string {
	digests := make([]string, len(operators))
	for i, entry := range operators {
		digests[i] = entry.TokenHash
	}

	return digests
}
