package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	streamDeadline = 12 * time.Second
	unsafeDeadline = 3 * time.Second
)

// attempt is a client's request as the client saw it.
type attempt struct {
	id             string
	sentAt, endsAt time.Time
	deadline       time.Duration
	status         int
	complete       bool
	err            error
	// reachedAt is the time at which a server began to run it, or zero.
	reachedAt time.Time
}

// attempts records requests.
type attempts struct {
	mu   sync.Mutex
	byID map[string]*attempt
}

func (a *attempts) reached(s *server, id string, at time.Time) {
	s.d.rec.note("request %s: runs at %s", id, s.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.byID[id]; r != nil && r.reachedAt.IsZero() {
		r.reachedAt = at
	}
}

// send sends a request on a connection of its own and reads the answer to its end.
func (a *attempts) send(rec *recorder, address, path, id string, deadline time.Duration, stream bool) {
	parts := ""
	if stream {
		parts = "aa:100," + id + ":100"
	}
	a.sendParts(rec, address, path, id, deadline, parts)
}

// sendParts is send for a request with the parts of a prompt, or "" for a plain request.
func (a *attempts) sendParts(rec *recorder, address, path, id string, deadline time.Duration, parts string) {
	r := &attempt{id: id, sentAt: time.Now(), deadline: deadline}
	a.mu.Lock()
	a.byID[id] = r
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+id))
	if err != nil {
		panic(err)
	}
	// Without GetBody, net/http does not send the request again after a connection error.
	req.Host, req.GetBody = standin.Host, nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-north")
	if parts != "" {
		req.Header.Set("Model", standin.Model)
		req.Header.Set("Token-Count", "200,60")
		req.Header.Set("Prefix-Hash", parts)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	rec.note("request %s: sent to %s", id, address)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	status, complete := 0, false
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		complete = err == nil
		resp.Body.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.endsAt, r.status, r.complete, r.err = time.Now(), status, complete, err
	rec.note("request %s: answer ends, status %d, whole: %t, error: %v", id, status, complete, err)
}

// lost returns the requests that the rule LOST counts around a SIGTERM of their machine: passed on to a server, and the
// connection ended without a complete answer before the deadline and before the last sixth of the grace. No server of
// these cases breaks a request off.
func (a *attempts) lost(sigterm time.Time) (ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.byID {
		if r.complete || r.reachedAt.IsZero() || r.err == nil || r.endsAt.Before(sigterm) {
			continue
		}
		if r.endsAt.Sub(sigterm) < grace*5/6 && r.endsAt.Sub(r.sentAt) < r.deadline && r.sentAt.Before(sigterm.Add(2*time.Second)) {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// startLostCase starts three nodes, two engines and two plain servers.
func startLostCase(rec *recorder, a *attempts, configure func(s *server)) (*deployment, error) {
	d, err := newDeployment(rec, 3, func(h http.Handler) http.Handler { return h })
	if err != nil {
		return nil, err
	}
	d.configure(route("stream", "stream", "engines", 1, false, streamDeadline), route("stream", "resumable", "engines", 2, true, streamDeadline),
		route("unsafe", "unsafe", "plain", 1, false, unsafeDeadline))
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%04x", 0x3b21*(i+1)), service: "plain", work: 60 * time.Millisecond, arrived: a.reached}
		if i < 2 {
			s.service, s.model, s.events, s.gap = "engines", standin.Model, 50, 100*time.Millisecond
		}
		configure(s)
		if err := d.addServer(s); err != nil {
			return d, err
		}
	}
	return d, d.start()
}

// runHangup stops a node by SIGTERM while it answers requests, and tells it half a second later by SIGHUP that its settings
// have changed. Without the disruption the SIGHUP is left out.
func runHangup(rec *recorder, trouble bool) (string, error) {
	a := &attempts{byID: map[string]*attempt{}}
	d, err := startLostCase(rec, a, func(s *server) {
		if s.model == "" {
			s.work = 450 * time.Millisecond
		}
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return "", err
	}
	n := d.nodes[1]
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			a.send(rec, n.client, "/stream/x", fmt.Sprintf("s%d", i), streamDeadline, true)
		})
	}
	time.Sleep(time.Second)
	sigterm := time.Now()
	rec.note("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	// The platform has seen no failed readiness check yet, so clients still connect.
	for i := range 10 {
		group.Go(func() {
			a.send(rec, n.client, "/unsafe/x", fmt.Sprintf("u%d", i), unsafeDeadline, false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		rec.note("SIGHUP to %s: its settings file is the same as before", n.name)
		n.signal(syscall.SIGHUP)
	}
	group.Wait()
	select {
	case <-n.exited:
		rec.note("%s has ended: %v, %v after SIGTERM or earlier", n.name, n.cmd.ProcessState, time.Since(sigterm).Round(time.Millisecond))
	case <-time.After(time.Until(sigterm.Add(grace))):
		n.signal(syscall.SIGKILL)
	}
	if ids := a.lost(sigterm); len(ids) > 0 {
		return fmt.Sprintf("LOST: %d requests that were passed on got no complete answer: %v", len(ids), ids), nil
	}
	return "", nil
}

// runSilence stops a node by SIGTERM while it answers resumable streams. Each engine preempts each run once, for 1.8 s;
// without the disruption it does not.
func runSilence(rec *recorder, trouble bool) (string, error) {
	a := &attempts{byID: map[string]*attempt{}}
	d, err := startLostCase(rec, a, func(s *server) {
		s.events, s.gap = 20, 100*time.Millisecond
		if trouble {
			s.pauseAfter, s.pause = 5, 1800*time.Millisecond
		}
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return "", err
	}
	n := d.nodes[1]
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			a.send(rec, n.client, "/resumable/x", fmt.Sprintf("r%d", i), streamDeadline, true)
		})
	}
	time.Sleep(300 * time.Millisecond)
	sigterm := time.Now()
	rec.note("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	group.Wait()
	if ids := a.lost(sigterm); len(ids) > 0 {
		return fmt.Sprintf("LOST: %d requests that were passed on got no complete answer: %v", len(ids), ids), nil
	}
	return "", nil
}
