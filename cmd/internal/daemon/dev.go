package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/state/config"
)

// DevToken is the bearer token of the workspace "dev" that StartDev creates.
const DevToken = "dev-token"

const (
	devRegion  = "dev"
	devEngines = 3
	devServers = 2
	// devReadyTimeout bounds the wait until the process is ready, which takes milliseconds unless a stand-in hangs.
	devReadyTimeout = 10 * time.Second
)

// Dev is a daemon with embedded stand-ins for the platform, the engines and the backend servers, all in one operating system
// process.
type Dev struct {
	daemon   *Daemon
	standins []*standin.Server
}

// StartDev starts a development system with the model service "shop-model" and the plain service "booking-ledger".
func StartDev(ctx context.Context, listen netip.AddrPort, logger logr.Logger) (*Dev, error) {
	d := &Dev{}
	log, hosts := standin.NewLog(), standin.NewHosts()

	logServer, err := d.add(standin.Listen(ctx, loopback(), log.Handler()))
	if err != nil {
		return nil, err
	}

	hostServer, err := d.add(standin.Listen(ctx, loopback(), hosts.Handler()))
	if err != nil {
		return nil, err
	}

	if err := d.addBackendServers(ctx, hosts); err != nil {
		return nil, err
	}

	if err := publishDevConfiguration(ctx, log); err != nil {
		return nil, err
	}

	s := settings.Default()
	s.Region, s.Zone = devRegion, "dev-a"
	s.Listen = settings.Listen{Callers: listen, Peers: loopback(), Probes: loopback(), Operator: loopback()}
	// No other process hands out the address, so a stop does not have to wait long until it expires.
	s.Stop.AddressValidity = settings.Duration(time.Second)
	s.Platform = settings.Platform{Log: logServer.Address, Hosts: hostServer.Address}

	d.daemon, err = Start(ctx, s, WithLogger(logger))
	if err != nil {
		return nil, err
	}

	return d, d.daemon.waitReady(ctx, devReadyTimeout)
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func (d *Dev) add(server *standin.Server, err error) (*standin.Server, error) {
	if err == nil {
		d.standins = append(d.standins, server)
	}

	return server, err
}

func (d *Dev) addBackendServers(ctx context.Context, hosts *standin.Hosts) error {
	zones := []apricotway.Zone{"dev-a", "dev-b", "dev-c"}
	times := standin.EngineTimes{PrefillPerToken: 200 * time.Microsecond, DecodePerToken: 20 * time.Millisecond}

	for i := range devEngines {
		server, err := d.add(standin.Listen(ctx, loopback(), standin.NewEngine(standin.NewEngineModel(times)).Handler()))
		if err != nil {
			return err
		}

		hosts.Add(apricotway.BackendServer{
			ID: apricotway.BackendServerID(fmt.Sprintf("engine-%d", i)), Service: "shop-model", Region: devRegion,
			Zone: zones[i%len(zones)], Version: "1", Address: server.Address, State: apricotway.HostLive,
		})
	}

	bookings := standin.NewBookings()

	for i := range devServers {
		server, err := d.add(standin.Listen(ctx, loopback(), bookings.Handler()))
		if err != nil {
			return err
		}

		hosts.Add(apricotway.BackendServer{
			ID: apricotway.BackendServerID(fmt.Sprintf("ledger-%d", i)), Service: "booking-ledger", Region: devRegion,
			Zone: zones[i%len(zones)], Address: server.Address, State: apricotway.HostLive,
		})
	}

	return nil
}

func publishDevConfiguration(ctx context.Context, log apricotway.Log) error {
	sum := sha256.Sum256([]byte(DevToken))

	for _, object := range []struct {
		kind config.Kind
		name string
		spec any
	}{
		{config.KindService, "shop-model", config.ServiceSpec{Type: config.ServiceModel}},
		{config.KindService, "booking-ledger", config.ServiceSpec{Type: config.ServicePlain}},
		{config.KindWorkspace, "dev", config.WorkspaceSpec{
			Owner: "dev", Weight: 1, TokenHashes: []string{hex.EncodeToString(sum[:])},
		}},
	} {
		spec, err := json.Marshal(object.spec)
		if err != nil {
			return errors.Wrap(err, "encode object specification")
		}

		payload, err := json.Marshal(config.Change{Object: object.name, Spec: spec})
		if err != nil {
			return errors.Wrap(err, "encode configuration change")
		}

		record := apricotway.Record{SchemaVersion: 1, Kind: string(object.kind), ID: uuid.NewString(), Payload: payload}
		if _, err := log.Append(ctx, apricotway.StreamConfig, []apricotway.Record{record}); err != nil {
			return errors.Wrap(err, "publish configuration")
		}
	}

	return nil
}

// waitReady polls until the process is ready or the limit has passed.
func (d *Daemon) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()

	for {
		err := d.Ready()
		if err == nil {
			return nil
		}

		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}

// Daemon returns the daemon, for its addresses.
func (d *Dev) Daemon() *Daemon { return d.daemon }

// Stop shuts down the daemon, then closes the stand-ins.
func (d *Dev) Stop(ctx context.Context) error {
	err := d.daemon.Stop(ctx)
	for _, server := range d.standins {
		server.Close()
	}

	return err
}
