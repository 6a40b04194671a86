package shard_test

import (
	"context"
	"fmt"
	"net/http"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/ledger"
)

// singleMember is the membership of a process that knows no other.
type singleMember apricotway.NodeID

func (a singleMember) Members() []apricotway.Member { return nil }
func (a singleMember) Self() apricotway.Member      { return apricotway.Member{Node: apricotway.NodeID(a)} }

// A call with an idempotency key runs once. After the owner of the shard has stopped, its successor answers a repeat with the
// recorded outcome.
func Example() {
	executions := 0
	send := func(context.Context, apricotway.Service, apricotway.ServiceCall) (apricotway.ServiceAnswer, error) {
		executions++
		return apricotway.ServiceAnswer{Status: http.StatusCreated, Body: fmt.Appendf(nil, "booking %d", executions)}, nil
	}

	log := memorylog.New()
	request := shard.Request{
		Key:     ledger.Key{Workspace: "mill-1", Key: "order 77"},
		Service: "bookings",
		Call:    apricotway.ServiceCall{Method: http.MethodPost, Path: "/bookings", Body: []byte("lot 7")},
	}

	for _, node := range []singleMember{"first", "successor"} {
		ctx, cancel := context.WithCancel(context.Background())
		supervisor := suture.NewSimple(string(node))
		manager := shard.New(supervisor, node, log, send)
		done := supervisor.ServeBackground(ctx)

		answer, err := manager.Run(ctx, request)
		fmt.Println(node, answer.Status, string(answer.Body), err)

		cancel()
		<-done //nolint:errcheck // The supervisor's error is that of the cancelled context.
	}

	fmt.Println("executions:", executions)
	// Output:
	// first 201 booking 1 <nil>
	// successor 201 booking 1 <nil>
	// executions: 1
}
