// Package serve implements the command line of the program apricotway.
package serve

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/daemon"
	"github.com/apricotway/apricotway/cmd/internal/entry"
	"github.com/apricotway/apricotway/cmd/internal/logsink"
	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
)

// settingsCheckInterval is the interval at which an entry host checks its settings file, which may change without a SIGHUP.
const settingsCheckInterval = time.Second

type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file (JSON with comments)"`
}

type entryCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"APRICOTWAY_SETTINGS" required:"yes" description:"settings file"`
}

type checkCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file (JSON with comments)"`
	Entry    bool   `long:"entry" description:"the file is for apricotway entry"`
}

type devCommand struct {
	Listen string `long:"listen" value-name:"ADDR" default:"127.0.0.1:8800" description:"address for callers"`
}

// Run parses and executes the command line and returns the exit code.
func Run(arguments []string) int {
	parser := flags.NewNamedParser("apricotway", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serves language models and plain services on reclaimable hosts."

	err := cli.Add(
		parser.Command,
		cli.Command{
			Name: "serve", Short: "Run one process",
			Long: "Runs one process of the system until SIGTERM or SIGINT, then stops it gracefully.\n\n" +
				"Example: apricotway serve --settings /etc/apricotway/settings.jsonc",
			Data: &serveCommand{},
		},
		cli.Command{
			Name: "entry", Short: "Run the process of one entry host on the operators' platform",
			Long: "Runs one entry host: callers' requests, directory and readiness, until SIGTERM or SIGINT; SIGHUP reads the\n" +
				"settings again.\n\nExample: apricotway entry --settings /etc/apricotway/entry.jsonc",
			Data: &entryCommand{},
		},
		cli.Command{
			Name: "check", Short: "Check a settings file",
			Long: "Names every fault of a settings file with its line, keys that this build does not know included.\n\n" +
				"Example: apricotway check --settings docs/settings.example.jsonc",
			Data: &checkCommand{},
		},
		cli.Command{
			Name: "dev", Short: "Run the whole system on stand-ins",
			Long: "Runs the whole system in one process on embedded stand-ins.\n\n" +
				"Example: apricotway dev --listen 127.0.0.1:8800",
			Data: &devCommand{},
		},
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailure
	}

	return cli.Run(parser, arguments)
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	logger, err := newLogger()
	if err != nil {
		return err
	}

	s, err := settings.Load(c.Settings, logUnknown(logger))
	if err != nil {
		return err
	}

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	d, err := daemon.Start(ctx, s, daemon.WithLogger(logger))
	if err != nil {
		return err
	}

	// Scripts that configure port 0 read the bound addresses from this line.
	fmt.Printf("callers=%s operator=%s peers=%s probes=%s\n", d.Callers(), d.Operator(), d.Peers(), d.Probes())
	<-ctx.Done()

	limit := time.Duration(s.Stop.AddressValidity+s.Stop.Drain) + daemon.WithdrawMargin

	stop, cancelStop := context.WithTimeout(context.Background(), limit)
	defer cancelStop()

	return d.Stop(stop)
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	sink := logsink.New(os.Stdout)
	logger := zapr.NewLogger(logsink.Logger(sink))

	defer func() { _ = sink.Sync() }() // It waits for pending writes and never fails.

	s, err := settings.LoadEntry(c.Settings, logUnknown(logger))
	if err != nil {
		return err
	}

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)

	e, err := entry.Start(ctx, s, logger)
	if err != nil {
		return err
	}

	changes := time.NewTicker(settingsCheckInterval)
	defer changes.Stop()

	for {
		select {
		case <-hangup:
			e.Reload(c.Settings)
		case <-changes.C:
			e.ReloadChanged(c.Settings)
		case <-ctx.Done():
			e.Stop(context.Background())
			return nil
		}
	}
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	var err error
	if c.Entry {
		_, err = settings.LoadEntry(c.Settings)
	} else {
		_, err = settings.Load(c.Settings)
	}

	if err != nil {
		return err
	}

	fmt.Println(c.Settings + ": ok")

	return nil
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return errors.Wrap(err, "parse --listen address")
	}

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	dev, err := daemon.StartDev(ctx, listen, logr.Discard())
	if err != nil {
		return err
	}

	address := dev.Daemon().Callers()
	fmt.Printf("callers:  http://%s\noperator: http://%s\n\ntry:\n  curl -N http://%s/v1/chat/completions "+
		"-H 'Authorization: Bearer %s' -d '{\"model\":\"shop-model\",\"stream\":true,\"max_tokens\":20,"+
		"\"messages\":[{\"role\":\"user\",\"content\":\"Does this pan need tin?\"}]}'\n",
		address, dev.Daemon().Operator(), address, daemon.DevToken)

	<-ctx.Done()

	stop, cancelStop := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelStop()

	return dev.Stop(stop)
}

// logUnknown makes unknown settings keys log lines.
func logUnknown(logger logr.Logger) settings.Option {
	return settings.WithUnknownKeys(func(fault settings.Fault) { process.UnknownSetting(logger, fault) })
}

func newLogger() (logr.Logger, error) {
	base, err := zap.NewProduction()
	if err != nil {
		return logr.Logger{}, errors.Wrap(err, "create production logger")
	}

	return zapr.NewLogger(base), nil
}
