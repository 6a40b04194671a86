package account_test

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
)

var (
	shopKey = ed25519.NewKeyFromSeed(slices.Repeat([]byte{2}, ed25519.SeedSize))
	keys    = map[string]ed25519.PrivateKey{"mill": private, "shop": shopKey}
	both    = map[string]account.Signer{
		"mill": signers["mill"],
		"shop": {Owner: "tinbright", Keys: []ed25519.PublicKey{shopKey.Public().(ed25519.PublicKey)}},
	}
)

// usageStream is a usage stream that the test builds.
type usageStream []apricotway.StoredRecord

func (s *usageStream) put(records ...apricotway.Record) {
	for _, record := range records {
		*s = append(*s, apricotway.StoredRecord{Record: record, Offset: apricotway.Offset(len(*s) + 1)})
	}
}

func (s *usageStream) batch(tb interface{ Fatal(...any) }, batch account.Batch) {
	payload, err := json.Marshal(batch)
	if err != nil {
		tb.Fatal(err)
	}

	s.put(apricotway.Record{SchemaVersion: account.SchemaVersion, Kind: account.KindBatch, Payload: payload})
}

func (s *usageStream) mark(tb interface{ Fatal(...any) }, previous apricotway.Offset) {
	record, err := account.NewMark(previous)
	if err != nil {
		tb.Fatal(err)
	}

	s.put(record)
}

// fold folds the stream like a reader of a log that has trimmed everything below the oldest offset.
func (s *usageStream) fold(oldest apricotway.Offset, announced map[string]account.Signer) *account.Fold {
	kept := (*s)[oldest-1:]
	f := account.New(account.WithSigners(announced))

	if oldest > 1 {
		search := account.NewBaseSearch(oldest, announced)
		for _, record := range kept {
			search.Add(record)
		}

		if base, ok := search.Base(); ok {
			f.Restore(base)
		} else {
			f.SetTrimmed()
		}
	}

	for _, record := range kept {
		f.Apply(record)
	}

	return f
}

// state appends the statement that is due from a signer whose process reads from the oldest offset on.
func (s *usageStream) state(tb interface{ Fatal(...any) }, oldest apricotway.Offset, signer string) {
	if due, ok := s.fold(oldest, both).Due(signer); ok && due.State != nil {
		s.statement(tb, due.Mark, due.State, signer, keys[signer])
	}
}

func (s *usageStream) statement(
	tb interface{ Fatal(...any) }, mark apricotway.Offset, state []byte, signer string, key ed25519.PrivateKey,
) {
	records, err := account.NewStatement(mark, state, signer, key)
	if err != nil {
		tb.Fatal(err)
	}

	s.put(records...)
}

// kept returns the fields that do not depend on how much of the stream is trimmed.
func kept(s account.Account) account.Account {
	return account.Account{
		Totals: s.Totals, Batches: s.Batches, Repeats: s.Repeats, Open: s.Open, BatchFaults: s.BatchFaults,
		Regions: s.Regions, Costs: s.Costs,
	}
}

// TestStatementsKeepTotals guards against totals that change when the stream is trimmed below a complete statement: every
// reader must get the totals of the whole stream, also with repeated records, marks and statements by processes of both
// owners, and statements that one owner forges.
func TestStatementsKeepTotals(t *testing.T) {
	chains := [][]account.Batch{chainOf(t, "a", 6), chainOf(t, "b", 6), chainOf(t, "c", 3)}

	rapid.Check(t, func(t *rapid.T) {
		var s usageStream

		next := make([]int, len(chains))
		oldest, newest, complete := apricotway.Offset(1), apricotway.Offset(0), apricotway.Offset(0)
		forged := false

		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := len(s)
			signer := rapid.SampledFrom([]string{"mill", "shop"}).Draw(t, "signer")

			switch rapid.SampledFrom([]string{
				"batch", "batch", "batch", "hosts", "hosts", "lose", "mark", "stale", "state", "state", "state", "forge", "trim", "late",
			}).Draw(t, "step") {
			case "batch":
				i := rapid.IntRange(0, len(chains)-1).Draw(t, "chain")
				if next[i] < len(chains[i]) {
					s.batch(t, chains[i][next[i]])
					next[i]++
				}
			case "lose":
				i := rapid.IntRange(0, len(chains)-1).Draw(t, "chain")
				next[i] = min(next[i]+1, len(chains[i]))
			case "hosts":
				previous, from := s.fold(oldest, both).NextHostPeriod("r")
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
					previous++
				}

				s.hosts(t, drawHosts(t, previous, from), signer)
			case "mark":
				s.mark(t, newest)
				newest = apricotway.Offset(len(s))
			case "stale":
				s.mark(t, newest+1)
			case "state":
				s.state(t, oldest, signer)
			case "forge":
				// Only one owner forges; readers cannot detect a statement that both owners forge in the same way.
				if due, ok := s.fold(oldest, both).Due("shop"); ok && due.State != nil {
					forged = true
					state := strings.Replace(string(due.State), `"batches":`, `"batches":1`, 1)
					s.statement(t, due.Mark, []byte(state), "shop", shopKey)
				}
			case "late":
				if len(s) > 0 {
					s.put(s[rapid.IntRange(0, len(s)-1).Draw(t, "copied")].Record)
				}
			case "trim":
				oldest = apricotway.Offset(rapid.IntRange(int(oldest), max(int(oldest), int(complete))).Draw(t, "oldest"))
			}

			for range rapid.IntRange(0, 1).Draw(t, "copies") {
				for _, record := range slices.Clone(s[before:]) {
					s.put(record.Record)
				}
			}

			// Both owners have signed everything that is due, so the newest mark's statement is complete.
			if f := s.fold(oldest, both); f.Account().Statements > 0 || f.Account().Base > 0 {
				mill, _ := f.Due("mill")
				if shop, _ := f.Due("shop"); mill.State == nil && shop.State == nil {
					complete = mill.Mark
				}
			}
		}

		whole := s.fold(1, both).Account()
		for from := apricotway.Offset(1); from <= complete; from++ {
			trimmed := s.fold(from, both).Account()
			if got, want := kept(trimmed), kept(whole); !reflect.DeepEqual(got, want) {
				t.Fatalf("trimmed below %d: got %+v, want %+v", from, got, want)
			}

			if whole.BatchFaults == 0 && !forged && len(trimmed.Faults) > 0 {
				t.Fatalf("trimmed below %d: got faults %+v, want none", from, trimmed.Faults)
			}
		}
	})
}

// TestStatementFaults guards against a statement that differs from the batches and raises no fault: forged by an unknown signer
// or by one owner, altered after signing, a second one for the same mark, for an offset without a mark, or without batches that
// are still kept.
func TestStatementFaults(t *testing.T) {
	c := chainOf(t, "n", 4)

	// The mark is at 3 and the batches after it at 4 and 5.
	start := func() (usageStream, account.Due) {
		var s usageStream
		s.batch(t, c[0])
		s.batch(t, c[1])
		s.mark(t, 0)

		due, ok := s.fold(1, both).Due("mill")
		if !ok || due.Mark != 3 || due.State == nil {
			t.Fatalf("got %+v due, want a statement of offset 3", due)
		}

		s.batch(t, c[2])
		s.batch(t, c[3])

		return s, due
	}
	raised := func(state []byte) []byte {
		return []byte(strings.Replace(string(state), `"generatedTokens":3`, `"generatedTokens":9`, 1))
	}

	for _, test := range []struct {
		name string
		add  func(s *usageStream, due account.Due)
		want []account.FaultKind
		// repeats is the number of dropped copies, complete the number of complete statements.
		repeats, complete int
	}{
		{"none", func(*usageStream, account.Due) {}, nil, 0, 0},
		{"one owner", func(s *usageStream, due account.Due) { s.statement(t, 3, due.State, "mill", private) }, nil, 0, 0},
		{"both owners", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "mill", private)
			s.statement(t, 3, due.State, "shop", shopKey)
		}, nil, 0, 1},
		{"repeated", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "mill", private)
			s.statement(t, 3, due.State, "mill", private)
		}, nil, 1, 0},
		{"unsigned", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "", nil)
		}, []account.FaultKind{account.FaultSignature}, 0, 0},
		{"by a stranger", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "mill", shopKey)
		}, []account.FaultKind{account.FaultSignature}, 0, 0},
		{"forged by an owner", func(s *usageStream, due account.Due) {
			s.statement(t, 3, raised(due.State), "mill", private)
		}, []account.FaultKind{account.FaultStatement}, 0, 0},
		{"second of one signer", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "mill", private)
			s.statement(t, 3, raised(due.State), "mill", private)
		}, []account.FaultKind{account.FaultStatement}, 0, 0},
		{"altered", func(s *usageStream, due account.Due) {
			s.statement(t, 3, due.State, "mill", private)

			last := &(*s)[len(*s)-1]
			last.Payload = json.RawMessage(strings.Replace(string(last.Payload), `"mark":3`, `"mark":2`, 1))
		}, []account.FaultKind{account.FaultSignature}, 0, 0},
		{"no mark", func(s *usageStream, due account.Due) {
			s.statement(t, 2, due.State, "mill", private)
		}, []account.FaultKind{account.FaultStatement}, 0, 0},
		{"void mark", func(s *usageStream, due account.Due) {
			s.mark(t, 0)
			s.statement(t, 6, due.State, "mill", private)
		}, []account.FaultKind{account.FaultStatement}, 0, 0},
		{"no statement", func(s *usageStream, _ account.Due) {
			s.put(apricotway.Record{SchemaVersion: 1, Kind: account.KindStatement, Payload: json.RawMessage(`{}`)})
		}, []account.FaultKind{account.FaultMalformed}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, due := start()
			test.add(&s, due)

			got := s.fold(1, both).Account()
			if tokens(got) != 10 || got.StatementRepeats != test.repeats || got.Statements != test.complete {
				t.Errorf("got %d tokens, %d repeats and %d complete statements, want 10, %d and %d",
					tokens(got), got.StatementRepeats, got.Statements, test.repeats, test.complete)
			}

			var kinds []account.FaultKind
			for _, fault := range got.Faults {
				kinds = append(kinds, fault.Kind)
			}

			if !slices.Equal(kinds, test.want) || (len(kinds) > 0 && got.Faults[0].Offset < 6) {
				t.Errorf("got faults %+v, want %v at the statement", got.Faults, test.want)
			}
		})
	}

	// Both owners' keys sign a wrong statement. Readers that still find one of its batches in the stream report the fault.
	for _, test := range []struct {
		name, old, new string
		offset         apricotway.Offset
	}{
		{"lacks a kept batch", `"sequence":2`, `"sequence":1`, 2},
		{"other batch", `"hash":"`, `"hash":"0`, 2},
		{"lacks kept tokens", `"generatedTokens":3`, `"generatedTokens":1`, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, due := start()
			wrong := []byte(strings.Replace(string(due.State), test.old, test.new, 1))
			s.statement(t, 3, wrong, "mill", private)
			s.statement(t, 3, wrong, "shop", shopKey)

			got := s.fold(2, both).Account()
			if len(got.Faults) == 0 || got.Faults[0].Kind != account.FaultStatement || got.Faults[0].Offset != test.offset {
				t.Errorf("got faults %+v, want the one at offset %d first", got.Faults, test.offset)
			}
		})
	}

	t.Run("altered without signatures", func(t *testing.T) {
		s, due := start()
		s.statement(t, 3, due.State, "", nil)

		var part map[string]any
		if err := json.Unmarshal(s[len(s)-1].Payload, &part); err != nil {
			t.Fatal(err)
		}

		part["state"] = raised(due.State)

		payload, err := json.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}

		s[len(s)-1].Payload = payload

		if got := s.fold(2, nil).Account(); got.Base != 0 {
			t.Errorf("got base %d from a statement that does not fit its digest, want none", got.Base)
		}
	})
}

// TestNoStatementOfPart guards against a process that writes a statement although it has not read the trimmed start of the
// stream, and against a reader that accepts a statement that only one of the owners has signed.
func TestNoStatementOfPart(t *testing.T) {
	var s usageStream
	for _, batch := range chainOf(t, "n", 3) {
		s.batch(t, batch)
	}

	s.mark(t, 0)

	if due, ok := s.fold(2, both).Due("mill"); ok {
		t.Errorf("got %+v due without the start of the stream, want nothing", due)
	}

	s.state(t, 1, "mill")

	if got := s.fold(2, both).Account(); got.Base != 0 || got.TrimmedChains != 1 {
		t.Errorf("got base %d and %d trimmed chains from one owner's statement, want 0 and 1", got.Base, got.TrimmedChains)
	}

	s.state(t, 1, "shop")

	if got := s.fold(2, both).Account(); got.Base != 4 || got.TrimmedChains != 0 || tokens(got) != 6 {
		t.Errorf("got base %d, %d trimmed chains, %d tokens; want 4, 0, 6", got.Base, got.TrimmedChains, tokens(got))
	}
}

// TestOneMark guards against two statements for one interval when two processes append a mark at the same time: only the mark
// that is first in the log is in force.
func TestOneMark(t *testing.T) {
	var s usageStream
	s.mark(t, 0)
	s.mark(t, 0)

	if due, _ := s.fold(1, both).Due("mill"); due.Mark != 1 {
		t.Errorf("got mark %d in force, want 1", due.Mark)
	}

	s.mark(t, 1)

	if due, _ := s.fold(1, both).Due("mill"); due.Mark != 3 {
		t.Errorf("got mark %d in force, want 3", due.Mark)
	}
}

// TestStatementParts guards against a statement that counts as complete although one of its parts is missing.
func TestStatementParts(t *testing.T) {
	const nodes = 2500

	var s usageStream
	for i := range nodes {
		s.batch(t, account.Batch{
			Node: apricotway.NodeID(fmt.Sprint("entry-", i)), Sequence: 1, Last: true,
			Entries: []account.Entry{{Usage: account.Usage{GeneratedTokens: 1}}},
		})
	}

	s.mark(t, 0)

	due, _ := s.fold(1, nil).Due("")

	records, err := account.NewStatement(due.Mark, due.State, "", nil)
	if err != nil || len(records) != 2 {
		t.Fatalf("got %d parts and %v, want 2 parts", len(records), err)
	}

	s.put(records[1])

	if got := s.fold(2, nil).Account(); got.Base != 0 {
		t.Errorf("got base %d from one of two parts, want none", got.Base)
	}

	s.put(records[0])

	got := s.fold(nodes, nil).Account()
	if got.Base != due.Mark || tokens(got) != nodes || len(got.Faults) > 0 {
		t.Errorf("got base %d, %d tokens, faults %v; want %d, %d and none", got.Base, tokens(got), got.Faults, due.Mark, nodes)
	}
}

// TestFurtherOwner guards against an owner who joins later and makes all earlier statements incomplete, so that no process
// could write a statement on a trimmed stream again; and against accepting a later statement without that owner's signature.
func TestFurtherOwner(t *testing.T) {
	var s usageStream

	c := chainOf(t, "n", 2)
	s.batch(t, c[0])
	s.mark(t, 0)
	s.state(t, 1, "mill")

	announced := map[string]account.Signer{"mill": both["mill"], "shop": both["shop"]}
	if got := s.fold(2, announced).Account(); got.Base != 0 {
		t.Errorf("got base %d without the signature of an owner from the start on, want none", got.Base)
	}

	shop := announced["shop"]
	shop.Since = 4
	announced["shop"] = shop

	if got := s.fold(2, announced).Account(); got.Base != 2 || tokens(got) != 1 {
		t.Errorf("got base %d and %d tokens, want 2 and 1", got.Base, tokens(got))
	}

	s.batch(t, c[1])
	s.mark(t, 2)
	s.state(t, 1, "mill")

	if got := s.fold(3, announced).Account(); got.Base != 0 {
		t.Errorf("got base %d without the signature of the further owner, want none", got.Base)
	}

	s.state(t, 1, "shop")

	if got := s.fold(3, announced).Account(); got.Base != 5 || tokens(got) != 3 {
		t.Errorf("got base %d and %d tokens, want 5 and 3", got.Base, tokens(got))
	}
}

// TestFaultOrder guards against faults out of stream order: the batches that a wrong statement does not include are found in
// the order of the nodes, but the first fault must name the first faulty batch of the stream.
func TestFaultOrder(t *testing.T) {
	var s usageStream
	s.batch(t, chainOf(t, "z", 1)[0])
	s.batch(t, chainOf(t, "y", 1)[0])
	s.batch(t, chainOf(t, "x", 1)[0])
	s.mark(t, 0)

	for _, signer := range []string{"mill", "shop"} {
		s.statement(t, 4, []byte(`{"mark": 4}`), signer, keys[signer])
	}

	got := s.fold(2, both).Account().Faults
	if len(got) < 2 || got[0].Offset != 2 || got[1].Offset != 3 {
		t.Errorf("got faults %+v, want those of offsets 2 and 3 first", got)
	}
}
