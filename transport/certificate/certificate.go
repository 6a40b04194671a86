// Package certificate provides TLS configurations from PEM files. It reloads the files when they change, so that certificates and
// keys can be replaced without a restart.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
)

// PeerName is the DNS name in every certificate for connections between processes. The IP addresses of processes change, so their
// certificates name the system instead.
const PeerName = "apricotway"

// DefaultPeriod is the default time between two checks of the files for changes.
const DefaultPeriod = 30 * time.Second

// ErrNoAuthority reports that the authorities file contains no certificate.
var ErrNoAuthority = errors.New("no certificate in the file of authorities")

// Files holds the paths of the PEM files of one identity.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities is the file of CA certificates that verify the other side. If it is empty, a server requires no client
	// certificates.
	Authorities string `json:"authorities"`
}

// loadedFiles is the content of the files at one time, raw and parsed. It is immutable.
type loadedFiles struct {
	content     [][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Source provides TLS configurations with the current content of the files.
type Source struct {
	files         Files
	checkInterval time.Duration
	logger        logr.Logger
	// current is the last content that could be parsed. It stays in use if a file becomes unusable.
	current atomic.Pointer[loadedFiles]
}

// Option configures a Source.
type Option func(*Source)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger logr.Logger) Option {
	return func(s *Source) { s.logger = logger }
}

// WithPeriod replaces DefaultPeriod.
func WithPeriod(period time.Duration) Option {
	return func(s *Source) { s.checkInterval = period }
}

// New reads the files and adds a service to the supervisor that reloads them when they change. It returns an error if the files
// cannot be read or parsed.
func New(supervisor *suture.Supervisor, files Files, options ...Option) (*Source, error) {
	s := &Source{files: files, checkInterval: DefaultPeriod, logger: logr.Discard()}
	for _, option := range options {
		option(s)
	}

	if err := s.reload(); err != nil {
		return nil, err
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "certificate", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(s.checkInterval)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}

			if err := s.reload(); err != nil {
				s.logger.Error(err, "reloading the certificate files failed; keeping the previous ones", "event", 131, "certificate", files.Certificate)
			}
		}
	}})

	return s, nil
}

// reload reads the files and replaces s.current if they have changed and can be parsed.
func (s *Source) reload() error {
	paths := []string{s.files.Certificate, s.files.Key}
	if s.files.Authorities != "" {
		paths = append(paths, s.files.Authorities)
	}

	read := &loadedFiles{}

	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read certificate file")
		}

		read.content = append(read.content, content)
	}

	if last := s.current.Load(); last != nil && equal(last.content, read.content) {
		return nil
	}

	var err error
	if read.certificate, err = tls.X509KeyPair(read.content[0], read.content[1]); err != nil {
		return errors.Wrap(err, "parse certificate and key")
	}

	if s.files.Authorities != "" {
		read.authorities = x509.NewCertPool()
		if !read.authorities.AppendCertsFromPEM(read.content[2]) {
			return ErrNoAuthority
		}
	}

	s.current.Store(read)
	s.logger.Info("certificate files loaded", "event", 132, "certificate", s.files.Certificate)

	return nil
}

func equal(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}

	return len(a) == len(b)
}

// ServerConfig returns a configuration for a server, which uses the current files for each new connection. With authorities, it
// requires a client certificate that one of them has signed.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
			}

			if current.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.authorities
			}

			return config, nil
		},
	}
}

// ClientConfig returns a configuration with the current files for one new connection to another process.
func (s *Source) ClientConfig() *tls.Config {
	current := s.current.Load()

	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   PeerName,
	}
}
