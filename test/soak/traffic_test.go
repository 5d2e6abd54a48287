package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	clientCount = 8
	// maxThinkTime is the longest pause of a client between requests.
	maxThinkTime = 60 * time.Millisecond
	// abandonShare is the share of requests that clients cancel, at a random time within maxAbandonDelay.
	abandonShare    = 0.05
	maxAbandonDelay = 100 * time.Millisecond
	// newConnectionShare is the share of requests after which a client opens a new connection.
	newConnectionShare = 0.05
)

// sentRequest is one request with its outcome.
type sentRequest struct {
	request    standin.Request
	workspace  string
	node       string
	extraRoute bool
	sentAt     time.Time
	endedAt    time.Time
	// abandoned is set if the client was to cancel the request within maxAbandonDelay.
	abandoned bool
	response  standin.Response
}

// traffic records all requests with their outcomes. It is safe for concurrent use.
type traffic struct {
	mu       sync.Mutex
	requests []sentRequest
}

func (t *traffic) add(s sentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, s)
}

// since returns the requests that were sent after a time.
func (t *traffic) since(start time.Time) []sentRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var later []sentRequest
	for _, s := range t.requests {
		if s.sentAt.After(start) {
			later = append(later, s)
		}
	}
	return later
}

// run sends requests from all clients until ctx ends, and waits for the last responses.
func (t *traffic) run(ctx context.Context, f *fleet, seed uint64) {
	var group sync.WaitGroup
	for i := range clientCount {
		group.Go(func() { t.runClient(ctx, f, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
}

// runClient sends one request after another until ctx ends. It keeps its connection to a node until a request fails.
// After a share newConnectionShare of the requests it connects to a random ready node.
func (t *traffic) runClient(ctx context.Context, f *fleet, number int, random *rand.Rand) {
	kinds := []standin.Kind{standin.Safe, standin.Unsafe, standin.Stream, standin.Resumable}
	var node *member
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		if node == nil || random.Float64() < newConnectionShare {
			transport.CloseIdleConnections()
			ready := f.rotation()
			node = ready[random.IntN(len(ready))]
		}
		kind := kinds[random.IntN(len(kinds))]
		workspace := f.config.Tenants[random.IntN(len(f.config.Tenants))]
		id := fmt.Sprintf("c%d-%d", number, i)
		s := sentRequest{workspace: workspace.Name, node: node.settings.Name, request: standin.Request{
			ID: id, Kind: kind, Key: workspace.Key, Deadline: 3 * time.Second, Body: "body of " + id,
		}}
		if kind == standin.Safe {
			s.request.Body = ""
			if random.IntN(4) == 0 {
				s.extraRoute, s.request.Path = true, standin.ExtraPath(id)
			}
		}
		timeout := s.request.Deadline + 500*time.Millisecond
		if random.Float64() < abandonShare {
			s.abandoned = true
			timeout = time.Duration(random.Int64N(int64(maxAbandonDelay)))
		}
		s.sentAt = time.Now()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		s.response = standin.Send(callCtx, client, node.settings.ClientAddress, s.request)
		cancel()
		s.endedAt = time.Now()
		t.add(s)
		if s.response.Err != nil {
			node = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}
