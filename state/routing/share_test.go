package routing

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotway/apricotway"
)

// TestShares guards the encoding of announcements against lost or wrong counts, entries above the size, the omission of the
// busiest engines, and a panic on a damaged entry.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share

		servers := engines(rapid.IntRange(0, 80).Draw(t, "engines"))
		for i := range servers {
			shares = append(shares, Share{
				Server: servers[i].ID, Attempts: rapid.IntRange(1, 1000).Draw(t, "attempts"), Long: i % 3,
				Decode: float64(rapid.IntRange(0, 1<<20).Draw(t, "decode")), Prefill: float64(i),
			})
		}

		size := rapid.IntRange(0, 400).Draw(t, "size")
		encoded := EncodeShares(shares, size)
		decoded, ok := DecodeShares(encoded)
		got := map[apricotway.BackendServerID]Share{}

		for _, share := range decoded.Of(servers) {
			got[share.Server] = share
		}

		sent, left := math.Inf(1), 0.0

		for _, want := range shares {
			if share, ok := got[want.Server]; !ok {
				left = max(left, want.tokens())
			} else if sent = min(sent, want.tokens()); share.Attempts != want.Attempts || share.Long != want.Long || math.Abs(share.Decode-want.Decode) > 8 ||
				math.Abs(share.Prefill-want.Prefill) > 8 {
				t.Fatalf("got %+v, want %+v", share, want)
			}
		}

		if !ok || len(encoded) > size || left > sent || len(got) == 0 && len(shares) > 0 && size >= 11 {
			t.Fatalf("got %d of %d bytes, with %v tokens left out and %v sent", len(encoded), size, left, sent)
		}

		DecodeShares(rapid.SliceOf(rapid.Byte()).Draw(t, "damaged"))
	})
}

// TestPeerSharesFollow guards the sums of the peers' work against any order of announcements, departures of peers, and
// engines that come and go: a remainder would keep an engine out of use for ever.
func TestPeerSharesFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := engines(3)
		s, now := NewScored(), testStart
		known, expired := map[apricotway.NodeID][]Share{}, map[apricotway.NodeID][]Share{}
		s.Choose(now, promptWork("x"), servers)

		nodes := rapid.SampledFrom([]apricotway.NodeID{"p", "q", "r"})

		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				node, shares := nodes.Draw(t, "peer"), []Share(nil)
				for _, index := range rapid.SliceOfDistinct(rapid.IntRange(0, 2), rapid.ID).Draw(t, "engines") {
					shares = append(shares, Share{Server: servers[index].ID, Attempts: 1 + index, Decode: 32})
				}

				for old := range expired {
					delete(known, old)
				}

				clear(expired)

				known[node] = shares
				s.PeerShares(now, node, shares)
			},
			"forget": func(t *rapid.T) {
				node := nodes.Draw(t, "peer")
				delete(known, node)
				delete(expired, node)
				s.ForgetPeer(node)
			},
			"start": func(t *rapid.T) {
				s.Started(now, servers[rapid.IntRange(0, 2).Draw(t, "engine")].ID, apricotway.AttemptID(fmt.Sprint(len(s.attempts))),
					promptWork("x"))
			},
			"engine returns": func(*rapid.T) {
				for id := range s.attempts {
					s.Ended(now, "", id, OutcomeCancelled)
				}

				maps.Copy(expired, known)

				now = now.Add(2 * forgetAfter)
				s.Choose(now, promptWork("x"), servers[:1])
				s.Choose(now, promptWork("x"), servers)
			},
			"": func(t *rapid.T) {
				for i := range servers {
					want, echo, e := load{}, load{}, s.engines[servers[i].ID]

					for _, share := range slices.Concat(slices.Collect(maps.Values(known))...) {
						if share.Server == e.id {
							want.add(share.load(), 1)
						}
					}

					echo.echo(len(s.peers), e.started, e.echoed)

					if e.peers != want || echo.attempts < 0 || len(known) == 0 && echo != (load{}) {
						t.Fatalf("engine %d: got %+v with an echo of %+v, want %+v", i, e.peers, echo, want)
					}
				}
			},
		})
	})
}
