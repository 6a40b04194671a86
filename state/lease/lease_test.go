package lease_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/lease"
)

var terms = lease.Terms{TTL: 10 * time.Second, Margin: time.Second, MaxOrder: 5 * time.Second}

// TestOrderDecides guards against two holders: of two claims that replace the same record only the first counts, a repeated
// record has no effect, and a renewal increases the fencing number.
func TestOrderDecides(t *testing.T) {
	start := time.Now()
	fold := lease.New()

	var records []apricotway.Record

	for _, test := range []struct {
		replaces apricotway.Offset
		copyOf   int
		holder   apricotway.NodeID
		wins     bool
	}{
		{0, -1, "a", true},
		{0, -1, "b", false},
		{0, 0, "a", false},
		{1, -1, "a", true},
		{1, -1, "b", false},
		{4, -1, "b", true},
		{4, -1, "a", false},
		{0, -1, "a", false},
		{9, -1, "a", false},
	} {
		record, err := lease.NewRecord(test.replaces, test.holder)
		if err != nil {
			t.Fatal(err)
		}

		if test.copyOf >= 0 {
			record = records[test.copyOf]
		}

		records = append(records, record)
		offset := apricotway.Offset(len(records))
		read := start.Add(time.Duration(offset) * time.Second)

		if got := fold.Apply(apricotway.StoredRecord{Record: record, Offset: offset}, read); got != test.wins {
			t.Errorf("record %d: got %v, want %v", offset, got, test.wins)
		}

		want := lease.Current{Number: offset, Record: record.ID, Holder: test.holder, Read: read}
		if got := fold.Current(); test.wins && got != want {
			t.Errorf("record %d: got %v, want %v", offset, got, want)
		}
	}
}

// TestTerms guards against a holder that is active when another process may claim the lease, and against an order that
// outlives the lease.
func TestTerms(t *testing.T) {
	sent := time.Now()
	valid := terms.ValidUntil(sent)
	// Another process reads the record no earlier than it was sent.
	challenge := terms.ChallengeAt(lease.Current{Number: 3, Read: sent})

	if got := challenge.Sub(valid); got != 2*terms.Margin {
		t.Errorf("got %s between the holder's end and the challenge, want %s", got, 2*terms.Margin)
	}

	for _, test := range []struct {
		after, lifetime time.Duration
		given           bool
	}{
		{0, 5 * time.Second, true},
		{6 * time.Second, 3 * time.Second, true},
		{9 * time.Second, 0, false},
		{time.Hour, 0, false},
	} {
		now := sent.Add(test.after)

		order, given := terms.NewOrder(3, valid, now)
		if given != test.given || given && order != (lease.Order{Number: 3, NotAfter: now.Add(test.lifetime)}) {
			t.Errorf("after %s: got %v %v, want a lifetime of %s", test.after, order, given, test.lifetime)
		}
	}

	if _, given := terms.NewOrder(0, valid, sent); given {
		t.Error("an order was given without a fencing number")
	}
}

// TestLaterSchema guards against a holder that goes on, and one that takes the lease, beside a lease record that only a newer build can read.
func TestLaterSchema(t *testing.T) {
	fold := lease.New()
	read := time.Now()

	first, err := lease.NewRecord(0, "a")
	if err != nil {
		t.Fatal(err)
	}

	later := first
	later.ID, later.SchemaVersion = "later", 2

	renewal, err := lease.NewRecord(2, "a")
	if err != nil {
		t.Fatal(err)
	}

	for i, record := range []apricotway.Record{first, later, renewal} {
		got := fold.Apply(apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(i + 1)}, read)
		if want := i == 0; got != want {
			t.Errorf("record %d: got %t, want %t", i+1, got, want)
		}
	}

	if got, want := fold.Current().Holder, apricotway.NodeID(""); got != want {
		t.Errorf("got holder %q, want none", got)
	}
}
