package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway/transport/certificate"
)

// authority is a CA that signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}

	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}

	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}

	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}

	return &authority{certificate: parsed, key: key}
}

// issue creates a new identity and writes its files to the directory.
func (a *authority) issue(t *testing.T, directory string, serial int64) certificate.Files {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}

	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{certificate.PeerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}

	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}

	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}

	files := certificate.Files{
		Certificate: filepath.Join(directory, "cert.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authorities: filepath.Join(directory, "authorities.pem"),
	}

	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "PRIVATE KEY", Bytes: private},
		files.Authorities: {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	return files
}

func newSource(t *testing.T, files certificate.Files, options ...certificate.Option) *certificate.Source {
	t.Helper()

	supervisor := suture.NewSimple("test")

	source, err := certificate.New(supervisor, files, options...)
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	stopped := supervisor.ServeBackground(ctx)

	t.Cleanup(func() {
		cancel()

		if err := <-stopped; err == nil {
			t.Error("supervisor stopped without a reason")
		}
	})

	return source
}

// handshake connects a client to a server and returns the server's certificate.
func handshake(t *testing.T, server, client *certificate.Source) (*x509.Certificate, error) {
	t.Helper()

	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}

		// Receiving this byte shows the client that the server accepted its certificate.
		_, _ = connection.Write([]byte{1})
		_ = connection.Close()
	}()

	connection, err := tls.DialWithDialer(&net.Dialer{}, "tcp", listener.Addr().String(), client.ClientConfig())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = connection.Close() })

	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return nil, err
	}

	return connection.ConnectionState().PeerCertificates[0], nil
}

// TestMutualVerification guards against connections with processes of another authority: each side accepts only certificates that
// its own authority has signed.
func TestMutualVerification(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	server := newSource(t, own.issue(t, t.TempDir(), 2))
	client := newSource(t, own.issue(t, t.TempDir(), 3))
	stranger := newSource(t, other.issue(t, t.TempDir(), 4))

	if _, err := handshake(t, server, client); err != nil {
		t.Errorf("got %v between processes of one authority", err)
	}

	if _, err := handshake(t, server, stranger); err == nil {
		t.Error("got a connection from a client of another authority")
	}

	if _, err := handshake(t, stranger, client); err == nil {
		t.Error("got a connection to a server of another authority")
	}
}

// TestReload checks that keys are replaced without a restart and that the previous key stays in use if a file is invalid.
func TestReload(t *testing.T) {
	signer, directory := newAuthority(t), t.TempDir()
	files := signer.issue(t, directory, 2)
	server := newSource(t, files, certificate.WithPeriod(time.Millisecond))
	client := newSource(t, signer.issue(t, t.TempDir(), 3))

	serial := func() int64 {
		got, err := handshake(t, server, client)
		if err != nil {
			t.Fatal(err)
		}

		return got.SerialNumber.Int64()
	}

	if got := serial(); got != 2 {
		t.Errorf("got certificate %d, want 2", got)
	}

	if err := os.WriteFile(files.Key, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}

	if got := serial(); got != 2 {
		t.Errorf("got certificate %d with a faulty key file, want 2", got)
	}

	signer.issue(t, directory, 5)

	for serial() != 5 {
	}
}
