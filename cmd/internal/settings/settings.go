// Package settings reads and checks the settings of one process: JSON with comments, checked against a schema.
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
	// Node names the process in logs. A random part is added to it at every start, since a restarted process is a new node.
	Node   apricotway.NodeID `json:"node"`
	Region apricotway.Region `json:"region"`
	Zone   apricotway.Zone   `json:"zone"`
	Listen Listen            `json:"listen"`
	// Advertise holds the addresses that others use when they differ from those listened on.
	Advertise Listen           `json:"advertise"`
	Seeds     []netip.AddrPort `json:"seeds"`
	Platform  Platform         `json:"platform"`
	Limits    Limits           `json:"limits"`
	Stop      Stop             `json:"stop"`
	// Operators lists who may use the operators' API; without entries everyone who reaches it may.
	Operators []Operator `json:"operators"`
	TLS       TLS        `json:"tls"`
	// Signing names the key that signs usage batches; without it they are not signed.
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

// Operator is one operator of an owner.
type Operator struct {
	Owner apricotway.Owner `json:"owner"`
	// TokenHash is the hexadecimal SHA-256 digest of the operator's token.
	TokenHash string `json:"tokenHash"`
}

// Signing holds the key of usage batches.
type Signing struct {
	// Signer is the name of the configuration object that announces the public key.
	Signer string `json:"signer"`
	// Key is a file with an Ed25519 private key (PKCS #8 in PEM form).
	Key string `json:"key"`
}

// TLS holds the certificate files; each part is optional.
type TLS struct {
	// Callers makes the callers' API HTTPS.
	Callers *certificate.Files `json:"callers,omitempty"`
	// Peers makes the processes verify each other.
	Peers *certificate.Files `json:"peers,omitempty"`
}

// Limits bounds what one caller can ask for.
type Limits struct {
	BodyBytes      int64    `json:"bodyBytes"`
	PromptBytes    int      `json:"promptBytes"`
	HeaderBytes    int      `json:"headerBytes"`
	DefaultTimeout Duration `json:"defaultTimeout"`
	MaxTimeout     Duration `json:"maxTimeout"`
}

// Stop holds the times of a planned stop.
type Stop struct {
	// AddressValidity is how long callers may keep an answer of /v1/addresses; a leaving process serves that long.
	AddressValidity Duration `json:"addressValidity"`
	// Drain bounds the time for requests in flight after the addresses have expired.
	Drain Duration `json:"drain"`
}

// Duration is a time.Duration in the form "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)

	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns the settings that hold where a file is silent.
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

// Load reads and checks a settings file. Its error names every fault found.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}

	return Parse(path, content)
}
