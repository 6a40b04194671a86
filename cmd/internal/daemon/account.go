package daemon

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/coordination/usage"
	"github.com/apricotway/apricotway/state/account"
)

// startAccount sets up the recording of usage and the statements on it, with signatures when the settings name a key.
func (d *Daemon) startAccount(log apricotway.Log) error {
	options := []usage.Option{usage.WithLogger(d.logger)}
	statements := []usage.StatementsOption{
		usage.WithStatementLogger(d.logger), usage.WithHostBatches(d.settings.Region, d.feed.Fold()),
	}

	if signing := d.settings.Signing; signing != nil {
		key, err := readSigningKey(signing.Key)
		if err != nil {
			return errors.Wrap(err, "signing key")
		}

		options = append(options, usage.WithKey(signing.Signer, key))
		statements = append(statements, usage.WithStatementKey(signing.Signer, key))
	}

	d.usage = usage.New(d.supervisor, d.settings.Node, d.writer, options...)
	usage.NewStatements(d.supervisor, log, d.writer, d.feed.Ready(),
		func() map[string]account.Signer { return account.SignersOf(d.feed.Fold()) }, d.rankInRegion, statements...)

	return nil
}

// rankInRegion counts the live members of the region whose names come before that of this process.
func (d *Daemon) rankInRegion() int {
	rank := 0

	for _, member := range d.membership.Members() {
		if member.State != apricotway.MemberDead && member.Region == d.settings.Region && member.Node < d.settings.Node {
			rank++
		}
	}

	return rank
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
