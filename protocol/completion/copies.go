package completion

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotway/apricotway"
)

// The methods of the calls between processes.
const (
	methodCopyRequest  apricotway.Method = "copyRequest"
	methodCopyProgress apricotway.Method = "copyProgress"
	methodDropCopy     apricotway.Method = "dropCopy"
	methodTakeOver     apricotway.Method = "takeOver"
)

const (
	// maxCopyAttempts is the number of members that are asked to hold a copy before the answer begins without one.
	maxCopyAttempts = 2
	// dropDelay is the time for which the copy of a complete answer is kept after its last token was written to the caller's
	// connection. Until then the token may still be in this process's buffers, which are lost when the process is killed.
	dropDelay = 5 * time.Second
	// copyRetryDelay is the time until the next try when no member took the copy.
	copyRetryDelay = time.Second
	// searchWidth is the number of members that are asked for a copy concurrently, searchLimit the number asked in total.
	searchWidth = 4
	searchLimit = 16
)

// requestCopy is a request with the part of its answer that was generated so far.
type requestCopy struct {
	Request Request
	// Remaining is the time until the request's deadline. A duration, unlike a time, doesn't depend on synchronised clocks.
	Remaining time.Duration
	// Origin is the process that runs the request.
	Origin      apricotway.NodeID
	OriginPeers netip.AddrPort
	// Term counts the takeovers of the request. Of two processes that run or copy it, the one with the higher term is valid, and
	// with equal terms the one with the higher node ID.
	Term   uint64
	Tokens []string
	// Finish is set when Tokens is the complete answer.
	Finish  apricotway.FinishReason
	Version apricotway.ModelVersion
	// Software is the software version of the engines that generated Tokens.
	Software apricotway.SoftwareVersion
}

// replica is a copy that this process holds for the process that runs the request.
type replica struct {
	requestCopy

	expires time.Time
}

// copyAnswer is the answer to methodCopyRequest.
type copyAnswer struct {
	// Taken is set when another process has taken over the request, so that the sender must stop running it.
	Taken bool
}

// progressEntry holds the new tokens of one request.
type progressEntry struct {
	ID   apricotway.RequestID
	Term uint64
	// From is the index of the first token.
	From    int
	Tokens  []string
	Finish  apricotway.FinishReason
	Version apricotway.ModelVersion
	// Software is the software version of the engines that generated Tokens.
	Software apricotway.SoftwareVersion
}

// progressMessage is the message of methodCopyProgress.
type progressMessage struct {
	Origin  apricotway.NodeID
	Entries []progressEntry
}

// progressAnswer is the answer to methodCopyProgress.
type progressAnswer struct {
	// Missing are the requests of which the peer has no copy that the entry continues.
	Missing []apricotway.RequestID
	// Taken are the requests that another process has taken over, so that the sender must stop running them.
	Taken []apricotway.RequestID
}

// dropMessage is the message of methodDropCopy.
type dropMessage struct {
	Origin apricotway.NodeID
	IDs    []apricotway.RequestID
}

// takeOverMessage is the message of methodTakeOver.
type takeOverMessage struct {
	ID        apricotway.RequestID
	Workspace apricotway.Workspace
	// By is the process that takes over the request.
	By      apricotway.NodeID
	ByPeers netip.AddrPort
	// Start asks the receiver itself to take over the request, since the sender is leaving.
	Start bool
}

// takeOverAnswer is the answer to methodTakeOver.
type takeOverAnswer struct {
	Found bool
	// Live is set when the answer comes from the process that ran the request, and not from a copy.
	Live    bool
	Copy    requestCopy
	Refusal *apricotway.Refusal
}

// registerHandlers registers the handlers for the calls of other processes.
func (s *Requests) registerHandlers(registry apricotway.PeerRegistry) {
	apricotway.HandlePeer(registry, methodCopyRequest, s.handleCopy)
	apricotway.HandlePeer(registry, methodCopyProgress, s.handleProgress)
	apricotway.HandlePeer(registry, methodDropCopy, s.handleDrop)
	apricotway.HandlePeer(registry, methodTakeOver, s.handleTakeOver)
}

func (s *Requests) handleCopy(_ context.Context, message requestCopy) (copyAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.owns(message.Request.ID, message.Term, message.Origin) {
		return copyAnswer{Taken: true}, nil
	}

	held, ok := s.copies[message.Request.ID]
	if ok && newer(held.Term, held.Origin, message.Term, message.Origin) {
		return copyAnswer{Taken: true}, nil
	}

	message.Request.Deadline = time.Now().Add(message.Remaining)
	s.copies[message.Request.ID] = &replica{message, message.Request.Deadline.Add(s.times.Retention)}

	return copyAnswer{}, nil
}

// newer reports whether the first of two processes, rather than the second, is the valid one to run a request: see
// requestCopy.Term.
func newer(term uint64, origin apricotway.NodeID, otherTerm uint64, otherOrigin apricotway.NodeID) bool {
	if term != otherTerm {
		return term > otherTerm
	}

	return origin > otherOrigin
}

// owns reports whether this process runs or ran the request itself and has not been replaced by the given process. If it has been
// replaced, it ends its own run. The caller holds the lock.
func (s *Requests) owns(id apricotway.RequestID, term uint64, origin apricotway.NodeID) bool {
	a, ok := s.live[id]
	if !ok || !s.ran(id) {
		return false
	}

	if newer(term, origin, a.term, s.self().Node) {
		a.move()
		return false
	}

	return true
}

// ran reports whether this process runs or ran the request itself and no other process has taken it over. The caller holds the
// lock.
func (s *Requests) ran(id apricotway.RequestID) bool {
	a, ok := s.live[id]
	if !ok {
		return false
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	return !a.moved
}

func (s *Requests) handleProgress(_ context.Context, message progressMessage) (progressAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var answer progressAnswer

	for _, entry := range message.Entries {
		held, ok := s.copies[entry.ID]

		switch {
		case !ok && s.owns(entry.ID, entry.Term, message.Origin),
			ok && newer(held.Term, held.Origin, entry.Term, message.Origin):
			answer.Taken = append(answer.Taken, entry.ID)
		case !ok || held.Origin != message.Origin || entry.From < 0 || entry.From > len(held.Tokens):
			answer.Missing = append(answer.Missing, entry.ID)
		default:
			if entry.From < len(held.Tokens) {
				// A takeover may be encoding the old slice concurrently.
				held.Tokens = slices.Clone(held.Tokens[:entry.From])
			}

			held.Tokens = append(held.Tokens, entry.Tokens...)
			held.Finish, held.Version, held.Software, held.Term = entry.Finish, entry.Version, entry.Software, entry.Term
		}
	}

	return answer, nil
}

func (s *Requests) handleDrop(_ context.Context, message dropMessage) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, id := range message.IDs {
		if held, ok := s.copies[id]; ok && held.Origin == message.Origin {
			delete(s.copies, id)
		}
	}

	return true, nil
}

// copyLocked returns a copy of the request and its tokens. The caller holds the answer's lock.
func (a *Answer) copyLocked() requestCopy {
	self := a.requests.self()

	return requestCopy{
		Request: a.request, Remaining: time.Until(a.request.Deadline), Origin: self.Node, OriginPeers: self.Peers,
		Term:   a.term,
		Tokens: a.tokens.textsFrom(0), Finish: a.tokens.finish, Version: a.lineage.Model, Software: a.lineage.Software,
	}
}

// self returns this process as a member; the zero member in a process without others.
func (s *Requests) self() apricotway.Member {
	if s.membership == nil {
		return apricotway.Member{}
	}

	return s.membership.Self()
}

// others returns the other members that are not dead, ordered by rendezvous hashing of the request's id, so that every process
// first looks for a copy where it is most likely to be.
func (s *Requests) others(id apricotway.RequestID) []apricotway.Member {
	if s.peers == nil {
		return nil
	}

	self := s.membership.Self()
	members := slices.DeleteFunc(slices.Clone(s.membership.Members()), func(m apricotway.Member) bool {
		return m.State == apricotway.MemberDead || m.Peers == self.Peers
	})

	score := func(m apricotway.Member) uint64 { return xxhash.Sum64String(string(id) + "@" + m.Peers.String()) }
	slices.SortStableFunc(members, func(a, b apricotway.Member) int { return cmp.Compare(score(b), score(a)) })

	return members
}

// copyToPeer copies the request to the first member that accepts the copy. Members in other zones are tried before those in the own
// zone.
func (s *Requests) copyToPeer(a *Answer) {
	self := s.self()

	members := slices.DeleteFunc(s.others(a.request.ID), func(m apricotway.Member) bool {
		return m.State == apricotway.MemberLeaving
	})
	slices.SortStableFunc(members, func(a, b apricotway.Member) int {
		return compareBool(a.Zone == self.Zone, b.Zone == self.Zone)
	})

	tries := 0

	for _, member := range members {
		a.mu.Lock()
		skip := slices.Contains(a.failed, member.Node)
		message := a.copyLocked()
		a.mu.Unlock()

		if skip {
			continue
		}

		ctx, cancel := context.WithTimeout(s.base, s.times.Copy)
		answer, err := apricotway.CallPeer[copyAnswer](ctx, s.peers, member.Peers, methodCopyRequest, message)

		cancel()

		if err == nil {
			if answer.Taken {
				a.move()
				return
			}

			a.mu.Lock()
			a.holder, a.copiedTokens = member, len(message.Tokens)
			a.mu.Unlock()

			s.logger.V(1).Info("request copied", "event", 323, "request", a.request.ID, "member", member.Node)

			return
		}

		s.logger.Info("copying a request to another process failed", "event", 314, "request", a.request.ID, "member", member.Node,
			"error", err.Error())

		a.mu.Lock()
		a.failed = append(a.failed, member.Node)
		a.mu.Unlock()

		if tries++; tries == maxCopyAttempts {
			return
		}
	}

	a.mu.Lock()
	a.failed, a.nextCopy = nil, time.Now().Add(copyRetryDelay)
	a.mu.Unlock()
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// flushInBackground starts a flush unless one is running.
func (s *Requests) flushInBackground(ctx context.Context) {
	if s.peers == nil {
		return
	}

	s.mu.Lock()
	busy := s.flushing
	s.flushing = true
	s.mu.Unlock()

	if busy {
		return
	}

	go func() {
		s.flush(ctx)

		s.mu.Lock()
		s.flushing = false
		s.mu.Unlock()
	}()
}

// batch is the progress and the drops that are sent to one peer together.
type batch struct {
	holder   apricotway.Member
	progress progressMessage
	drop     dropMessage
	answers  map[apricotway.RequestID]*Answer
}

// flush sends each peer the progress of the requests whose copies it holds and the drops of copies that are no longer needed, and
// copies the requests that have no copy.
func (s *Requests) flush(ctx context.Context) {
	var calls sync.WaitGroup

	batches, uncopied := s.collectBatches(time.Now())

	for _, a := range uncopied {
		calls.Go(func() { s.copyToPeer(a) }) //nolint:contextcheck // the request outlives this call
	}

	for _, b := range batches {
		calls.Go(func() { s.sendBatch(ctx, b) })
	}

	calls.Wait()
}

// collectBatches returns the batches to send by the peer's address, and the running requests that need a new copy.
func (s *Requests) collectBatches(now time.Time) (map[netip.AddrPort]*batch, []*Answer) {
	self := s.self()
	dead := map[apricotway.NodeID]bool{}

	for _, member := range s.membership.Members() {
		dead[member.Node] = member.State == apricotway.MemberDead
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	batches := map[netip.AddrPort]*batch{}

	var uncopied []*Answer

	for id, a := range s.live {
		select {
		case <-a.copied:
		default:
			continue
		}

		a.mu.Lock()

		if dead[a.holder.Node] {
			a.holder = apricotway.Member{}
		}

		running, held := a.ended.IsZero(), a.holder.Peers.IsValid()
		age := now.Sub(a.ended)
		unneeded := !running && (a.moved || a.err != nil || a.received && age >= dropDelay ||
			age >= s.times.Retention-2*s.times.Batch)

		if running && !held && now.After(a.nextCopy) {
			uncopied = append(uncopied, a)
		}

		if held && (unneeded || a.tokens.len() > a.copiedTokens) {
			b := batches[a.holder.Peers]
			if b == nil {
				b = &batch{holder: a.holder, answers: map[apricotway.RequestID]*Answer{}}
				b.progress.Origin, b.drop.Origin = self.Node, self.Node
				batches[a.holder.Peers] = b
			}

			b.answers[id] = a

			if unneeded {
				b.drop.IDs = append(b.drop.IDs, id)
				a.holder = apricotway.Member{}
			} else {
				b.progress.Entries = append(b.progress.Entries, progressEntry{
					ID: id, Term: a.term, From: a.copiedTokens, Version: a.lineage.Model, Software: a.lineage.Software,
					Tokens: a.tokens.textsFrom(a.copiedTokens), Finish: a.tokens.finish,
				})
			}
		}

		a.mu.Unlock()
	}

	return batches, uncopied
}

// sendBatch sends a batch and records which tokens the copies have.
func (s *Requests) sendBatch(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, s.times.Copy)
	defer cancel()

	if len(b.drop.IDs) > 0 {
		// An error can be ignored: a copy that is not dropped expires.
		_, _ = apricotway.CallPeer[bool](ctx, s.peers, b.holder.Peers, methodDropCopy, b.drop)
	}

	if len(b.progress.Entries) == 0 {
		return
	}

	answer, err := apricotway.CallPeer[progressAnswer](ctx, s.peers, b.holder.Peers, methodCopyProgress, b.progress)
	if err != nil {
		s.logger.Info("copying the progress of requests failed", "event", 315, "member", b.holder.Node, "error", err.Error())
	}

	for _, entry := range b.progress.Entries {
		a := b.answers[entry.ID]

		if err == nil && slices.Contains(answer.Taken, entry.ID) {
			a.move()
			continue
		}

		a.mu.Lock()

		switch {
		case err != nil:
			a.holder = apricotway.Member{}
			a.failed = append(a.failed, b.holder.Node)
		case slices.Contains(answer.Missing, entry.ID):
			a.holder = apricotway.Member{}
		default:
			a.copiedTokens = entry.From + len(entry.Tokens)
		}

		a.mu.Unlock()
	}
}

// orphans returns the copies whose process is dead, in the order of their request ids, and drops expired copies. The caller holds
// the lock.
func (s *Requests) orphans(now time.Time) []requestCopy {
	if s.membership == nil || len(s.copies) == 0 {
		return nil
	}

	dead := map[apricotway.NodeID]bool{}

	for _, member := range s.membership.Members() {
		dead[member.Node] = member.State == apricotway.MemberDead
	}

	var orphans []requestCopy

	for id, held := range s.copies {
		switch {
		case now.After(held.expires):
			delete(s.copies, id)
		case dead[held.Origin]:
			orphans = append(orphans, held.requestCopy)
		}
	}

	slices.SortFunc(orphans, func(a, b requestCopy) int {
		return strings.Compare(string(a.Request.ID), string(b.Request.ID))
	})

	return orphans
}

// HeldCopies returns the number of copies that this process holds of other processes' requests.
func (s *Requests) HeldCopies() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.copies)
}
