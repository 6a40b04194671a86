package daemon

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway/coordination/usage"
)

// startAccount sets up the recording of usage, with signatures when the settings name a key.
func (d *Daemon) startAccount() error {
	options := []usage.Option{usage.WithLogger(d.logger)}

	if signing := d.settings.Signing; signing != nil {
		key, err := readSigningKey(signing.Key)
		if err != nil {
			return errors.Wrap(err, "signing key")
		}

		options = append(options, usage.WithKey(signing.Signer, key))
	}

	d.usage = usage.New(d.supervisor, d.settings.Node, d.writer, options...)

	return nil
}

func readSigningKey(path string) (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key")
	}

	block, _ := pem.Decode(content)
	if block == nil {
		return nil, errors.Errorf("%s holds no PEM block", path)
	}

	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse key")
	}

	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s holds no Ed25519 key", path)
	}

	return key, nil
}
