package config

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// Kind is the kind of a configuration object.
type Kind string

// The kinds of service and workspace objects; the other kinds are declared with their specifications.
const (
	KindService   Kind = "service"
	KindWorkspace Kind = "workspace"
)

// ServiceType distinguishes model services from plain HTTP services.
type ServiceType string

// The values of ServiceType.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// ServiceSpec is the payload of a service object, schema version 1.
type ServiceSpec struct {
	Type ServiceType `json:"type"`
	// ChecksFencing tells whether the backend servers refuse orders that carry an outdated fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// MaxTokens bounds the length of one answer; 0 means the default of the protocol layer.
	MaxTokens int `json:"maxTokens,omitempty"`
	// CallsPerServer bounds the concurrent calls of a plain service on each of its backend servers; 0 means no bound.
	CallsPerServer int `json:"callsPerServer,omitempty"`
}

// WorkspaceSpec is the payload of a workspace object, schema version 1.
type WorkspaceSpec struct {
	Owner apricotway.Owner `json:"owner"`
	// Weight is the relative share of the workspace when a service is contended; at least 1.
	Weight int `json:"weight"`
	// TokenHashes are hexadecimal SHA-256 digests of the callers' tokens.
	TokenHashes []string `json:"tokenHashes,omitempty"`
}

// ErrInvalidSpec reports a payload that violates the rules of its schema version.
var ErrInvalidSpec = errors.New("invalid specification")

// ErrUnknownSchema reports a kind or schema version that this release does not know.
var ErrUnknownSchema = errors.New("unknown schema")

// decoder decodes the payload of one kind and schema version. Its error tells why this release cannot use the payload.
type decoder func(kind Kind, version int, payload json.RawMessage) (any, error)

func decodeSpec(kind Kind, version int, payload json.RawMessage) (any, error) {
	if version != 1 {
		return nil, errors.Wrapf(ErrUnknownSchema, "%s version %d", kind, version)
	}

	switch kind {
	case KindService:
		var spec ServiceSpec
		if err := json.Unmarshal(payload, &spec); err != nil {
			return nil, errors.Wrap(ErrInvalidSpec, err.Error())
		}

		if spec.Type != ServiceModel && spec.Type != ServicePlain {
			return nil, errors.Wrapf(ErrInvalidSpec, "service type %q", spec.Type)
		}

		if spec.CallsPerServer < 0 {
			return nil, errors.Wrap(ErrInvalidSpec, "callsPerServer must not be negative")
		}

		return spec, nil
	case KindWorkspace:
		var spec WorkspaceSpec
		if err := json.Unmarshal(payload, &spec); err != nil {
			return nil, errors.Wrap(ErrInvalidSpec, err.Error())
		}

		if spec.Weight < 1 {
			return nil, errors.Wrap(ErrInvalidSpec, "weight must be at least 1")
		}

		return spec, nil
	case KindFleet:
		return decodeFleet(payload)
	case KindRelease:
		return decodeRelease(payload)
	case KindCostRule:
		return decodeCostRule(payload)
	case KindSigner:
		return decodeSigner(payload)
	default:
		return nil, errors.Wrapf(ErrUnknownSchema, "kind %s", kind)
	}
}

// Check returns an error that tells why this release would not put a specification in force, or nil if it would.
func Check(kind Kind, version int, payload json.RawMessage) error {
	_, err := decodeSpec(kind, version, payload)
	return err
}
