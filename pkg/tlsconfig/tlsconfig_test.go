package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/settings"
)

// writePair writes a self-signed certificate, which is also the CA file, and its key.
func writePair(t *testing.T, directory, name string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	files := settings.TLS{CertificateFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem"), CAFile: filepath.Join(directory, "cert.pem")}
	require.NoError(t, os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return files
}

// handshake connects client and server over a pipe and returns the common name of the certificate that
// the client received.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	serverDone := make(chan error, 1)
	go func() {
		err := tls.Server(serverConn, server).HandshakeContext(t.Context())
		if err != nil {
			_ = serverConn.Close()
		}
		serverDone <- err
	}()
	c := client.Clone()
	c.ServerName = "127.0.0.1"
	conn := tls.Client(clientConn, c)
	if err := conn.HandshakeContext(t.Context()); err != nil {
		_ = clientConn.Close()
		<-serverDone
		return "", err
	}
	// In TLS 1.3 a client receives the rejection of its certificate only with its first read.
	go func() { _, _ = conn.Read(make([]byte, 1)) }()
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, <-serverDone
}

// Guards against a renewed certificate that is not used until a restart, and against failed handshakes
// while a file is partially written.
func TestReload(t *testing.T) {
	directory := t.TempDir()
	files := writePair(t, directory, "old")
	now := time.Unix(1000, 0)
	s, err := New(files, slog.New(slog.DiscardHandler), func() time.Time { return now })
	require.NoError(t, err)
	trustAll := &tls.Config{InsecureSkipVerify: true, GetClientCertificate: s.Client().GetClientCertificate}
	name, err := handshake(t, s.Server(), trustAll)
	require.NoError(t, err)
	assert.Equal(t, "old", name)

	require.NoError(t, os.WriteFile(files.KeyFile, []byte("half a file"), 0o600))
	now = now.Add(checkInterval)
	name, err = handshake(t, s.Server(), trustAll)
	require.NoError(t, err)
	assert.Equal(t, "old", name)

	writePair(t, directory, "renewed")
	now = now.Add(checkInterval)
	name, err = handshake(t, s.Server(), trustAll)
	require.NoError(t, err)
	assert.Equal(t, "renewed", name)
}

// Guards against a mutual TLS listener that accepts clients without a certificate or with one of
// another CA, and against a client that accepts any server certificate.
func TestMutualTLS(t *testing.T) {
	own, err := New(writePair(t, t.TempDir(), "own"), slog.New(slog.DiscardHandler), time.Now)
	require.NoError(t, err)
	foreign, err := New(writePair(t, t.TempDir(), "foreign"), slog.New(slog.DiscardHandler), time.Now)
	require.NoError(t, err)
	_, err = handshake(t, own.Server(), own.Client())
	assert.NoError(t, err)
	_, err = handshake(t, own.Server(), &tls.Config{InsecureSkipVerify: true})
	assert.Error(t, err)
	_, err = handshake(t, own.Server(), &tls.Config{InsecureSkipVerify: true, GetClientCertificate: foreign.Client().GetClientCertificate})
	assert.Error(t, err)
	_, err = handshake(t, foreign.Server(), own.Client())
	assert.Error(t, err)
}

// Guards against a node that starts although the certificate file in its settings does not exist.
func TestMissingFiles(t *testing.T) {
	_, err := New(settings.TLS{CertificateFile: "absent.pem", KeyFile: "absent.pem"}, slog.New(slog.DiscardHandler), time.Now)
	assert.ErrorContains(t, err, "absent.pem")
}
