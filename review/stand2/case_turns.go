//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func init() { cases["turns"] = caseTurns }

const (
	// leaseTurns is leaseMs of the settings, loadTime the time that new weights take, and coreCut the length of the partition.
	leaseTurns = 3 * time.Second
	loadTime   = 570 * time.Millisecond
	coreCut    = 5500 * time.Millisecond
	// engineSilence is the time for which the engine is silent.
	engineSilence = 1100 * time.Millisecond
)

// arrival is an order as the engine read it.
type arrival struct {
	at      time.Time
	holder  string
	fence   int64
	version int
	status  int
}

// orderEngine is a model engine that takes orders, and may fall silent.
type orderEngine struct {
	f       *fleet
	id      string
	address string
	born    int64

	mu      sync.Mutex
	version int
	busy    bool
	seq     int64
	beat    int
	silent  time.Time
	// silenceAt is the version from which on the engine falls silent once it has told that it has it, or 0.
	silenceAt int
	arrivals  []arrival
}

func startOrderEngine(f *fleet, id string) (*orderEngine, error) {
	l, err := net.Listen("tcp4", f.host+".1:0")
	if err != nil {
		return nil, err
	}
	e := &orderEngine{f: f, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), version: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	go func() { _ = http.Serve(l, mux) }()
	e.publish()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.publish()
		}
	}()
	return e, nil
}

func (e *orderEngine) publish() {
	e.mu.Lock()
	e.beat++
	entry := map[string]any{
		"service": standin.EngineService, "address": e.address, "zone": "a", "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0, "stage": "both",
		"models": []any{map[string]any{"name": standin.Model, "version": e.version, "adapters": []string{}}}, "seq": e.beat, "born": e.born,
	}
	e.mu.Unlock()
	e.f.store.Put(platform.KindServers, e.id, entry)
}

// waitSilence returns when the engine reads again.
func (e *orderEngine) waitSilence() {
	for {
		e.mu.Lock()
		left := time.Until(e.silent)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *orderEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.waitSilence()
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(w, `{"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%t,"seq":%d,"waiting":0,"running":0,"kvUsed":0,"kvTotal":97350,"handles":0,"born":%d}`,
		standin.Model, e.version, e.busy, e.seq, e.born)
	if e.silenceAt > 0 && !e.busy && e.version >= e.silenceAt {
		e.silenceAt, e.silent = 0, time.Now().Add(engineSilence)
		e.f.say("%s falls silent for %v", e.id, engineSilence)
	}
}

func (e *orderEngine) order(w http.ResponseWriter, r *http.Request) {
	e.waitSilence()
	var o struct {
		Operation, Model, Holder string
		Version                  int
		Fence                    int64
		Precondition             *int64
	}
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case o.Version == e.version:
		status = http.StatusOK
	case e.busy, o.Precondition != nil && *o.Precondition != e.seq:
		status = http.StatusConflict
	default:
		e.busy = true
		e.seq++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.version, e.busy = o.Version, false
			e.mu.Unlock()
			e.publish()
		})
	}
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), holder: o.Holder, fence: o.Fence, version: o.Version, status: status})
	e.f.say("%8.3f s: %s gets an order to load version %d from %s, fence %d: %d", time.Since(e.f.started).Seconds(), e.id, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// leaseWrites passes the calls on to the store, and reports each accepted write of the lease.
type leaseWrites struct {
	next    http.Handler
	renewed chan string
}

func (l *leaseWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || !strings.HasPrefix(r.URL.Path, "/v1/objects/leases") {
		l.next.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var o struct{ Spec struct{ Holder string } }
	_ = json.Unmarshal(body, &o)
	status := &statusWriter{ResponseWriter: w}
	l.next.ServeHTTP(status, r)
	if status.status == http.StatusOK {
		select {
		case l.renewed <- o.Spec.Holder:
		default:
		}
	}
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// caseTurns partitions the holder of the lease from the store while an engine falls silent for a second, and checks that orders of
// two holders reach the engine at least leaseTurns apart.
func caseTurns(f *fleet, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	standin.Configure(f.store, standin.Config{Version: 1, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	standin.SetDesiredVersion(f.store, 1)
	e, err := startOrderEngine(f, "i-7f3a91c2")
	if err != nil {
		return fail(err)
	}
	writes := &leaseWrites{next: f.store, renewed: make(chan string)}
	f.server.Handler = writes
	gates := map[string]*gate{}
	f.storeOf = func(m *node) (string, error) {
		g, err := newGate(f.host+".1:0", f.address)
		if err != nil {
			return "", err
		}
		gates[m.peer] = g
		return g.address(), nil
	}
	if err := f.addNodes(4, "limits.memoryMb=120\nlimits.cpuShare=0.272\n"); err != nil {
		return fail(err)
	}
	if err := f.startAll(); err != nil {
		return fail(err)
	}
	time.Sleep(8 * time.Second)
	version := 1
	name := func() {
		version++
		standin.SetDesiredVersion(f.store, version)
		f.say("%8.3f s: version %d is named", time.Since(f.started).Seconds(), version)
	}
	name()
	time.Sleep(4 * time.Second)
	for round := range 3 {
		holder := <-writes.renewed
		renewed := time.Now()
		f.say("%8.3f s: round %d: %s has renewed its lease", time.Since(f.started).Seconds(), round+1, holder)
		time.Sleep(250 * time.Millisecond)
		name()
		if trouble {
			e.mu.Lock()
			e.silenceAt = version
			e.mu.Unlock()
		}
		time.Sleep(170 * time.Millisecond)
		name()
		time.Sleep(100 * time.Millisecond)
		if trouble {
			gates[holder].cut()
			f.say("%8.3f s: %s is partitioned from the store", time.Since(f.started).Seconds(), holder)
		}
		time.Sleep(time.Until(renewed.Add(3 * time.Second)))
		name()
		time.Sleep(time.Until(renewed.Add(coreCut)))
		if trouble {
			gates[holder].heal()
			f.say("%8.3f s: the partition heals", time.Since(f.started).Seconds())
		}
		time.Sleep(8 * time.Second)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	code := held
	for i := 1; i < len(e.arrivals); i++ {
		a, b := e.arrivals[i-1], e.arrivals[i]
		if gap := b.at.Sub(a.at); a.holder != b.holder && gap < leaseTurns {
			f.say("%s: orders of %s (fence %d) and %s (fence %d) %.3f s apart", e.id, a.holder, a.fence, b.holder, b.fence, gap.Seconds())
			code = broken
		} else if a.holder != b.holder {
			f.say("%s: orders of %s and %s are %.3f s apart", e.id, a.holder, b.holder, gap.Seconds())
		}
	}
	return code
}
