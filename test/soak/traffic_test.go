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
	// thinkMost bounds a client's pause between requests.
	thinkMost = 60 * time.Millisecond
	// giveUpShare is the share of requests that clients leave early, within giveUpMost.
	giveUpShare = 0.05
	giveUpMost  = 100 * time.Millisecond
	// newConnectionShare is the share of requests after which a client opens a new connection.
	newConnectionShare = 0.05
)

// sent is one request with its outcome.
type sent struct {
	ask    standin.Request
	tenant string
	node   string
	extra  bool
	at     time.Time
	ended  time.Time
	// gaveUp is set if the client left early.
	gaveUp bool
	reply  standin.Response
}

// traffic holds all requests. It is safe for concurrent use.
type traffic struct {
	mu  sync.Mutex
	all []sent
}

func (t *traffic) add(s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, s)
}

// since returns the requests that were sent after a time.
func (t *traffic) since(at time.Time) []sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var later []sent
	for _, s := range t.all {
		if s.at.After(at) {
			later = append(later, s)
		}
	}
	return later
}

// run sends requests from all clients until ctx ends, and waits for the last answers.
func (t *traffic) run(ctx context.Context, f *fleet, seed uint64) {
	var group sync.WaitGroup
	for i := range clientCount {
		group.Go(func() { t.client(ctx, f, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
}

// client sends one request after the other. Its connection stays with a node while that serves it.
func (t *traffic) client(ctx context.Context, f *fleet, number int, random *rand.Rand) {
	kinds := []standin.Kind{standin.Safe, standin.Unsafe, standin.Stream, standin.Resumable}
	var node *member
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		if node == nil || random.Float64() < newConnectionShare {
			transport.CloseIdleConnections()
			in := f.rotation()
			node = in[random.IntN(len(in))]
		}
		kind := kinds[random.IntN(len(kinds))]
		tenant := f.config.Tenants[random.IntN(len(f.config.Tenants))]
		id := fmt.Sprintf("c%d-%d", number, i)
		s := sent{tenant: tenant.Name, node: node.settings.Name, ask: standin.Request{
			ID: id, Kind: kind, Key: tenant.Key, Deadline: 3 * time.Second, Body: "body of " + id,
		}}
		if kind == standin.Safe {
			s.ask.Body = ""
			if random.IntN(4) == 0 {
				s.extra, s.ask.Path = true, standin.ExtraPath(id)
			}
		}
		patience := s.ask.Deadline + 500*time.Millisecond
		if random.Float64() < giveUpShare {
			s.gaveUp = true
			patience = time.Duration(random.Int64N(int64(giveUpMost)))
		}
		s.at = time.Now()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
		s.reply = standin.Send(callCtx, client, node.settings.ClientAddress, s.ask)
		cancel()
		s.ended = time.Now()
		t.add(s)
		if s.reply.Err != nil {
			node = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(thinkMost))))
	}
}
