package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

const (
	methodNews apricotway.Method = "news"

	// askPeriod is the time between two looks whether other processes have to be asked.
	askPeriod = 250 * time.Millisecond
	// askTime bounds one question.
	askTime = 400 * time.Millisecond
	// askAtOnce bounds the processes that are asked one after the other.
	askAtOnce = 4
)

// ErrNoNews reports that no process that was asked reads the store.
var ErrNoNews = errors.New("no other process knows the store's state")

// Question asks another process for what it knows of the store.
type Question struct {
	// Known is the place up to which the process has the other one's changes of the list.
	Known Position
	// Version is that of the newest configuration that the process has.
	Version uint64
}

// Reply is what the other process knows.
type Reply struct {
	News News
	// Deployment is the newest configuration as JSON when it is newer than that of the question, and else empty.
	Deployment []byte
}

// neighbours are the other processes, which a process asks while the store does not answer it.
type neighbours struct {
	peers      apricotway.Peers
	membership apricotway.Membership
	// last is the process that answered last; it belongs to the goroutine that asks.
	last apricotway.NodeID
}

// WithNeighbours makes the process ask others while the store does not answer it, and answer them.
func WithNeighbours(
	peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership,
) Option {
	return func(c *Catalog) {
		c.neighbours = &neighbours{peers: peers, membership: membership}

		apricotway.HandlePeer(registry, methodNews, func(_ context.Context, question Question) (Reply, error) {
			return c.reply(question)
		})
	}
}

// reply answers another process.
func (c *Catalog) reply(question Question) (Reply, error) {
	reply := Reply{News: c.News(c.neighbours.membership.Self().Node, question.Known)}

	deployment := c.newest.Load()
	if !reply.News.Fresh || deployment == nil || deployment.Version <= question.Version {
		return reply, nil
	}

	content, err := json.Marshal(deployment)
	if err != nil {
		return Reply{}, errors.Wrap(err, "encode configuration")
	}

	reply.Deployment = content

	return reply, nil
}

// lacks tells whether the process needs what the store does not give it: the list, or a configuration that is known to be the
// newest one.
func (c *Catalog) lacks() bool {
	if c.listLost.Load() && !c.informed() {
		return true
	}

	table := c.table.Load()

	return c.configLost.Load() &&
		(table == nil || table.Version < c.heard.Load() || c.boot()-time.Duration(c.proof.Load()) > oldestProof)
}

// ask asks other processes for as long as the store leaves this one without news.
func (c *Catalog) ask(ctx context.Context, _ time.Time) {
	if !c.lacks() {
		return
	}

	if err := c.askAny(ctx); err != nil {
		c.logger.V(1).Info("no news from other processes", "event", 279, "error", err.Error())
	}
}

func (c *Catalog) askAny(ctx context.Context) error {
	members := c.neighbours.membership.Members()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })

	// The one that answered last comes first.
	for i, member := range members {
		if member.Node == c.neighbours.last {
			members[0], members[i] = members[i], members[0]
		}
	}

	asked := 0

	for _, member := range members {
		if member.State != apricotway.MemberAlive || asked == askAtOnce {
			continue
		}

		asked++

		news, err := c.askOne(ctx, member)
		if err != nil {
			c.logger.V(1).Info("question for news failed", "event", 280, "member", member.Node, "error", err.Error())
			continue
		}

		if news {
			c.neighbours.last = member.Node
			return nil
		}
	}

	return ErrNoNews
}

// askOne asks one process, and tells whether it had news.
func (c *Catalog) askOne(ctx context.Context, member apricotway.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	question := Question{Known: c.Position()}
	if table := c.table.Load(); table != nil {
		question.Version = table.Version
	}

	sent := c.boot()

	reply, err := apricotway.CallPeer[Reply](ctx, c.neighbours.peers, member.Peers, methodNews, question)
	if err != nil || !reply.News.Fresh {
		return false, err
	}

	if len(reply.Deployment) > 0 {
		deployment := &apricotway.Deployment{}
		if err := json.Unmarshal(reply.Deployment, deployment); err != nil {
			return false, errors.Wrap(err, "decode configuration")
		}

		c.apply(deployment)
	}

	c.Take(sent, reply.News)

	return true, nil
}
