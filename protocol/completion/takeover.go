package completion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// handleTakeOver gives a request to the process that takes it over, and keeps a copy for that process.
func (s *Requests) handleTakeOver(_ context.Context, message takeOverMessage) (takeOverAnswer, error) {
	s.mu.Lock()
	a, live := s.live[message.ID]
	held, copied := s.copies[message.ID]

	if copied && held.Request.Workspace == message.Workspace && !message.Start {
		answer := takeOverAnswer{Found: true, Copy: held.requestCopy}
		answer.Copy.Remaining = time.Until(held.Request.Deadline)
		held.Origin, held.OriginPeers = message.By, message.ByPeers
		held.Term++
		s.mu.Unlock()

		return answer, nil
	}

	s.mu.Unlock()

	switch {
	case live && a.request.Workspace == message.Workspace:
		return s.keepCopy(a.handOver(), message), nil
	case copied && held.Request.Workspace == message.Workspace:
		s.adopt(held.requestCopy, apricotway.Member{}, 0) //nolint:contextcheck // the request outlives this call
		return takeOverAnswer{Found: true}, nil
	default:
		return takeOverAnswer{}, nil
	}
}

// keepCopy keeps a copy of a running request that was handed over. Otherwise the request would be lost if the answer doesn't reach
// the process that takes it over.
func (s *Requests) keepCopy(answer takeOverAnswer, message takeOverMessage) takeOverAnswer {
	if !answer.Live || answer.Refusal != nil || answer.Copy.Finish != "" {
		return answer
	}

	held := answer.Copy
	held.Origin, held.OriginPeers = message.By, message.ByPeers
	held.Term++

	s.mu.Lock()
	defer s.mu.Unlock()

	// The process that takes over may have copied the request here already.
	if _, ok := s.copies[message.ID]; !ok {
		s.copies[message.ID] = &replica{held, held.Request.Deadline.Add(s.times.Retention)}
	}

	return answer
}

// handOver ends a running request in this process and returns its state for the process that takes it over. A request that has
// ended stays in this process.
func (a *Answer) handOver() takeOverAnswer {
	a.mu.Lock()
	moved, running := a.moved, a.ended.IsZero()
	a.mu.Unlock()

	if moved {
		return takeOverAnswer{}
	}

	if running {
		a.requests.logger.Info("request handed over", "event", 313, "request", a.request.ID)
		a.move()
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	answer := takeOverAnswer{Found: true, Live: true, Copy: a.copyLocked()}
	if !a.moved {
		answer.Refusal = a.err
	}

	return answer
}

// adopt makes this process run the request. If holder is set, it already holds a copy with the given number of tokens; otherwise
// the request is copied again.
func (s *Requests) adopt(from requestCopy, holder apricotway.Member, copied int) *Answer {
	a := s.newAnswer(from.Request)
	a.lineage, a.holder, a.copiedTokens = apricotway.Lineage{Model: from.Version, Software: from.Software}, holder, min(copied, len(from.Tokens))
	a.term = from.Term + 1
	// A reader at the former process may know the request's id and reconnect.
	a.known = true

	a.tokens = newTranscript(from.Tokens, from.Finish)

	s.mu.Lock()

	if current, ok := s.live[from.Request.ID]; ok && s.ran(from.Request.ID) {
		s.mu.Unlock()
		return current
	}

	delete(s.copies, from.Request.ID)

	if from.Finish != "" {
		a.ended = time.Now()
		a.cancel = func() {}
	}

	s.live[from.Request.ID] = a

	if a.ended.IsZero() {
		s.run(a)
	}

	s.mu.Unlock()

	if holder.Peers.IsValid() || !a.ended.IsZero() {
		close(a.copied)
		return a
	}

	go func() {
		defer close(a.copied)

		s.copyToPeer(a)
	}()

	return a
}

// foundRequest is a request that a member, or this process when member is empty, gave in answer to a takeover.
type foundRequest struct {
	takeOverAnswer

	member apricotway.Member
}

// search finds a request that another process accepted and takes it over. When only copies were found, the process that runs the
// request is asked too: it may have newer progress, and it must stop running the request.
func (s *Requests) search(
	ctx context.Context, workspace apricotway.Workspace, id apricotway.RequestID,
) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.times.Search)
	defer cancel()

	self := s.self()
	message := takeOverMessage{ID: id, Workspace: workspace, By: self.Node, ByPeers: self.Peers}

	found, err := s.findCopies(ctx, message)
	if err != nil {
		return nil, err
	}

	best, term := found[0], found[0].Copy.Term
	for _, other := range found[1:] {
		term = max(term, other.Copy.Term)

		if other.Live || !best.Live && len(other.Copy.Tokens) > len(best.Copy.Tokens) {
			best = other
		}
	}

	if origin := best.Copy.OriginPeers; !best.Live && origin.IsValid() && origin != self.Peers {
		ctx, cancel := context.WithTimeout(ctx, s.times.Copy)
		answer, err := apricotway.CallPeer[takeOverAnswer](ctx, s.peers, origin, methodTakeOver, message)

		cancel()

		if err == nil && answer.Found && answer.Live {
			best = foundRequest{takeOverAnswer: answer}
		}
	}

	// The new run must replace every earlier one, also that of a copy which is not used.
	best.Copy.Term = max(term, best.Copy.Term)

	holder, copied := s.keepOne(ctx, id, found, best.Refusal != nil)
	if best.Refusal != nil {
		return nil, best.Refusal
	}

	best.Copy.Request.Deadline = time.Now().Add(best.Copy.Remaining)

	s.logger.Info("request taken over", "event", 316, "request", id, "origin", best.Copy.Origin,
		"tokens", len(best.Copy.Tokens))

	return s.adopt(best.Copy, holder, copied), nil //nolint:contextcheck // the request outlives this call
}

// findCopies looks for the request in this process's copies and then at the members, in the order of others. It returns at least
// one result or an error.
func (s *Requests) findCopies(ctx context.Context, message takeOverMessage) ([]foundRequest, error) {
	s.mu.Lock()
	held, ok := s.copies[message.ID]

	if ok && held.Request.Workspace == message.Workspace {
		local := foundRequest{takeOverAnswer: takeOverAnswer{Found: true, Copy: held.requestCopy}}
		local.Copy.Remaining = time.Until(held.Request.Deadline)
		s.mu.Unlock()

		return []foundRequest{local}, nil
	}

	s.mu.Unlock()

	members := s.others(message.ID)
	refusal := notFound()

	if len(members) > searchLimit {
		members = members[:searchLimit]
		refusal.RetryAfter = retryAfter
	}

	for group := range slices.Chunk(members, searchWidth) {
		answers := make([]foundRequest, len(group))
		failures := make([]error, len(group))

		var calls sync.WaitGroup

		for i, member := range group {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, s.times.Copy)
				defer cancel()

				answers[i].member = member
				answers[i].takeOverAnswer, failures[i] = apricotway.CallPeer[takeOverAnswer](
					ctx, s.peers, member.Peers, methodTakeOver, message)
			})
		}

		calls.Wait()

		if slices.ContainsFunc(failures, func(err error) bool { return err != nil }) {
			// The request may be at a member that did not answer.
			refusal.RetryAfter = retryAfter
		}

		found := slices.DeleteFunc(answers, func(f foundRequest) bool { return !f.Found })
		if len(found) > 0 {
			return found, nil
		}
	}

	return nil, refusal
}

// keepOne chooses the member in another zone whose copy is kept, and returns it with the number of tokens in that copy. It drops
// the other copies, so that an outdated one isn't used later.
func (s *Requests) keepOne(
	ctx context.Context, id apricotway.RequestID, found []foundRequest, ended bool,
) (holder apricotway.Member, copied int) {
	self := s.self()

	for _, f := range found {
		if f.Live || !f.member.Peers.IsValid() {
			continue
		}

		drop := f.member

		if !ended && f.member.Zone != self.Zone && len(f.Copy.Tokens) >= copied {
			drop, holder, copied = holder, f.member, len(f.Copy.Tokens)
		}

		if drop.Peers.IsValid() {
			// The drop must not overtake a new copy at the same member.
			s.sendBatch(ctx, &batch{
				holder: drop, drop: dropMessage{Origin: self.Node, IDs: []apricotway.RequestID{id}},
			})
		}
	}

	return holder, copied
}

// errNoHolder reports a request without a copy.
var errNoHolder = errors.New("no peer holds a copy")

// HandOver hands over the requests that have not ended to the peers that hold their copies. It is the last step before a process
// stops; the callers reconnect to other processes.
func (s *Requests) HandOver(ctx context.Context) error {
	var failed error

	if s.peers == nil {
		return nil
	}

	s.flush(ctx)

	for _, a := range s.unended() {
		a.mu.Lock()
		holder := a.holder
		a.mu.Unlock()

		if !holder.Peers.IsValid() {
			failed = errors.Wrapf(errNoHolder, "hand over request %s", a.request.ID)
			continue
		}

		// The run must end first: the holder may copy the request back to this process, which would refuse the copy while it runs
		// the request itself.
		a.move()

		message := takeOverMessage{ID: a.request.ID, Workspace: a.request.Workspace, Start: true}

		answer, err := apricotway.CallPeer[takeOverAnswer](ctx, s.peers, holder.Peers, methodTakeOver, message)
		if err == nil && !answer.Found {
			err = errNoHolder
		}

		if err != nil {
			failed = errors.Wrapf(err, "hand over request %s", a.request.ID)
		}
	}

	return failed
}
