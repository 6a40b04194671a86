// Package member decides which processes of the system are alive, with a protocol of probes, suspicions and gossip (SWIM).
// It takes messages and the time as arguments and returns the messages to send; it performs no I/O.
package member

import (
	"net/netip"
	"time"

	"github.com/apricotway/apricotway"
)

// Entry is the state of one process as another one reports it. Its field numbers are part of the packet format.
type Entry struct {
	Node        apricotway.NodeID      `cbor:"1,keyasint"`
	Region      apricotway.Region      `cbor:"2,keyasint"`
	Zone        apricotway.Zone        `cbor:"3,keyasint"`
	State       apricotway.MemberState `cbor:"4,keyasint"`
	Incarnation uint64                 `cbor:"5,keyasint"`
	Ready       bool                   `cbor:"6,keyasint,omitempty"`
	Callers     netip.AddrPort         `cbor:"7,keyasint"`
	Peers       netip.AddrPort         `cbor:"8,keyasint"`
	Probes      netip.AddrPort         `cbor:"9,keyasint"`
	Operator    netip.AddrPort         `cbor:"10,keyasint"`
	Capacity    int                    `cbor:"11,keyasint,omitempty"`
	Isolated    bool                   `cbor:"12,keyasint,omitempty"`
}

// NewEntry converts a member to an entry.
func NewEntry(m apricotway.Member) Entry {
	return Entry{
		Node: m.Node, Region: m.Region, Zone: m.Zone, State: m.State, Incarnation: m.Incarnation, Ready: m.Ready,
		Callers: m.Callers, Peers: m.Peers, Probes: m.Probes, Operator: m.Operator, Capacity: m.Capacity, Isolated: m.Isolated,
	}
}

// Member converts the entry to the type that other packages use.
func (e Entry) Member() apricotway.Member {
	return apricotway.Member{
		Node: e.Node, Region: e.Region, Zone: e.Zone, State: e.State, Incarnation: e.Incarnation, Ready: e.Ready,
		Callers: e.Callers, Peers: e.Peers, Probes: e.Probes, Operator: e.Operator, Capacity: e.Capacity, Isolated: e.Isolated,
	}
}

// valid tells whether an entry received from another process can be stored.
func (e Entry) valid() bool {
	return e.Node != "" && len(e.Node) <= maxName && len(e.Region) <= maxName && len(e.Zone) <= maxName &&
		e.Probes.IsValid() && rank[e.State] > 0
}

// supersedes tells whether the entry replaces the other one: the higher incarnation wins, then the more severe state.
func (e Entry) supersedes(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}

	return rank[e.State] > rank[other.State]
}

// rank orders the states of one incarnation by severity. A state without a rank is invalid.
var rank = map[apricotway.MemberState]int{
	apricotway.MemberAlive:   1,
	apricotway.MemberLeaving: 2,
	apricotway.MemberSuspect: 3,
	apricotway.MemberDead:    4,
}

// MessageKind distinguishes probes from their answers.
type MessageKind string

// The values of MessageKind.
const (
	KindProbe MessageKind = "probe"
	// KindIndirect asks the receiver to probe the target for the sender.
	KindIndirect MessageKind = "indirect"
	KindAck      MessageKind = "ack"
)

// Message is one packet.
type Message struct {
	Kind     MessageKind       `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"`
	From     apricotway.NodeID `cbor:"3,keyasint"`
	// Target is the process that is probed. Another process that now has its address does not answer.
	Target        apricotway.NodeID           `cbor:"4,keyasint"`
	TargetAddress netip.AddrPort              `cbor:"5,keyasint,omitzero"`
	Entries       []Entry                     `cbor:"6,keyasint,omitempty"`
	Broadcasts    []apricotway.BroadcastEntry `cbor:"7,keyasint,omitempty"`
	// Unknown is set in an acknowledgement if its sender has no entry for the process that sent the probe.
	Unknown bool `cbor:"8,keyasint,omitempty"`
	// Digest is the hash of the sender's view of members and broadcasts.
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// Packet is a message with its destination.
type Packet struct {
	To      netip.AddrPort
	Message Message
}

// Output is what the caller has to do for the machine.
type Output struct {
	Packets []Packet
	// Exchange holds the peer addresses of the processes with which the full state has to be exchanged.
	Exchange []netip.AddrPort
	// Broadcasts holds the broadcasts that were new to this process.
	Broadcasts []apricotway.BroadcastEntry
	// Changes holds the entries of other members that changed.
	Changes []Entry
	// Unknown holds the kinds of messages and the states of entries that this build does not know.
	Unknown []string
}

// State is the full state that processes exchange when one of them joins or views may differ.
type State struct {
	// Digest is the hash of the view. A peer whose view has the same digest answers with empty lists.
	Digest     uint64
	Entries    []Entry
	Broadcasts []apricotway.BroadcastEntry
	// Deployment names the deployment of the process; empty if it is of a version that doesn't.
	Deployment string
}

const (
	// maxName bounds names in entries in bytes: up to 64 from the settings, and the random suffix that the daemon adds.
	maxName = 80
	// payloadBudget bounds the entries and broadcasts of one message in bytes. That leaves at least 300 of a packet of
	// 1,200 bytes for the fixed fields, of which two names of 80 bytes take 170.
	payloadBudget = 900
	// tokenBudget bounds the part for tokens in flight, which are published so often that they would fill every packet.
	tokenBudget = 400
	// demandBudget bounds the part for the demand of workspaces, so that it has space of its own next to the tokens.
	demandBudget = 400
	// readingBudget bounds the part for the announcements of the process that reads the host list; one does so at a time.
	readingBudget = 200
)

// entrySize returns an upper bound of the encoded size of an entry: names, state, four addresses of at most 20 bytes, and
// field headers.
func entrySize(e Entry) int {
	size := 40 + len(e.Node) + len(e.Region) + len(e.Zone) + len(e.State)
	for _, address := range []netip.AddrPort{e.Callers, e.Peers, e.Probes, e.Operator} {
		size += 4 + address.Addr().BitLen()/8 + len(address.Addr().Zone())
	}

	return size
}

func broadcastSize(b apricotway.BroadcastEntry) int {
	return 40 + len(b.Topic) + len(b.Key) + len(b.Payload)
}

// Config holds the parameters of the protocol.
type Config struct {
	// Period is the time between two probes.
	Period time.Duration
	// AckTimeout is the time after which indirect probes are requested; it is below Period.
	AckTimeout time.Duration
	// Indirect is the number of processes that are asked for an indirect probe.
	Indirect int
	// SuspicionPeriods, multiplied by the base-10 logarithm of the member count (at least 1), is the number of periods
	// within which a suspect can refute the suspicion.
	SuspicionPeriods int
	// Repeat, multiplied by the base-2 logarithm of the member count, bounds how often one update is sent.
	Repeat int
	// DeadRetention is how long dead members are kept and probed in case they return. It exceeds the length of a network
	// partition between regions.
	DeadRetention time.Duration
	// ReconnectPeriod is the time between two probes to dead members.
	ReconnectPeriod time.Duration
	// UrgentGap is the minimum time between two rounds of extra probes that carry urgent updates.
	UrgentGap time.Duration
	// ExchangePeriod is the time between two full exchanges with a random member, which repair lost updates.
	ExchangePeriod time.Duration
	// RepairGap is the minimum time between two full exchanges that follow acknowledgements with other digests.
	RepairGap time.Duration
}

// DefaultConfig returns parameters for networks with round trips up to 300 ms.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		AckTimeout:       400 * time.Millisecond,
		Indirect:         3,
		SuspicionPeriods: 4,
		Repeat:           2,
		DeadRetention:    time.Hour,
		ReconnectPeriod:  5 * time.Second,
		UrgentGap:        250 * time.Millisecond,
		ExchangePeriod:   5 * time.Minute,
		RepairGap:        10 * time.Second,
	}
}
