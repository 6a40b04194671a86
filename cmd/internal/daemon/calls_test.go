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

type alone struct{}

func (alone) Members() []apricotway.Member { return nil }
func (alone) Self() apricotway.Member      { return apricotway.Member{Node: "node"} }

type twoHosts struct{}

func (twoHosts) Hosts(context.Context) ([]apricotway.BackendServer, error) {
	return []apricotway.BackendServer{
		{ID: "ledger-1", Service: "ledger", State: apricotway.HostLive}, {ID: "ledger-2", Service: "ledger", State: apricotway.HostLive},
	}, nil
}

// countingService takes 100 ms for each call and counts the calls that run at a time on each server.
type countingService struct {
	mu      sync.Mutex
	running map[apricotway.BackendServerID]int
	most    int
	// ended holds the callers in the order of the calls' ends.
	ended []string
}

func (s *countingService) Call(
	_ context.Context, server apricotway.BackendServer, call apricotway.ServiceCall,
) (apricotway.ServiceAnswer, error) {
	s.mu.Lock()
	s.running[server.ID]++
	s.most = max(s.most, s.running[server.ID])
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

// TestCallsPerServer guards against plain services that receive more calls at a time than their operator allows, against a
// workspace that pushes others aside, and against calls that are refused with more certainty than there is.
func TestCallsPerServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		supervisor := suture.NewSimple("test")
		known := inventory.New(supervisor, twoHosts{})
		fold := foldOf(t, map[string]string{
			"ledger": `{"type": "plain", "callsPerServer": 2}`, "mill": `{"owner": "a", "weight": 3}`, "shop": `{"owner": "b", "weight": 1}`,
		})
		service := &countingService{running: map[apricotway.BackendServerID]int{}}
		calls := call.New(service, known, call.WithAdmission(newCallAdmission(supervisor, fold, known, alone{})))
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

		// All places are taken and calls wait, so that a call with little time is refused.
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

		if got, want := service.most, 2; got != want {
			t.Errorf("calls at a time on one server: got %d, want %d", got, want)
		}

		mill := 0

		for _, workspace := range service.ended[:40] {
			if workspace == "mill" {
				mill++
			}
		}

		// Of 40 calls three quarters belong to the mill; a round of 4 places may end in either order.
		if mill < 28 || mill > 32 {
			t.Errorf("calls of the mill among the first 40: got %d, want 30", mill)
		}

		cancel()
		<-done //nolint:errcheck // The end of a cancelled supervisor is no failure.
	})
}
