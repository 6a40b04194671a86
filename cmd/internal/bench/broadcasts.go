package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// maxTransit is the upper bound of the random delivery time of a broadcast entry. In the daemon, entries travel on
// membership probes: between 8 processes, half of the entries of 100 bytes arrive within 0.8 s and 90% within 2.5 s.
const maxTransit = 2 * time.Second

// broadcastHub delivers broadcast entries between the processes of a run, with delays similar to those of the daemon.
type broadcastHub struct {
	mu        sync.Mutex
	random    *rand.Rand
	receivers map[apricotway.Topic][]receiver
}

func newHub(seed uint64) *broadcastHub {
	return &broadcastHub{random: rand.New(rand.NewPCG(seed, 0)), receivers: map[apricotway.Topic][]receiver{}}
}

// receiver is the subscription of one process to a topic.
type receiver struct {
	node    apricotway.NodeID
	receive func(key string, version uint64, payload []byte)
}

// hubPort connects one process to a hub. It implements apricotway.Broadcasts.
type hubPort struct {
	*broadcastHub

	node apricotway.NodeID
}

// Publish implements apricotway.Broadcasts.
func (p hubPort) Publish(entry apricotway.BroadcastEntry) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range p.receivers[entry.Topic] {
		if r.node != p.node {
			time.AfterFunc(time.Duration(p.random.Int64N(int64(maxTransit))), func() {
				r.receive(entry.Key, entry.Version, entry.Payload)
			})
		}
	}

	return nil
}

// Subscribe implements apricotway.Broadcasts.
func (p hubPort) Subscribe(topic apricotway.Topic, receive func(key string, version uint64, payload []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.receivers[topic] = append(p.receivers[topic], receiver{p.node, receive})
}

// Latest implements apricotway.Broadcasts. It returns nothing, because the exchanges of a run only use subscriptions.
func (hubPort) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }
