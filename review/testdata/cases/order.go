package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// loadTime is the time that new weights take an engine, as in the site files.
	loadTime = 570 * time.Millisecond
	// orderDelay is the time after which an unanswered order is carried out; `fleetbench kinds` names 2 to 12 s.
	orderDelay = 8 * time.Second
	versionMs  = 8 * time.Second
	// orderEngines is the number of engines, and lateEngines that of those that leave their first order unanswered.
	orderEngines = 10
	lateEngines  = 3
)

// order is an order to load a version.
type order struct {
	Operation, Model, Holder string
	Version                  int
	Fence                    int64
	Precondition             *int64
}

func (s *server) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	late := s.leavesFirst
	s.leavesFirst = false
	s.mu.Unlock()
	if late {
		s.d.rec.note("%s: order for version %d, precondition %d: not answered, carried out %v later", s.id, o.Version, *o.Precondition, orderDelay)
		time.AfterFunc(orderDelay, func() {
			status := s.carryOut(o)
			s.d.rec.note("%s: the late order for version %d is carried out now: status %d", s.id, o.Version, status)
		})
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := s.carryOut(o)
	s.d.rec.note("%s: order for version %d, precondition %d, holder %s, fence %d: status %d", s.id, o.Version, *o.Precondition, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// carryOut accepts or rejects an order as PROTOCOL.md says, and loads the weights.
func (s *server) carryOut(o order) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy, o.Precondition != nil && *o.Precondition != s.orders:
		return http.StatusConflict
	case o.Version == s.version:
		return http.StatusOK
	}
	s.orders++
	s.busy = true
	born := s.born
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		if s.born != born {
			s.mu.Unlock()
			return
		}
		s.version, s.busy = o.Version, false
		s.mu.Unlock()
		s.publish()
		s.d.rec.note("%s: has version %d", s.id, o.Version)
	})
	return http.StatusAccepted
}

// refuses reports whether the engine refuses a request because of its weights, and with which status.
func (s *server) refuses(req *http.Request) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch expected := req.Header.Get("Expect-Version"); {
	case s.busy:
		return http.StatusServiceUnavailable
	case expected != "" && expected != strconv.Itoa(s.version):
		return http.StatusMisdirectedRequest
	}
	return 0
}

// restart crashes the server and starts it again under its id, with the weights that it had.
func (s *server) restart(down time.Duration) error {
	s.http.Close()
	s.d.rec.note("%s: crashes", s.id)
	time.Sleep(down)
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errHarness, err)
	}
	s.mu.Lock()
	s.born, s.seq, s.orders, s.busy = time.Now().UnixMilli(), 0, 0, false
	version := s.version
	s.mu.Unlock()
	s.serve(listener)
	s.publish()
	s.d.rec.note("%s: starts again under its id, with version %d", s.id, version)
	return nil
}

// runOrder lets engines carry out an unanswered order late, after they have started again. Without the disruption they never
// carry it out.
func runOrder(rec *recorder, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, func(h http.Handler) http.Handler { return h })
	if err != nil {
		return "", err
	}
	defer d.stop()
	d.configure(route("stream", "stream", "engines", 1, false, streamDeadline))
	a := &attempts{byID: map[string]*attempt{}}
	var engines []*server
	for i := range orderEngines {
		s := &server{
			id: fmt.Sprintf("i-%04x", 0x1b21*(i+1)), service: "engines", model: standin.Model, events: 5, gap: 50 * time.Millisecond,
			arrived: func(*server, string, time.Time) {}, leavesFirst: trouble && i < lateEngines,
		}
		engines = append(engines, s)
		if err := d.addServer(s); err != nil {
			return "", err
		}
	}
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	d.nameVersion(2)
	if err := waitForVersion(engines, 2); err != nil {
		return "", err
	}
	d.nameVersion(3)
	if err := waitForVersion(engines, 3); err != nil {
		return "", err
	}
	named := time.Now()
	for _, s := range engines[:lateEngines] {
		if err := s.restart(500 * time.Millisecond); err != nil {
			return "", err
		}
	}
	// The late orders are carried out, and a time longer than the rule allows passes in calm.
	time.Sleep(time.Until(named.Add(orderDelay + loadTime + 2*versionMs)))
	for i := range 40 {
		a.send(rec, d.nodes[i%len(d.nodes)].client, "/stream/x", fmt.Sprintf("s%d", i), streamDeadline, true)
	}
	var old []string
	for _, s := range engines {
		s.mu.Lock()
		rec.note("at the end, %s has version %d", s.id, s.version)
		if s.version < 3 {
			old = append(old, s.id)
		}
		s.mu.Unlock()
	}
	if len(old) > 1 && 10*len(old) > len(engines) {
		return fmt.Sprintf("VERSION: %d of %d engines still have an older version: %v", len(old), len(engines), old), nil
	}
	return "", nil
}

func (d *deployment) nameVersion(version int) {
	d.rec.note("version %d is named", version)
	d.objects.Put(platform.KindVersions, standin.Model, map[string]any{"model": standin.Model, "version": version})
}

// waitForVersion waits until all engines have a version.
func waitForVersion(engines []*server, version int) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		there := 0
		for _, s := range engines {
			s.mu.Lock()
			if s.version == version {
				there++
			}
			s.mu.Unlock()
		}
		if there == len(engines) {
			return nil
		}
	}
	return fmt.Errorf("%w: the engines did not reach version %d", errHarness, version)
}
