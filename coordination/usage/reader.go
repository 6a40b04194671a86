package usage

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

// readLimit is the maximum number of records in one read.
const readLimit = 1000

// Reader computes the account from the usage stream. If the start of the stream is trimmed, the account is restored from a
// complete statement. It is not safe for concurrent use.
type Reader struct {
	log     apricotway.Log
	signers map[string]account.Signer
	options []account.Option
	fold    *account.Fold
	next    apricotway.Offset
}

// NewReader returns a reader at the start of the stream. With nil signers it does not check signatures.
func NewReader(log apricotway.Log, signers map[string]account.Signer, options ...account.Option) *Reader {
	r := &Reader{log: log, signers: signers, options: append(options, account.WithSigners(signers))}
	r.reset()

	return r
}

func (r *Reader) reset() {
	r.fold, r.next = account.New(r.options...), 1
}

// Fold returns the account of the records read so far. CatchUp may replace it.
func (r *Reader) Fold() *account.Fold { return r.fold }

// CatchUp reads to the end of the stream.
func (r *Reader) CatchUp(ctx context.Context) error {
	for {
		batch, err := r.log.Read(ctx, apricotway.StreamUsage, r.next, readLimit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest > r.next {
			// The records in between are no longer kept, so the whole state is replaced by a statement's.
			if err := r.restart(ctx, batch.Oldest); err != nil {
				return err
			}

			continue
		}

		if err != nil {
			return errors.Wrap(err, "read usage stream")
		}

		for _, record := range batch.Records {
			r.fold.Apply(record)
		}

		if len(batch.Records) == 0 {
			return nil
		}

		r.next = batch.Next
	}
}

// restart replaces the state by that of a complete statement in the kept records, if there is one, and continues reading at the
// oldest kept record.
func (r *Reader) restart(ctx context.Context, oldest apricotway.Offset) error {
	search := account.NewBaseSearch(oldest, r.signers)

	for from := oldest; ; {
		batch, err := r.log.Read(ctx, apricotway.StreamUsage, from, readLimit, 0)
		if errors.Is(err, apricotway.ErrTrimmed) && batch.Oldest > from {
			oldest, from = batch.Oldest, batch.Oldest
			search = account.NewBaseSearch(oldest, r.signers)

			continue
		}

		if err != nil {
			return errors.Wrap(err, "search usage stream for a complete statement")
		}

		for _, record := range batch.Records {
			search.Add(record)
		}

		if len(batch.Records) == 0 {
			break
		}

		from = batch.Next
	}

	r.reset()
	r.next = oldest

	if base, ok := search.Base(); ok {
		r.fold.Restore(base)
	} else {
		r.fold.SetTrimmed()
	}

	return nil
}
