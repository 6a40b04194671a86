package duty

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// Kind is the kind of a record in the duty log.
type Kind string

// The kinds of records.
const (
	// KindClaim makes Node the holder.
	KindClaim Kind = "claim"
	// KindUsage holds a usage report that the holder sends to the platform.
	KindUsage Kind = "usage"
	// KindSkip states that no usage up to Window is reported any more.
	KindSkip Kind = "skip"
)

// record is one record of the duty log.
type record struct {
	Kind  Kind                    `json:"kind"`
	Node  apricotway.NodeID       `json:"node"`
	Usage *apricotway.UsageReport `json:"usage,omitempty"`
	// Window is the last window of a KindSkip record.
	Window int64 `json:"window,omitempty"`
	// Claim is the fencing number under which a report or skip was recorded. The record of that claim may have been trimmed.
	Claim apricotway.Offset `json:"claim,omitempty"`
	// Era is the era of the store that the writer knew.
	Era apricotway.StoreEra `json:"era,omitempty"`
}

// LastUsage returns the newest usage report in the log, nil if there is none of the present era. A report of an earlier era may have been
// appended by a process that didn't know of the restore, and never sent.
func (d *Duty) LastUsage() *apricotway.UsageReport {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.usage
}

// LastWindow returns the newest window that any process is known to have recorded a report of, 0 if there is none. The record may be lost
// since, while the platform has received the report.
func (d *Duty) LastWindow() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.lastWindow
}

// LearnWindow records a window that another process knows to have been reported.
func (d *Duty) LearnWindow(window int64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.lastWindow = max(d.lastWindow, window)
}

// UsageSettled reports whether the log tells which windows have been reported. After it has gone back or was trimmed, that is so from the
// next report or skip on.
func (d *Duty) UsageSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.settled
}

// Skipped returns the newest window up to which no usage is reported any more, 0 if there is none.
func (d *Duty) Skipped() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.skipped
}

// LastState returns a part of the saved state that this process read when it last claimed the duties, nil if there was none.
func (d *Duty) LastState(part apricotway.StatePart) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.state[part]
}

// SaveState saves a part of the holder's state for its successor, replacing the one saved before.
func (d *Duty) SaveState(ctx context.Context, part apricotway.StatePart, state []byte) error {
	if holder, held := d.HeldEvenIfLeaving(); !held {
		return errors.Wrapf(ErrNotHolder, "save state, newest known fencing number %d", holder.Number)
	}

	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	if err := d.log.SaveState(ctx, part, state); err != nil {
		return errors.Wrap(err, "save the duty holder's state")
	}

	return nil
}

// loadState reads the state that the last holder saved.
func (d *Duty) loadState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	state := map[apricotway.StatePart][]byte{}

	for _, part := range []apricotway.StatePart{apricotway.StateCounts, apricotway.StateCrashes} {
		content, err := d.log.State(ctx, part)
		if err != nil {
			return errors.Wrap(err, "read the state of the previous duty holder")
		}

		state[part] = content
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.state = state

	return nil
}

// ReadState reads a part of the state that the holder saved last.
func (d *Duty) ReadState(ctx context.Context, part apricotway.StatePart) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	state, err := d.log.State(ctx, part)
	if err != nil {
		return nil, errors.Wrap(err, "read the duty holder's state")
	}

	return state, nil
}

// RecordUsage appends a usage report to the log. It fails if this process is not the holder or if another record has been appended
// since this process last read the log.
func (d *Duty) RecordUsage(ctx context.Context, report apricotway.UsageReport) error {
	holder, held := d.Held()
	if !held {
		return ErrNotHolder
	}

	return d.append(ctx, record{Kind: KindUsage, Node: holder.Node, Claim: holder.Number, Usage: &report})
}

// RecordSkip records that no usage up to a window is reported any more. It fails like RecordUsage.
func (d *Duty) RecordSkip(ctx context.Context, window int64) error {
	holder, held := d.Held()
	if !held {
		return ErrNotHolder
	}

	return d.append(ctx, record{Kind: KindSkip, Node: holder.Node, Claim: holder.Number, Window: window})
}

// append appends a record right after the last one read. On any error, a conflict and an unknown outcome included, it requests
// another read of the log.
func (d *Duty) append(ctx context.Context, r record) error {
	d.appending.Lock()
	defer d.appending.Unlock()

	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	began := d.boot()

	d.mu.Lock()
	at := d.next
	r.Era = d.era
	d.mu.Unlock()

	content, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode duty log record")
	}

	era, err := d.log.AppendAt(ctx, at, content)
	if err == nil && era != r.Era {
		// The record lies behind others that this process doesn't know.
		err = errors.Wrapf(ErrEraChanged, "appended in era %d, known is %d", era, r.Era)
	}

	if err != nil {
		d.mu.Lock()
		d.stale = true
		d.mu.Unlock()

		return errors.Wrapf(err, "append to the duty log at offset %d", at)
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if d.next == at && d.era == r.Era {
		d.apply(at, r)
		d.verifiedAt = max(d.verifiedAt, began)
	}

	return nil
}

// apply applies the record at an offset. The caller holds d.mu.
func (d *Duty) apply(at apricotway.Offset, r record) {
	d.next = at + 1

	// The writer didn't know of the restore after which the records before were written. No process knows an era before the store.
	if r.Era < d.recordEra || r.Era > d.era {
		d.logger.Info("ignored a duty log record of another era", "event", 362, "offset", at, "kind", r.Kind, "node", r.Node, "era",
			r.Era, "current", d.recordEra)

		return
	}

	d.recordEra = r.Era

	switch r.Kind {
	case KindClaim:
		d.applyClaim(apricotway.DutyHolder{Node: r.Node, Number: fencingNumber(r.Era, at)})
	case KindUsage, KindSkip:
		d.applyUsage(r)
	default:
		// A newer build wrote it. It may be a claim or a report.
		d.logger.Info("met a duty log record of an unknown kind", "event", 246, "offset", at, "kind", r.Kind, "node", r.Node)
		d.unknown(string(r.Kind))
		d.noteGap()
	}
}

// applyClaim applies a claim that was read or appended. The caller holds d.mu.
func (d *Duty) applyClaim(claim apricotway.DutyHolder) {
	if d.claim.Number > 0 && d.claim.Node != claim.Node {
		d.mayActFrom = d.boot() + d.takeoverWait()

		if d.claim.Node == d.self {
			d.deposedAt = d.boot()
		}
	}

	d.claim = claim
	if claim.Number <= d.holder.Number {
		return
	}

	d.renewed, d.predecessor, d.fresh = 0, "", apricotway.DutyHolder{}

	if d.read && claim.Node != d.self {
		d.fresh, d.freshAt = claim, d.boot()
	}

	switch {
	case claim.Node == d.self && d.holder.Node == d.self:
		d.renewed = d.holder.Number
	case claim.Node == d.self:
		d.predecessor = d.holder.Node
	}

	d.holder = claim
}

// applyUsage applies a report or skip that was read or appended. The caller holds d.mu.
func (d *Duty) applyUsage(r record) {
	switch {
	case r.Claim > d.claim.Number:
		// The record of the claim was trimmed.
		d.claim = apricotway.DutyHolder{Node: r.Node, Number: r.Claim}
		if r.Claim > d.holder.Number {
			d.holder, d.renewed = d.claim, 0
		}
	case r.Claim == d.claim.Number && r.Claim > 0:
	case r.Claim == 0 && r.Node == d.claim.Node:
		// Older builds don't name the claim.
	default:
		// A deposed holder appended it after its successor's claim.
		return
	}

	if r.Usage != nil {
		d.lastWindow = max(d.lastWindow, r.Usage.Window)

		if r.Era == d.era && (d.usage == nil || r.Usage.Window > d.usage.Window) {
			d.usage = r.Usage
		}
	}

	d.skipped = max(d.skipped, r.Window)
	d.settled = r.Era == d.era
}

// enterEra drops what was read from the log in an earlier era: its newest records are gone, and their offsets are given out again. The
// newest known holder remains, since processes report to it until a claim of the new era shows. The caller holds d.mu.
func (d *Duty) enterEra(era apricotway.StoreEra) {
	d.era, d.read, d.next, d.recordEra = era, false, 1, 0
	d.claim, d.usage, d.settled = apricotway.DutyHolder{}, nil, false
	d.verifiedAt, d.stale = 0, true
}

// noteGap drops what records that this process did not read, as they were trimmed before or are of an unknown kind, may have changed: there
// may be a later claim among them. The caller holds d.mu.
func (d *Duty) noteGap() {
	d.claim, d.usage, d.settled = apricotway.DutyHolder{}, nil, false

	if d.read && d.holder.Node == d.self {
		d.fenced = max(d.fenced, d.holder.Number)
	}
}

// refresh reads the log to its end.
func (d *Duty) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()

	began := d.boot()

	d.mu.Lock()
	from, known := d.next, d.era
	d.mu.Unlock()

	found, err := d.log.ReadFrom(ctx, from)

	if err == nil && found.Era != known || errors.Is(err, apricotway.ErrTrimmed) {
		d.mu.Lock()
		d.enterEra(found.Era)
		d.mu.Unlock()

		// In another era the offset stands for another place. Without eras, a log that ends before it has gone back as well.
		if from > 1 {
			found, err = d.log.ReadFrom(ctx, 1)
		}
	}

	if err != nil {
		return errors.Wrap(err, "read the duty log")
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if found.Era != d.era {
		d.stale = true
		return errors.Wrapf(ErrEraChanged, "read in era %d, known is %d", found.Era, d.era)
	}

	if found.First > d.next {
		d.noteGap()
	}

	for i, content := range found.Records {
		at := found.First + apricotway.Offset(i)
		if at < d.next {
			continue
		}

		var r record
		if err := json.Unmarshal(content, &r); err != nil {
			d.logger.Info("ignored an undecodable duty log record", "event", 294, "offset", at, "error", err.Error())

			// Of a record with one odd field, the others have been decoded. It names no holder, but may be a report.
			d.next, d.usage, d.settled = at+1, nil, false

			continue
		}

		d.apply(at, r)
	}

	d.next = max(d.next, found.End)
	d.read, d.stale, d.maybeSuspended = true, false, false
	d.verifiedAt = max(d.verifiedAt, began)

	return nil
}
