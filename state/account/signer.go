package account

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/config"
)

// Signer is a signer of usage records that the configuration announces.
type Signer struct {
	Owner apricotway.Owner
	// Keys are the current key and the retired ones; a signature by any of them is valid.
	Keys []ed25519.PublicKey
	// Since is the offset of the first mark whose statement the signer has to sign.
	Since apricotway.Offset
}

// SignersOf returns the signers of a configuration by name. It returns nil if there are none, so that signatures are not
// checked.
func SignersOf(fold *config.Fold) map[string]Signer {
	specs := fold.Signers()
	if specs == nil {
		return nil
	}

	signers := make(map[string]Signer, len(specs))

	for name, spec := range specs {
		// The keys decode: the specification was validated before it came into force.
		keys, _ := spec.Keys()
		signers[name] = Signer{Owner: spec.Owner, Keys: keys, Since: spec.Since}
	}

	return signers
}

// signers verifies signatures by the name of the signer. A nil map accepts every record.
type signers map[string]Signer

// check describes what is wrong with a signature; it returns "" for a valid one.
func (s signers) check(name, hash string, signature []byte) string {
	if s == nil {
		return ""
	}

	signer, ok := s[name]
	if !ok {
		return fmt.Sprintf("signer %q is unknown", name)
	}

	for _, key := range signer.Keys {
		if ed25519.Verify(key, []byte(hash), signature) {
			return ""
		}
	}

	return "the signature does not fit"
}

// owners returns the owners who have to sign the statement of a mark, sorted. Without signers there is one owner with an empty
// name. An owner has to sign from the lowest Since of its signers on; if no owner has to sign at the mark, all of them do.
func (s signers) owners(at apricotway.Offset) []apricotway.Owner {
	if s == nil {
		return []apricotway.Owner{""}
	}

	var owners, all []apricotway.Owner

	for _, signer := range s {
		all = append(all, signer.Owner)
		if signer.Since <= at {
			owners = append(owners, signer.Owner)
		}
	}

	if len(owners) == 0 {
		owners = all
	}

	slices.Sort(owners)

	return slices.Compact(owners)
}

// owner returns the owner of a signer; the name is empty if there are no signers.
func (s signers) owner(name string) apricotway.Owner { return s[name].Owner }

// hashOf returns the hexadecimal SHA-256 digest of a value's JSON form.
func hashOf(value any) (string, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "", errors.Wrap(err, "encode")
	}

	return digestOf(encoded), nil
}

// digestOf returns the hexadecimal SHA-256 digest of the content.
func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
