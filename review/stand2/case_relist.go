//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func init() { cases["relist"] = caseRelist }

const (
	// heartbeat and drain are heartbeatMs and drainMs of the settings.
	heartbeat = 1200 * time.Millisecond
	drain     = 2 * time.Second
	// copyAge is the age of the copy that the store comes back from, awayTime the time for which it is away, and downTime the
	// time for which it is down later.
	copyAge  = 6 * time.Second
	awayTime = 500 * time.Millisecond
	downTime = 8 * time.Second
	// linger is the time for which the server that leaves goes on serving.
	linger = 16 * time.Second
	// clientsPerNode is the number of clients of a node, each with a connection of its own.
	clientsPerNode = 4
	// silence is the time for which it is silent as it leaves.
	silence = 400 * time.Millisecond
)

// caseRelist lets a server leave that never reports draining, and goes on serving for a while. The store then comes back from a
// copy that still has its entry, and is down a moment later. No request may reach the server later than drain after its entry was
// removed and after a node has passed on an answer that states that it leaves.
func caseRelist(f *fleet, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	standin.Configure(f.store, standin.Config{Version: 1, Timeout: 1500 * time.Millisecond, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	engines := map[string]*standin.Engine{}
	for i := range 3 {
		id := fmt.Sprintf("plain-%d", i+1)
		e, err := f.addEngine(id, standin.PlainService, "")
		if err != nil {
			return fail(err)
		}
		engines[id] = e
	}
	leaving := engines["plain-3"]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var beats sync.WaitGroup
	var mu sync.Mutex
	gone := false
	// down is set while the store takes nothing from servers either.
	down := false
	for _, e := range engines {
		beats.Go(func() {
			for tick := time.NewTicker(heartbeat); ctx.Err() == nil; <-tick.C {
				mu.Lock()
				if !down && (e != leaving || !gone) {
					e.Heartbeat()
				}
				mu.Unlock()
			}
		})
	}
	if err := f.addNodes(3, "limits.memoryMb=120\nlimits.cpuShare=0.272\n"); err != nil {
		return fail(err)
	}
	if err := f.startAll(); err != nil {
		return fail(err)
	}
	var group sync.WaitGroup
	type answer struct {
		node      string
		at        time.Time
		states    bool
		sentAt    time.Time
		requestID string
	}
	var answers []answer
	for i := range clientsPerNode * len(f.nodes) {
		m := f.nodes[i%len(f.nodes)]
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("client-%d-%d", i+1, n)
				sentAt := time.Now()
				status, states := get(client, m.front, id)
				f.note("%s sent to %s at %.3f s, answered with %d after %d ms%s", id, m.name, sentAt.Sub(f.started).Seconds(), status,
					time.Since(sentAt).Milliseconds(), map[bool]string{true: ", Server-Leaving: 1"}[states])
				mu.Lock()
				answers = append(answers, answer{node: m.name, at: time.Now(), states: states, sentAt: sentAt, requestID: id})
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	backup := f.store.Copy()
	copied := time.Now()
	time.Sleep(2 * time.Second)
	// A sound server may fall silent for a second or so: some requests are on their way as it leaves, and their answers state it.
	leaving.FallSilent(silence)
	time.Sleep(silence / 2)
	mu.Lock()
	gone = true
	leaving.StateLeaving()
	mu.Unlock()
	f.store.Delete(platform.KindServers, leaving.ID)
	left := time.Now()
	f.say("plain-3 leaves: the store has removed its entry; it goes on serving for %v, and says Server-Leaving: 1", linger)
	time.Sleep(time.Until(copied.Add(copyAge)))
	if trouble {
		mu.Lock()
		down = true
		mu.Unlock()
		f.store.SetFault(standin.StoreUnresponsive)
		f.say("the store is away")
		time.Sleep(awayTime)
		f.store.Restore(backup)
		f.store.SetFault(standin.StoreHealthy)
		mu.Lock()
		down = false
		for id, e := range engines {
			if id != leaving.ID {
				e.Heartbeat()
			}
		}
		mu.Unlock()
		f.say("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
		// The entry lapses after three heartbeats of silence.
		lapse := time.AfterFunc(3*heartbeat, func() {
			f.store.Delete(platform.KindServers, leaving.ID)
			f.note("the store has removed the entry of plain-3 again")
		})
		defer lapse.Stop()
		time.Sleep(2 * time.Second)
		mu.Lock()
		down = true
		mu.Unlock()
		f.store.SetFault(standin.StoreUnresponsive)
		f.say("the store is down for %v", downTime)
		time.Sleep(downTime)
		f.store.SetFault(standin.StoreHealthy)
		mu.Lock()
		down = false
		mu.Unlock()
		f.say("the store is up")
	}
	time.Sleep(time.Until(left.Add(linger)))
	cancel()
	group.Wait()
	leaving.Crash()
	code := held
	sentAt := map[string]answer{}
	firstStated := map[string]time.Time{}
	for _, a := range answers {
		sentAt[a.requestID] = a
		if a.states && (firstStated[a.node].IsZero() || a.at.Before(firstStated[a.node])) {
			firstStated[a.node] = a.at
		}
	}
	late := 0
	var all []standin.Execution
	for _, list := range f.journal.Executions() {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b standin.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, e := range all {
		if e.Engine != leaving.ID || e.StartedAt.Sub(left) <= drain {
			continue
		}
		late++
		a := sentAt[e.Request]
		text := fmt.Sprintf("%s reached plain-3 %.3f s after its entry was removed", e.Request, e.StartedAt.Sub(left).Seconds())
		if t := firstStated[a.node]; !t.IsZero() && a.sentAt.Sub(t) > drain {
			text += fmt.Sprintf(", and was sent %.3f s after %s had passed on an answer with Server-Leaving", a.sentAt.Sub(t).Seconds(), a.node)
		}
		f.say("%s", text)
	}
	for _, e := range all {
		f.note("%s run by %s at %.3f s", e.Request, e.Engine, e.StartedAt.Sub(f.started).Seconds())
	}
	f.say("%d requests ran; %d of them reached plain-3 later than %v after it was gone from the store", len(all), late, drain)
	if late > 0 {
		code = broken
	}
	return code
}

// get sends a safe request and returns the status of its answer, and whether that states that the server leaves.
func get(client *http.Client, address, id string) (status int, leaving bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+standin.Path(standin.Safe, id), nil)
	if err != nil {
		return 0, false
	}
	req.Host = standin.Host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer key-north")
	r, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Header.Get("Server-Leaving") == "1"
}
