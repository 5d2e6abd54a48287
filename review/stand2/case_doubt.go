//go:build review2

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func init() { cases["doubt"] = caseDoubt }

const (
	// contact is contactMs of the settings, and turnedAway the time for which the store turns the leader away.
	contact    = 3 * time.Second
	turnedAway = time.Second
	// leavesAfter is the time from the end of that until the server leaves, and shedAfter that from then until the others refuse part
	// of their requests, for shedTime.
	leavesAfter = 1300 * time.Millisecond
	shedAfter   = 1900 * time.Millisecond
	shedTime    = 2500 * time.Millisecond
	shedShare   = 0.45
	doubtRounds = 5
	// doubtClients is the number of clients of a node, and doubtPause the time between two requests of a client.
	doubtClients = 3
	doubtPause   = 100 * time.Millisecond
)

// turnAway passes calls on to the store, or answers them with 503.
type turnAway struct {
	next http.Handler
	busy atomic.Bool
}

func (t *turnAway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.busy.Load() {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.next.ServeHTTP(w, r)
}

// departure is a server that has left.
type departure struct {
	id            string
	removed, calm time.Time
}

// caseDoubt lets a server leave a moment after the store has turned the leader away, and checks that no request reaches it later than
// drain after its entry was removed.
func caseDoubt(f *fleet, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	standin.Configure(f.store, standin.Config{Version: 1, Timeout: 1500 * time.Millisecond, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	var staying []*standin.Engine
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	beat := func(ctx context.Context, e *standin.Engine) {
		for tick := time.NewTicker(heartbeat); ; {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				e.Heartbeat()
			}
		}
	}
	for i := range 2 {
		e, err := f.addEngine(fmt.Sprintf("plain-%d", i+1), standin.PlainService, "")
		if err != nil {
			return fail(err)
		}
		staying = append(staying, e)
		go beat(ctx, e)
	}
	writes := &leaseWrites{next: f.store, renewed: make(chan string)}
	away := map[string]*turnAway{}
	f.storeOf = func(m *node) (string, error) {
		l, err := net.Listen("tcp4", f.host+".1:0")
		if err != nil {
			return "", err
		}
		away[m.peer] = &turnAway{next: writes}
		go func() { _ = http.Serve(l, away[m.peer]) }()
		return l.Addr().String(), nil
	}
	if err := f.addNodes(3, "limits.memoryMb=120\nlimits.cpuShare=0.272\n"); err != nil {
		return fail(err)
	}
	if err := f.startAll(); err != nil {
		return fail(err)
	}
	var mu sync.Mutex
	type sent struct {
		node string
		at   time.Time
	}
	requests := map[string]sent{}
	var group sync.WaitGroup
	for i := range doubtClients * len(f.nodes) {
		m := f.nodes[i%len(f.nodes)]
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
			time.Sleep(time.Duration(i) * doubtPause / time.Duration(doubtClients*len(f.nodes)))
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("client-%d-%d", i+1, n)
				at := time.Now()
				mu.Lock()
				requests[id] = sent{m.name, at}
				mu.Unlock()
				status, states := get(client, m.front, id)
				f.note("%s sent to %s at %.3f s, answered with %d after %d ms%s", id, m.name, at.Sub(f.started).Seconds(), status,
					time.Since(at).Milliseconds(), map[bool]string{true: ", Server-Leaving: 1"}[states])
				time.Sleep(doubtPause)
			}
		})
	}
	time.Sleep(6 * time.Second)
	var left []departure
	for round := range doubtRounds {
		e, err := f.addEngine(fmt.Sprintf("plain-x%d", round+1), standin.PlainService, "")
		if err != nil {
			return fail(err)
		}
		beatCtx, stopBeat := context.WithCancel(ctx)
		go beat(beatCtx, e)
		time.Sleep(5 * time.Second)
		leader := <-writes.renewed
		// The rounds differ in their phase, because nodes do some things once a second.
		time.Sleep(time.Duration(round) * time.Second / doubtRounds)
		if trouble {
			away[leader].busy.Store(true)
			f.say("%8.3f s: the store turns %s away", time.Since(f.started).Seconds(), leader)
		}
		time.Sleep(turnedAway)
		if trouble {
			away[leader].busy.Store(false)
			f.say("%8.3f s: the store serves it again", time.Since(f.started).Seconds())
		}
		calm := time.Now()
		time.Sleep(leavesAfter)
		stopBeat()
		e.StateLeaving()
		f.store.Delete(platform.KindServers, e.ID)
		left = append(left, departure{e.ID, time.Now(), calm})
		f.say("%8.3f s: %s leaves: the store has removed its entry", time.Since(f.started).Seconds(), e.ID)
		time.Sleep(shedAfter)
		for _, s := range staying {
			s.SetFaults(standin.EngineFaults{RefuseShare: shedShare})
		}
		f.say("%8.3f s: the other servers refuse %.0f %% of their requests", time.Since(f.started).Seconds(), 100*shedShare)
		time.Sleep(shedTime)
		for _, s := range staying {
			s.SetFaults(standin.EngineFaults{})
		}
		e.Crash()
		f.say("%8.3f s: %s has ended", time.Since(f.started).Seconds(), e.ID)
	}
	cancel()
	group.Wait()
	var all []standin.Execution
	for _, list := range f.journal.Executions() {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b standin.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
	late := 0
	for _, e := range all {
		f.note("%s run by %s at %.3f s", e.Request, e.Engine, e.StartedAt.Sub(f.started).Seconds())
		i := slices.IndexFunc(left, func(d departure) bool { return d.id == e.Engine })
		if i < 0 || e.StartedAt.Sub(left[i].removed) <= drain || requests[e.Request].at.Sub(left[i].calm) < contact {
			continue
		}
		late++
		f.say("%s reached %s from %s %.3f s after its entry was removed, %.3f s after the disruption", e.Request, e.Engine, requests[e.Request].node,
			e.StartedAt.Sub(left[i].removed).Seconds(), requests[e.Request].at.Sub(left[i].calm).Seconds())
	}
	f.say("%d requests ran; %d of them reached a server later than %v after it was gone from the store", len(all), late, drain)
	if late > 0 {
		return broken
	}
	return held
}
