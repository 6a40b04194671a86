package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/transport/platform"
)

// TestServersBesideOddHosts guards against odd hosts of the platform's list that keep servers from coming, leaving and going.
func TestServersBesideOddHosts(t *testing.T) {
	const (
		depth = 100_000
		// longest is far above the time between two reads.
		longest = 5 * time.Second
		entry   = `{"id":%q,"service":"s","region":"r","zone":"z","machineClass":"m","address":"10.0.0.1:80","state":%q}`
	)

	var list atomic.Pointer[string]

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The write fails only if the caller has closed the connection.
		_, _ = io.WriteString(w, *list.Load())
	}))
	defer server.Close()

	nested := strings.Repeat(`{"a":[`, depth) + strings.Repeat("]}", depth)
	put := func(states ...string) {
		odd := []string{
			nested, `{"id":"odd","x":` + nested + "}", "1e400", fmt.Sprintf(strings.Replace(entry, ":80", ":65536", 1), "odd", "live"),
			fmt.Sprintf(strings.Replace(entry, ":80", ":0", 1), "b", "live"), fmt.Sprintf(entry, "c", "odd"),
		}

		var hosts []string

		for i, state := range states {
			id, state, _ := strings.Cut(state, " ")
			hosts = append(hosts, odd[i:]...)
			hosts = append(hosts, fmt.Sprintf(entry, id, state))
		}

		text := "[" + strings.Join(append(hosts, odd...), ",") + "]"
		list.Store(&text)
	}
	put("a live")

	supervisor := suture.NewSimple("test")
	servers := inventory.New(supervisor, platform.NewHosts(netip.MustParseAddrPort(server.Listener.Addr().String())),
		inventory.WithPeriod(20*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	done := supervisor.ServeBackground(ctx)

	defer func() {
		cancel()

		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got end %v, want %v", err, context.Canceled)
		}
	}()

	for _, step := range []struct{ put, want []string }{
		{[]string{"a live"}, []string{"a"}},
		{[]string{"a live", "d live"}, []string{"a", "d"}},
		{[]string{"a leaving", "d live", "e live"}, []string{"d", "e"}},
		{[]string{"d live", "e live"}, []string{"d", "e"}},
		// The newest entry of a server is an odd one.
		{[]string{"d odd", "e live"}, []string{"e"}},
		{[]string{"d live", "e live"}, []string{"d", "e"}},
	} {
		put(step.put...)

		began := time.Now()

		for {
			var got []string
			for _, usable := range servers.Usable("s") {
				got = append(got, string(usable.ID))
			}

			if slices.Sort(got); slices.Equal(got, step.want) {
				break
			}

			if time.Since(began) > longest {
				t.Fatalf("list of %q: got servers %q after %s, want %q", step.put, got, longest, step.want)
			}

			<-time.After(5 * time.Millisecond)
		}
	}

	for _, known := range servers.All() {
		if known.ID == "" || known.ID == "odd" || known.Address != netip.MustParseAddrPort("10.0.0.1:80") || known.State != apricotway.HostLive {
			t.Errorf("got server %+v, want only those of the list that can be used", known)
		}
	}
}
