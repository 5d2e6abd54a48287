// Package tlsconfig builds TLS configurations whose certificates are read again when their files
// change, so that a renewal needs no restart.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/settings"
)

// checkInterval is the least time between two looks at the files. Handshakes are frequent and
// renewals are rare.
const checkInterval = 10 * time.Second

// Reloader reads the files of one listener. It is safe for concurrent use.
type Reloader struct {
	files  settings.TLS
	logger *slog.Logger
	now    func() time.Time

	mu      sync.Mutex
	lastCheck time.Time
	fileStates   [3]fileState
	current credentials
}

// credentials is what the files contain.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileState tells whether a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// New reads the files. The error is of kind fault.InvalidSettings.
func New(files settings.TLS, logger *slog.Logger, now func() time.Time) (*Reloader, error) {
	s := &Reloader{files: files, logger: logger, now: now, lastCheck: now()}
	s.fileStates = s.statFiles()
	var err error
	s.current, err = s.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the configuration of a listener. With an authorities file, clients must present a
// certificate that comes from it.
func (s *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.currentCredentials(hello.Context())
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*m.certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if m.authorities != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authorities
			}
			return c, nil
		},
	}
}

// Client returns the configuration for calls to listeners of the same kind: it presents this
// node's certificate and accepts servers whose certificates come from the authorities file, or
// from the system's authorities without one. The server's name is that of the called address. A
// renewed certificate is used at once; the authorities are those of the time of the call to Client.
func (s *Reloader) Client() *tls.Config {
	m := s.currentCredentials(context.Background())
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    m.authorities,
		GetClientCertificate: func(request *tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentCredentials(request.Context()).certificate, nil
		},
	}
}

// currentCredentials returns the current material and reads changed files first. If they cannot be used, the
// old material stays in use and a warning is logged.
func (s *Reloader) currentCredentials(ctx context.Context) credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Sub(s.lastCheck) < checkInterval {
		return s.current
	}
	s.lastCheck = s.now()
	state := s.statFiles()
	if state == s.fileStates {
		return s.current
	}
	m, err := s.load()
	if err != nil {
		event.CertificateRefused.Log(ctx, s.logger, slog.String("file", s.files.CertificateFile), slog.String("error", err.Error()))
		return s.current
	}
	// The state is only remembered after a success, so that half-written files are read again.
	s.fileStates, s.current = state, m
	event.CertificateLoaded.Log(ctx, s.logger, slog.String("file", s.files.CertificateFile), slog.Time("valid_until", m.certificate.Leaf.NotAfter))
	return m
}

func (s *Reloader) statFiles() [3]fileState {
	var state [3]fileState
	for i, path := range []string{s.files.CertificateFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(path); err == nil {
			state[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return state
}

func (s *Reloader) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.CertificateFile, s.files.KeyFile)
	if err != nil {
		return credentials{}, fault.Wrap(err, fault.InvalidSettings, "cannot load certificate %s with key %s", s.files.CertificateFile, s.files.KeyFile)
	}
	m := credentials{certificate: &certificate}
	if s.files.CAFile == "" {
		return m, nil
	}
	text, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return credentials{}, fault.Wrap(err, fault.InvalidSettings, "cannot read authorities")
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(text) {
		return credentials{}, fault.New(fault.InvalidSettings, "%s contains no certificate", s.files.CAFile)
	}
	return m, nil
}
