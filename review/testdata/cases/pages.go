package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// pageItems is the number of objects in a page of a list, and storeAnswer the time that the store takes to answer, as in
	// the site files.
	pageItems   = 50
	storeAnswer = 4 * time.Millisecond
	// serverCount is the number of servers in steady use.
	serverCount = 240
	// leaveShare of the servers are emptied and taken away every leaveInterval, within leaveSpread. One in three of them
	// reports no draining.
	leaveShare    = 0.15
	leaveInterval = 3500 * time.Millisecond
	leaveSpread   = 100 * time.Millisecond
	// serveOn is the time for which a server serves after its entry was removed.
	serveOn = 6 * time.Second
	rounds  = 28
)

// pagedStore returns lists in pages. Each page shows the store at the time of its call, and its own revision.
func pagedStore(whole http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(storeAnswer)
		query := req.URL.Query()
		isList := req.Method == http.MethodGet && !query.Has("watch") && strings.Count(strings.Trim(req.URL.Path, "/"), "/") == 2
		if !isList {
			whole.ServeHTTP(w, req)
			return
		}
		answer := httptest.NewRecorder()
		whole.ServeHTTP(answer, req)
		var page struct {
			Items      []json.RawMessage `json:"items"`
			HasMore    bool              `json:"hasMore"`
			CurrentRev int64             `json:"currentRev"`
		}
		if err := json.Unmarshal(answer.Body.Bytes(), &page); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		items := []json.RawMessage{}
		for _, item := range page.Items {
			var o struct {
				Metadata struct {
					Name string `json:"name"`
				} `json:"metadata"`
			}
			if err := json.Unmarshal(item, &o); err != nil || o.Metadata.Name <= query.Get("after") {
				continue
			}
			if len(items) == pageItems {
				page.HasMore = true
				break
			}
			items = append(items, item)
		}
		page.Items = items
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		_ = json.NewEncoder(w).Encode(page)
	})
}

// departures records when the entry of a server was removed, and the requests that reached it too late.
type departures struct {
	rec *recorder
	mu  sync.Mutex
	// removedAt is the time at which the store has acknowledged the removal.
	removedAt map[string]time.Time
	arrivals  int
	late      int
	// lateIDs are the requests that reached a server too late, and lost those of them that got no answer of it.
	lateIDs map[string]bool
	lost    int
}

func (t *departures) arrived(s *server, id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals++
	removed, gone := t.removedAt[s.id]
	if !gone || at.Sub(removed) <= drain {
		return
	}
	t.late++
	t.lateIDs[id] = true
	if t.late <= 200 {
		t.rec.note("request %s: runs at %s, %v after the store has acknowledged the removal of its entry", id, s.id, at.Sub(removed).Round(time.Millisecond))
	}
}

// runPages lets servers leave all the time. Without the disruption they stay.
func runPages(rec *recorder, trouble bool) (string, error) {
	d, err := newDeployment(rec, 6, pagedStore)
	if err != nil {
		return "", err
	}
	defer d.stop()
	d.configure(route("unsafe", "unsafe", "plain", 1, false, unsafeDeadline))
	t := &departures{rec: rec, removedAt: map[string]time.Time{}, lateIDs: map[string]bool{}}
	add := func() error {
		return d.addServer(&server{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "plain", work: 300 * time.Millisecond, arrived: t.arrived})
	}
	for range serverCount {
		if err := add(); err != nil {
			return "", err
		}
	}
	if err := d.start(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 96 {
		clients.Go(func() { t.sendUnsafe(ctx, d.nodes[i%len(d.nodes)], i) })
	}
	for round := range rounds {
		if !trouble {
			time.Sleep(leaveInterval)
			continue
		}
		d.leave(t, round, add)
		t.mu.Lock()
		late := t.late
		t.mu.Unlock()
		if late > 20 {
			break
		}
	}
	// The servers that left last end.
	time.Sleep(serveOn)
	cancel()
	clients.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.note("%d requests reached servers, %d of them too late; %d of these were lost when the server ended", t.arrivals, t.late, t.lost)
	if t.late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached servers later than %v after the acknowledgement that these were gone", t.late, drain), nil
	}
	return "", nil
}

// leave lets leaveShare of the servers leave at the same moment, and others take their place.
func (d *deployment) leave(t *departures, round int, add func() error) {
	d.mu.Lock()
	n := int(leaveShare * float64(len(d.servers)))
	rand.Shuffle(len(d.servers), func(i, j int) { d.servers[i], d.servers[j] = d.servers[j], d.servers[i] })
	leaving := append([]*server(nil), d.servers[:n]...)
	d.servers = append([]*server(nil), d.servers[n:]...)
	d.mu.Unlock()
	d.rec.note("round %d: %d of %d servers leave", round, n, n+len(d.servers))
	began := time.Now()
	var group sync.WaitGroup
	for i, s := range leaving {
		group.Go(func() {
			time.Sleep(rand.N(leaveSpread))
			if i%3 != 0 {
				s.setDraining()
				time.Sleep(drain + 500*time.Millisecond)
			}
			d.objects.Delete(platform.KindServers, s.id)
			t.mu.Lock()
			t.removedAt[s.id] = time.Now()
			t.mu.Unlock()
			time.AfterFunc(serveOn, func() { s.http.Close() })
		})
	}
	for range leaving {
		group.Go(func() {
			time.Sleep(rand.N(leaveSpread))
			// A port in use leaves the service one server smaller.
			_ = add()
		})
	}
	group.Wait()
	time.Sleep(time.Until(began.Add(leaveInterval)))
}

// sendUnsafe sends one unsafe request after another on one connection until ctx ends.
func (t *departures) sendUnsafe(ctx context.Context, n *node, number int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", number, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+n.client+"/unsafe/x", nil)
		if err != nil {
			panic(err)
		}
		req.Host = standin.Host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", fmt.Sprint(unsafeDeadline.Milliseconds()))
		req.Header.Set("Authorization", "Bearer key-north")
		status := 0
		if resp, err := client.Do(req); err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		t.mu.Lock()
		if t.lateIDs[id] && status != http.StatusOK {
			t.lost++
			t.rec.note("request %s: status %d; its server has ended", id, status)
		}
		t.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}
