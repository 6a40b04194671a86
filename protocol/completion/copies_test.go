package completion

import (
	"context"
	"testing"
	"time"

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

// TestTakeOverAnswerLost guards against a request that no process has any more: the process that ran it hands it over, and the
// answer does not reach the one that asked, as after a cut that held up the question until the asker had given up.
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

	finds, err := s.ask(ctx, takeOverMessage{ID: "r", Workspace: "w", By: "self"})
	if err != nil || len(finds[0].Copy.Tokens) != 1 || finds[0].Copy.Origin != "other" {
		t.Fatalf("got %+v, %v, want the copy that the process keeps for the other one", finds, err)
	}

	// The copy gives way to that of the process that goes on.
	taken, err := s.handleCopy(ctx, requestCopy{Request: request, Origin: "other", Term: answer.Copy.Term + 1})
	if err != nil || taken.Taken {
		t.Errorf("got %+v, %v for the copy of the process that goes on, want it kept", taken, err)
	}
}
