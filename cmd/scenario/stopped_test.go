package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/state/fleet"
)

// sentOrder is a request to the cloud API that has its response: an order to create a host, or to release one.
type sentOrder struct {
	process int
	method  string
	order   apricotway.HostOrder
	path    string
	status  int
}

// heldOrder is an order that is held back on its way to the cloud API.
type heldOrder struct {
	apricotway.HostOrder

	deliver, delivered chan struct{}
	once               sync.Once
}

// orders is a proxy between several processes and the cloud API that records all orders and can hold one back.
type orders struct {
	cloud http.Handler

	mu sync.Mutex
	// arrived, if not nil, receives the next order to create a host, which is then held back.
	arrived chan<- *heldOrder
	held    *heldOrder
	sent    []sentOrder
}

// handler returns the proxy's endpoint for one process.
func (o *orders) handler(process int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sent := sentOrder{process: process, method: r.Method, path: r.URL.Path}
		if r.Method == http.MethodPost {
			_ = json.Unmarshal(body, &sent.order)
		}

		o.mu.Lock()
		if o.arrived != nil && r.Method == http.MethodPost {
			o.held = &heldOrder{HostOrder: sent.order, deliver: make(chan struct{}), delivered: make(chan struct{})}
			o.arrived <- o.held
			o.arrived = nil
		}
		held := o.held
		o.mu.Unlock()

		// Retries with the same token are held as well: the sender may time out and retry before it is stopped.
		hold := held != nil && process == 0 && sent.order.ClientToken == held.ClientToken
		if hold {
			<-held.deliver
		}

		recorder := httptest.NewRecorder()
		// The order reaches the cloud even if its sender has closed the connection.
		passed := r.WithContext(context.WithoutCancel(r.Context()))
		passed.Body = io.NopCloser(bytes.NewReader(body))
		o.cloud.ServeHTTP(recorder, passed)

		sent.status = recorder.Code

		o.mu.Lock()
		o.sent = append(o.sent, sent)
		o.mu.Unlock()

		if hold {
			held.once.Do(func() { close(held.delivered) })
		}

		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	})
}

func (o *orders) list() []sentOrder {
	o.mu.Lock()
	defer o.mu.Unlock()

	return slices.Clone(o.sent)
}

// stoppedFleet is a region whose platform runs in this process, with two real processes that contend for the planning lease.
type stoppedFleet struct {
	t       *testing.T
	log     *standin.Log
	cloud   *standin.Cloud
	orders  *orders
	entries []*program
	// reads counts the requests for the host list by each process.
	reads []*atomic.Int64
}

func newStoppedFleet(t *testing.T, checks standin.CloudChecks) *stoppedFleet {
	hosts := standin.NewHosts()
	f := &stoppedFleet{t: t, log: standin.NewLog()}
	f.cloud = standin.NewCloud(fleetRegion, func(server apricotway.BackendServer, present bool) {
		if present {
			hosts.Add(server)
		} else {
			hosts.Remove(server.ID)
		}
	})
	f.cloud.SetChecks(checks)
	f.orders = &orders{cloud: f.cloud.Handler()}
	f.publish("1", 0, `{"type": "model"}`, "service", "shop-model")

	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)

		return server.Listener.Addr().String()
	}
	directory, logAddress := t.TempDir(), serve(f.log.Handler())

	for i := range 2 {
		reads := &atomic.Int64{}
		f.reads = append(f.reads, reads)
		settings := fmt.Sprintf(`{"node": "node-%d", "region": %q, "zone": "a",
			"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
			"platform": {"log": %q, "hosts": %q, "cloud": %q}}`, i, fleetRegion, logAddress,
			serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reads.Add(1)
				hosts.Handler().ServeHTTP(w, r)
			})), serve(f.orders.handler(i)))
		file := filepath.Join(directory, fmt.Sprintf("entry%d.jsonc", i))

		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}

		entry := &program{name: fmt.Sprintf("entry%d", i)}

		var err error

		entry.process, entry.fields, err = launch(directory, entry.name, os.Environ(), []string{"apricotway", "serve", "--settings", file})
		if entry.process != nil {
			t.Cleanup(entry.kill)
		}

		if err != nil {
			t.Fatal(err)
		}

		f.entries = append(f.entries, entry)
		// The first process must hold the lease before the second one starts.
		f.await("a lease", func() bool { return f.fold().Lease().Number != 0 })
	}

	return f
}

func (f *stoppedFleet) await(what string, happened func() bool) {
	f.t.Helper()

	for end := time.Now().Add(waitLimit); !happened(); <-time.After(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s; hosts %v, orders %+v", what, f.cloud.Alive(), f.orders.list())
		}
	}
}

func (f *stoppedFleet) publish(id string, replaces apricotway.Offset, spec, kind, object string) {
	payload := fmt.Sprintf(`{"object": %q, "replaces": %d, "spec": %s}`, object, replaces, spec)
	record := apricotway.Record{SchemaVersion: 1, Kind: kind, ID: id, Payload: json.RawMessage(payload)}

	if _, err := f.log.Append(context.Background(), "config", []apricotway.Record{record}); err != nil {
		f.t.Fatal(err)
	}
}

// fold returns the state after all records of the fleet's stream.
func (f *stoppedFleet) fold() *fleet.Fold {
	fold := fleet.New(fleet.StreamOf(fleetRegion))

	batch, err := f.log.Read(context.Background(), fleet.StreamOf(fleetRegion), 1, 100000, 0)
	if err != nil {
		f.t.Fatal(err)
	}

	for _, record := range batch.Records {
		fold.Apply(record, time.Now())
	}

	return fold
}

func (f *stoppedFleet) open(token string) bool {
	return slices.ContainsFunc(f.fold().OpenIntents(), func(open fleet.OpenIntent) bool { return open.Token == token })
}

// settled reports whether the stream has no open intent and owns at least 3 hosts, exactly those that exist in the cloud.
func (f *stoppedFleet) settled() bool {
	fold := f.fold()
	owned, alive := slices.Sorted(maps.Keys(fold.OwnedHosts())), slices.Sorted(maps.Keys(f.cloud.Alive()))

	return len(fold.OpenIntents()) == 0 && len(owned) >= 3 && slices.Equal(owned, alive)
}

// TestFleetHolderStopped guards against hosts that are ordered or released twice after the lease holder is stopped while an
// order is in flight: another process takes over, the order reaches the cloud late, and the former holder resumes.
func TestFleetHolderStopped(t *testing.T) {
	t.Parallel()

	for name, test := range map[string]struct {
		checks standin.CloudChecks
		// givenUp tells whether the cloud refuses the order to the next holder, which then orders in another zone.
		givenUp bool
		// late is the status of the response to the held order.
		late int
	}{
		"number checked":                 {standin.CloudChecks{Number: true}, true, http.StatusPreconditionFailed},
		"time checked":                   {standin.CloudChecks{NotAfter: true}, true, http.StatusPreconditionFailed},
		"nothing checked":                {standin.CloudChecks{}, false, http.StatusOK},
		"nothing checked, order refused": {standin.CloudChecks{}, true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStoppedFleet(t, test.checks)
			arrived := make(chan *heldOrder, 1)
			f.orders.mu.Lock()
			f.orders.arrived = arrived
			f.orders.mu.Unlock()
			f.publish("2", 0, `{"region": "prairie-west", "service": "shop-model", "demand": 200, "tokensPerSecond": {"standard": 100},
				"prices": [{"zone": "a", "machineClass": "standard", "price": 1}, {"zone": "b", "machineClass": "standard", "price": 1.01},
				{"zone": "c", "machineClass": "standard", "price": 1.02}]}`, "fleet", fleetRegion)

			held := <-arrived
			// The other orders must have their responses before the process is stopped.
			f.await("the other orders", func() bool { return len(f.orders.list()) == 2 })

			if err := f.entries[0].signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}

			if test.givenUp {
				f.cloud.SetFaults(standin.CloudFaults{RefuseZones: []apricotway.Zone{held.Zone}})
			}

			f.await("the end of the order under the next lease", func() bool {
				return strings.HasPrefix(string(f.fold().Lease().Holder), "node-1") && !f.open(held.ClientToken)
			})
			f.await("the fleet", f.settled)
			f.cloud.SetFaults(standin.CloudFaults{})

			before := f.host(held.ClientToken)
			if got, want := before != "", !test.givenUp; got != want {
				t.Errorf("got a host with the token of the held order %t before that order arrives, want %t", got, want)
			}

			close(held.deliver)
			<-held.delivered

			if got := f.lateStatus(held.ClientToken); got != test.late {
				t.Errorf("got status %d for the late order, want %d", got, test.late)
			}

			if test.late != http.StatusOK && f.host(held.ClientToken) != "" {
				t.Error("the late order was refused, but its host exists")
			}

			// If the order was given up, the next holder finds its host in the host list and releases it.
			f.await("the fleet after the late order", func() bool { return f.host(held.ClientToken) == before && f.settled() })
			f.wake()
			f.await("the fleet after the wake-up", func() bool { return f.host(held.ClientToken) == before && f.settled() })
		})
	}
}

// host returns the existing host that an order with the token has created, or "".
func (f *stoppedFleet) host(token string) apricotway.BackendServerID {
	for id, order := range f.cloud.Alive() {
		if order.ClientToken == token {
			return id
		}
	}

	return ""
}

// lateStatus returns the status of the response to the first process's order with the token, or 0.
func (f *stoppedFleet) lateStatus(token string) int {
	for _, sent := range f.orders.list() {
		if sent.process == 0 && sent.order.ClientToken == token {
			return sent.status
		}
	}

	return 0
}

// wake resumes the stopped process, waits until it has read the host list several times, and checks that it sent no order and
// that no host was released twice.
func (f *stoppedFleet) wake() {
	orders, reads := len(f.orders.list()), f.reads[0].Load()

	if err := f.entries[0].signal(syscall.SIGCONT); err != nil {
		f.t.Fatal(err)
	}

	f.await("the wake-up", func() bool { return f.reads[0].Load() >= reads+6 })

	released := map[string]int{}

	for i, sent := range f.orders.list() {
		if i >= orders && sent.process == 0 {
			f.t.Errorf("the resumed process has sent the order %+v", sent)
		}

		if sent.method == http.MethodDelete {
			released[sent.path]++
		}
	}

	for path, count := range released {
		if count > 1 {
			f.t.Errorf("%s was released %d times", path, count)
		}
	}
}
