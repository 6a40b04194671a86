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
	// checkpointInterval must be less than a third of the log's retention, which is a matter of days.
	checkpointInterval = time.Hour
	// revisionsTimeout bounds the queries to all members that answer one operator's request for the revisions.
	revisionsTimeout = 3 * time.Second
)

// startConfig starts the log writer and the configuration feed.
func (d *Daemon) startConfig(log apricotway.Log) {
	d.writer = journal.NewWriter(d.supervisor, log, journal.WithLogger(d.logger),
		journal.WithBudget(journal.DefaultBudget, d.liveMembers))
	d.feed = configfeed.New(d.supervisor, log, configfeed.WithLogger(d.logger),
		configfeed.WithPeers(d.membership, d.peers, d.peerServer),
		configfeed.WithCheckpoints(d.writer, checkpointInterval))
}

// liveMembers returns the number of members, including this process, that share the append budget.
func (d *Daemon) liveMembers() int {
	live := 1

	for _, member := range d.membership.Members() {
		if member.State != apricotway.MemberDead {
			live++
		}
	}

	return live
}

// registerConfig registers the operator API endpoints for the configuration and its revisions.
func (d *Daemon) registerConfig(server *operator.Server) {
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
