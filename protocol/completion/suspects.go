package completion

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/quarantine"
)

const (
	// quarantineTime is the time for which a digest stays suspect or quarantined.
	quarantineTime = 10 * time.Minute
	// trialLimit bounds a trial, so that the death of the process that runs it does not keep an engine for good.
	trialLimit = 2 * time.Minute
	// trialMargin is the number of tokens by which a suspect has to go past the position of the crash to be cleared.
	trialMargin = 8
	// trialShare is the part of a service's engines, one of so many, that are on trial at a time; at least one is.
	trialShare = 4
	// shareTimeout bounds the direct calls that tell other processes of a change.
	shareTimeout = 500 * time.Millisecond
	// shareConcurrency bounds these calls at a time.
	shareConcurrency = 16

	// methodQuarantine carries an entry directly to another process.
	methodQuarantine apricotway.Method = "quarantine"
)

// Suspects keeps the requests that may crash engines, in step with the other processes. A change is offered to the
// broadcast and also sent to each member directly: a caller that sends its request again at another address must not be
// faster than the broadcast. Crashes are rare, which keeps the direct calls few.
type Suspects struct {
	set        *quarantine.Set
	logger     logr.Logger
	broadcasts apricotway.Broadcasts
	peers      apricotway.Peers
	membership apricotway.Membership
}

// SuspectsOption changes the suspects under construction.
type SuspectsOption func(*Suspects)

// WithSuspectsLogger sets the logger.
func WithSuspectsLogger(logger logr.Logger) SuspectsOption {
	return func(s *Suspects) { s.logger = logger }
}

// WithBroadcasts exchanges entries over broadcasts.
func WithBroadcasts(broadcasts apricotway.Broadcasts) SuspectsOption {
	return func(s *Suspects) {
		s.broadcasts = broadcasts
		apricotway.SubscribeValue(broadcasts, apricotway.TopicQuarantine,
			func(_ string, _ uint64, entry quarantine.Entry) { s.set.Merge(time.Now(), entry) })
	}
}

// WithSuspectsPeers exchanges entries with the members directly.
func WithSuspectsPeers(
	peers apricotway.Peers, registry apricotway.PeerRegistry, membership apricotway.Membership,
) SuspectsOption {
	return func(s *Suspects) {
		s.peers, s.membership = peers, membership
		apricotway.HandlePeer(registry, methodQuarantine,
			func(_ context.Context, entry quarantine.Entry) (bool, error) {
				return s.set.Merge(time.Now(), entry), nil
			})
	}
}

// NewSuspects returns a set of suspects.
func NewSuspects(options ...SuspectsOption) *Suspects {
	s := &Suspects{set: quarantine.New(quarantineTime), logger: logr.Discard()}
	for _, option := range options {
		option(s)
	}

	return s
}

func (s *Suspects) crashed(
	ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID, position int, alone bool,
) {
	entry := s.set.Crashed(time.Now(), digest, position, alone)
	s.logger.Info("engine crashed under a request", "event", 306, "server", server, "digest", digest,
		"state", entry.State)
	s.share(ctx, entry)
}

func (s *Suspects) begin(ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID) bool {
	now := time.Now()

	entry, ok := s.set.Begin(now, digest, server, now.Add(trialLimit))
	if ok {
		s.share(ctx, entry)
	}

	return ok
}

func (s *Suspects) end(ctx context.Context, digest quarantine.Digest, innocent bool) {
	if entry, ok := s.set.End(time.Now(), digest, innocent); ok {
		s.share(context.WithoutCancel(ctx), entry)
	}
}

// release ends a trial that has not begun, unless another process has the digest on trial.
func (s *Suspects) release(ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID) {
	if s.set.Entry(time.Now(), digest).Trial == server {
		s.end(ctx, digest, false)
	}
}

// share tells the other processes of a change. It returns once those that answer know it.
func (s *Suspects) share(ctx context.Context, entry quarantine.Entry) {
	if s.broadcasts != nil {
		err := apricotway.PublishValue(s.broadcasts, apricotway.TopicQuarantine, string(entry.Digest), entry.Version,
			time.Until(entry.Until), entry)
		if err != nil {
			s.logger.V(1).Info("quarantine entry not published", "event", 309, "digest", entry.Digest, "error", err.Error())
		}
	}

	if s.peers == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()

	var calls sync.WaitGroup

	slots := make(chan struct{}, shareConcurrency)

	for _, member := range s.membership.Members() {
		if member.State == apricotway.MemberDead {
			continue
		}

		slots <- struct{}{}

		calls.Go(func() {
			defer func() { <-slots }()

			_, err := apricotway.CallPeer[bool](ctx, s.peers, member.Peers, methodQuarantine, entry)
			if err != nil {
				s.logger.V(1).Info("quarantine entry not delivered", "event", 307, "member", member.Node, "error", err.Error())
			}
		})
	}

	calls.Wait()
}
