package platform_test

import (
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

	"github.com/go-logr/logr/funcr"

	"github.com/apricotway/apricotway/transport/platform"
)

const host = `{"id":%q,"service":"s","region":"r","zone":"z","machineClass":"m","address":"10.0.0.1:80","state":"live"}`

// serve returns the address of a server that answers every request with the text.
func serve(t *testing.T, text *atomic.Pointer[string]) netip.AddrPort {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The write fails only if the caller has closed the connection.
		_, _ = io.WriteString(w, *text.Load())
	}))
	t.Cleanup(server.Close)

	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestHostsBesideOddOnes guards against one odd host making the whole list unreadable.
func TestHostsBesideOddOnes(t *testing.T) {
	const (
		depth = 100_000
		// longest is far above what reading a list takes.
		longest = 5 * time.Second
	)

	var (
		text atomic.Pointer[string]
		logs atomic.Int64
	)

	hosts := platform.NewHosts(serve(t, &text), platform.WithLogger(funcr.New(func(_, line string) {
		if strings.Contains(line, `"event"=217`) && len(line) < 1000 {
			logs.Add(1)
		}
	}, funcr.Options{})))
	valid := fmt.Sprintf(host, "odd")
	nested := strings.Repeat(`{"a":[`, depth) + strings.Repeat("]}", depth)

	for name, odd := range map[string]string{
		"arrays": strings.Repeat("[", depth) + strings.Repeat("]", depth), "objects": nested,
		"nested field": strings.Replace(valid, `"r"`, nested, 1), "nested unknown field": `{"x":` + nested + "," + valid[1:],
		"large number": strings.Replace(valid, `"m"`, "1e400", 1), "NaN": strings.Replace(valid, `"m"`, "NaN", 1),
		"port 0": strings.Replace(valid, ":80", ":0", 1), "port 65536": strings.Replace(valid, ":80", ":65536", 1),
		"large port": strings.Replace(valid, ":80", ":99999999999", 1), "no port": strings.Replace(valid, ":80", "", 1),
		"IPv6 zone":   strings.Replace(valid, "10.0.0.1:80", "[fe80::1%eth0]:80", 1),
		"unspecified": strings.Replace(valid, "10.0.0.1", "0.0.0.0", 1), "no address": strings.Replace(valid, "10.0.0.1:80", "", 1),
		"number as address": strings.Replace(valid, `"10.0.0.1:80"`, "1e400", 1), "odd state": strings.Replace(valid, "live", "odd", 1),
		"deadline": `{"deadline":1e400,` + valid[1:], "late deadline": `{"deadline":"99999-01-01T00:00:00Z",` + valid[1:],
		"no id": strings.Replace(valid, `"odd"`, `""`, 1), "odd id": strings.Replace(valid, `"odd"`, `"a\u0000b"`, 1),
		"large id":   strings.Replace(valid, `"odd"`, `"`+strings.Repeat("i", 256<<10)+`"`, 1),
		"no service": strings.Replace(valid, `"s"`, `""`, 1), "large service": strings.Replace(valid, `"s"`, `"`+strings.Repeat("s", 256<<10)+`"`, 1),
		"string": `"odd"`, "number": "1e400", "null": "null", "nothing": "",
	} {
		list := "[" + fmt.Sprintf(host, "a") + "," + odd + " , " + fmt.Sprintf(host, "z") + "]\n"
		text.Store(&list)
		logs.Store(0)

		for range 3 {
			began := time.Now()

			servers, err := hosts.Hosts(t.Context())

			var got []string
			for _, server := range servers {
				got = append(got, string(server.ID))
			}

			if want := []string{"a", "z"}; err != nil || !slices.Equal(got, want) {
				t.Errorf("%s: got hosts %.99q and %v, want %q", name, got, err, want)
			}

			if took := time.Since(began); took > longest {
				t.Errorf("%s: took %s, want less than %s", name, took, longest)
			}
		}

		if got, want := logs.Load(), int64(1); got != want {
			t.Errorf("%s: got %d lines of the log for three reads, want %d", name, got, want)
		}

		list = "[" + fmt.Sprintf(host, "a") + "]"
		if _, err := hosts.Hosts(t.Context()); err != nil {
			t.Errorf("%s: got %v for the list without it, want none", name, err)
		}
	}
}

// TestUnreadableHostList checks that a list whose hosts cannot be told apart is an error and not an empty list.
func TestUnreadableHostList(t *testing.T) {
	var text atomic.Pointer[string]

	hosts := platform.NewHosts(serve(t, &text))

	for _, list := range []string{"", "{}", "[", `["]`, "[" + fmt.Sprintf(host, "a"), "1e400", strings.Repeat("[", 256<<10)} {
		text.Store(&list)

		if got, err := hosts.Hosts(t.Context()); err == nil {
			t.Errorf("%.20q: got hosts %v, want an error", list, got)
		}
	}

	for _, list := range []string{"[]", "null"} {
		text.Store(&list)

		if got, err := hosts.Hosts(t.Context()); len(got) != 0 || err != nil {
			t.Errorf("%q: got hosts %v and %v, want none", list, got, err)
		}
	}
}
