package exchange

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Transport returns net/http's transport on connections of Dial, for calls that are not clients'
// requests. It keeps at most idleConns connections to an address, each for no longer than idle.
func Transport(dialTimeout, idle time.Duration, idleConns int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return Dial(ctx, address, dialTimeout)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     readBufferBytes,
	}
}
