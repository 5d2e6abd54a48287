// Package tlsconfig builds TLS configurations that reload their certificates when the files change, so
// that a renewal needs no restart.
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

// checkInterval is the minimum time between two checks whether the files have changed. Checks happen
// during handshakes, which are frequent, while renewals are rare.
const checkInterval = 10 * time.Second

// Reloader provides the certificate, key and certificate authorities (CAs) of one listener, and reloads
// them when their files change. It is safe for concurrent use.
type Reloader struct {
	files  settings.TLS
	logger *slog.Logger
	now    func() time.Time

	mu         sync.Mutex
	lastCheck  time.Time
	fileStates [3]fileState
	current    credentials
}

// credentials is the content of the files.
type credentials struct {
	certificate *tls.Certificate
	// authorities is nil if no CA file is configured.
	authorities *x509.CertPool
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// New returns a Reloader with the files loaded. The error is of kind fault.InvalidSettings.
func New(files settings.TLS, logger *slog.Logger, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: files, logger: logger, now: now, lastCheck: now()}
	r.fileStates = r.statFiles()
	var err error
	r.current, err = r.load()
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Server returns the configuration of a listener. If a CA file is configured, clients must present a
// certificate that is signed by one of its CAs.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.currentCredentials(hello.Context())
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*current.certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if current.authorities != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, current.authorities
			}
			return c, nil
		},
	}
}

// Client returns the configuration for connections to listeners with the same settings on other nodes.
// It presents this node's certificate and verifies servers with the CA file, or with the CAs of the
// operating system if none is configured. The expected server name is the host of the dialed address.
// A renewed certificate is used for new connections; the CAs stay those at the time of the call.
func (r *Reloader) Client() *tls.Config {
	current := r.currentCredentials(context.Background())
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    current.authorities,
		GetClientCertificate: func(request *tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.currentCredentials(request.Context()).certificate, nil
		},
	}
}

// currentCredentials reloads the files if they have changed, and returns the credentials in use. If the
// changed files are invalid, the previous credentials stay in use and an error is logged.
func (r *Reloader) currentCredentials(ctx context.Context) credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.lastCheck) < checkInterval {
		return r.current
	}
	r.lastCheck = r.now()
	states := r.statFiles()
	if states == r.fileStates {
		return r.current
	}
	loaded, err := r.load()
	if err != nil {
		event.CertificateRefused.Log(ctx, r.logger, slog.String("file", r.files.CertificateFile), slog.String("error", err.Error()))
		return r.current
	}
	// The state is saved only after success, so that partially written files are loaded again at the
	// next check.
	r.fileStates, r.current = states, loaded
	event.CertificateLoaded.Log(ctx, r.logger, slog.String("file", r.files.CertificateFile), slog.Time("valid_until", loaded.certificate.Leaf.NotAfter))
	return loaded
}

// statFiles returns the state of the certificate, key and CA file. The state of a file that cannot be
// read is zero.
func (r *Reloader) statFiles() [3]fileState {
	var states [3]fileState
	for i, path := range []string{r.files.CertificateFile, r.files.KeyFile, r.files.CAFile} {
		if info, err := os.Stat(path); err == nil {
			states[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return states
}

func (r *Reloader) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(r.files.CertificateFile, r.files.KeyFile)
	if err != nil {
		return credentials{}, fault.Wrap(err, fault.InvalidSettings, "cannot load certificate %s with key %s", r.files.CertificateFile, r.files.KeyFile)
	}
	loaded := credentials{certificate: &certificate}
	if r.files.CAFile == "" {
		return loaded, nil
	}
	text, err := os.ReadFile(r.files.CAFile)
	if err != nil {
		return credentials{}, fault.Wrap(err, fault.InvalidSettings, "cannot read the CA file")
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return credentials{}, fault.New(fault.InvalidSettings, "CA file %s contains no certificate", r.files.CAFile)
	}
	return loaded, nil
}
