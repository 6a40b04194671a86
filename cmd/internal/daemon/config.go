package daemon

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/configfeed"
	"github.com/apricotway/apricotway/coordination/journal"
	"github.com/apricotway/apricotway/transport/httpjson"
	"github.com/apricotway/apricotway/transport/operator"
)

const (
	// checkpointInterval has to stay below a third of the log's retention, which is days.
	checkpointInterval = time.Hour
	// revisionsTimeout bounds the questions to all members for one answer to an operator.
	revisionsTimeout = 3 * time.Second
)

// startConfig starts the writer to the log and the configuration feed.
func (d *Daemon) startConfig(log apricotway.Log) {
	d.writer = journal.NewWriter(d.supervisor, log, journal.WithLogger(d.logger),
		journal.WithBudget(journal.DefaultBudget, d.liveMembers))
	d.feed = configfeed.New(d.supervisor, log, configfeed.WithLogger(d.logger),
		configfeed.WithPeers(d.membership, d.peers, d.peerServer),
		configfeed.WithCheckpoints(d.writer, checkpointInterval))
}

// liveMembers counts the members that share the append budget, with this process.
func (d *Daemon) liveMembers() int {
	live := 1

	for _, member := range d.membership.Members() {
		if member.State != apricotway.MemberDead {
			live++
		}
	}

	return live
}

// showConfig adds the operators' view of the configuration.
func (d *Daemon) showConfig(server *operator.Server) {
	server.HandleJSON("/v1/config", func() any { return d.feed.Fold().Objects() })
	server.Handle("GET /v1/config/revisions", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), revisionsTimeout)
		defer cancel()

		var next uint64

		if text := r.URL.Query().Get("next"); text != "" {
			var err error
			if next, err = strconv.ParseUint(text, 10, 64); err != nil {
				http.Error(w, "next must be an offset", http.StatusBadRequest)
				return
			}
		}

		httpjson.Write(w, http.StatusOK, d.feed.AllRevisions(ctx, apricotway.Offset(next)))
	}))
}
