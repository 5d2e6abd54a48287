package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// statedLimit is the Server-Limit of one server, in requests a second, and limitRate the rate of all clients.
	statedLimit = 2
	limitRate   = 300.0
	limitWork   = 300 * time.Millisecond
	// heartbeat is heartbeatMs of the settings. The store removes an entry after three of them without news.
	heartbeat = 1200 * time.Millisecond
	cutTime   = 5 * time.Second
	// limitWindow, limitFactor and limitExtra are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// runLimit cuts a server that states a limit off from the store, not from the nodes, for 5 s. Its entry lapses and returns.
// Without the disruption the server is not cut off.
func runLimit(rec *recorder, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, func(h http.Handler) http.Handler { return h })
	if err != nil {
		return "", err
	}
	defer d.stop()
	d.configure(route("unsafe", "unsafe", "plain", 1, false, 3*time.Second))
	var mu sync.Mutex
	var arrivals []time.Time
	var limited *server
	for i := range 5 {
		s := &server{id: fmt.Sprintf("i-%04x", 0x1f3b*(i+1)), service: "plain", work: limitWork, arrived: func(*server, string, time.Time) {}}
		if i == 2 {
			limited = s
			s.limit = fmt.Sprint(statedLimit)
			s.arrived = func(_ *server, id string, at time.Time) {
				rec.note("request %s: runs at the server with the limit", id)
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, at)
			}
		}
		if err := d.addServer(s); err != nil {
			return "", err
		}
	}
	if err := d.start(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { d.sendAtRate(ctx, &clients, limitRate) })
	// All nodes pass on answers of the server, and the rule applies from contactMs after the first.
	time.Sleep(10 * time.Second)
	judged := time.Now()
	rec.note("the rule is judged from here on")
	time.Sleep(5 * time.Second)
	if trouble {
		rec.note("%s is cut off from the store", limited.id)
		time.Sleep(3 * heartbeat)
		d.objects.Delete(platform.KindServers, limited.id)
		rec.note("its entry is removed after three heartbeat intervals of silence")
		time.Sleep(cutTime - 3*heartbeat)
		limited.publish()
		rec.note("%s reaches the store and writes its entry", limited.id)
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(6 * time.Second)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := mostWithin(arrivals, judged, limitWindow)
	allowed := limitFactor*statedLimit*limitWindow.Seconds() + limitExtra
	rec.note("%d requests reached the server with the limit, at most %d within %v; the rule allows %g", len(arrivals), most, limitWindow, allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("LIMIT: %d requests reached the server within %v; %g are allowed", most, limitWindow, allowed), nil
	}
	return "", nil
}

// mostWithin returns the largest number of times after start that lie within a window.
func mostWithin(times []time.Time, start time.Time, window time.Duration) int {
	times = slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return t.Before(start) })
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendAtRate sends requests at a rate to all nodes in turn until ctx ends.
func (d *deployment) sendAtRate(ctx context.Context, group *sync.WaitGroup, rate float64) {
	clients := make([]*http.Client, len(d.nodes))
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	}
	due, last := 0.0, time.Now()
	for i := 0; ctx.Err() == nil; {
		time.Sleep(2 * time.Millisecond)
		now := time.Now()
		due += rate * now.Sub(last).Seconds()
		last = now
		for ; due >= 1; due-- {
			number, n, client := i, d.nodes[i%len(d.nodes)], clients[i%len(d.nodes)]
			i++
			group.Go(func() {
				req, err := http.NewRequest(http.MethodPost, "http://"+n.client+"/unsafe/x", nil)
				if err != nil {
					panic(err)
				}
				req.Host = standin.Host
				req.Header.Set("Request-Id", fmt.Sprintf("u%d", number))
				req.Header.Set("Deadline-Ms", "3000")
				req.Header.Set("Authorization", "Bearer key-north")
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
	}
}
