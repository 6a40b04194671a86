package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// Entry holds the settings of one entry host on the operators' platform.
type Entry struct {
	// Node names the process in logs and as holder of duties. A random suffix is appended at every start.
	Node     apricotway.NodeID `json:"node"`
	Region   apricotway.Region `json:"region"`
	Zone     apricotway.Zone   `json:"zone"`
	Listen   EntryListen       `json:"listen"`
	Seeds    []netip.AddrPort  `json:"seeds"`
	Platform EntryPlatform     `json:"platform"`
	// MemoryMegabytes is the memory of the host, of which the process uses a part; 0 means no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
	// Processor is the host's share of a CPU core, LinkMegabits its link bandwidth in Mbit/s; 0 means unknown. Hosts with more
	// capacity take over duties first.
	Processor    float64 `json:"processor"`
	LinkMegabits float64 `json:"linkMegabits"`
	// AddressValidity is how long callers may cache a response of the directory.
	AddressValidity Duration `json:"addressValidity"`
	// StopLimit is the time from SIGTERM until the process is killed.
	StopLimit Duration `json:"stopLimit"`
	// KeyRevocation is the time after which a revoked key must no longer be accepted; 0 means no limit.
	KeyRevocation Duration `json:"keyRevocation"`
	// UsageWindow is the time span that one usage report covers.
	UsageWindow Duration `json:"usageWindow"`
	// HolderLease is the time that must pass between the last action of one duty holder and the first of its successor; 0 if the
	// platform itself rejects calls with an outdated fencing token.
	HolderLease Duration `json:"holderLease"`
	Retries     Retries  `json:"retries"`
	// Canary bounds what a bad software version may get while operators shift traffic to it; a Share of 0 means that they don't.
	Canary Canary `json:"canary"`
	// ServerSpeeds makes the processes learn the speeds of servers from each other and choose by them, and SlowStart makes them begin with few
	// calls at servers that are new or have failed. SlowStart needs ServerSpeeds. They have to be the same on all processes.
	ServerSpeeds bool `json:"serverSpeeds"`
	SlowStart    bool `json:"slowStart"`
	// ProbeKey is the hexadecimal key that authenticates membership probes.
	ProbeKey string `json:"probeKey"`
}

// EntryListen holds the addresses of one entry host.
type EntryListen struct {
	// Callers is where callers send requests (HTTP).
	Callers netip.AddrPort `json:"callers"`
	// Readiness is where the platform sends readiness checks (HTTP).
	Readiness netip.AddrPort `json:"readiness"`
	// Directory is where callers query the addresses of ready processes (HTTP).
	Directory netip.AddrPort `json:"directory"`
	// Peers is where other processes connect (net/rpc over TCP).
	Peers netip.AddrPort `json:"peers"`
	// AdvertisedPeers is the address that other processes connect to, if it is not Peers, as where a proxy forwards to Peers.
	AdvertisedPeers netip.AddrPort `json:"advertisedPeers"`
	// Probes is where other processes send membership probes (UDP).
	Probes netip.AddrPort `json:"probes"`
	// Operator is where operators connect (HTTP: metrics, health, profiles, state).
	Operator netip.AddrPort `json:"operator"`
}

// EntryPlatform holds the addresses of the platform.
type EntryPlatform struct {
	Store netip.AddrPort `json:"store"`
	// Cloud receives usage reports and capacity orders.
	Cloud netip.AddrPort `json:"cloud"`
	// WritesPerSecond is the number of write calls that the store accepts from all processes together; 0 for the least that any store
	// accepts.
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Retries limits how often calls are sent again, counted over all processes.
type Retries struct {
	// Ratio is the allowed number of retries per call.
	Ratio float64 `json:"ratio"`
	// Window is the time span over which calls and retries are counted.
	Window Duration `json:"window"`
	// Slack is the number of retries allowed per window in addition to the ratio.
	Slack float64 `json:"slack"`
}

// Canary bounds what a software version may get, if it is bad, while the traffic of a service is shifted to it.
type Canary struct {
	// Share is its share of the requests between the order and the order's time limit, and Slack the number of requests in addition.
	Share float64 `json:"share"`
	Slack float64 `json:"slack"`
	// RollbackTime is the time after its 50th bad response within which the last request is sent to it.
	RollbackTime Duration `json:"rollbackTime"`
}

// DefaultEntry returns the default values of settings that a file does not set.
func DefaultEntry() Entry {
	return Entry{
		AddressValidity: Duration(2 * time.Second),
		StopLimit:       Duration(8 * time.Second),
		KeyRevocation:   Duration(5 * time.Second),
		UsageWindow:     Duration(5 * time.Second),
		Retries:         Retries{Ratio: 0.1, Window: Duration(10 * time.Second), Slack: 10},
	}
}

// LoadEntry reads and validates a settings file. Its error lists all faults of the file.
func LoadEntry(path string, options ...Option) (Entry, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings file")
	}

	return ParseEntry(path, content, options...)
}

// checkEntryConsistency finds contradictions between values, which the schema cannot express.
func (c *checker) checkEntryConsistency(e Entry) {
	if len(e.Seeds) > 0 && e.ProbeKey == "" {
		c.add("/seeds", "needs probeKey: several processes authenticate their probes with one key")
	}

	if e.AddressValidity >= e.StopLimit {
		c.add("/addressValidity", "must be below stopLimit, since a leaving process serves until the addresses have expired")
	}

	tcp := map[netip.AddrPort]string{}

	for _, entry := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"callers", e.Listen.Callers},
		{"readiness", e.Listen.Readiness},
		{"directory", e.Listen.Directory},
		{"peers", e.Listen.Peers},
		{"operator", e.Listen.Operator},
	} {
		if other, ok := tcp[entry.address]; ok && entry.address.Port() != 0 {
			c.add("/listen/"+entry.name, "uses the address of listen/"+other)
		}

		tcp[entry.address] = entry.name
	}
}
