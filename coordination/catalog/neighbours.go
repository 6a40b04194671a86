package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/changeset"
)

const (
	methodNews apricotway.Method = "news"

	// queryCheckPeriod is the time between two checks whether other processes have to be asked for news.
	queryCheckPeriod = 250 * time.Millisecond
	// queryTimeout bounds one request for news.
	queryTimeout = 400 * time.Millisecond
	// maxQueries bounds the processes that one check asks, one after the other.
	maxQueries = 4
)

// ErrNoNews reports that none of the processes that were asked can read the store.
var ErrNoNews = errors.New("no other process knows the store's state")

// NewsRequest asks another process for what it read from the store.
type NewsRequest struct {
	// Known is the position up to which the requesting process has the other one's changes of the list.
	Known Position
	// Version is the version of the newest configuration that the requesting process has, 0 without one.
	Version uint64
	// Fetches is set when the requesting process fetches configurations. A release that doesn't set it expects them in the answer.
	Fetches bool
}

// NewsReply is the answer to a NewsRequest.
type NewsReply struct {
	News News
	// Deployment is the newest configuration as JSON, if it is newer than the requesting process's and that doesn't fetch it; otherwise it
	// is empty.
	Deployment []byte
}

// peerQueries sends requests for news to other processes while this process cannot read the store.
type peerQueries struct {
	peers      apricotway.Peers
	membership apricotway.Membership
	// last is the process that answered last; only the querying goroutine uses it.
	last apricotway.NodeID
}

// WithPeerNews makes the process ask other processes for news while it cannot read the store, and answer their requests.
func WithPeerNews(
	peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership,
) Option {
	return func(c *Catalog) {
		c.queries = &peerQueries{peers: peers, membership: membership}

		apricotway.HandlePeer(registry, methodNews, func(_ context.Context, request NewsRequest) (NewsReply, error) {
			return c.reply(request)
		})

		apricotway.HandlePeer(registry, methodConfiguration, func(_ context.Context, request ConfigurationRequest) (ConfigurationPart, error) {
			return c.part(request)
		})
	}
}

// reply answers another process's request.
func (c *Catalog) reply(request NewsRequest) (NewsReply, error) {
	reply := NewsReply{News: c.News(c.queries.membership.Self().Node, request.Known)}

	if !reply.News.Fresh || request.Fetches || reply.News.Version <= request.Version {
		return reply, nil
	}

	c.applying.Lock()
	document := c.history.Newest()
	c.applying.Unlock()

	content, err := json.Marshal(document.Deployment)
	if err != nil {
		return NewsReply{}, errors.Wrap(err, "encode configuration")
	}

	reply.Deployment = content

	return reply, nil
}

// needsNews reports whether the store fails to give this process what it needs: the list, or a recent proof of the newest
// configuration.
func (c *Catalog) needsNews() bool {
	if c.listFailing.Load() && !c.hasFreshNews() {
		return true
	}

	return c.configFailing.Load() && (c.table.Load() == nil || c.boot()-time.Duration(c.provenAt.Load()) > maxProofAge)
}

// queryIfNeeded asks other processes for news if this process needs them.
func (c *Catalog) queryIfNeeded(ctx context.Context, _ time.Time) {
	if !c.needsNews() {
		return
	}

	if err := c.queryAny(ctx); err != nil {
		c.logger.V(1).Info("failed to get news of the store from other processes", "event", 279, "error", err.Error())
	}
}

// alive returns the other live processes in random order.
func (q *peerQueries) alive() []apricotway.Member {
	members := slices.DeleteFunc(q.membership.Members(), func(m apricotway.Member) bool { return m.State != apricotway.MemberAlive })
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })

	return members
}

// queryAny asks random live processes until one has news.
func (c *Catalog) queryAny(ctx context.Context) error {
	members := c.queries.alive()

	// Try the process that answered last first.
	for i, member := range members {
		if member.Node == c.queries.last {
			members[0], members[i] = members[i], members[0]
		}
	}

	for _, member := range members[:min(len(members), maxQueries)] {
		news, err := c.queryOne(ctx, member)
		if err != nil {
			c.logger.V(1).Info("failed to ask a process for news of the store", "event", 280, "member", member.Node, "error", err.Error())
			continue
		}

		if news {
			c.queries.last = member.Node
			return nil
		}
	}

	return ErrNoNews
}

// queryOne asks one process, applies its news, and reports whether it had any.
func (c *Catalog) queryOne(ctx context.Context, member apricotway.Member) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	request := NewsRequest{Known: c.Position(), Version: c.inForce(), Fetches: true}
	sent := c.boot()

	reply, err := apricotway.CallPeer[NewsReply](limited, c.queries.peers, member.Peers, methodNews, request)
	if err != nil {
		return false, err
	}

	// The list of backend servers doesn't wait for the configuration.
	c.ApplyNews(sent, reply.News)

	if err := c.obtain(ctx, member, reply); err != nil {
		c.noteAttempt(err)
		return false, err
	}

	if !reply.News.Fresh {
		return false, nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.applyProof(sent, reply.News)

	return true, nil
}

// obtain puts the configuration that a reply names in force.
func (c *Catalog) obtain(ctx context.Context, member apricotway.Member, reply NewsReply) error {
	if len(reply.Deployment) > 0 {
		deployment := &apricotway.Deployment{}
		if err := json.Unmarshal(reply.Deployment, deployment); err != nil {
			return errors.Wrap(err, "decode configuration")
		}

		document, err := changeset.New(deployment, apricotway.StorePosition{})
		if err != nil {
			return err
		}

		return c.adopt(document)
	}

	if err := c.advance(reply.News.Configuration); err == nil && c.inForce() >= reply.News.Version {
		return nil
	}

	return c.fetch(ctx, member)
}
