package account_test

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/lease"
)

// TestHostHistory guards against host time before the creation or after the release of a host, and against host time that is
// counted twice after a repeated record.
func TestHostHistory(t *testing.T) {
	history := account.NewHostHistory("fleet-r")
	market := fleet.Market{Zone: "a", MachineClass: "standard", Reclaimable: true}
	at := func(second int64) time.Time { return time.Unix(second, 0).UTC() }
	next := apricotway.Offset(1)
	put := func(second int64, record apricotway.Record) {
		history.Apply(apricotway.StoredRecord{Record: record, Offset: next, Time: at(second)})
		next++
	}
	fleetRecord := func(second int64, kind string, payload any) {
		record, err := fleet.NewRecord(kind, 1, payload)
		if err != nil {
			t.Fatal(err)
		}

		put(second, record)
	}

	claim, err := lease.NewRecord(0, "n")
	if err != nil {
		t.Fatal(err)
	}

	put(0, claim)
	fleetRecord(10, fleet.KindIntent, fleet.Intent{Sequence: 1, Action: fleet.ActionCreate, Market: market})
	fleetRecord(20, fleet.KindOutcome, fleet.Outcome{Sequence: 1, Result: fleet.ResultCreated, Host: "h"})
	fleetRecord(25, fleet.KindOutcome, fleet.Outcome{Sequence: 1, Result: fleet.ResultCreated, Host: "h"})
	fleetRecord(30, fleet.KindIntent, fleet.Intent{Sequence: 2, Action: fleet.ActionRelease, Market: market, Host: "h"})
	fleetRecord(50, fleet.KindOutcome, fleet.Outcome{Sequence: 2, Result: fleet.ResultReleased})
	fleetRecord(90, fleet.KindOutcome, fleet.Outcome{Sequence: 2, Result: fleet.ResultReleased})

	if got, want := history.Now(), at(90); !got.Equal(want) {
		t.Errorf("got a history up to %s, want %s", got, want)
	}

	for _, test := range []struct{ from, to, seconds int64 }{
		{0, 20, 0}, {0, 90, 30}, {0, 30, 10}, {30, 40, 10}, {40, 90, 10}, {50, 90, 0},
	} {
		var want []account.HostTime
		if test.seconds > 0 {
			want = []account.HostTime{{Market: market, Microseconds: test.seconds * 1_000_000}}
		}

		if got := history.Between(at(test.from), at(test.to)); !slices.Equal(got, want) {
			t.Errorf("%d to %d: got %v, want %v", test.from, test.to, got, want)
		}
	}

	history.Forget(at(50))

	if got := history.Between(at(0), at(90)); len(got) > 0 {
		t.Errorf("got %v of a host that is forgotten, want none", got)
	}
}
