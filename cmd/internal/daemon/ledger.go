package daemon

import (
	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/protocol/call"
)

// newLedger returns the component that executes calls with an idempotency key.
func (d *Daemon) newLedger(log apricotway.Log, services apricotway.ServiceClient) call.OnceRunner {
	shards := shard.New(d.supervisor, d.membership, log, call.NewSender(services, d.inventory),
		shard.WithLogger(d.logger), shard.WithWriter(d.writer),
		shard.WithContact(d.membership.LastContact))

	return call.NewLedger(shards, d.membership, d.peers, d.peerServer)
}
