// Package certificate supplies TLS configurations from files and reads the files again when they change, so that keys are
// replaced without a restart.
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

// PeerName is the DNS name that every certificate between processes carries. The processes are addressed by changing IP
// numbers, so their certificates name the system instead.
const PeerName = "apricotway"

// DefaultPeriod is the time between two checks of the files.
const DefaultPeriod = 30 * time.Second

// ErrNoAuthority reports a file of authorities without a certificate.
var ErrNoAuthority = errors.New("no certificate in the file of authorities")

// Files names the PEM files of one identity.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities holds the certificates that sign those of the other side; empty when the other side has none.
	Authorities string `json:"authorities"`
}

// material is what one reading of the files gave. It is never changed.
type material struct {
	content     [][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Source supplies TLS configurations.
type Source struct {
	files  Files
	period time.Duration
	logger logr.Logger
	// current is the last material that could be read; a faulty file leaves it in force.
	current atomic.Pointer[material]
}

// Option changes a source under construction.
type Option func(*Source)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(s *Source) { s.logger = logger }
}

// WithPeriod sets the time between two checks of the files.
func WithPeriod(period time.Duration) Option {
	return func(s *Source) { s.period = period }
}

// New reads the files and adds the check for changes to the supervisor. It fails when the files cannot be used.
func New(supervisor *suture.Supervisor, files Files, options ...Option) (*Source, error) {
	s := &Source{files: files, period: DefaultPeriod, logger: logr.Discard()}
	for _, option := range options {
		option(s)
	}

	if err := s.reload(); err != nil {
		return nil, err
	}

	supervisor.Add(apricotway.ServiceFunc{Name: "certificate", Func: func(ctx context.Context) error {
		ticker := time.NewTicker(s.period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}

			if err := s.reload(); err != nil {
				s.logger.Error(err, "certificate files not usable", "event", 131, "certificate", files.Certificate)
			}
		}
	}})

	return s, nil
}

// reload reads the files and puts them in force when they have changed and can be used.
func (s *Source) reload() error {
	paths := []string{s.files.Certificate, s.files.Key}
	if s.files.Authorities != "" {
		paths = append(paths, s.files.Authorities)
	}

	read := &material{}

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
	s.logger.Info("certificate files read", "event", 132, "certificate", s.files.Certificate)

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

// ServerConfig returns a configuration for a server. With authorities, it accepts only clients that one of them signed.
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

// ClientConfig returns the configuration for a new connection to another process.
func (s *Source) ClientConfig() *tls.Config {
	current := s.current.Load()

	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   PeerName,
	}
}
