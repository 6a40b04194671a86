package shard_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

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

// TestUnknownResult guards against answering a repeat as if its call had completed, when a newer build recorded a result that this one does not
// know.
func TestUnknownResult(t *testing.T) {
	log := memorylog.New()
	key := ledger.Key{Workspace: "w", Key: "key"}

	claim, err := ledger.NewRecord(ledger.KindClaim, 0, ledger.Claim{Owner: "newer"})
	if err != nil {
		t.Fatal(err)
	}

	call := apricotway.ServiceCall{Method: http.MethodPost, Path: "/"}

	digest, err := ledger.Digest("bookings", call)
	if err != nil {
		t.Fatal(err)
	}

	intent, err := ledger.NewRecord(ledger.KindIntent, 1, ledger.Intent{Key: key, Digest: digest, At: time.Now()})
	if err != nil {
		t.Fatal(err)
	}

	outcome, err := ledger.NewRecord(ledger.KindOutcome, 0, ledger.Outcome{Intent: intent.ID, Key: key, At: time.Now(), Result: "partly"})
	if err != nil {
		t.Fatal(err)
	}

	if _, err := log.Append(t.Context(), "ledger-0", []apricotway.Record{claim, intent, outcome}); err != nil {
		t.Fatal(err)
	}

	supervisor := suture.NewSimple("process")
	manager := shard.New(supervisor, singleMember("n"), log, nil, shard.WithShards(1))

	ctx, cancel := context.WithCancel(t.Context())
	done := supervisor.ServeBackground(ctx)

	answer, err := manager.Run(ctx, shard.Request{Key: key, Service: "bookings", Call: call})

	var refusal *apricotway.Refusal
	if !errors.As(err, &refusal) || refusal.Execution != apricotway.ExecutionUnknown {
		t.Errorf("got %+v, %v, want a refusal with unknown execution", answer, err)
	}

	cancel()
	<-done //nolint:errcheck // The supervisor's error is that of the cancelled context.
}
