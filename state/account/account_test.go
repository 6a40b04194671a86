package account_test

import (
	"crypto/ed25519"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
	"github.com/apricotway/apricotway/state/account"
)

var (
	seed    = make([]byte, ed25519.SeedSize)
	private = ed25519.NewKeyFromSeed(seed)
	signers = map[string]account.Signer{
		"mill": {Owner: "association", Keys: []ed25519.PublicKey{private.Public().(ed25519.PublicKey)}},
	}
)

// chainOf returns the batches of one process, batch i with i+1 generated tokens.
func chainOf(tb interface{ Fatal(...any) }, node apricotway.NodeID, count int) []account.Batch {
	batches := make([]account.Batch, count)
	previous := ""

	for i := range batches {
		batch, err := account.Batch{
			Node: node, Sequence: uint64(i + 1), Previous: previous,
			From: time.Unix(int64(i), 0).UTC(), To: time.Unix(int64(i+1), 0).UTC(), Last: i == count-1,
			Entries: []account.Entry{{
				Key:   account.Key{Workspace: apricotway.Workspace("w-" + node)},
				Usage: account.Usage{GeneratedTokens: int64(i + 1), EngineMicroseconds: int64(i+1) * 1_000_000},
			}},
		}.Sign("mill", private)
		if err != nil {
			tb.Fatal(err)
		}

		if previous, err = batch.Hash(); err != nil {
			tb.Fatal(err)
		}

		batches[i] = batch
	}

	return batches
}

func fold(tb interface{ Fatal(...any) }, batches ...account.Batch) account.Account {
	f := account.New(account.WithSigners(signers))

	for i, batch := range batches {
		payload, err := json.Marshal(batch)
		if err != nil {
			tb.Fatal(err)
		}

		f.Apply(apricotway.StoredRecord{
			Record: apricotway.Record{SchemaVersion: account.SchemaVersion, Kind: account.KindBatch, Payload: payload},
			Offset: apricotway.Offset(i + 1),
		})
	}

	return f.Account()
}

func tokens(statement account.Account) int64 {
	var sum int64
	for _, entry := range statement.Totals {
		sum += entry.GeneratedTokens
	}

	return sum
}

// TestFaults guards against batches that are lost, repeated, altered, reordered or forged without a fault in the account, and
// against counting a faulty batch.
func TestFaults(t *testing.T) {
	alter := func(batch account.Batch) account.Batch {
		batch.Entries = []account.Entry{{Key: account.Key{Workspace: "w"}, Usage: account.Usage{GeneratedTokens: 100}}}
		return batch
	}
	resign := func(batch account.Batch) account.Batch {
		signed, err := batch.Sign("mill", private)
		if err != nil {
			t.Fatal(err)
		}

		return signed
	}
	c := chainOf(t, "n", 3)
	stranger, err := c[1].Sign("stranger", ed25519.NewKeyFromSeed(slices.Repeat([]byte{1}, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}

	for _, test := range []struct {
		name    string
		batches []account.Batch
		tokens  int64
		repeats int
		faults  []account.FaultKind
		offset  apricotway.Offset
	}{
		{"whole", c, 6, 0, nil, 0},
		{"repeated", []account.Batch{c[0], c[0], c[1], c[2], c[2]}, 6, 2, nil, 0},
		{"lost", []account.Batch{c[0], c[2]}, 4, 0, []account.FaultKind{account.FaultGap}, 2},
		{
			"altered without a new signature",
			[]account.Batch{c[0], alter(c[1]), c[2]},
			4, 0,
			[]account.FaultKind{account.FaultSignature, account.FaultGap},
			2,
		},
		{
			"altered by its signer",
			[]account.Batch{c[0], resign(alter(c[1])), c[2]},
			101, 0,
			[]account.FaultKind{account.FaultChain},
			3,
		},
		{
			"two under one number",
			[]account.Batch{c[0], c[1], resign(alter(c[1])), c[2]},
			6, 0,
			[]account.FaultKind{account.FaultChain},
			3,
		},
		{
			"out of order",
			[]account.Batch{c[1], c[0], c[2]},
			5, 0,
			[]account.FaultKind{account.FaultGap, account.FaultChain},
			1,
		},
		{"forged", []account.Batch{c[0], stranger}, 1, 0, []account.FaultKind{account.FaultSignature}, 2},
		{"second incarnation", append(chainOf(t, "m", 1), c...), 7, 0, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			statement := fold(t, test.batches...)
			if got := tokens(statement); got != test.tokens {
				t.Errorf("got %d tokens, want %d", got, test.tokens)
			}

			if got := statement.Repeats; got != test.repeats {
				t.Errorf("got %d repeats, want %d", got, test.repeats)
			}

			var got []account.FaultKind
			for _, fault := range statement.Faults {
				got = append(got, fault.Kind)
			}

			if !slices.Equal(got, test.faults) {
				t.Fatalf("got faults %v, want %v", got, test.faults)
			}

			if len(got) > 0 && statement.Faults[0].Offset != test.offset {
				t.Errorf("got first fault at offset %d, want %d", statement.Faults[0].Offset, test.offset)
			}
		})
	}
}

// TestRepeatedAppends guards against totals that change when an append is retried: immediate repeats and any interleaving of
// the processes' batches must give exactly the same totals.
func TestRepeatedAppends(t *testing.T) {
	a, b := chainOf(t, "a", 5), chainOf(t, "b", 5)

	rapid.Check(t, func(t *rapid.T) {
		first, second := a, b

		var stream []account.Batch

		for len(first)+len(second) > 0 {
			from := &first
			if len(first) == 0 || (len(second) > 0 && rapid.Bool().Draw(t, "second")) {
				from = &second
			}

			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				stream = append(stream, (*from)[0])
			}

			*from = (*from)[1:]
		}

		statement := fold(t, stream...)
		if got, want := tokens(statement), int64(30); got != want || len(statement.Faults) > 0 || statement.Open > 0 {
			t.Fatalf("got %d tokens, want %d; faults %v, %d open", got, want, statement.Faults, statement.Open)
		}
	})
}

// TestTrimmedStream guards against a gap fault for batches that the log service has trimmed, and against a missing fault for a
// real gap in a trimmed stream.
func TestTrimmedStream(t *testing.T) {
	c := chainOf(t, "n", 5)
	f := account.New()
	f.SetTrimmed()

	for i, batch := range []account.Batch{c[1], c[2], c[4]} {
		payload, err := json.Marshal(batch)
		if err != nil {
			t.Fatal(err)
		}

		f.Apply(apricotway.StoredRecord{
			Record: apricotway.Record{SchemaVersion: account.SchemaVersion, Kind: account.KindBatch, Payload: payload},
			Offset: apricotway.Offset(i + 7),
		})
	}

	got := f.Account()
	if got.TrimmedChains != 1 || len(got.Faults) != 1 || got.Faults[0].Kind != account.FaultGap {
		t.Errorf("got %d trimmed chains and faults %v, want 1 and the gap before batch 5", got.TrimmedChains, got.Faults)
	}
}
