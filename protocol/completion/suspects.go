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
	// quarantineDuration is the time for which a digest stays suspect or quarantined.
	quarantineDuration = 10 * time.Minute
	// trialTimeout bounds a trial, so that the engine doesn't stay reserved when the process that runs the trial dies.
	trialTimeout = 2 * time.Minute
	// trialMargin is the number of tokens that a suspect must generate past the position of the crash to be cleared.
	trialMargin = 8
	// trialShare limits the engines of a service that are reserved for trials at a time: one in trialShare, but at least one.
	trialShare = 4
	// shareTimeout bounds the direct calls that send a changed entry to the other processes.
	shareTimeout = 500 * time.Millisecond
	// shareConcurrency is the maximum number of these calls at a time.
	shareConcurrency = 16

	// methodQuarantine sends an entry directly to another process.
	methodQuarantine apricotway.Method = "quarantine"
)

// Suspects holds the digests of requests that may crash engines and shares them with the other processes. A changed entry is
// broadcast and also sent to each member directly, since a caller that retries at another process's address could be faster than
// the broadcast. Crashes are rare, so there are few such calls.
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

// WithSuspectsPeers exchanges entries with the members by direct calls.
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

// NewSuspects returns an empty set of suspects.
func NewSuspects(options ...SuspectsOption) *Suspects {
	s := &Suspects{set: quarantine.New(quarantineDuration), logger: logr.Discard()}
	for _, option := range options {
		option(s)
	}

	return s
}

// crashed records that an engine crashed while it ran a request with the digest, alone or with others, at the given token.
func (s *Suspects) crashed(
	ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID, position int, alone bool,
) {
	entry := s.set.Crashed(time.Now(), digest, position, alone)
	s.logger.Info("engine crashed while it ran a request", "event", 306, "server", server, "digest", digest,
		"state", entry.State)
	s.share(ctx, entry)
}

// begin reserves an engine for the trial of a digest. It returns false when a trial already holds the engine or the digest.
func (s *Suspects) begin(ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID) bool {
	now := time.Now()

	entry, ok := s.set.BeginTrial(now, digest, server, now.Add(trialTimeout))
	if ok {
		s.share(ctx, entry)
	}

	return ok
}

// end ends the trial of a digest, and clears the digest if the trial passed.
func (s *Suspects) end(ctx context.Context, digest quarantine.Digest, passed bool) {
	if entry, ok := s.set.EndTrial(time.Now(), digest, passed); ok {
		s.share(context.WithoutCancel(ctx), entry)
	}
}

// release gives up the reservation of an engine for a trial that has not started, unless the digest's trial is now on another
// engine.
func (s *Suspects) release(ctx context.Context, digest quarantine.Digest, server apricotway.BackendServerID) {
	if s.set.Entry(time.Now(), digest).Trial == server {
		s.end(ctx, digest, false)
	}
}

// share sends a changed entry to the other processes. It returns once all calls to them have ended or timed out.
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
