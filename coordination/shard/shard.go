package shard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/ledger"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 1000
	// smallReadLimit keeps a batch of the largest records, the parts of checkpoints, below the limit that the log service's
	// client sets for the size of a response. A read of readLimit such records fails.
	smallReadLimit = 20
)

// shard is one shard of the ledger with its stream.
type shard struct {
	manager *Manager
	number  int
	stream  apricotway.Stream

	// reading is a lock that is held while the stream is read, so that callers who waited find the records applied. It is a
	// channel, so that waiting ends with the context.
	reading chan struct{}

	mu   sync.Mutex
	fold *ledger.Fold
	// claims holds the record IDs of this process's claims. The owner's node ID alone does not distinguish this process from
	// an earlier one with the same ID.
	claims map[string]bool
	// activeCalls holds the calls of this process whose outcome has not been read from the stream yet.
	activeCalls map[ledger.Key]*activeCall
	// failures counts the failed reads, and failure is the error of the last one.
	failures int
	failure  error
	// lastRead is the time at which the last successful readPast began, including one that found its offset already applied.
	lastRead time.Time
	// oldest is the oldest kept offset of the stream as of the last read.
	oldest apricotway.Offset
	// sinceCheckpoint counts the records applied since this process last wrote a checkpoint, and checkpointed is that time.
	sinceCheckpoint int
	checkpointed    time.Time
}

// activeCall is a call that this process executes or has executed.
type activeCall struct {
	digest string
	// done is closed once outcome is set.
	done    chan struct{}
	outcome ledger.Outcome
	// recorded is the offset of the outcome's record, 0 before its append. The shard's lock guards it.
	recorded apricotway.Offset
}

func (m *Manager) newShard(number int) *shard {
	return &shard{
		manager: m, number: number, stream: apricotway.Stream(fmt.Sprintf("ledger-%d", number)),
		reading: make(chan struct{}, 1), fold: ledger.New(m.retention()), claims: map[string]bool{},
		activeCalls: map[ledger.Key]*activeCall{}, checkpointed: time.Now(),
	}
}

// epoch returns the offset of this process's claim, or 0 when another process owns the shard.
func (s *shard) epoch() apricotway.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()

	if holder := s.fold.Holder(); s.claims[holder.Record] {
		return holder.Offset
	}

	return 0
}

// acquire returns the epoch of this process's claim. If the shard has no live owner and this process is the candidate, it claims
// the shard.
func (s *shard) acquire(ctx context.Context) (apricotway.Offset, error) {
	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	if err := s.readPast(ctx, 0); err != nil {
		return 0, UncertainRefusal(err.Error())
	}

	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	s.mu.Lock()
	holder := s.fold.Holder()
	s.mu.Unlock()

	if s.manager.alive(holder.Owner) {
		return 0, &NotOwnerError{Owner: holder.Owner}
	}

	self := s.manager.membership.Self().Node
	if candidate := s.manager.candidate(s.number); candidate != self {
		return 0, &NotOwnerError{Owner: candidate}
	}

	record, err := ledger.NewRecord(ledger.KindClaim, 0, ledger.Claim{Replaces: holder.Offset, Owner: self})
	if err != nil {
		return 0, UncertainRefusal(err.Error())
	}

	// The claim is registered before its append, because it may take effect even if the answer is lost.
	s.mu.Lock()
	s.claims[record.ID] = true
	s.mu.Unlock()

	offset, err := s.manager.writer.Append(ctx, s.stream, record)
	if err != nil {
		return 0, UncertainRefusal(err.Error())
	}

	if err := s.readPast(ctx, offset); err != nil {
		return 0, UncertainRefusal(err.Error())
	}

	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	return 0, UncertainRefusal("another process claimed the shard first")
}
