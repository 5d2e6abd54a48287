//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func init() { cases["part"] = casePart }

const (
	partEngines = 8
	// badPart is the part of a prompt on which engines crash, crashDelay the time from the first event until they do, and backAfter
	// the time after which they are back.
	badPart    = "5c1e07a2"
	crashDelay = 20 * time.Millisecond
	backAfter  = 4 * time.Second
	// badRequests requests have the part, one each badInterval.
	badRequests = 25
	badInterval = 1200 * time.Millisecond
	// allowedLate is the number of requests with the part that may reach engines later than contact after crash crashesBefore.
	allowedLate   = 3
	crashesBefore = 5
	partEvents    = 12
	partEventGap  = 25 * time.Millisecond
)

// partFleet are the engines and what reached them.
type partFleet struct {
	f       *fleet
	trouble bool

	mu      sync.Mutex
	number  int
	crashes []time.Time
	// reached are the arrivals of requests with the part.
	reached []time.Time
	cut     int
}

// partEngine is a model engine whose answers have no length and end with their connection.
type partEngine struct {
	p        *partFleet
	id       string
	listener net.Listener
	born     int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	down  bool
	beat  int
}

func (p *partFleet) startEngine() error {
	l, err := net.Listen("tcp4", p.f.host+".1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.number++
	e := &partEngine{p: p, id: fmt.Sprintf("i-%08x", 0x7f3a0000+p.number), listener: l, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":97350,"handles":0,"born":%d}`, standin.Model, e.born)
	})
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateNew {
			e.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	go func() {
		for e.publish() {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// publish writes the engine's entry, and reports whether the engine is up.
func (e *partEngine) publish() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return false
	}
	e.beat++
	e.p.f.store.Put(platform.KindServers, e.id, map[string]any{
		"service": standin.EngineService, "address": e.listener.Addr().String(), "zone": "a", "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": []any{map[string]any{"name": standin.Model, "version": 1, "adapters": []string{}}}, "seq": e.beat, "born": e.born,
	})
	return true
}

// crash ends the engine as the end of its process does: its sockets are closed. It is back later, as a new one.
func (e *partEngine) crash(request string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	p := e.p
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.f.say("%8.3f s: %s crashes under %s (crash %d)", time.Since(p.f.started).Seconds(), e.id, request, n)
	time.AfterFunc(3*heartbeat, func() { p.f.store.Delete(platform.KindServers, e.id) })
	time.AfterFunc(backAfter, func() { _ = p.startEngine() })
}

func (e *partEngine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	bad := strings.Contains(r.Header.Get("Prefix-Hash"), badPart)
	if bad {
		e.p.mu.Lock()
		e.p.reached = append(e.p.reached, time.Now())
		e.p.mu.Unlock()
		e.p.f.note("%s, with the part, reaches %s at %.3f s", id, e.id, time.Since(e.p.f.started).Seconds())
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", id, id)
	for n := 1; n <= partEvents; n++ {
		if _, err := io.WriteString(c, standin.EventText(id, n)); err != nil {
			return
		}
		if bad && e.p.trouble {
			time.Sleep(crashDelay)
			e.crash(id)
			return
		}
		time.Sleep(partEventGap)
	}
}

// send sends a request and returns the status and the number of whole events of its answer, and whether that ended as complete.
func (p *partFleet) send(m *node, id, part string) (status, events int, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+standin.Path(standin.Stream, id), strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, false
	}
	req.Host, req.GetBody = standin.Host, nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer key-north")
	req.Header.Set("Model", standin.Model)
	req.Header.Set("Token-Count", "900,60")
	req.Header.Set("Prefix-Hash", part+":800,"+id+":100")
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, strings.Count(string(body), "\n\n"), err == nil
}

// casePart sends requests with a part that crashes engines, whose answers have no length, and counts how many reach engines after the
// fifth crash.
func casePart(f *fleet, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	standin.Configure(f.store, standin.Config{Version: 1, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	standin.SetDesiredVersion(f.store, 1)
	p := &partFleet{f: f, trouble: trouble}
	for range partEngines {
		if err := p.startEngine(); err != nil {
			return fail(err)
		}
	}
	if err := f.addNodes(3, "limits.memoryMb=120\nlimits.cpuShare=0.272\n"); err != nil {
		return fail(err)
	}
	if err := f.startAll(); err != nil {
		return fail(err)
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	short, total := 0, 0
	for i := range 6 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("sound-%d-%d", i+1, n)
				status, events, complete := p.send(f.nodes[i%len(f.nodes)], id, fmt.Sprintf("91bd3f0%d", n%6))
				f.note("%s to %s: status %d, %d of %d events, complete %t", id, f.nodes[i%len(f.nodes)].name, status, events, partEvents, complete)
				p.mu.Lock()
				total++
				if status == http.StatusOK && complete && events < partEvents {
					short++
				}
				p.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := range badRequests {
		m := f.nodes[n%len(f.nodes)]
		group.Go(func() {
			id := fmt.Sprintf("bad-%d", n+1)
			status, events, complete := p.send(m, id, badPart)
			f.note("%s, with the part, to %s: status %d, %d of %d events, complete %t", id, m.name, status, events, partEvents, complete)
		})
		time.Sleep(badInterval)
	}
	cancel()
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	slices.SortFunc(p.reached, time.Time.Compare)
	if len(p.crashes) >= crashesBefore {
		for _, at := range p.reached {
			if at.Sub(p.crashes[crashesBefore-1]) > contact {
				late++
			}
		}
	}
	f.say("%d crashes; %d requests with the part reached engines, %d of them later than %v after crash %d; %d are allowed", len(p.crashes), len(p.reached),
		late, contact, crashesBefore, allowedLate)
	f.say("%d sound requests; %d of them ended as complete before their last event", total, short)
	if late > allowedLate {
		return broken
	}
	return held
}
