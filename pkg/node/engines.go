package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/tcpbuffer"
)

// Limits of connections to engines.
const (
	engineDialTimeout           = time.Second
	engineIdleTimeout           = 90 * time.Second
	engineMaxIdleConnsPerHost   = 64
	engineResponseHeaderTimeout = 2 * time.Minute
)

// engineClients keeps one client per engine address. It is safe for concurrent use.
type engineClients struct {
	http *http.Client
	mu   sync.Mutex
	// byAddress holds a client for each engine address since the process started.
	byAddress map[string]*engine.Client
}

func newEngineClients() *engineClients {
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: engineDialTimeout, Control: tcpbuffer.Control(defaults.BackendReceiveBytes, defaults.BackendSendBytes)}).DialContext,
		MaxIdleConnsPerHost:   engineMaxIdleConnsPerHost,
		IdleConnTimeout:       engineIdleTimeout,
		ResponseHeaderTimeout: engineResponseHeaderTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes,
	}
	return &engineClients{http: &http.Client{Transport: transport}, byAddress: map[string]*engine.Client{}}
}

// clientFor returns the client of the engine at address (host:port).
func (e *engineClients) clientFor(address string) *engine.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.byAddress[address]
	if c == nil {
		c = engine.NewClient("http://"+address, e.http)
		e.byAddress[address] = c
	}
	return c
}

func (e *engineClients) close() { e.http.CloseIdleConnections() }
