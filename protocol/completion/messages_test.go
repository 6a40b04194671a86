package completion

import (
	"context"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"
	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
	_ "github.com/apricotway/apricotway/internal/fixedseed"
)

// TestImpossibleMessages guards against messages of a peer that decode but have invalid contents: they must not crash the process,
// which would break off the answers of all its callers. A copy must never hold more tokens than were sent.
func TestImpossibleMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		supervisor := suture.NewSimple("test")
		s := NewRequests(supervisor, New(nil, inventory.New(supervisor, nil)))
		defer s.cancel()

		ctx := context.Background()
		sent := 0

		id := rapid.Map(rapid.SampledFrom([]string{"", "r", "s"}), func(s string) apricotway.RequestID { return apricotway.RequestID(s) })
		node := rapid.Map(rapid.SampledFrom([]string{"", "a", "b"}), func(s string) apricotway.NodeID { return apricotway.NodeID(s) })
		texts := rapid.SliceOfN(rapid.SampledFrom([]string{"", "x", "\xc3"}), 0, 3)
		finish := rapid.SampledFrom([]apricotway.FinishReason{"", apricotway.FinishStop, "?"})
		term := rapid.Uint64Range(0, 2)
		index := rapid.OneOf(rapid.IntRange(-1, 4), rapid.Int())

		t.Repeat(map[string]func(*rapid.T){
			"copy": func(t *rapid.T) {
				message := requestCopy{
					Request: Request{ID: id.Draw(t, "id")}, Origin: node.Draw(t, "origin"), Term: term.Draw(t, "term"),
					Tokens: texts.Draw(t, "tokens"), Finish: finish.Draw(t, "finish"),
					Remaining: time.Duration(rapid.Int64().Draw(t, "remaining")),
				}
				sent += len(message.Tokens)

				_, _ = s.handleCopy(ctx, message)
			},
			"progress": func(t *rapid.T) {
				entry := progressEntry{
					ID: id.Draw(t, "id"), Term: term.Draw(t, "term"), From: index.Draw(t, "from"),
					Tokens: texts.Draw(t, "tokens"), Finish: finish.Draw(t, "finish"),
				}
				sent += len(entry.Tokens)

				_, _ = s.handleProgress(ctx, progressMessage{Origin: node.Draw(t, "origin"), Entries: []progressEntry{entry}})
			},
			"drop": func(t *rapid.T) {
				_, _ = s.handleDrop(ctx, dropMessage{Origin: node.Draw(t, "origin"), IDs: []apricotway.RequestID{id.Draw(t, "id")}})
			},
			"take over": func(t *rapid.T) {
				message := takeOverMessage{ID: id.Draw(t, "id"), By: node.Draw(t, "by")}
				if _, err := s.handleTakeOver(ctx, message); err != nil {
					t.Fatal(err)
				}
			},
			"go on": func(t *rapid.T) {
				id := id.Draw(t, "id")
				// A takeover of an incomplete answer would need an engine, which the test doesn't have.
				if held, ok := s.copies[id]; ok && held.Finish == "" {
					t.Skip("the copy is not complete")
				}

				if _, err := s.handleTakeOver(ctx, takeOverMessage{ID: id, Start: true}); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for id, held := range s.copies {
					if got := len(held.Tokens); got > sent {
						t.Errorf("copy of %s: got %d tokens, want at most the %d that were sent", id, got, sent)
					}
				}
			},
		})
	})
}
