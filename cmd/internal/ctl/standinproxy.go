package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
)

type standinProxy struct {
	standinOptions

	Links []string `long:"link" value-name:"NAME:tcp|udp" required:"yes" description:"proxied address; may be repeated"`
}

// Execute implements flags.Commander. It prints a line with the address that sets the faults (steering=) and those of the links.
func (c *standinProxy) Execute([]string) error {
	links := map[string]*faultproxy.Link{}

	var line strings.Builder

	for _, text := range c.Links {
		name, network, _ := strings.Cut(text, ":")
		if network != "tcp" && network != "udp" {
			return errors.New("parse --link: the value must be NAME:tcp or NAME:udp")
		}

		link, err := faultproxy.Listen(context.Background(), network)
		if err != nil {
			return err
		}
		defer link.Close()

		links[name] = link
		fmt.Fprintf(&line, " %s=%s", name, link.Address)
	}

	return c.run(faultproxy.Handler(links), func(_ context.Context, address netip.AddrPort) error {
		fmt.Printf("steering=%s%s\n", address, line.String())
		return nil
	})
}
