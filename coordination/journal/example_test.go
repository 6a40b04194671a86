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

// stock counts the parts in a warehouse. It implements journal.State.
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

// A writer finds out whether an append whose answer was lost took effect, and a follower applies each record once.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := memorylog.New()
	supervisor := suture.NewSimple("example")
	writer := journal.NewWriter(supervisor, log)
	done := supervisor.ServeBackground(ctx)

	// The first append takes effect, but its answer is lost. The writer reads the stream and finds its record there.
	log.LoseNextAnswers(1)

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
	<-done //nolint:errcheck // The supervisor's error is that of the cancelled context.
	// Output: parts: 42
}
