package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
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
	exports := &exportCache{}
	mux.HandleFunc("GET "+objectsPath, func(w http.ResponseWriter, r *http.Request) {
		for _, m := range mirrors {
			if m.Kind() != r.URL.Query().Get("kind") {
				continue
			}
			// A malformed revision is read as 0, which requests all objects.
			since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
			compressed := strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip)
			data, err := exports.get(m, since, compressed)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			if compressed {
				w.Header().Set("Content-Encoding", encodingGzip)
			}
			// A failed write means that the other node has closed the connection.
			_, _ = w.Write(data)
			return
		}
		http.NotFound(w, r)
	})
	return mux
}

const (
	// encodingGzip is the content coding of responses to nodes that accept it. It reduces entries of backend
	// servers to about a tenth.
	encodingGzip = "gzip"
	// maxExports bounds the encoded exports that are kept.
	maxExports = 8
)

// exportCache keeps encoded exports: after a change, all nodes fetch the same. It is safe for concurrent use.
type exportCache struct {
	mu      sync.Mutex
	exports map[exportKey][]byte
}

type exportKey struct {
	kind            string
	since, revision int64
	compressed      bool
	interruption    mirror.Interruption
}

// get returns what a mirror holds beyond a revision in encoded form.
func (c *exportCache) get(m *mirror.Mirror, since int64, compressed bool) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := exportKey{kind: m.Kind(), since: since, revision: m.Revision(), compressed: compressed, interruption: m.Interruption()}
	if data, ok := c.exports[key]; ok {
		return data, nil
	}
	content := m.Export(since)
	data, err := msgpack.Marshal(&content)
	if err != nil {
		return nil, fmt.Errorf("encode objects: %w", err)
	}
	if compressed {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	if len(c.exports) >= maxExports || c.exports == nil {
		c.exports = make(map[exportKey][]byte, maxExports)
	}
	key.revision, key.interruption = content.Revision, mirror.Interruption{Known: content.Interrupted, TakenOver: content.TakenOver}
	c.exports[key] = data
	return data, nil
}

func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	return buffer.Bytes(), nil
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
	req.Header.Set("Accept-Encoding", encodingGzip)
	resp, err := f.http.Do(req)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("fetch objects from peer: %w", err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.Header.Get("Content-Encoding") == encodingGzip {
		if body, err = gzip.NewReader(body); err != nil {
			return mirror.Content{}, fmt.Errorf("read objects from peer %s: %w", address, err)
		}
	}
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return mirror.Content{}, fmt.Errorf("read objects from peer %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return mirror.Content{}, fmt.Errorf("fetch objects from peer %s: status %d", address, resp.StatusCode)
	}
	content, err := decodeContent(data)
	if err != nil {
		return mirror.Content{}, fmt.Errorf("decode objects from peer %s: %w", address, err)
	}
	return content, nil
}

func decodeContent(data []byte) (mirror.Content, error) {
	var content mirror.Content
	if err := checkLengths(data, 1); err != nil {
		return content, err
	}
	err := msgpack.Unmarshal(data, &content)
	return content, err
}
