package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/internal/bubble"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/state/config"
)

type singleMember struct{}

func (singleMember) Members() []apricotway.Member { return nil }
func (singleMember) Self() apricotway.Member      { return apricotway.Member{Node: "node"} }

type twoHosts struct{}

func (twoHosts) Hosts(context.Context) ([]apricotway.BackendServer, error) {
	return []apricotway.BackendServer{
		{ID: "ledger-1", Service: "ledger", State: apricotway.HostLive}, {ID: "ledger-2", Service: "ledger", State: apricotway.HostLive},
	}, nil
}

// countingService takes 100 ms for each call and records the highest number of concurrent calls on one server.
type countingService struct {
	mu         sync.Mutex
	running    map[apricotway.BackendServerID]int
	maxRunning int
	// ended lists the paths of the calls, which name their workspaces, in the order of completion.
	ended []string
}

func (s *countingService) Call(
	_ context.Context, server apricotway.BackendServer, call apricotway.ServiceCall,
) (apricotway.ServiceAnswer, error) {
	s.mu.Lock()
	s.running[server.ID]++
	s.maxRunning = max(s.maxRunning, s.running[server.ID])
	s.mu.Unlock()

	<-time.After(100 * time.Millisecond)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.running[server.ID]--
	s.ended = append(s.ended, call.Path)

	return apricotway.ServiceAnswer{Status: http.StatusOK}, nil
}

func foldOf(t *testing.T, records map[string]string) *config.Fold {
	t.Helper()

	fold, offset := config.New(), apricotway.Offset(0)

	for name, spec := range records {
		kind := config.KindWorkspace
		if name == "ledger" {
			kind = config.KindService
		}

		payload, err := json.Marshal(config.Change{Object: name, Spec: json.RawMessage(spec)})
		if err != nil {
			t.Fatal(err)
		}

		offset++
		if got, want := fold.Apply(apricotway.StoredRecord{Offset: offset, Record: apricotway.Record{
			SchemaVersion: 1, Kind: string(kind), ID: name, Payload: payload,
		}}), config.VerdictAccepted; got != want {
			t.Fatalf("%s: got %s, want %s", name, got, want)
		}
	}

	return fold
}

// TestCallsPerServer guards against a plain service that gets more concurrent calls than configured, a workspace that gets more
// than its weighted share, and a refused call with an idempotency key that is reported as not started although its earlier
// attempt may have run.
func TestCallsPerServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		supervisor := suture.NewSimple("test")
		known := inventory.New(supervisor, twoHosts{})
		fold := foldOf(t, map[string]string{
			"ledger": `{"type": "plain", "callsPerServer": 2}`, "mill": `{"owner": "a", "weight": 3}`, "shop": `{"owner": "b", "weight": 1}`,
		})
		service := &countingService{running: map[apricotway.BackendServerID]int{}}
		calls := call.New(service, known, call.WithAdmission(newCallAdmission(supervisor, fold, known, singleMember{})))
		done := supervisor.ServeBackground(ctx)

		synctest.Wait()

		run := func(i int, workspace, key string, timeout time.Duration) error {
			_, err := calls.Run(ctx, call.Request{
				ID: apricotway.RequestID(fmt.Sprintf("%s-%d", workspace, i)), Workspace: apricotway.Workspace(workspace),
				Service: "ledger", Key: key, Deadline: time.Now().Add(timeout),
				Call: apricotway.ServiceCall{Method: http.MethodGet, Path: workspace},
			})

			return err
		}

		var group sync.WaitGroup

		for i := range 40 {
			for _, workspace := range []string{"mill", "shop"} {
				group.Go(func() {
					if err := run(i, workspace, "", time.Minute); err != nil {
						t.Error(err)
					}
				})
			}
		}

		// All slots are taken and calls wait, so a call with a short deadline is refused.
		synctest.Wait()

		for key, want := range map[string]apricotway.Execution{
			"": apricotway.ExecutionNotStarted, "order 77": apricotway.ExecutionUnknown,
		} {
			var refusal *apricotway.Refusal
			if err := run(100, "shop", key, 50*time.Millisecond); !errors.As(err, &refusal) || refusal.Execution != want {
				t.Errorf("key %q: got %v, want a refusal with the execution %s", key, err, want)
			}
		}

		group.Wait()

		if got, want := service.maxRunning, 2; got != want {
			t.Errorf("concurrent calls on one server: got %d, want %d", got, want)
		}

		mill := 0

		for _, workspace := range service.ended[:40] {
			if workspace == "mill" {
				mill++
			}
		}

		// The weights give the mill three quarters of 40 calls; the 4 concurrent calls of a round may end in any order.
		if mill < 28 || mill > 32 {
			t.Errorf("calls of workspace mill among the first 40: got %d, want 28 to 32", mill)
		}

		cancel()
		<-done //nolint:errcheck // the context's error
	})
}
