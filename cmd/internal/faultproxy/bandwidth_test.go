package faultproxy_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/faultproxy"
)

// TestSharedBandwidth guards against connections of one host that don't share its bandwidth, on whichever end of a link the host is.
func TestSharedBandwidth(t *testing.T) {
	const (
		size = 40 << 10
		rate = 200 << 10
	)

	bandwidth := faultproxy.NewBandwidth(rate)
	asClient := faultproxy.WithClientBandwidth(func(netip.AddrPort) *faultproxy.Bandwidth { return bandwidth })

	for name, options := range map[string][2]faultproxy.Option{
		"as client":            {asClient, asClient},
		"as target":            {faultproxy.WithTargetBandwidth(bandwidth), faultproxy.WithTargetBandwidth(bandwidth)},
		"as client and target": {asClient, faultproxy.WithTargetBandwidth(bandwidth)},
	} {
		t.Run(name, func(t *testing.T) {
			var group sync.WaitGroup

			begin := time.Now()

			for _, option := range options {
				target, received := echo(t)

				link, err := faultproxy.Listen(t.Context(), "tcp", option)
				if err != nil {
					t.Fatal(err)
				}
				defer link.Close()

				link.Set(faultproxy.Fault{Target: target.AddrPort()})

				conn, err := net.Dial("tcp", link.Address.String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()

				go func() {
					for range received {
					}
				}()

				group.Go(func() {
					go func() { _, _ = conn.Write(make([]byte, size)) }()

					if n, err := io.ReadFull(conn, make([]byte, size)); err != nil {
						t.Errorf("got %d bytes and %v, want %d", n, err, size)
					}
				})
			}

			group.Wait()

			// Each direction of the host carries the bytes of both connections.
			if got, want := time.Since(begin), 2*size*time.Second/rate; got < want {
				t.Errorf("got %s for %d bytes, want at least %s", got, 2*size, want)
			}
		})
	}
}
