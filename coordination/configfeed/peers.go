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

	// spreadPeriod is the time between two rounds while the log is unavailable. With two peers asked in each round, the
	// processes that know a record at least double, and 390 of them know it after about 9 rounds.
	spreadPeriod = 500 * time.Millisecond
	spreadFanOut = 2
	peerTimeout  = 2 * time.Second
	// revisionsWait bounds the wait of an answer for a position; it leaves room for the answer within peerTimeout.
	revisionsWait  = 1500 * time.Millisecond
	revisionsPause = 10 * time.Millisecond
)

// RecordsRequest is the message of MethodRecords.
type RecordsRequest struct {
	From apricotway.Offset
}

// RecordsAnswer is the answer to RecordsRequest.
type RecordsAnswer struct {
	// Next is the first offset that the peer has not seen.
	Next apricotway.Offset
	// Ready tells that the peer has caught up since it started. The position of one that has not is no evidence of what is
	// in force.
	Ready bool
	// State is a checkpoint; it is set when the peer no longer has the records.
	State   []byte
	Records []apricotway.StoredRecord
}

// RevisionsRequest is the message of MethodRevisions.
type RevisionsRequest struct {
	// Next asks the peer to answer once it has seen every record below this offset, or after revisionsWait.
	Next apricotway.Offset
}

// Revisions tells what is in force at one process. All objects stand in one stream, so that the position in it replaces a
// vector of their revisions.
type Revisions struct {
	Node apricotway.NodeID `json:"node"`
	Zone apricotway.Zone   `json:"zone,omitempty"`
	// Next is the first offset that the process has not seen.
	Next  apricotway.Offset `json:"next"`
	Ready bool              `json:"ready"`
	// Objects are those whose newest revision is not in force, with the reason.
	Objects []ObjectRevision `json:"objects,omitempty"`
	// Failure tells why the process did not answer.
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

// peerSource is how a feed reaches other processes.
type peerSource struct {
	membership apricotway.Membership
	peers      apricotway.Peers
	registry   apricotway.PeerRegistry
}

// WithPeers makes the feed exchange records with other processes while the log is unavailable.
func WithPeers(membership apricotway.Membership, peers apricotway.Peers, registry apricotway.PeerRegistry) Option {
	return func(f *Feed) { f.peers = &peerSource{membership: membership, peers: peers, registry: registry} }
}

func (f *Feed) servePeers(supervisor *suture.Supervisor) {
	apricotway.HandlePeer(f.peers.registry, MethodRecords,
		func(_ context.Context, request RecordsRequest) (RecordsAnswer, error) { return f.answer(request.From) })
	apricotway.HandlePeer(f.peers.registry, MethodRevisions,
		func(ctx context.Context, request RevisionsRequest) (Revisions, error) {
			return f.revisions(ctx, request.Next), nil
		})

	supervisor.Add(apricotway.ServiceFunc{Name: "configfeed peers", Func: func(ctx context.Context) error {
		for pause.For(ctx, spreadPeriod) {
			if f.logDown() {
				f.spread(ctx)
			}
		}

		return ctx.Err()
	}})
}

func (f *Feed) answer(from apricotway.Offset) (RecordsAnswer, error) {
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

// spread asks peers for newer records. A process that is not ready asks all, since it has to know a majority.
func (f *Feed) spread(ctx context.Context) {
	members := f.liveMembers()
	if f.isReady() && len(members) > spreadFanOut {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:spreadFanOut]
	}

	from := f.fold.Next()
	answers := gather(ctx, members, func(ctx context.Context, member apricotway.Member) (RecordsAnswer, error) {
		return apricotway.CallPeer[RecordsAnswer](ctx, f.peers.peers, member.Peers, MethodRecords, RecordsRequest{From: from})
	})

	reachable, ready := 0, 0

	var highest apricotway.Offset

	for _, answer := range answers {
		if answer.err != nil {
			continue
		}

		f.take(answer.value)

		reachable++

		if answer.value.Ready {
			ready++
			highest = max(highest, answer.value.Next)
		}
	}

	f.logger.V(1).Info("configuration asked of peers", "event", 209, "reachable", reachable, "ready", ready, "next", f.fold.Next())

	// Peers that started at the same time know no more than this process, so that only those that are ready count.
	if 2*ready > reachable && f.fold.Next() >= highest {
		f.setReady()
	}
}

// take folds what a peer sent.
func (f *Feed) take(answer RecordsAnswer) {
	state := (*feedState)(f)

	if answer.State != nil {
		if err := state.Restore(answer.State); err != nil {
			f.logger.Error(err, "peer's checkpoint not usable", "event", 204)
		}

		return
	}

	// Another answer may have moved the position, but never to below the start of this one.
	state.Fold(answer.Records)
}

// revisions waits for a position and tells what is in force then, or after revisionsWait.
func (f *Feed) revisions(ctx context.Context, next apricotway.Offset) Revisions {
	ctx, cancel := context.WithTimeout(ctx, revisionsWait)
	defer cancel()

	for f.fold.Next() < next && pause.For(ctx, revisionsPause) {
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

// Everywhere returns the revisions of this process and of every live member. A member that does not answer is listed with
// the reason. Each process answers once it has seen every record below the given offset, or after 1.5 s; a member that does
// not answer would otherwise hold up the answers of the others until they are old.
func (f *Feed) Everywhere(ctx context.Context, next apricotway.Offset) []Revisions {
	// The own answer may wait as long as those of the members.
	own := make(chan Revisions, 1)
	go func() { own <- f.revisions(ctx, next) }()

	members := f.liveMembers()
	answers := gather(ctx, members, func(ctx context.Context, member apricotway.Member) (Revisions, error) {
		return apricotway.CallPeer[Revisions](ctx, f.peers.peers, member.Peers, MethodRevisions, RevisionsRequest{Next: next})
	})
	all := []Revisions{<-own}

	for i, answer := range answers {
		if answer.err != nil {
			answer.value = Revisions{Node: members[i].Node, Zone: members[i].Zone, Failure: answer.err.Error()}
		}

		// A seed may be this process itself.
		if answer.value.Node != all[0].Node {
			all = append(all, answer.value)
		}
	}

	return all
}

func (f *Feed) liveMembers() []apricotway.Member {
	return slices.DeleteFunc(slices.Clone(f.peers.membership.Members()), func(member apricotway.Member) bool {
		return member.State == apricotway.MemberDead || member.Peers == f.peers.membership.Self().Peers
	})
}

type answered[T any] struct {
	value T
	err   error
}

// gather calls all members at once; the answers are in the order of the members.
func gather[T any](
	ctx context.Context, members []apricotway.Member, call func(context.Context, apricotway.Member) (T, error),
) []answered[T] {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	answers := make([]answered[T], len(members))

	var group sync.WaitGroup

	for i, member := range members {
		group.Go(func() { answers[i].value, answers[i].err = call(ctx, member) })
	}

	group.Wait()

	return answers
}
