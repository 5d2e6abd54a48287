package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
)

const (
	// objectsPath is where a node serves its mirrored objects to others.
	objectsPath = "/peer/objects"
	// maxObjects bounds the answer in bytes.
	maxResponseBytes = 16 << 20
	// fetchTimeout bounds one fetch.
	fetchTimeout = time.Second
	// fetchIdle is the time for which a connection to another node is kept.
	idleConnTimeout = 3 * time.Second
)

// Handler serves the content of mirrors to other nodes.
func Handler(mirrors []*mirror.Mirror) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, func(w http.ResponseWriter, r *http.Request) {
		for _, m := range mirrors {
			if m.Kind() != r.URL.Query().Get("kind") {
				continue
			}
			// A malformed revision reads as 0, which asks for all objects.
			since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
			content := m.Export(since)
			data, err := msgpack.Marshal(&content)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			// A failed write means that the other node has gone.
			_, _ = w.Write(data)
			return
		}
		http.NotFound(w, r)
	})
	return mux
}

// Fetcher fetches mirrored objects from other nodes. It is safe for concurrent use.
type Fetcher struct {
	http *http.Client
}

// NewFetcher returns a fetcher.
func NewFetcher() *Fetcher {
	return &Fetcher{http: &http.Client{Timeout: fetchTimeout, Transport: exchange.Transport(exchange.DialTimeout, idleConnTimeout, 1)}}
}

// Fetch returns what the node at address holds of a kind beyond a revision.
func (f *Fetcher) Fetch(ctx context.Context, address, kind string, since int64) (mirror.Content, error) {
	query := url.Values{"kind": {kind}, "since": {strconv.FormatInt(since, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+objectsPath+"?"+query.Encode(), nil)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("peer request: %w", err)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("peer did not answer: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return mirror.Content{}, fmt.Errorf("peer answer was cut: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return mirror.Content{}, fmt.Errorf("peer answered with status %d", resp.StatusCode)
	}
	var content mirror.Content
	if err := msgpack.Unmarshal(data, &content); err != nil {
		return mirror.Content{}, fmt.Errorf("peer answer does not parse: %w", err)
	}
	return content, nil
}
