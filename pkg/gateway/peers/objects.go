package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
)

const (
	// objectsPath is where a node serves its mirrored objects to others.
	objectsPath = "/peer/objects"
	// maxObjects bounds the answer in bytes.
	maxObjects = 16 << 20
	// fetchTimeout bounds one fetch.
	fetchTimeout = time.Second
)

// content is the body of an answer.
type content struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision int64
	Entries  []mirror.Entry
}

// Handler serves the content of mirrors to other nodes.
func Handler(mirrors []*mirror.Mirror) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, func(w http.ResponseWriter, q *http.Request) {
		for _, m := range mirrors {
			if m.Kind() != q.URL.Query().Get("kind") {
				continue
			}
			entries, revision := m.Export()
			data, err := msgpack.Marshal(&content{Revision: revision, Entries: entries})
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			// A failed write means that the other node has gone.
			_, _ = w.Write(data)
			return
		}
		http.NotFound(w, q)
	})
	return mux
}

// Fetcher fetches mirrored objects from other nodes. It is safe for concurrent use.
type Fetcher struct {
	http *http.Client
}

// NewFetcher returns a fetcher.
func NewFetcher() *Fetcher {
	return &Fetcher{http: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return exchange.Dial(ctx, address, exchange.DialTimeout)
		},
		DisableKeepAlives: true,
	}}}
}

// Fetch returns the objects of a kind that the node at address holds, and their revision.
func (f *Fetcher) Fetch(ctx context.Context, address, kind string) ([]mirror.Entry, int64, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+objectsPath+"?kind="+url.QueryEscape(kind), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("peer request: %w", err)
	}
	answer, err := f.http.Do(q)
	if err != nil {
		return nil, 0, fmt.Errorf("peer did not answer: %w", err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxObjects))
	if err != nil {
		return nil, 0, fmt.Errorf("peer answer was cut: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("peer answered with status %d", answer.StatusCode)
	}
	var c content
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, 0, fmt.Errorf("peer answer does not parse: %w", err)
	}
	return c.Entries, c.Revision, nil
}
