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
	readLimit = 1000
	// smallReadLimit keeps a batch of the largest records, the parts of checkpoints, under the size limit of one answer of
	// the log service's client. A read of readLimit such records fails.
	smallReadLimit = 20
)

// shard is one stream of the ledger.
type shard struct {
	manager *Manager
	number  int
	stream  apricotway.Stream

	// reading holds an element while the stream is read, so that concurrent calls share one read.
	reading chan struct{}

	mu   sync.Mutex
	fold *ledger.Fold
	// claims holds the record ids of this process's claims. The owner's name alone does not tell a process from an
	// earlier one of the same name.
	claims map[string]bool
	// running holds the calls of this process whose outcome the fold does not show yet.
	running map[ledger.Key]*running
	// failures counts the failed reads, and failure is the error of the last one.
	failures int
	failure  error
	// lastRead is the time before the newest read that reached the end of the stream.
	lastRead time.Time
	// oldest is the oldest offset kept, as of the newest read.
	oldest apricotway.Offset
	// sinceCheckpoint counts the records folded since the last checkpoint, and checkpointed is its time.
	sinceCheckpoint int
	checkpointed    time.Time
}

// running is a call of this process.
type running struct {
	digest string
	// done is closed when outcome is set.
	done    chan struct{}
	outcome ledger.Outcome
	// recorded is the offset of the outcome's record, 0 before its append. The shard's lock guards it.
	recorded apricotway.Offset
}

func (m *Manager) newShard(number int) *shard {
	return &shard{
		manager: m, number: number, stream: apricotway.Stream(fmt.Sprintf("ledger-%d", number)),
		reading: make(chan struct{}, 1), fold: ledger.New(m.retention()), claims: map[string]bool{}, running: map[ledger.Key]*running{},
		checkpointed: time.Now(),
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

// own returns the epoch of this process's claim and claims the shard when its owner is gone.
func (s *shard) own(ctx context.Context) (apricotway.Offset, error) {
	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	if err := s.readPast(ctx, 0); err != nil {
		return 0, Uncertain(err.Error())
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
		return 0, Uncertain(err.Error())
	}

	// The claim counts as this process's own before its append: it may win although the answer is lost.
	s.mu.Lock()
	s.claims[record.ID] = true
	s.mu.Unlock()

	offset, err := s.manager.writer.Append(ctx, s.stream, record)
	if err != nil {
		return 0, Uncertain(err.Error())
	}

	if err := s.readPast(ctx, offset); err != nil {
		return 0, Uncertain(err.Error())
	}

	if epoch := s.epoch(); epoch != 0 {
		return epoch, nil
	}

	return 0, Uncertain("another process claimed the shard first")
}
