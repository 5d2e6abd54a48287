package exchange

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Transport returns a net/http transport that connects with Dial, for calls of the node itself. It keeps
// at most maxIdleConns idle connections to an address, each for no longer than idleTimeout.
func Transport(dialTimeout, idleTimeout time.Duration, maxIdleConns int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return Dial(ctx, address, dialTimeout)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// Calls of the node itself have short headers.
		MaxResponseHeaderBytes: MaxHeadBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        readBufferBytes,
	}
}
