package node

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	"cassiawall.example/cassiawall/pkg/clientconn"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/tlsconfig"
)

// listeners are the TCP listeners of a node.
type listeners struct {
	callers, peers, operators net.Listener
	bounded                   boundedListeners
}

// listen binds the listeners of the settings and bounds their connections. After an error, none is left open.
func (n *Node) listen(budget *clientconn.Budget) (listeners, error) {
	var l listeners
	s := n.opt.Settings
	callers, peers, operators := n.listenerOptions()
	for _, entry := range []struct {
		settings settings.Listener
		options  clientconn.ListenerOptions
		listener *net.Listener
		bounded  **clientconn.Listener
	}{
		{s.Callers, callers, &l.callers, &l.bounded.callers}, {s.Peers, peers, &l.peers, &l.bounded.peers},
		{s.Operators, operators, &l.operators, &l.bounded.operators},
	} {
		o := entry.options
		bound, err := clientconn.ListenTCP("tcp", entry.settings.Address, o.Sockets)
		if err != nil {
			return listeners{}, errors.Join(err, l.close())
		}
		o.TLS, o.MaxHeadBytes, o.MaxFields, o.HeadTimeout = entry.settings.TLS.Enabled(), maxHeaderBytes+headerMargin, maxFields, headerTimeout
		*entry.bounded = budget.Listen(bound, o)
		if *entry.listener, err = encrypt(*entry.bounded, entry.settings.TLS, n.opt.Logger); err != nil {
			return listeners{}, errors.Join(err, bound.Close(), l.close())
		}
	}
	return l, nil
}

// encrypt returns a listener that serves TLS if the settings enable it.
func encrypt(l net.Listener, s settings.TLS, logger *slog.Logger) (net.Listener, error) {
	if !s.Enabled() {
		return l, nil
	}
	source, err := tlsconfig.New(s, logger, time.Now)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, source.Server()), nil
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
