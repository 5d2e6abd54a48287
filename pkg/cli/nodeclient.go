package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/fault"
)

// nodeOptions are the flags with which a command connects to the operators' listener of a node.
type nodeOptions struct {
	Node        string `long:"node" value-name:"URL" description:"URL of a node's operators' listener" default:"http://127.0.0.1:8083"`
	CA          string `long:"ca" value-name:"FILE" description:"Authorities of the node's certificate, in PEM; default: those of the system"`
	Certificate string `long:"certificate" value-name:"FILE" description:"Client certificate for mutual TLS, in PEM"`
	Key         string `long:"key" value-name:"FILE" description:"Private key of the client certificate, in PEM"`
}

// maxNodeResponseBytes bounds the response body that is read from a node.
const maxNodeResponseBytes = 64 << 20

func (o *nodeOptions) client() (*http.Client, error) {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.CA != "" {
		text, err := os.ReadFile(o.CA)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "cannot read the authorities")
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(text) {
			return nil, fault.New(fault.BadRequest, "%s contains no certificate", o.CA)
		}
	}
	if o.Certificate != "" || o.Key != "" {
		certificate, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "cannot load the client certificate")
		}
		tlsConfig.Certificates = []tls.Certificate{certificate}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes}}, nil
}

// getJSON gets the JSON document at path from the node and decodes it into v. timeout bounds the
// call. The error is of kind fault.BackendUnavailable if the node does not answer, and of the kind
// that the node reports if it answers with an error document.
func (o *nodeOptions) getJSON(ctx context.Context, path string, timeout time.Duration, v any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(o.Node, "/")+path, nil)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "--node is not a URL")
	}
	response, err := client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.BackendUnavailable, "the node at %s does not answer", o.Node)
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxNodeResponseBytes)
	if response.StatusCode != http.StatusOK {
		return nodeError(response.Status, body)
	}
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fault.Wrap(err, fault.BackendFailed, "the node's answer is not the expected JSON")
	}
	return nil
}

// maxErrorBytes bounds how much of an error document is read.
const maxErrorBytes = 16 << 10

// nodeError returns the error in a node's error document. If body is no error document, the error is
// of kind fault.BackendFailed and contains the status and the body.
func nodeError(status string, body io.Reader) error {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var typed fault.Body
	if json.Unmarshal(text, &typed) == nil && typed.Error.Kind != "" {
		return fault.New(typed.Error.Kind, "the node answers: %s", typed.Error.Message)
	}
	return fault.New(fault.BackendFailed, "the node answers %s: %s", status, strings.TrimSpace(string(text)))
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
