package shard_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/ledger"
)

// TestIntentOfLaterSchema guards against a second run of a call whose intent a newer build recorded in a schema that this one can't read.
func TestIntentOfLaterSchema(t *testing.T) {
	executions := 0
	send := func(context.Context, apricotway.Service, apricotway.ServiceCall) (apricotway.ServiceAnswer, error) {
		executions++
		return apricotway.ServiceAnswer{Status: http.StatusCreated}, nil
	}

	log := memorylog.New()
	supervisor := suture.NewSimple("process")
	manager := shard.New(supervisor, singleMember("n"), log, send, shard.WithShards(1))

	ctx, cancel := context.WithCancel(t.Context())
	done := supervisor.ServeBackground(ctx)

	call := func(key string) error {
		_, err := manager.Run(ctx, shard.Request{Key: ledger.Key{Workspace: "w", Key: key}, Service: "bookings"})
		return err
	}

	if err := call("before"); err != nil {
		t.Fatal(err)
	}

	later := apricotway.Record{SchemaVersion: 2, Kind: ledger.KindIntent, ID: "later", Payload: json.RawMessage(`{"keys": ["after"]}`)}
	if _, err := log.Append(ctx, "ledger-0", []apricotway.Record{later}); err != nil {
		t.Fatal(err)
	}

	var refusal *apricotway.Refusal
	if err := call("after"); !errors.As(err, &refusal) || refusal.Execution != apricotway.ExecutionUnknown {
		t.Errorf("got %v, want a refusal with unknown execution", err)
	}

	if got, want := executions, 1; got != want {
		t.Errorf("got %d executions, want %d", got, want)
	}

	if err := call("before"); err != nil {
		t.Errorf("repeat of a call with a known outcome: got %v, want its answer", err)
	}

	cancel()
	<-done //nolint:errcheck // The supervisor's error is that of the cancelled context.
}
