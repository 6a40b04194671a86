package configfeed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	// MethodRecords asks a peer for the records from an offset on.
	MethodRecords apricotway.Method = "configRecords"
	// MethodRevisions asks a peer which revisions are in force there.
	MethodRevisions apricotway.Method = "configRevisions"

	// peerPullPeriod is the time between two rounds of pulling records from peers while the log is unavailable. A process asks
	// two peers in each round and pulls from the one that is further ahead, so the number of processes that know a record at least
	// doubles, and 390 of them know it after about 9 rounds.
	peerPullPeriod = 500 * time.Millisecond
	peerPullFanOut = 2
	peerTimeout    = 2 * time.Second
	// recordsTimeout bounds the transfer of records or of the whole state from one peer. A state of 3 MB takes 2.5 s of an idle link of 10
	// Mbit/s.
	recordsTimeout = 10 * time.Second
	// revisionsWait bounds how long a process delays its answer until it has reached a position. It leaves time for the answer
	// within peerTimeout.
	revisionsWait      = 1500 * time.Millisecond
	revisionsPollPause = 10 * time.Millisecond
)

// RecordsRequest is the message of MethodRecords.
type RecordsRequest struct {
	From apricotway.Offset
}

// RecordsAnswer is the answer to RecordsRequest.
type RecordsAnswer struct {
	// Next is the first offset that the peer has not seen.
	Next apricotway.Offset
	// Ready reports whether the peer has caught up since its start. The position of a peer that has not is no evidence of what is
	// in force.
	Ready bool
	// State is the whole state as a checkpoint. It is set if the peer no longer has the requested records.
	State   []byte
	Records []apricotway.StoredRecord
}

// RevisionsRequest is the message of MethodRevisions.
type RevisionsRequest struct {
	// Next asks the peer to answer once it has seen every record below this offset, or after revisionsWait.
	Next apricotway.Offset
}

// Revisions describes what is in force at one process. All objects are in one stream, so a position in that stream identifies the
// revisions of all of them.
type Revisions struct {
	Node apricotway.NodeID `json:"node"`
	Zone apricotway.Zone   `json:"zone,omitempty"`
	// Next is the first offset that the process has not seen.
	Next  apricotway.Offset `json:"next"`
	Ready bool              `json:"ready"`
	// Objects holds the objects whose newest revision is not in force, with the reason.
	Objects []ObjectRevision `json:"objects,omitempty"`
	// Failure is the reason why the process did not answer.
	Failure string `json:"failure,omitempty"`
}

// ObjectRevision is an object whose newest revision is not in force.
type ObjectRevision struct {
	Kind     string            `json:"kind"`
	Object   string            `json:"object"`
	Revision apricotway.Offset `json:"revision"`
	InForce  apricotway.Offset `json:"inForce"`
	Problem  string            `json:"problem"`
}

// peerSource holds what a feed needs to reach other processes.
type peerSource struct {
	membership apricotway.Membership
	peers      apricotway.Peers
	registry   apricotway.PeerRegistry
}

// WithPeers makes the feed exchange records with other processes while the log is unavailable.
func WithPeers(membership apricotway.Membership, peers apricotway.Peers, registry apricotway.PeerRegistry) Option {
	return func(f *Feed) { f.peers = &peerSource{membership: membership, peers: peers, registry: registry} }
}

// servePeers registers the handlers for peers and adds the goroutine that pulls records from them to the supervisor.
func (f *Feed) servePeers(supervisor *suture.Supervisor) {
	apricotway.HandlePeer(f.peers.registry, MethodRecords,
		func(_ context.Context, request RecordsRequest) (RecordsAnswer, error) {
			return f.recordsFrom(request.From)
		})
	apricotway.HandlePeer(f.peers.registry, MethodRevisions,
		func(ctx context.Context, request RevisionsRequest) (Revisions, error) {
			return f.revisions(ctx, request.Next), nil
		})

	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed peers", Func: func(ctx context.Context) error {
		for pause.For(ctx, peerPullPeriod) {
			if f.logDown() {
				f.pullFromPeers(ctx)
			}
		}

		return ctx.Err()
	}})
}

// recordsFrom answers a peer's request for the records from an offset on.
func (f *Feed) recordsFrom(from apricotway.Offset) (RecordsAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	answer := RecordsAnswer{Next: f.fold.Next(), Ready: f.isReady()}
	if from >= answer.Next {
		return answer, nil
	}

	if len(f.recent) > 0 && f.recent[0].Offset <= from {
		at, _ := slices.BinarySearchFunc(f.recent, from, func(record apricotway.StoredRecord, from apricotway.Offset) int {
			if record.Offset < from {
				return -1
			}

			return 1
		})
		answer.Records = slices.Clone(f.recent[at:])

		return answer, nil
	}

	state, _, err := f.fold.Checkpoint()
	answer.State = state

	return answer, err
}

// pullFromPeers asks peers for their positions, and applies the records of the one that is furthest ahead. A process that is not ready
// asks all peers, since it has to catch up with a majority; the whole states of all of them would not arrive in time.
func (f *Feed) pullFromPeers(ctx context.Context) {
	members := f.liveMembers()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })

	if f.isReady() && len(members) > peerPullFanOut {
		members = members[:peerPullFanOut]
	}

	answers := callAll(ctx, members, func(ctx context.Context, member apricotway.Member) (Revisions, error) {
		return apricotway.CallPeer[Revisions](ctx, f.peers.peers, member.Peers, MethodRevisions, RevisionsRequest{})
	})

	reachable, ready := 0, 0
	ahead, aheadNext := apricotway.Member{}, f.fold.Next()

	var highest apricotway.Offset

	for i, answer := range answers {
		if answer.err != nil {
			continue
		}

		reachable++

		if answer.value.Next > aheadNext {
			ahead, aheadNext = members[i], answer.value.Next
		}

		if answer.value.Ready {
			ready++
			highest = max(highest, answer.value.Next)
		}
	}

	if aheadNext > f.fold.Next() {
		f.pullFrom(ctx, ahead)
	}

	f.logger.V(1).Info("pulled configuration records from peers", "event", 209, "reachable", reachable, "ready", ready, "next", f.fold.Next())

	// Only peers that are ready count, since peers that started at the same time know no more than this process.
	if 2*ready > reachable && f.fold.Next() >= highest {
		f.setReady()
	}
}

// pullFrom applies the records that a peer has after the own position.
func (f *Feed) pullFrom(ctx context.Context, member apricotway.Member) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()

	request := RecordsRequest{From: f.fold.Next()}

	answer, err := apricotway.CallPeer[RecordsAnswer](ctx, f.peers.peers, member.Peers, MethodRecords, request)
	if err != nil {
		f.logger.V(1).Info("failed to pull configuration records from a peer", "event", 399, "member", member.Node, "error", err.Error())
		return
	}

	f.applyAnswer(answer)
}

// applyAnswer applies the records or the state that a peer sent.
func (f *Feed) applyAnswer(answer RecordsAnswer) {
	state := (*followerState)(f)

	if answer.State != nil {
		if err := state.Restore(answer.State); err != nil {
			f.logger.Error(err, "failed to restore the checkpoint of a peer", "event", 204)
		}

		return
	}

	// Another answer may have advanced the position, but it is never below the first record of this one.
	state.Fold(answer.Records)
}

// revisions returns what is in force at this process once it has seen all records below next, or after revisionsWait.
func (f *Feed) revisions(ctx context.Context, next apricotway.Offset) Revisions {
	ctx, cancel := context.WithTimeout(ctx, revisionsWait)
	defer cancel()

	for f.fold.Next() < next && pause.For(ctx, revisionsPollPause) {
	}

	self := f.peers.membership.Self()
	answer := Revisions{Node: self.Node, Zone: self.Zone, Next: f.fold.Next(), Ready: f.isReady()}

	for _, status := range f.fold.Objects() {
		if status.Problem != "" {
			answer.Objects = append(answer.Objects, ObjectRevision{
				Kind: string(status.Kind), Object: status.Object, Revision: status.Revision,
				InForce: status.InForce, Problem: status.Problem,
			})
		}
	}

	return answer
}

// AllRevisions returns the revisions of this process and of every live member. A member that does not answer is listed with the
// reason. Each process answers once it has seen every record below the given offset, or after 1.5 s. Without that wait, a member
// that does not answer would delay the result until the other answers are older than the change.
func (f *Feed) AllRevisions(ctx context.Context, next apricotway.Offset) []Revisions {
	// This process may wait as long for the position as the members.
	own := make(chan Revisions, 1)
	go func() { own <- f.revisions(ctx, next) }()

	members := f.liveMembers()
	answers := callAll(ctx, members, func(ctx context.Context, member apricotway.Member) (Revisions, error) {
		return apricotway.CallPeer[Revisions](ctx, f.peers.peers, member.Peers, MethodRevisions, RevisionsRequest{Next: next})
	})
	all := []Revisions{<-own}

	for i, answer := range answers {
		if answer.err != nil {
			answer.value = Revisions{Node: members[i].Node, Zone: members[i].Zone, Failure: answer.err.Error()}
		}

		// A listed member may be this process itself.
		if answer.value.Node != all[0].Node {
			all = append(all, answer.value)
		}
	}

	return all
}

// liveMembers returns the other members that are not dead.
func (f *Feed) liveMembers() []apricotway.Member {
	return slices.DeleteFunc(slices.Clone(f.peers.membership.Members()), func(member apricotway.Member) bool {
		return member.State == apricotway.MemberDead || member.Peers == f.peers.membership.Self().Peers
	})
}

// result is the outcome of a call to one member.
type result[T any] struct {
	value T
	err   error
}

// callAll calls all members concurrently and returns the results in the order of the members.
func callAll[T any](
	ctx context.Context, members []apricotway.Member, call func(context.Context, apricotway.Member) (T, error),
) []result[T] {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	answers := make([]result[T], len(members))

	var group sync.WaitGroup

	for i, member := range members {
		group.Go(func() { answers[i].value, answers[i].err = call(ctx, member) })
	}

	group.Wait()

	return answers
}
