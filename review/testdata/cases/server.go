package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// server is a sound server: an engine if it has a model. It never breaks a request off by itself.
type server struct {
	id, service, model, address string
	d                           *deployment
	http                        *http.Server
	born                        int64
	// events and gap are the length of a stream and the time between its events; pauseAfter is the event after which a
	// stream pauses once for pause, because its request is preempted.
	events     int
	gap        time.Duration
	pauseAfter int
	pause      time.Duration
	// work is the time that a plain request takes.
	work time.Duration
	// leavesFirst is set if an engine leaves its first order unanswered and carries it out late.
	leavesFirst bool
	// firstEvent and arrivedRequest are called, unless nil, when an engine has written the first event of an answer, and for
	// each request that it runs.
	firstEvent, arrivedRequest func(req *http.Request)
	// arrived is called for each request that the server runs.
	arrived func(s *server, id string, at time.Time)

	mu    sync.Mutex
	state string
	seq   int
	// version is that of an engine's weights, orders the number of orders that it has accepted since its start, and busy is set
	// while it loads weights.
	version int
	orders  int64
	busy    bool
	ended   map[string]runEnd
}

// runEnd is how a run ended at its server.
type runEnd struct {
	at time.Time
	// complete is set if the server has written its whole answer. Otherwise the node has closed the connection.
	complete bool
}

func (d *deployment) addServer(s *server) error {
	d.mu.Lock()
	d.port++
	address := fmt.Sprintf("%s.2:%d", d.prefix, d.port)
	d.mu.Unlock()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errHarness, err)
	}
	return d.addServerAt(s, listener, address)
}

// addServerAt is addServer with a listener.
func (d *deployment) addServerAt(s *server, listener net.Listener, address string) error {
	s.d, s.address, s.state, s.born, s.version, s.ended = d, address, "ready", time.Now().UnixMilli(), 1, map[string]runEnd{}
	s.serve(listener)
	s.publish()
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	return nil
}

func (s *server) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.report)
	mux.HandleFunc("POST /v1/order", s.handleOrder)
	mux.HandleFunc("/", s.handle)
	server := &http.Server{Handler: mux}
	s.http = server
	go func() { _ = server.Serve(listener) }()
}

// publish writes the server's entry to the store.
func (s *server) publish() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "a", "version": "v1", "slots": 48, "state": s.state, "coldLeftMs": 0,
		"seq": s.seq, "born": s.born,
	}
	if s.model != "" {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": s.model, "version": s.version, "adapters": []string{}}}
	}
	s.mu.Unlock()
	s.d.objects.Put(platform.KindServers, s.id, entry)
}

// setDraining writes that the server leaves.
func (s *server) setDraining() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.publish()
}

func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []string{}}}, "busy": s.busy, "seq": s.orders,
		"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": s.born,
	})
}

func (s *server) handle(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if status := s.refuses(req); status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	s.arrived(s, id, time.Now())
	if s.arrivedRequest != nil {
		s.arrivedRequest(req)
	}
	w.Header().Set("Server-Stamp", "stamp-"+id)
	if s.model == "" {
		if wait(req, s.work) {
			fmt.Fprintf(w, "answer to %s", id)
			s.end(id, true)
			return
		}
		s.end(id, false)
		return
	}
	w.Header().Set("Weight-Versions", s.versionText())
	w.Header().Set("Content-Type", "text/event-stream")
	// Without a valid id the stream starts with the first event.
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= s.events; n++ {
		gap := s.gap
		if s.pause > 0 && n == after+s.pauseAfter+1 {
			gap = s.pause
		}
		if !wait(req, gap) {
			s.end(id, false)
			return
		}
		if _, err := io.WriteString(w, standin.EventText(id, n)); err != nil {
			s.end(id, false)
			return
		}
		_ = http.NewResponseController(w).Flush()
		if s.firstEvent != nil && n == after+1 {
			s.firstEvent(req)
		}
	}
	s.end(id, true)
}

func (s *server) versionText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.version)
}

// end records the end of a run.
func (s *server) end(id string, complete bool) {
	s.mu.Lock()
	s.ended[id] = runEnd{at: time.Now(), complete: complete}
	s.mu.Unlock()
	if s.model != "" && s.arrivedRequest == nil {
		s.d.rec.note("request %s: run at %s ends, whole answer written: %t", id, s.id, complete)
	}
}

// wait waits for d. It returns false at once if the caller closes the connection.
func wait(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}
