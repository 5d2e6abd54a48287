package node

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/tlsconfig"
)

// listeners are the TCP listeners of a node.
type listeners struct {
	callers, peers, operators net.Listener
}

// listen binds the listeners of the settings. After an error, none is left open.
func listen(s *settings.Settings, logger *slog.Logger) (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		settings settings.Listener
		listener *net.Listener
	}{{s.Callers, &l.callers}, {s.Peers, &l.peers}, {s.Operators, &l.operators}} {
		bound, err := bind(&entry.settings, logger)
		if err != nil {
			return listeners{}, errors.Join(err, l.close())
		}
		*entry.listener = bound
	}
	return l, nil
}

func bind(s *settings.Listener, logger *slog.Logger) (net.Listener, error) {
	bound, err := net.Listen("tcp", s.Address)
	if err != nil || !s.TLS.Enabled() {
		return bound, err
	}
	source, err := tlsconfig.New(s.TLS, logger, time.Now)
	if err != nil {
		return nil, errors.Join(err, bound.Close())
	}
	return tls.NewListener(bound, source.Server()), nil
}

func (l *listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// advertised returns the address at which others reach a listener, as host:port.
func advertised(s *settings.Listener, bound net.Listener) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return bound.Addr().String()
}

func baseURL(s *settings.Listener, bound net.Listener) string {
	if s.TLS.Enabled() {
		return "https://" + advertised(s, bound)
	}
	return "http://" + advertised(s, bound)
}
