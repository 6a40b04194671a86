package completion

import (
	"context"
	"testing"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/inventory"
)

// TestLateCopyOfFormerOwner guards against the loss of a request's only copy: a copy, progress and a drop of a process that
// has handed the request over arrive after those of the process that goes on with it.
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
		t.Errorf("got %v, %v for the owner's progress, want it taken over", progress, err)
	}

	if got, want := s.Copies(), 1; got != want {
		t.Errorf("got %d copies, want %d", got, want)
	}
}
