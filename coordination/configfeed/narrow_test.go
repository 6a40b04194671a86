package configfeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/configfeed"
)

// narrowPeers delivers answers at a limited number of bytes a second.
type narrowPeers struct {
	*network

	bytesPerSecond int
	// largest is the size of the largest answer.
	largest int
}

func (p *narrowPeers) Call(ctx context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	answer, err := p.network.Call(ctx, to, method, payload)
	if err != nil {
		return nil, err
	}

	p.mu.Lock()
	p.largest = max(p.largest, len(answer))
	p.mu.Unlock()

	select {
	case <-time.After(time.Duration(len(answer)) * time.Second / time.Duration(p.bytesPerSecond)):
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestSpreadOverNarrowLink guards against a process that never gets the records of others, since one answer holds all that it lacks and does not
// arrive in time.
func TestSpreadOverNarrowLink(t *testing.T) {
	for name, records := range map[string]int{"records": 1000, "whole state": 3000} {
		t.Run(name, func(t *testing.T) {
			inSystem(t, func(s *system) {
				publish := func() {
					for i := range records {
						payload, _ := json.Marshal(map[string]any{
							"object": fmt.Sprint(i % 500), "replaces": max(i-500+1, 0), "spec": map[string]any{"type": strings.Repeat("x", 2000)},
						})
						record := apricotway.Record{SchemaVersion: 1, Kind: "service", ID: fmt.Sprint(i), Payload: payload}
						_, _ = s.log.Append(s.t.Context(), apricotway.StreamConfig, []apricotway.Record{record})
					}
				}

				s.start(1, s.log)
				s.start(2, s.log)

				incompleteLog := &fakeLog{first: 1}
				own := s.network
				own.self = 3
				narrow := &narrowPeers{network: &own, bytesPerSecond: 300_000}
				three := configfeed.New(s.supervisor, incompleteLog, configfeed.WithPeers(&own, narrow, &own))

				s.settle(time.Second, three, 1, true)
				publish()
				s.settle(time.Second, three, 1, true)
				incompleteLog.set(func() { incompleteLog.down = true })
				s.settle(2*time.Minute, three, apricotway.Offset(records+1), true)
				t.Logf("largest answer: %d bytes", narrow.largest)
			})
		})
	}
}
