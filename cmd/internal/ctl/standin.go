package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// standinOptions holds the options common to all stand-ins, which replace services of the platform and backend servers.
type standinOptions struct {
	Listen string `long:"listen" value-name:"ADDR" default:"127.0.0.1:0" description:"address to listen on"`
}

// run serves the handler until SIGTERM or SIGINT. It calls started, if set, and then prints the bound address, so that a script
// can listen on port 0.
func (o *standinOptions) run(handler http.Handler, started func(context.Context, netip.AddrPort) error) error {
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return errors.Wrap(err, "parse --listen")
	}

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	server, err := standin.Listen(ctx, listen, handler)
	if err != nil {
		return err
	}
	defer server.Close()

	if started != nil {
		if err := started(ctx, server.Address); err != nil {
			return err
		}
	}

	fmt.Println(server.Address)
	<-ctx.Done()

	return nil
}

// backendOptions holds the options of stand-ins for backend servers, which register with the stand-in for the host list.
type backendOptions struct {
	standinOptions

	ID      string `long:"id" required:"yes" description:"backend server's identifier"`
	Service string `long:"service" required:"yes" description:"service that the server runs"`
	Region  string `long:"region" default:"local" description:"region"`
	Zone    string `long:"zone" default:"local-a" description:"availability zone"`
	Class   string `long:"machine-class" default:"standard" description:"machine class"`
	Version string `long:"version" description:"model version"`
	Hosts   string `long:"hosts" value-name:"ADDR" description:"address of the host list to register with"`
}

// register adds the backend server to the host list if --hosts is set.
func (o *backendOptions) register(ctx context.Context, address netip.AddrPort) error {
	if o.Hosts == "" {
		return nil
	}

	hosts, err := netip.ParseAddrPort(o.Hosts)
	if err != nil {
		return errors.Wrap(err, "parse --hosts")
	}

	entry := apricotway.BackendServer{
		ID: apricotway.BackendServerID(o.ID), Service: apricotway.Service(o.Service),
		Region: apricotway.Region(o.Region), Zone: apricotway.Zone(o.Zone), MachineClass: apricotway.MachineClass(o.Class),
		Version: apricotway.ModelVersion(o.Version), Address: address, State: apricotway.HostLive,
	}

	err = httpjson.Do(ctx, httpjson.NewTransport(), http.MethodPut, httpjson.URL(hosts, "/hosts"), entry, nil)
	if err != nil {
		return errors.Wrap(err, "register backend server with the host list")
	}

	return nil
}

type standinLog struct{ standinOptions }

// Execute implements flags.Commander.
func (c *standinLog) Execute([]string) error { return c.run(standin.NewLog().Handler(), nil) }

type standinHosts struct{ standinOptions }

// Execute implements flags.Commander.
func (c *standinHosts) Execute([]string) error { return c.run(standin.NewHosts().Handler(), nil) }

type standinCloud struct {
	standinOptions

	Region string        `long:"region" default:"local" description:"region of the hosts that are created"`
	Hosts  string        `long:"hosts" value-name:"ADDR" required:"yes" description:"address of the host list"`
	Lag    time.Duration `long:"lag" default:"0s" description:"lag of the host list"`
}

// Execute implements flags.Commander.
func (c *standinCloud) Execute([]string) error {
	hosts, err := netip.ParseAddrPort(c.Hosts)
	if err != nil {
		return errors.Wrap(err, "parse --hosts")
	}

	cloud := standin.NewCloud(apricotway.Region(c.Region), func(server apricotway.BackendServer, present bool) {
		method, path := http.MethodPut, "/hosts"
		if !present {
			method, path = http.MethodDelete, "/hosts/"+string(server.ID)
		}

		url := httpjson.URL(hosts, path)
		if err := httpjson.Do(context.Background(), httpjson.NewTransport(), method, url, server, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	cloud.SetFaults(standin.CloudFaults{Lag: c.Lag})

	return c.run(cloud.Handler(), nil)
}

type standinWeights struct {
	standinOptions

	Interval time.Duration `long:"interval" default:"1s" description:"time between two transfers"`
}

// Execute implements flags.Commander.
func (c *standinWeights) Execute([]string) error {
	return c.run(standin.NewWeights(c.Interval).Handler(), nil)
}

type standinEngine struct {
	backendOptions

	Prefill time.Duration `long:"prefill-per-token" default:"200us" description:"time for one prompt token"`
	Decode  time.Duration `long:"decode-per-token" default:"20ms" description:"time for one generated token"`
}

// Execute implements flags.Commander.
func (c *standinEngine) Execute([]string) error {
	model := standin.NewEngineModel(standin.EngineTimes{PrefillPerToken: c.Prefill, DecodePerToken: c.Decode})
	crash := standin.WithCrash(func() { os.Exit(cli.ExitFailure) })

	return c.run(standin.NewEngine(model, crash).Handler(), c.register)
}

type standinService struct{ backendOptions }

// Execute implements flags.Commander.
func (c *standinService) Execute([]string) error {
	return c.run(standin.NewBookings().Handler(), c.register)
}

func addStandinCommands(root *flags.Command) error {
	return cli.AddGroup(
		root,
		cli.Command{
			Name: "standin", Short: "Run a stand-in of the platform",
			Long: "Runs a small stand-in of a platform service or of a backend server until it is interrupted.\n\n" +
				"Example: apricotctl standin log --listen 127.0.0.1:9000",
		},
		cli.Command{Name: "log", Short: "Append-only log service", Data: &standinLog{}},
		cli.Command{Name: "hosts", Short: "List of live and leaving hosts", Data: &standinHosts{}},
		cli.Command{Name: "cloud", Short: "Cloud API that creates and releases hosts", Data: &standinCloud{}},
		cli.Command{Name: "weights", Short: "Rate-limited store of model weights", Data: &standinWeights{}},
		cli.Command{Name: "engine", Short: "Model engine", Data: &standinEngine{}},
		cli.Command{Name: "service", Short: "Plain service that keeps a ledger of bookings", Data: &standinService{}},
		cli.Command{Name: "proxy", Short: "Fault-injecting TCP and UDP proxy", Data: &standinProxy{}},
	)
}
