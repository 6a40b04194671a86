package configfeed_test

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/configfeed"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/config"
)

// If two operators change the same revision of an object, the change that comes first in the log takes effect in every process.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := memorylog.New()
	change := func(id string, replaces apricotway.Offset, spec string) {
		payload, err := json.Marshal(config.Change{Object: "notes", Replaces: replaces, Spec: json.RawMessage(spec)})
		if err != nil {
			fmt.Println(err)
			return
		}

		record := apricotway.Record{SchemaVersion: 1, Kind: string(config.KindService), ID: id, Payload: payload}
		if _, err := log.Append(ctx, apricotway.StreamConfig, []apricotway.Record{record}); err != nil {
			fmt.Println(err)
		}
	}

	change("created", 0, `{"type": "model"}`)
	change("operator of the mill", 1, `{"type": "model", "maxTokens": 100}`)
	change("operator of the shop", 1, `{"type": "model", "maxTokens": 900}`)

	supervisor := suture.NewSimple("example")
	feed := configfeed.New(supervisor, log)
	done := supervisor.ServeBackground(ctx)

	<-feed.Ready()

	for _, object := range feed.Fold().Objects() {
		fmt.Println(object.Object, "revision", object.Revision, "in force", object.InForce)
	}

	cancel()
	<-done //nolint:errcheck // The end of a cancelled supervisor is no failure.
	// Output: notes revision 2 in force 2
}
