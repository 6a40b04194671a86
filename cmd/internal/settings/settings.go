// Package settings reads the settings file of a process, which is JSON with comments, and validates it against a JSON schema.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/certificate"
)

// Settings are the settings of one process.
type Settings struct {
	// Node names the process in logs. A random suffix is appended at every start, since a restarted process is a new node.
	Node   apricotway.NodeID `json:"node"`
	Region apricotway.Region `json:"region"`
	Zone   apricotway.Zone   `json:"zone"`
	Listen Listen            `json:"listen"`
	// Advertise holds the addresses that others connect to, where they differ from those in Listen.
	Advertise Listen           `json:"advertise"`
	Seeds     []netip.AddrPort `json:"seeds"`
	Platform  Platform         `json:"platform"`
	Limits    Limits           `json:"limits"`
	// MemoryMegabytes is the memory of the host, of which the process uses a part; 0 means no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
	Stop            Stop  `json:"stop"`
	// Operators lists who may use the operators' API. If it is empty, the API requires no authentication.
	Operators []Operator `json:"operators"`
	TLS       TLS        `json:"tls"`
	// Signing configures the key that signs usage batches. If it is nil, they are not signed.
	Signing *Signing `json:"signing,omitempty"`
	// ProbeKey is the hexadecimal key that authenticates membership probes.
	ProbeKey string `json:"probeKey"`
}

// Listen holds the addresses of one process.
type Listen struct {
	// Callers is where callers connect (HTTP).
	Callers netip.AddrPort `json:"callers,omitzero"`
	// Peers is where other processes connect (net/rpc over TCP).
	Peers netip.AddrPort `json:"peers,omitzero"`
	// Probes is where other processes send membership probes (UDP).
	Probes netip.AddrPort `json:"probes,omitzero"`
	// Operator is where operators connect (HTTP: metrics, health, profiles, state).
	Operator netip.AddrPort `json:"operator,omitzero"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log     netip.AddrPort `json:"log"`
	Hosts   netip.AddrPort `json:"hosts"`
	Cloud   netip.AddrPort `json:"cloud,omitzero"`
	Weights netip.AddrPort `json:"weights,omitzero"`
}

// Operator is one operator who may act for an owner.
type Operator struct {
	Owner apricotway.Owner `json:"owner"`
	// TokenHash is the hexadecimal SHA-256 digest of the operator's token.
	TokenHash string `json:"tokenHash"`
}

// Signing describes the key that signs usage batches.
type Signing struct {
	// Signer is the name of the configuration object that publishes the public key.
	Signer string `json:"signer"`
	// Key is a file with an Ed25519 private key (PKCS #8 in PEM form).
	Key string `json:"key"`
}

// TLS holds the certificate files; each part is optional.
type TLS struct {
	// Callers enables HTTPS for the callers' API.
	Callers *certificate.Files `json:"callers,omitempty"`
	// Peers enables mutual TLS between processes.
	Peers *certificate.Files `json:"peers,omitempty"`
}

// Limits holds the limits of a caller's request.
type Limits struct {
	BodyBytes      int64    `json:"bodyBytes"`
	PromptBytes    int      `json:"promptBytes"`
	HeaderBytes    int      `json:"headerBytes"`
	DefaultTimeout Duration `json:"defaultTimeout"`
	MaxTimeout     Duration `json:"maxTimeout"`
}

// Stop holds the durations of a planned stop.
type Stop struct {
	// AddressValidity is how long callers may cache a response of /v1/addresses; a leaving process keeps serving for that time.
	AddressValidity Duration `json:"addressValidity"`
	// Drain limits the time for requests in flight after the addresses have expired.
	Drain Duration `json:"drain"`
}

// Duration is a time.Duration that is encoded as text such as "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)

	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns the default values of settings that a file does not set.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:      8 << 20,
			PromptBytes:    4 << 20,
			HeaderBytes:    64 << 10,
			DefaultTimeout: Duration(10 * time.Minute),
			MaxTimeout:     Duration(time.Hour),
		},
		Stop: Stop{AddressValidity: Duration(5 * time.Second), Drain: Duration(10 * time.Minute)},
	}
}

// Load reads and validates a settings file. Its error lists all faults of the file.
func Load(path string, options ...Option) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings file")
	}

	return Parse(path, content, options...)
}
