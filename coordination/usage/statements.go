package usage

import (
	"context"
	"crypto/ed25519"
	"reflect"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
	"github.com/apricotway/apricotway/state/account"
)

const (
	// DefaultStatementInterval is the time between two statements. The retention of the log service has to be at least three
	// times as long.
	DefaultStatementInterval = time.Hour
	// markBatches is the number of batches after which a statement is due before its time; it bounds what a process reads
	// after a trim.
	markBatches = 20_000
	// statementTurn is the time that each process leaves to the ones before it. No lease is needed: the order of the log
	// decides between marks, and all processes write the same statement of a mark. The turns only save appends.
	statementTurn = 10 * time.Second
	// statementFollowers is the number of processes of a region that follow the usage stream. At 390 processes the stream
	// takes 39 batches a second, more than every process may read within its share of the network.
	statementFollowers = 4
)

// Statements writes statements on the usage stream, so that the account outlives the log's retention.
type Statements struct {
	log      apricotway.Log
	appender Appender
	// signers returns the announced signers, rank the number of live processes of the region whose turn comes before that
	// of this one.
	signers  func() map[string]account.Signer
	rank     func() int
	logger   logr.Logger
	interval time.Duration
	signer   string
	key      ed25519.PrivateKey

	reader *Reader
	// hosts is nil when the writer accounts no hosts.
	hosts *hosts
	// waited is the time for which something was due.
	waited time.Duration
	// blocked is set while the account cannot be stated, so that it is logged once.
	blocked bool
}

// StatementsOption changes a writer of statements under construction.
type StatementsOption func(*Statements)

// WithStatementLogger sets the logger.
func WithStatementLogger(logger logr.Logger) StatementsOption {
	return func(s *Statements) { s.logger = logger }
}

// WithStatementKey makes the writer sign its statements under the signer's name. Without a key it writes statements only as
// long as no signer is announced.
func WithStatementKey(signer string, key ed25519.PrivateKey) StatementsOption {
	return func(s *Statements) { s.signer, s.key = signer, key }
}

// WithStatementInterval sets the time between two statements.
func WithStatementInterval(interval time.Duration) StatementsOption {
	return func(s *Statements) { s.interval = interval }
}

// NewStatements returns a writer of statements and adds it to the supervisor. It begins when ready is closed, because a
// process without the configuration takes no signer for known.
func NewStatements(
	supervisor *suture.Supervisor, log apricotway.Log, appender Appender, ready <-chan struct{},
	signers func() map[string]account.Signer, rank func() int, options ...StatementsOption,
) *Statements {
	s := &Statements{
		log: log, appender: appender, signers: signers, rank: rank, logger: logr.Discard(),
		interval: DefaultStatementInterval,
	}
	for _, option := range options {
		option(s)
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "usage statements", Func: func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ready:
		}

		for pause.For(ctx, statementTurn) {
			if err := s.step(ctx); err != nil && ctx.Err() == nil {
				s.logger.Info("usage statement not written", "event", 505, "error", err.Error())
			}
		}

		return ctx.Err()
	}})

	return s
}

// step reads the stream and writes what is due when the turn of this process has come.
func (s *Statements) step(ctx context.Context) error {
	rank := s.rank()
	signers := s.signers()

	if _, announced := signers[s.signer]; rank >= statementFollowers || (signers != nil && !announced) {
		s.reader, s.waited = nil, 0
		return nil
	}

	// Batches are judged by the signers in force when the statement is written. A batch that came before the configuration
	// with its signer is judged again.
	if s.reader == nil || !reflect.DeepEqual(s.reader.signers, signers) {
		s.reader = NewReader(s.log, signers)
	}

	ctx, cancel := context.WithTimeout(ctx, s.interval)
	defer cancel()

	if err := s.reader.CatchUp(ctx); err != nil {
		return err
	}

	due, known := s.reader.Fold().Due(s.signer)
	if !known {
		if !s.blocked {
			s.logger.Info("usage stream trimmed without a complete statement", "event", 506)
		}

		s.blocked, s.waited = true, 0

		return nil
	}

	s.blocked = false

	if s.hosts != nil {
		if err := s.stepHosts(ctx, rank); err != nil {
			return err
		}
	}

	if due.State == nil && !s.markDue(due) {
		s.waited = 0
		return nil
	}

	if s.waited += statementTurn; s.waited <= time.Duration(rank)*statementTurn {
		return nil
	}

	s.waited = 0

	return s.write(ctx, due)
}

// markDue goes by the log service's time of the newest mark, so that a restart of all processes asks for no new one. The
// next mark also comes without new batches: the newest statement itself must not be trimmed.
func (s *Statements) markDue(due account.Due) bool {
	if due.Mark == 0 {
		return due.Batches > 0
	}

	return due.Batches >= markBatches || time.Since(due.MarkTime) >= s.interval
}

func (s *Statements) write(ctx context.Context, due account.Due) error {
	if due.State == nil {
		record, err := account.NewMark(due.Mark)
		if err != nil {
			return err
		}

		return s.append(ctx, record)
	}

	records, err := account.NewStatement(due.Mark, due.State, s.signer, s.key)
	if err != nil {
		return err
	}

	if err := s.append(ctx, records...); err != nil {
		return err
	}

	s.logger.Info("usage statement written", "event", 507, "offset", due.Mark, "bytes", len(due.State))

	return nil
}

func (s *Statements) append(ctx context.Context, records ...apricotway.Record) error {
	for _, record := range records {
		if _, err := s.appender.Append(ctx, apricotway.StreamUsage, record); err != nil {
			return errors.Wrap(err, "append usage statement")
		}
	}

	return nil
}
