package completion

import (
	"context"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
)

// TestLateCopyOfFormerOwner guards against the loss of a request's only copy. The request was taken over, and then a copy, progress
// and a drop arrive late from the process that ran it before.
func TestLateCopyOfFormerOwner(t *testing.T) {
	supervisor := suture.NewSimple("test")
	s := NewRequests(supervisor, New(nil, inventory.New(supervisor, nil)))
	copyOf := func(origin apricotway.NodeID, term uint64, tokens ...string) requestCopy {
		return requestCopy{Request: Request{ID: "r"}, Origin: origin, Term: term, Tokens: tokens}
	}
	ctx := context.Background()

	if _, err := s.handleCopy(ctx, copyOf("owner", 2, "a", "b")); err != nil {
		t.Fatal(err)
	}

	late, err := s.handleCopy(ctx, copyOf("former", 1, "a"))
	if err != nil || !late.Taken {
		t.Errorf("got %v, %v for the copy of the former owner, want Taken", late, err)
	}

	progress, err := s.handleProgress(ctx, progressMessage{Origin: "former", Entries: []progressEntry{
		{ID: "r", Term: 1, From: 1, Tokens: []string{"x"}},
	}})
	if err != nil || len(progress.Taken) != 1 {
		t.Errorf("got %v, %v for the progress of the former owner, want Taken", progress, err)
	}

	if _, err := s.handleDrop(ctx, dropMessage{Origin: "former", IDs: []apricotway.RequestID{"r"}}); err != nil {
		t.Fatal(err)
	}

	progress, err = s.handleProgress(ctx, progressMessage{Origin: "owner", Entries: []progressEntry{
		{ID: "r", Term: 2, From: 2, Tokens: []string{"c"}},
	}})
	if err != nil || len(progress.Taken)+len(progress.Missing) != 0 {
		t.Errorf("got %v, %v for the owner's progress, want it stored", progress, err)
	}

	if got, want := s.HeldCopies(), 1; got != want {
		t.Errorf("got %d copies, want %d", got, want)
	}
}

// TestTakeOverAnswerLost guards against the loss of a request that is handed over when the answer to the takeover doesn't reach the
// process that asked, for example because a network partition delayed the message until that process had given up.
func TestTakeOverAnswerLost(t *testing.T) {
	supervisor := suture.NewSimple("test")
	s := NewRequests(supervisor, New(nil, inventory.New(supervisor, nil)))
	ctx, cancel := context.WithCancel(context.Background())

	defer cancel()

	request := Request{ID: "r", Workspace: "w", Deadline: time.Now().Add(time.Hour)}
	s.adopt(requestCopy{Request: request, Term: 2, Tokens: []string{"a"}}, apricotway.Member{}, 0)

	answer, err := s.handleTakeOver(ctx, takeOverMessage{ID: "r", Workspace: "w", By: "other"})
	if err != nil || !answer.Found || !answer.Live {
		t.Fatalf("got %+v, %v, want the running request", answer, err)
	}

	found, err := s.findCopies(ctx, takeOverMessage{ID: "r", Workspace: "w", By: "self"})
	if err != nil || len(found[0].Copy.Tokens) != 1 || found[0].Copy.Origin != "other" {
		t.Fatalf("got %+v, %v, want the copy that was kept for the other process", found, err)
	}

	// The kept copy is replaced by that of the process that took over.
	taken, err := s.handleCopy(ctx, requestCopy{Request: request, Origin: "other", Term: answer.Copy.Term + 1})
	if err != nil || taken.Taken {
		t.Errorf("got %+v, %v for the copy of the process that took over, want it kept", taken, err)
	}
}
