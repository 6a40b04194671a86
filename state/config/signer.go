package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// KindSigner is the kind of the object that publishes the key with which processes sign the usage account. The object's name
// is the name of the signer.
const KindSigner Kind = "signer"

// SignerSpec is the payload of a signer object, schema version 1.
type SignerSpec struct {
	Owner apricotway.Owner `json:"owner"`
	// PublicKey is an Ed25519 public key in base64.
	PublicKey string `json:"publicKey"`
	// RetiredKeys are previous keys of the signer. Signatures made with them remain valid, so that a key change does not
	// invalidate the account of earlier periods.
	RetiredKeys []string `json:"retiredKeys,omitempty"`
	// Since is the offset in the usage stream from which on the owner signs statements. An owner that joins later sets it to
	// the current end of the stream; otherwise its signature would be missing from all earlier statements.
	Since apricotway.Offset `json:"since,omitempty"`
}

// Keys returns the public keys, the current one first.
func (s SignerSpec) Keys() ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, 1+len(s.RetiredKeys))

	for _, text := range append([]string{s.PublicKey}, s.RetiredKeys...) {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, errors.Wrapf(ErrInvalidSpec, "%q is no Ed25519 public key in base64", text)
		}

		keys = append(keys, key)
	}

	return keys, nil
}

func decodeSigner(payload json.RawMessage) (any, error) {
	var spec SignerSpec
	if err := json.Unmarshal(payload, &spec); err != nil {
		return nil, errors.Wrap(ErrInvalidSpec, err.Error())
	}

	if spec.Owner == "" {
		return nil, errors.Wrap(ErrInvalidSpec, "owner must be set")
	}

	if _, err := spec.Keys(); err != nil {
		return nil, err
	}

	return spec, nil
}

// Signers returns the signers in force, keyed by name. The result is nil if the configuration has no signer object. If it has
// one that is not in force, the result is empty but not nil: an invalid object must not disable the signature check. Callers
// must not change the result.
func (f *Fold) Signers() map[string]SignerSpec { return f.current().signers }
