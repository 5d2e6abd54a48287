package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// crashPart is the part that crashes engines.
	crashPart = "dead0001"
	// crashDelay is the time from the first event of an answer on it until the engine crashes, lapseAfter the time until the
	// store removes its entry (three heartbeat intervals), and backAfter the time until the engine is back.
	crashDelay = 20 * time.Millisecond
	lapseAfter = 3 * 1200 * time.Millisecond
	backAfter  = 4 * time.Second
	// crashRequests requests with the part are sent, one every crashInterval.
	crashRequests = 25
	crashInterval = 1200 * time.Millisecond
	// allowedRequests is the number of requests with the part that the rule allows later than contact after the fifth crash.
	allowedRequests = 3
)

// crashes records the crashes of engines and the requests with the part that reached engines.
type crashes struct {
	rec *recorder
	mu  sync.Mutex
	at  []time.Time
	// reached are the times at which requests with the part reached engines.
	reached []time.Time
	starts  int
}

// runPoison sends requests with a part of the prompt that crashes each engine that begins to write an answer on it: the engine
// has written the first event. Without the disruption no engine crashes.
func runPoison(rec *recorder, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, func(h http.Handler) http.Handler { return h })
	if err != nil {
		return "", err
	}
	defer d.stop()
	d.configure(route("stream", "stream", "engines", 1, false, streamDeadline))
	c := &crashes{rec: rec}
	for range 8 {
		if err := c.startEngine(d, trouble, ""); err != nil {
			return "", err
		}
	}
	if err := d.start(); err != nil {
		return "", err
	}
	a := &attempts{byID: map[string]*attempt{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a.sendPrompt(&recorder{out: io.Discard}, d.nodes[(i+n)%len(d.nodes)].client, fmt.Sprintf("sound%d-%d", i, n), "aa00:100")
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i := range crashRequests {
		group.Go(func() {
			a.sendPrompt(rec, d.nodes[i%len(d.nodes)].client, fmt.Sprintf("part%d", i), "aa00:100,"+crashPart+":100")
		})
		time.Sleep(crashInterval)
	}
	cancel()
	group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 5 {
		return "", nil
	}
	late := 0
	for _, t := range c.reached {
		if t.After(c.at[4].Add(contact)) {
			late++
		}
	}
	cut := 0
	for id, r := range a.byID {
		if strings.HasPrefix(id, "sound") && !r.reachedAt.IsZero() && !r.complete {
			cut++
		}
	}
	rec.note("%d crashes; %d requests with the part reached engines, %d of them later than %v after the fifth crash", len(c.at), len(c.reached), late, contact)
	if late > allowedRequests {
		return fmt.Sprintf("BUDGET: %d requests with the part reached engines later than %v after the fifth crash; %d are allowed", late, contact, allowedRequests), nil
	}
	return "", nil
}

// sendPrompt is send for a stream with leading parts of the prompt.
func (a *attempts) sendPrompt(rec *recorder, address, id, parts string) {
	a.sendParts(rec, address, "/stream/x", id, streamDeadline, parts+","+id+":100")
}

// startEngine starts an engine. address is that of the one that crashed, or "".
func (c *crashes) startEngine(d *deployment, trouble bool, address string) error {
	c.mu.Lock()
	c.starts++
	id := fmt.Sprintf("i-%06x", 0x1b215*c.starts&0xffffff)
	c.mu.Unlock()
	s := &server{id: id, service: "engines", model: standin.Model, events: 10, gap: 50 * time.Millisecond, arrived: func(*server, string, time.Time) {}}
	var once sync.Once
	if trouble {
		s.firstEvent = func(req *http.Request) {
			if !strings.Contains(req.Header.Get("Prefix-Hash"), crashPart) {
				return
			}
			time.AfterFunc(crashDelay, func() { once.Do(func() { c.crash(d, s) }) })
		}
	}
	s.arrivedRequest = func(req *http.Request) {
		if strings.Contains(req.Header.Get("Prefix-Hash"), crashPart) {
			c.rec.note("request %s: with the part, reaches %s", req.Header.Get("Request-Id"), s.id)
			c.mu.Lock()
			c.reached = append(c.reached, time.Now())
			c.mu.Unlock()
		}
	}
	if address == "" {
		return d.addServer(s)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errHarness, err)
	}
	return d.addServerAt(s, listener, address)
}

// crash ends an engine. Its entry lapses, and it is back after some seconds as another one.
func (c *crashes) crash(d *deployment, s *server) {
	s.http.Close()
	c.rec.note("%s crashes", s.id)
	c.mu.Lock()
	c.at = append(c.at, time.Now())
	c.mu.Unlock()
	time.AfterFunc(lapseAfter, func() { d.objects.Delete(platform.KindServers, s.id) })
	time.AfterFunc(backAfter, func() {
		if err := c.startEngine(d, true, s.address); err != nil {
			c.rec.note("engine not started: %v", err)
		}
	})
}
