package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

// fault is one scheduled fault.
type fault struct {
	at       time.Duration
	kind     string
	target   int
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%5.2f s %s %d for %.2f s", f.at.Seconds(), f.kind, f.target, f.duration.Seconds())
}

// faults maps each kind of fault to the function that injects it and returns when the fault is over. A schedule
// depends on the sorted order of the kinds, so a new name in another place changes the schedules of all seeds.
var faults = map[string]func(f *fleet, target int, duration time.Duration){
	"node stopped":                  func(f *fleet, target int, _ time.Duration) { f.restart(f.members[target%nodeCount], syscall.SIGTERM) },
	"node killed":                   func(f *fleet, target int, _ time.Duration) { f.restart(f.members[target%nodeCount], syscall.SIGKILL) },
	"all nodes killed":              killAll,
	"node suspended":                suspendNode,
	"node gets SIGHUP":              func(f *fleet, target int, _ time.Duration) { f.members[target%nodeCount].signal(syscall.SIGHUP, false) },
	"store silent to a node":        storeProxyFault(stalled),
	"store refuses a node":          storeProxyFault(refusing),
	"store one-way link to a node":  storeProxyFault(responsesStalled),
	"store slow to a node":          storeProxyFault(slow),
	"store busy":                    storeFault(standin.StoreUnavailable),
	"store silent":                  storeFault(standin.StoreUnresponsive),
	"store drops write responses":   storeFault(standin.StoreDropsWriteResponses),
	"store drops event history":     func(f *fleet, _ int, _ time.Duration) { f.store.DropHistory() },
	"engine crashes":                crashEngine,
	"engine leaves":                 func(f *fleet, target int, _ time.Duration) { f.replaceEngine(f.backend(target)) },
	"engine refuses requests":       engineFault(standin.EngineFaults{RefuseShare: 0.5}),
	"engine aborts responses":       engineFault(standin.EngineFaults{TruncateShare: 0.3}),
	"engine sends surplus response": engineFault(standin.EngineFaults{SurplusShare: 0.5}),
	"engine resets connections":     func(f *fleet, target int, _ time.Duration) { f.backend(target).proxy.resetConnections() },
	"engine silent":                 engineProxyFault(stalled),
	"engine one-way link":           engineProxyFault(responsesStalled),
	"engine slow":                   engineProxyFault(slow),
	"engine rejects connections":    engineProxyFault(refusing),
	"new configuration":             func(f *fleet, _ int, _ time.Duration) { f.toggleExtraRoute() },
	"new weights":                   func(f *fleet, _ int, _ time.Duration) { f.bumpVersion() },
}

// restart terminates a node with a signal and starts it again.
func (f *fleet) restart(m *member, s syscall.Signal) {
	exited := m.signal(s, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(standin.ShutdownGrace):
		// A suspended process handles no other signal.
		m.signal(syscall.SIGKILL, true)
		<-exited
	}
	if err := f.start(m); err != nil {
		f.addFinding("harness: %v", err)
	}
}

func killAll(f *fleet, _ int, _ time.Duration) {
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(func() { f.restart(m, syscall.SIGKILL) })
	}
	group.Wait()
}

func suspendNode(f *fleet, target int, duration time.Duration) {
	m := f.members[target%nodeCount]
	m.suspend()
	time.Sleep(duration)
	m.resume()
}

func storeProxyFault(mode proxyMode) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, duration time.Duration) {
		f.members[target%nodeCount].storeProxy.applyMode(mode, duration)
	}
}

func storeFault(s standin.StoreFault) func(*fleet, int, time.Duration) {
	return func(f *fleet, _ int, duration time.Duration) {
		f.store.SetFault(s)
		time.Sleep(duration)
		f.store.SetFault(standin.StoreHealthy)
	}
}

func engineProxyFault(mode proxyMode) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, duration time.Duration) { f.backend(target).proxy.applyMode(mode, duration) }
}

func engineFault(faults standin.EngineFaults) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, duration time.Duration) {
		e := f.backend(target).engine
		e.SetFaults(faults)
		time.Sleep(duration)
		e.SetFaults(standin.EngineFaults{})
	}
}

// crashEngine terminates an engine without notice. Its entry in the store expires after duration; then another engine
// starts.
func crashEngine(f *fleet, target int, duration time.Duration) {
	b := f.backend(target)
	if !f.removeBackend(b) {
		return
	}
	b.engine.Crash()
	b.proxy.resetConnections()
	time.Sleep(duration)
	b.engine.Leave()
	b.proxy.close()
	f.addBackend(b.service, b.model)
}

// replaceEngine starts a new engine, then drains and stops an old one. It returns the time at which the store had
// the announcement that the old engine leaves, or a zero time if another fault has removed it before.
func (f *fleet) replaceEngine(b *backend) (announced time.Time) {
	if !f.removeBackend(b) {
		return time.Time{}
	}
	f.addBackend(b.service, b.model)
	b.engine.Drain()
	announced = time.Now()
	time.Sleep(standin.DrainBound + time.Second)
	b.engine.Leave()
	b.proxy.close()
	return announced
}

// toggleExtraRoute stores a configuration that adds or removes the additional route. It returns whether the
// configuration has the route.
func (f *fleet) toggleExtraRoute() (hasExtraRoute bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Version += 3
	f.config.Extra = !f.config.Extra
	standin.Configure(f.store, f.config)
	return f.config.Extra
}

func (f *fleet) bumpVersion() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	standin.SetDesiredVersion(f.store, f.version)
}

// drawSchedule draws random faults that begin within period, in series of 1 to 3 that overlap.
func drawSchedule(random *rand.Rand, kinds []string, period time.Duration) []fault {
	var drawn []fault
	for at := time.Duration(0); at < period; {
		count := 1 + random.IntN(3)
		for range count {
			next := fault{
				at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(engineCount + plainCount),
				duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond))),
			}
			drawn = append(drawn, next)
			at += time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		}
		at += time.Duration(random.Int64N(int64(1200 * time.Millisecond)))
	}
	return drawn
}

// inject injects the faults of a schedule, waits for the end of the last one and starts all nodes that are down.
func (f *fleet) inject(scheduled []fault) {
	started := time.Now()
	var group sync.WaitGroup
	for _, injected := range scheduled {
		group.Go(func() {
			time.Sleep(time.Until(started.Add(injected.at)))
			injectorOf(injected.kind)(f, injected.target, injected.duration)
		})
	}
	group.Wait()
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			f.addFinding("harness: %v", err)
		}
	}
}
