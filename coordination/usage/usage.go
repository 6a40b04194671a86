// Package usage writes the usage of a process to the usage stream, reads the account from it, and writes the statements that
// preserve the account when the stream is trimmed.
package usage

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

const (
	// DefaultInterval is the time between two batches. It bounds the usage that is lost if a process is killed. With 390
	// processes it causes 39 appends a second.
	DefaultInterval = 10 * time.Second
	// appendTimeout bounds one append; a failed append is retried at the next interval.
	appendTimeout = 5 * time.Second
)

// Appender appends one record to a stream. Readers ignore a second copy of a record, so an append may be repeated.
type Appender interface {
	Append(ctx context.Context, stream apricotway.Stream, record apricotway.Record) (apricotway.Offset, error)
}

// Recorder collects the usage of a process and writes it in batches.
type Recorder struct {
	node     apricotway.NodeID
	appender Appender
	logger   logr.Logger
	interval time.Duration
	now      func() time.Time
	signer   string
	key      ed25519.PrivateKey

	mu sync.Mutex
	// usage is the usage since the last batch was created. Its size is bounded by the number of keys, so that it does not
	// exhaust the memory during a long outage of the log service.
	usage map[account.Key]account.Usage
	from  time.Time

	// writing is held while a batch is created and appended, so that batches stay in order. It guards the fields below.
	writing sync.Mutex
	// pending is a batch that may or may not be in the log; the unchanged record is appended again until an append succeeds.
	pending  *apricotway.Record
	sequence uint64
	previous string
}

// Option configures a recorder under construction.
type Option func(*Recorder)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(r *Recorder) { r.logger = logger }
}

// WithInterval sets the time between two batches.
func WithInterval(interval time.Duration) Option {
	return func(r *Recorder) { r.interval = interval }
}

// WithKey sets the signer's name and the key that the recorder signs its batches with; by default they are not signed.
func WithKey(signer string, key ed25519.PrivateKey) Option {
	return func(r *Recorder) { r.signer, r.key = signer, key }
}

// New returns a recorder and adds the goroutine that writes its batches to the supervisor.
func New(supervisor *suture.Supervisor, node apricotway.NodeID, appender Appender, options ...Option) *Recorder {
	r := &Recorder{
		node:     node,
		appender: appender,
		logger:   logr.Discard(),
		interval: DefaultInterval,
		now:      time.Now,
		usage:    map[account.Key]account.Usage{},
	}
	for _, option := range options {
		option(r)
	}

	r.from = r.now()

	supervisor.Add(apricotway.ServiceFunc{Name: "usage", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(r.interval)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}

			if err := r.flush(ctx, false); err != nil {
				r.logger.Info("writing usage batch failed", "event", 501, "error", err.Error())
			}
		}
	}})

	return r
}

// Add adds usage to the next batch.
func (r *Recorder) Add(key account.Key, usage account.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.usage[key] = r.usage[key].Add(usage)
}

// Close writes the remaining usage as the final batch of the process. Usage must not be added afterwards.
func (r *Recorder) Close(ctx context.Context) error { return r.flush(ctx, true) }

// flush appends the pending batch if there is one, and then a batch of the usage since. Without usage it writes only a final
// batch.
func (r *Recorder) flush(ctx context.Context, last bool) error {
	r.writing.Lock()
	defer r.writing.Unlock()

	if err := r.writePending(ctx); err != nil {
		return err
	}

	entries, from, to := r.takeUsage()
	if len(entries) == 0 && !last {
		return nil
	}

	record, hash, err := r.record(account.Batch{
		Node: r.node, Sequence: r.sequence + 1, Previous: r.previous, From: from, To: to, Last: last, Entries: entries,
	})
	if err != nil {
		return err
	}

	r.sequence++
	r.previous = hash
	r.pending = &record

	return r.writePending(ctx)
}

func (r *Recorder) writePending(ctx context.Context) error {
	if r.pending == nil {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()

	if _, err := r.appender.Append(ctx, apricotway.StreamUsage, *r.pending); err != nil {
		return errors.Wrap(err, "append usage batch")
	}

	r.pending = nil

	return nil
}

// takeUsage ends the interval and returns its usage in a deterministic order.
func (r *Recorder) takeUsage() ([]account.Entry, time.Time, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	entries := make([]account.Entry, 0, len(r.usage))
	for key, usage := range r.usage {
		entries = append(entries, account.Entry{Key: key, Usage: usage})
	}

	slices.SortFunc(entries, func(a, b account.Entry) int {
		return strings.Compare(sortKey(a.Key), sortKey(b.Key))
	})

	from, to := r.from, r.now()
	r.usage = map[account.Key]account.Usage{}
	r.from = to

	return entries, from.UTC(), to.UTC()
}

func sortKey(key account.Key) string {
	return strings.Join([]string{
		string(key.Workspace), string(key.Service), string(key.Zone), string(key.MachineClass),
	}, "\x00")
}

func (r *Recorder) record(batch account.Batch) (apricotway.Record, string, error) {
	if r.key != nil {
		signed, err := batch.Sign(r.signer, r.key)
		if err != nil {
			return apricotway.Record{}, "", err
		}

		batch = signed
	}

	hash, err := batch.Hash()
	if err != nil {
		return apricotway.Record{}, "", err
	}

	payload, err := json.Marshal(batch)
	if err != nil {
		return apricotway.Record{}, "", errors.Wrap(err, "encode batch")
	}

	return apricotway.Record{
		SchemaVersion: account.SchemaVersion, Kind: account.KindBatch, ID: uuid.NewString(), Payload: payload,
	}, hash, nil
}
