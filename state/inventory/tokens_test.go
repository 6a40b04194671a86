package inventory_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/inventory"
)

// TestTokens guards the entries of tokens in flight against counts that are lost or wrong, entries above the size, the loss
// of the busiest engines, and a crash on a damaged entry.
func TestTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := map[apricotway.BackendServerID]int{}
		for i, count := range rapid.SliceOf(rapid.IntRange(0, 1<<20)).Draw(t, "tokens") {
			tokens[apricotway.BackendServerID(fmt.Sprint(i))] = count
		}

		size := rapid.IntRange(0, 400).Draw(t, "size")
		encoded := inventory.EncodeTokens(tokens, size)
		counts, ok := inventory.DecodeTokens(encoded)
		sent, left := 1<<30, 0

		for id, want := range tokens {
			if got := counts.Of(id); got == 0 {
				left = max(left, want)
			} else if sent = min(sent, want); max(got-want, want-got) > 8 {
				t.Fatalf("got %d tokens at %s, want %d", got, id, want)
			}
		}

		// Counts are rounded to 16.
		if !ok || len(encoded) > size || left > 8 && left > sent+16 || len(counts) == 0 && left > 8 && size >= 8 {
			t.Fatalf("got %d of %d bytes, with %d tokens left out and %d sent", len(encoded), size, left, sent)
		}

		inventory.DecodeTokens(rapid.SliceOf(rapid.Byte()).Draw(t, "damaged"))
	})
}
