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

// startUsage starts the recording of usage and the usage statements, which are signed when the settings name a key.
func (d *Daemon) startUsage(log apricotway.Log) error {
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

// rankInRegion returns the number of members of the region that are not dead and whose node IDs sort before that of this
// process.
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
		return nil, errors.Wrap(err, "read key file")
	}

	block, _ := pem.Decode(content)
	if block == nil {
		return nil, errors.Errorf("%s contains no PEM block", path)
	}

	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse PKCS #8 key")
	}

	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s contains a key other than Ed25519", path)
	}

	return key, nil
}
