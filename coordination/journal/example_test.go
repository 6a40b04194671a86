package journal_test

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/memorylog"
)

// stock counts the parts in a store. It implements journal.State.
type stock struct {
	next  apricotway.Offset
	parts int
}

func (s *stock) Next() apricotway.Offset { return s.next }

func (s *stock) Fold(records []apricotway.StoredRecord) {
	for _, record := range records {
		var parts int
		if json.Unmarshal(record.Payload, &parts) == nil {
			s.parts += parts
		}

		s.next = record.Offset + 1
	}
}

func (s *stock) Restore([]byte) error { return errors.New("this state writes no checkpoints") }

// A writer finds out what became of an append whose answer was lost, and a follower folds each record once.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := memorylog.New()
	supervisor := suture.NewSimple("example")
	writer := journal.NewWriter(supervisor, log)
	done := supervisor.ServeBackground(ctx)

	// The first append takes effect and its answer is lost; the writer sends the record again under the same identifier.
	log.LoseAnswers(1)

	for id, parts := range map[string]string{"delivery-1": "40", "delivery-2": "2"} {
		record := apricotway.Record{SchemaVersion: 1, Kind: "delivery", ID: id, Payload: json.RawMessage(parts)}
		if _, err := writer.Append(ctx, "stock", record); err != nil {
			fmt.Println(err)
		}
	}

	state := &stock{next: 1}
	follower := journal.NewFollower(log, "stock", state)

	for end := false; !end; {
		var err error
		if end, err = follower.Step(ctx, 0); err != nil {
			fmt.Println(err)
			break
		}
	}

	fmt.Println("parts:", state.parts)
	cancel()
	<-done //nolint:errcheck // The end of a cancelled supervisor is no failure.
	// Output: parts: 42
}
