package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotway/apricotway"
)

// longestTransit bounds the time of an entry, which is random. Between 8 processes, half of the entries of 100 bytes that
// travel on probes take up to 0.8 s and nine tenths up to 2.5 s.
const longestTransit = 2 * time.Second

// hub joins the processes of a run. Entries take as long as on the probes of the daemon.
type hub struct {
	mu        sync.Mutex
	random    *rand.Rand
	receivers map[apricotway.Topic][]receiver
}

func newHub(seed uint64) *hub {
	return &hub{random: rand.New(rand.NewPCG(seed, 0)), receivers: map[apricotway.Topic][]receiver{}}
}

type receiver struct {
	node    apricotway.NodeID
	receive func(key string, version uint64, payload []byte)
}

// port is the place of one process at a hub. It implements apricotway.Broadcasts.
type port struct {
	*hub

	node apricotway.NodeID
}

// Publish implements apricotway.Broadcasts.
func (p port) Publish(entry apricotway.BroadcastEntry) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range p.receivers[entry.Topic] {
		if r.node != p.node {
			time.AfterFunc(time.Duration(p.random.Int64N(int64(longestTransit))), func() {
				r.receive(entry.Key, entry.Version, entry.Payload)
			})
		}
	}

	return nil
}

// Subscribe implements apricotway.Broadcasts.
func (p port) Subscribe(topic apricotway.Topic, receive func(key string, version uint64, payload []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.receivers[topic] = append(p.receivers[topic], receiver{p.node, receive})
}

// Latest implements apricotway.Broadcasts. The exchanges of a run only subscribe.
func (port) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }
