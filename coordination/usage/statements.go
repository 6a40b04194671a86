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
	// DefaultStatementInterval is the time between two statements. The retention of the log service must be at least three times
	// as long.
	DefaultStatementInterval = time.Hour
	// maxMarkBatches is the number of batches after which a mark is due before the interval ends. It bounds what a process reads
	// after a trim.
	maxMarkBatches = 20_000
	// rankDelay is the time between two steps, and the delay by which each process lets those of a lower rank write first.
	// No lease is needed: of several marks the first in the log is in force, and all processes with the same signer write
	// equal statements for it. The delay only saves appends.
	rankDelay = 10 * time.Second
	// statementWriters is the number of processes of a region that read the usage stream. With 390 processes the stream
	// receives 39 batches a second; if every process read them, they would exceed their share of the network.
	statementWriters = 4
)

// Statements writes marks, statements and host batches to the usage stream, so that the account survives the trimming of the
// stream.
type Statements struct {
	log      apricotway.Log
	appender Appender
	// signers returns the announced signers by name, and rank the number of live processes of the region that come before this
	// one.
	signers  func() map[string]account.Signer
	rank     func() int
	logger   logr.Logger
	interval time.Duration
	signer   string
	key      ed25519.PrivateKey

	reader *Reader
	// hosts is nil if the writer does not write host batches.
	hosts *hosts
	// waited is the time for which a mark or statement has been due.
	waited time.Duration
	// blocked is set while the stream is trimmed and has no complete statement, so that this is logged only once.
	blocked bool
}

// StatementsOption configures a writer of statements under construction.
type StatementsOption func(*Statements)

// WithStatementLogger sets the logger.
func WithStatementLogger(logger logr.Logger) StatementsOption {
	return func(s *Statements) { s.logger = logger }
}

// WithStatementKey sets the signer's name and the key that the writer signs with. Without a key it writes statements only while
// the configuration announces no signers.
func WithStatementKey(signer string, key ed25519.PrivateKey) StatementsOption {
	return func(s *Statements) { s.signer, s.key = signer, key }
}

// WithStatementInterval sets the time between two statements.
func WithStatementInterval(interval time.Duration) StatementsOption {
	return func(s *Statements) { s.interval = interval }
}

// NewStatements returns a writer of statements and adds it to the supervisor. Signers returns the announced signers, nil if there
// are none, and rank the number of live processes of the region that come before this one. The writer starts when ready is closed:
// a process that has not read the configuration yet knows no signers.
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

		for pause.For(ctx, rankDelay) {
			if err := s.step(ctx); err != nil && ctx.Err() == nil {
				s.logger.Info("writing usage statement failed", "event", 505, "error", err.Error())
			}
		}

		return ctx.Err()
	}})

	return s
}

// step reads the stream and writes what is due, if it has been due for longer than the delay of this process's rank.
func (s *Statements) step(ctx context.Context) error {
	rank := s.rank()
	signers := s.signers()

	if _, announced := signers[s.signer]; rank >= statementWriters || (signers != nil && !announced) {
		s.reader, s.waited = nil, 0
		return nil
	}

	// Signatures are checked against the current signers. If the signers have changed, the stream is read again, since a batch may
	// precede the configuration that announces its signer.
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
			s.logger.Info("usage stream is trimmed and holds no complete statement", "event", 506)
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

	if s.waited += rankDelay; s.waited <= time.Duration(rank)*rankDelay {
		return nil
	}

	s.waited = 0

	return s.write(ctx, due)
}

// markDue reports whether a new mark is due. It uses the time at which the log service stored the newest mark, so that a restart
// of all processes causes no new one. A mark is due after the interval even without new batches, because otherwise the newest
// statement itself would be trimmed.
func (s *Statements) markDue(due account.Due) bool {
	if due.Mark == 0 {
		return due.Batches > 0
	}

	return due.Batches >= maxMarkBatches || time.Since(due.MarkTime) >= s.interval
}

// write appends a statement if the signer's owner has not signed the newest mark yet, and otherwise a new mark.
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

	s.logger.Info("wrote usage statement", "event", 507, "offset", due.Mark, "bytes", len(due.State))

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
