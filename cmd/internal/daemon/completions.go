package daemon

import (
	"context"
	"time"

	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/transport/engine"
)

// handOverLimit bounds the time in which a stopping process gives its unfinished requests to its peers.
const handOverLimit = 5 * time.Second

// newCompletions assembles the model requests of the process.
func (d *Daemon) newCompletions() *completion.Requests {
	suspects := completion.NewSuspects(
		completion.WithSuspectsLogger(d.logger),
		completion.WithSuspectsPeers(d.peers, d.peerServer, d.membership),
	)
	runner := completion.New(engine.New(), d.inventory,
		completion.WithLogger(d.logger), completion.WithSuspects(suspects))

	return completion.NewRequests(d.supervisor, runner,
		completion.WithRequestsLogger(d.logger),
		completion.WithCopies(d.peers, d.peerServer, d.membership),
	)
}

// handOver gives the requests that outlast the drain to the peers with their copies.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverLimit)
	defer cancel()

	if err := d.completions.HandOver(ctx); err != nil {
		d.logger.Info("request not handed over", "event", 105, "error", err.Error())
	}
}
