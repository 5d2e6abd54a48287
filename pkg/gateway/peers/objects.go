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
	// objectsPath is the path at which a node serves its mirrored objects to others.
	objectsPath = "/peer/objects"
	// maxResponseBytes bounds the response of another node.
	maxResponseBytes = 16 << 20
	// fetchTimeout bounds one fetch.
	fetchTimeout = time.Second
	// idleConnTimeout is the time for which an idle connection to another node is kept.
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
			// A malformed revision is read as 0, which requests all objects.
			since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
			content := m.Export(since)
			data, err := msgpack.Marshal(&content)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			// A failed write means that the other node has closed the connection.
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

// Fetch returns what the mirror of a kind on the node at address holds beyond a revision.
func (f *Fetcher) Fetch(ctx context.Context, address, kind string, since int64) (mirror.Content, error) {
	query := url.Values{"kind": {kind}, "since": {strconv.FormatInt(since, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+objectsPath+"?"+query.Encode(), nil)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("build request to peer: %w", err)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("fetch objects from peer: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return mirror.Content{}, fmt.Errorf("read objects from peer %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return mirror.Content{}, fmt.Errorf("fetch objects from peer %s: status %d", address, resp.StatusCode)
	}
	var content mirror.Content
	if err := msgpack.Unmarshal(data, &content); err != nil {
		return mirror.Content{}, fmt.Errorf("decode objects from peer %s: %w", address, err)
	}
	return content, nil
}
