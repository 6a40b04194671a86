package rollup

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	methodList apricotway.Method = "list"
	// maxPart bounds the servers in one message. 2,000 take 190 KB, 0.15 s of a link of 10 Mbit/s.
	maxPart = 2000
	// partTimeout bounds the request for one part of the list.
	partTimeout = time.Second
	// partRetryPause is the pause after a request for a part that failed, and maxPartFailures the number of such requests in a row after
	// which a process waits for the next answer to a report.
	partRetryPause  = 200 * time.Millisecond
	maxPartFailures = 10
	// listCopyLifetime is the time for which the holder answers requests for parts from one copy of its list.
	listCopyLifetime = 200 * time.Millisecond
)

// errNotHolding reports that a process that was asked for its list doesn't hold the duties, or can't read the store.
var errNotHolding = errors.New("no list from this process")

// PartRequest asks the holder for the part of its list of backend servers that follows a server.
type PartRequest struct {
	// After is the last server that the process has; empty for the first part.
	After apricotway.BackendServerID
}

// PartAnswer is the answer to a PartRequest.
type PartAnswer struct {
	// Holding reports whether the answering process holds the duties and knows the list; if not, the rest is empty.
	Holding bool
	// News holds the servers of the part, ordered by identifier.
	News catalog.News
	// More reports that servers follow those of the part.
	More bool
}

// listCopy is the holder's list, ordered by identifier.
type listCopy struct {
	mu   sync.Mutex
	news catalog.News
	// at is the boot time at which news were made.
	at time.Duration
}

// newsFor returns the news for the process that sent a report. A list that is too large for an answer is left out if the process requests it
// by parts: a report that is given up since the list takes too long would be followed by another one with the whole list.
func (r *Rollup) newsFor(report Report) catalog.News {
	news := r.Catalog.News(r.membership.Self().Node, report.Known)
	if !report.ByParts || !news.Whole || len(news.Changes) <= maxPart {
		return news
	}

	news.NoList, news.Whole, news.Changes = true, false, nil

	return news
}

// listPart answers a request for a part of the list.
func (r *Rollup) listPart(request PartRequest) PartAnswer {
	if _, held := r.duty.Held(); !held {
		return PartAnswer{}
	}

	news := r.wholeList()
	if !news.Fresh {
		return PartAnswer{}
	}

	at, found := slices.BinarySearchFunc(news.Changes, request.After,
		func(change apricotway.BackendChange, id apricotway.BackendServerID) int {
			return cmp.Compare(change.ID, id)
		})
	if found {
		at++
	}

	end := min(at+maxPart, len(news.Changes))
	more := end < len(news.Changes)
	news.Changes = news.Changes[at:end]

	return PartAnswer{Holding: true, News: news, More: more}
}

// wholeList returns the whole list of this process, ordered by identifier. Requests for the parts come at about the same time from all
// processes.
func (r *Rollup) wholeList() catalog.News {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()

	now := r.Catalog.BootTime()
	if age := now - r.list.at; r.list.news.Fresh && age < listCopyLifetime {
		news := r.list.news
		news.Age += age
		news.ListAge += age

		return news
	}

	news := r.Catalog.News(r.membership.Self().Node, catalog.Position{})
	slices.SortFunc(news.Changes, func(a, b apricotway.BackendChange) int { return cmp.Compare(a.ID, b.ID) })
	r.list.news, r.list.at = news, now

	return news
}

// requestLists requests the holder's list by parts whenever an answer to a report leaves it out, until the context ends.
func (r *Rollup) requestLists(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.listLeftOut:
		}

		if err := r.requestList(ctx); err != nil {
			r.logger.V(1).Info("failed to get the list of backend servers from the duty holder", "event", 398, "error", err.Error())
		}

		// Reports that were answered meanwhile left out the same list.
		select {
		case <-r.listLeftOut:
		default:
		}
	}
}

// requestList requests the list part by part and applies it. A part that fails is requested again; those before it are kept. Changes between
// the parts follow the position of the first one.
func (r *Rollup) requestList(ctx context.Context) error {
	var (
		list   catalog.News
		sent   time.Duration
		after  apricotway.BackendServerID
		failed error
	)

	for failures := 0; failures < maxPartFailures && ctx.Err() == nil; {
		address, ok := r.holderAddress()
		if !ok {
			return errNotHolding
		}

		asked := r.Catalog.BootTime()

		part, err := r.requestPart(ctx, address, after)
		if err != nil {
			failures, failed = failures+1, err
			pause.For(ctx, partRetryPause)

			continue
		}

		if !part.Holding || after != "" && part.News.Source != list.Source {
			return errNotHolding
		}

		failures = 0

		if after == "" {
			list, sent = part.News, asked
		} else {
			list.Changes = append(list.Changes, part.News.Changes...)
		}

		if !part.More || len(part.News.Changes) == 0 {
			r.Catalog.ApplyNews(sent, list)
			return nil
		}

		after = part.News.Changes[len(part.News.Changes)-1].ID
	}

	return failed
}

func (r *Rollup) requestPart(ctx context.Context, holder netip.AddrPort, after apricotway.BackendServerID) (PartAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()

	part, err := apricotway.CallPeer[PartAnswer](ctx, r.peers, holder, methodList, PartRequest{After: after})
	if err != nil {
		return PartAnswer{}, errors.Wrap(err, "request a part of the list")
	}

	return part, nil
}
