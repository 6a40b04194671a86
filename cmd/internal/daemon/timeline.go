package daemon

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/httpjson"
	"github.com/apricotway/apricotway/transport/operator"
)

const (
	methodTimeline apricotway.Method = "timeline"
	// timelineTimeout bounds the collection of events from all peers, which are queried in parallel.
	timelineTimeout = 3 * time.Second
)

// Timeline is the response of the operator API with the events of all reachable processes in causal order.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the processes that did not answer or whose answer failed.
	Missing []apricotway.NodeID `json:"missing,omitempty"`
}

// registerTimeline serves the events of this process to its peers, and those of all processes through the operator API.
func (d *Daemon) registerTimeline(server *operator.Server) {
	apricotway.HandlePeer(d.peerServer, methodTimeline,
		func(_ context.Context, filter timeline.Filter) ([]timeline.Event, error) {
			return d.ring.Events(filter), nil
		})

	server.Handle("GET /v1/timeline", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		filter := timeline.Filter{Request: apricotway.RequestID(r.URL.Query().Get("request"))}

		if text := r.URL.Query().Get("since"); text != "" {
			since, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				http.Error(w, "since must be a stamp", http.StatusBadRequest)
				return
			}

			filter.Since = apricotway.Stamp(since)
		}

		httpjson.Write(w, http.StatusOK, d.collectTimeline(r.Context(), filter))
	}))
}

func (d *Daemon) collectTimeline(ctx context.Context, filter timeline.Filter) Timeline {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()

	members := slices.DeleteFunc(d.membership.Members(), func(m apricotway.Member) bool {
		return m.State == apricotway.MemberDead
	})
	lists := make([][]timeline.Event, len(members))
	failures := make([]error, len(members))

	var group sync.WaitGroup

	for i, member := range members {
		group.Go(func() {
			lists[i], failures[i] = apricotway.CallPeer[[]timeline.Event](ctx, d.peers, member.Peers, methodTimeline, filter)
		})
	}

	group.Wait()

	result := Timeline{Events: timeline.Merge(append(lists, d.ring.Events(filter))...)}

	for i, failure := range failures {
		if failure != nil {
			result.Missing = append(result.Missing, members[i].Node)
		}
	}

	return result
}
