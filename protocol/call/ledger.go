package call

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/coordination/shard"
	"github.com/apricotway/apricotway/internal/guard"
	"github.com/apricotway/apricotway/internal/retryafter"
	"github.com/apricotway/apricotway/state/ledger"
	"github.com/apricotway/apricotway/state/routing"
)

// methodCallOnce asks the owner of a shard to run a call with an idempotency key.
const methodCallOnce apricotway.Method = "callOnce"

// maxHops bounds the processes that one call is sent to in search of the shard's owner: the candidate by hashing, the owner that
// the candidate names, and one more in case the ownership changes meanwhile.
const maxHops = 3

// onceMessage is the message of methodCallOnce. It has no deadline, since the transport sends the context's deadline.
type onceMessage struct {
	Workspace apricotway.Workspace
	Key       string
	KeyTime   time.Time
	Service   apricotway.Service
	Call      apricotway.ServiceCall
}

// onceAnswer is the answer to methodCallOnce.
type onceAnswer struct {
	Answer apricotway.ServiceAnswer
	// NotOwner is set when the process doesn't own the shard and has not run the call. Owner is the process to ask instead.
	NotOwner bool
	Owner    apricotway.NodeID
}

// Ledger implements Once: it forwards each call to the owner of the ledger shard of its key.
type Ledger struct {
	shards     *shard.Manager
	membership apricotway.Membership
	peers      apricotway.Peers
}

var _ OnceRunner = (*Ledger)(nil)

// NewLedger returns a ledger and registers its handler for calls that other processes forward.
func NewLedger(
	shards *shard.Manager, membership apricotway.Membership, peers apricotway.Peers, registry apricotway.PeerRegistry,
) *Ledger {
	l := &Ledger{shards: shards, membership: membership, peers: peers}
	apricotway.HandlePeer(registry, methodCallOnce, l.runHere)

	return l
}

// Run implements Once.
func (l *Ledger) Run(ctx context.Context, request Request) (apricotway.ServiceAnswer, error) {
	message := onceMessage{
		Workspace: request.Workspace, Key: request.Key, KeyTime: request.KeyTime,
		Service: request.Service, Call: request.Call,
	}
	message.Call.Once = true

	owner := l.shards.Candidate(ledger.Key{Workspace: request.Workspace, Key: request.Key})

	for range maxHops {
		answer, err := l.callOwner(ctx, owner, message)
		if err != nil || !answer.NotOwner {
			return answer.Answer, err
		}

		owner = answer.Owner
	}

	return apricotway.ServiceAnswer{}, shard.UncertainRefusal("the shard changes hands")
}

func (l *Ledger) callOwner(ctx context.Context, owner apricotway.NodeID, message onceMessage) (onceAnswer, error) {
	if owner == l.membership.Self().Node {
		return l.runUntilStop(ctx, message)
	}

	address, ok := l.address(owner)
	if !ok {
		return onceAnswer{}, shard.UncertainRefusal("the shard's owner is not known here")
	}

	answer, err := apricotway.CallPeer[onceAnswer](ctx, l.peers, address, methodCallOnce, message)
	if err == nil {
		return answer, nil
	}

	var refusal *apricotway.Refusal

	switch {
	case errors.As(err, &refusal):
		return onceAnswer{}, refusal
	case errors.Is(err, apricotway.ErrNotSent):
		return onceAnswer{}, shard.UncertainRefusal("the shard's owner cannot be reached")
	default:
		return onceAnswer{}, &apricotway.Refusal{
			Code:      apricotway.CodeOutcomeUnknown,
			Execution: apricotway.ExecutionUnknown,
			Message:   "the owner of the ledger shard did not answer; a repeat with the same key gets the outcome",
			// A retry with the same key is safe and gets the outcome once another process owns the shard.
			RetryAfter: retryAfter,
		}
	}
}

// runUntilStop runs the call as runHere does. It returns when the context ends because the process stops, although the call goes on
// until its outcome is recorded.
func (l *Ledger) runUntilStop(ctx context.Context, message onceMessage) (onceAnswer, error) {
	ended := make(chan struct{})

	var (
		result onceAnswer
		failed error
	)

	go func() {
		defer close(ended)

		failed = guard.Call(func() (err error) {
			result, err = l.runHere(ctx, message)
			return err
		})
	}()

	stop := ctx.Done()

	for {
		select {
		case <-ended:
			return result, failed
		case <-stop:
			if errors.Is(context.Cause(ctx), apricotway.ErrStopping) {
				return onceAnswer{}, &apricotway.Refusal{
					Code: apricotway.CodeOutcomeUnknown, Execution: apricotway.ExecutionUnknown, RetryAfter: retryAfter,
					Message: "the process stopped before the call had ended; a repeat with the same key gets the outcome",
				}
			}

			stop = nil
		}
	}
}

// runHere runs the call if this process owns the shard, and otherwise returns the owner.
func (l *Ledger) runHere(ctx context.Context, message onceMessage) (onceAnswer, error) {
	answer, err := l.shards.Run(ctx, shard.Request{
		Key:     ledger.Key{Workspace: message.Workspace, Key: message.Key},
		KeyTime: message.KeyTime,
		Service: message.Service,
		Call:    message.Call,
	})

	var notOwner *shard.NotOwnerError
	if errors.As(err, &notOwner) {
		return onceAnswer{NotOwner: true, Owner: notOwner.Owner}, nil
	}

	return onceAnswer{Answer: answer}, err
}

func (l *Ledger) address(node apricotway.NodeID) (netip.AddrPort, bool) {
	for _, member := range l.membership.Members() {
		if member.Node == node {
			return member.Peers, member.Peers.IsValid()
		}
	}

	return netip.AddrPort{}, false
}

// NewSender returns a function that sends calls which run at most once. It tries another backend server only when no byte of the
// call was sent.
func NewSender(services apricotway.ServiceClient, inventory *inventory.Inventory) shard.Sender {
	policy := routing.NewLeastInFlight()

	return func(
		ctx context.Context, service apricotway.Service, call apricotway.ServiceCall,
	) (apricotway.ServiceAnswer, error) {
		call.Once = true

		var excluded []apricotway.BackendServerID

		last := errors.Wrap(apricotway.ErrNotSent, "no backend server can take the call at present")

		for range maxAttempts {
			candidates := inventory.Usable(service)

			index := policy.Acquire(candidates, excluded)
			if index < 0 {
				break
			}

			answer, err := services.Call(ctx, candidates[index], call)
			policy.Release(candidates[index].ID)
			inventory.RecordPause(candidates[index].ID, time.Now(), retryafter.Read(answer.Status, answer.Header))

			if err == nil || ctx.Err() != nil || !errors.Is(err, apricotway.ErrNotSent) {
				return answer, err
			}

			last = err
			excluded = append(excluded, candidates[index].ID)

			inventory.MarkLost(candidates[index].ID, time.Now())
		}

		return apricotway.ServiceAnswer{}, last
	}
}
