package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

// fault is one disturbance of a schedule.
type fault struct {
	at     time.Duration
	kind   string
	target int
	length time.Duration
}

func (x fault) String() string {
	return fmt.Sprintf("%5.2f s %s %d for %.2f s", x.at.Seconds(), x.kind, x.target, x.length.Seconds())
}

// faults are the kinds of disturbances. Each lasts until it returns.
var faults = map[string]func(f *fleet, target int, length time.Duration){
	"node stopped":              func(f *fleet, target int, _ time.Duration) { f.restart(f.members[target%nodeCount], syscall.SIGTERM) },
	"node killed":               func(f *fleet, target int, _ time.Duration) { f.restart(f.members[target%nodeCount], syscall.SIGKILL) },
	"all killed":                killAll,
	"node suspended":            suspendNode,
	"node hung up":              func(f *fleet, target int, _ time.Duration) { f.members[target%nodeCount].signal(syscall.SIGHUP, false) },
	"store silent to a node":    toStore(silent),
	"store refuses a node":      toStore(refusing),
	"store one way to a node":   toStore(oneWay),
	"store slow to a node":      toStore(slow),
	"store busy":                storeFault(standin.StoreUnavailable),
	"store silent":              storeFault(standin.StoreUnresponsive),
	"store loses answers":       storeFault(standin.StoreDropsWriteResponses),
	"store drops its history":   func(f *fleet, _ int, _ time.Duration) { f.store.DropHistory() },
	"engine crashes":            crashEngine,
	"engine leaves":             func(f *fleet, target int, _ time.Duration) { f.replaceEngine(f.backend(target)) },
	"engine refuses":            engineFault(standin.EngineFaults{RefuseShare: 0.5}),
	"engine breaks off":         engineFault(standin.EngineFaults{TruncateShare: 0.3}),
	"engine sends surplus":      engineFault(standin.EngineFaults{SurplusShare: 0.5}),
	"engine reset":              func(f *fleet, target int, _ time.Duration) { f.backend(target).proxy.reset() },
	"engine silent":             toEngine(silent),
	"engine one way":            toEngine(oneWay),
	"engine slow":               toEngine(slow),
	"engine refuses to connect": toEngine(refusing),
	"new configuration":         func(f *fleet, _ int, _ time.Duration) { f.configure() },
	"new weights":               func(f *fleet, _ int, _ time.Duration) { f.nameVersion() },
}

// restart ends a node with a signal and starts it again.
func (f *fleet) restart(m *member, s syscall.Signal) {
	exited := m.signal(s, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(standin.ShutdownGrace):
		// A suspended process ends by this signal only.
		m.signal(syscall.SIGKILL, true)
		<-exited
	}
	if err := f.start(m); err != nil {
		f.find("harness: %v", err)
	}
}

func killAll(f *fleet, _ int, _ time.Duration) {
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(func() { f.restart(m, syscall.SIGKILL) })
	}
	group.Wait()
}

func suspendNode(f *fleet, target int, length time.Duration) {
	m := f.members[target%nodeCount]
	m.freeze()
	time.Sleep(length)
	m.thaw()
}

func toStore(mode proxyMode) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, length time.Duration) {
		f.members[target%nodeCount].toStore.harm(mode, length)
	}
}

func storeFault(s standin.StoreFault) func(*fleet, int, time.Duration) {
	return func(f *fleet, _ int, length time.Duration) {
		f.store.SetFault(s)
		time.Sleep(length)
		f.store.SetFault(standin.StoreHealthy)
	}
}

func toEngine(mode proxyMode) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, length time.Duration) { f.backend(target).proxy.harm(mode, length) }
}

func engineFault(x standin.EngineFaults) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, length time.Duration) {
		e := f.backend(target).engine
		e.SetFaults(x)
		time.Sleep(length)
		e.SetFaults(standin.EngineFaults{})
	}
}

// crashEngine ends an engine without notice. Its entry lapses later and another one starts.
func crashEngine(f *fleet, target int, length time.Duration) {
	b := f.backend(target)
	if !f.removeBackend(b) {
		return
	}
	b.engine.Crash()
	b.proxy.reset()
	time.Sleep(length)
	b.engine.Leave()
	b.proxy.close()
	f.addBackend(b.service, b.model)
}

// replaceEngine starts a new engine, then lets one leave as announced. It returns the time at which the
// store had the announcement.
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

// configure adds or removes the additional route. It returns whether the route is there now.
func (f *fleet) configure() (extra bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Version += 3
	f.config.Extra = !f.config.Extra
	standin.Configure(f.store, f.config)
	return f.config.Extra
}

func (f *fleet) nameVersion() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	standin.SetDesiredVersion(f.store, f.version)
}

// schedule draws disturbances that come in series and overlap.
func schedule(random *rand.Rand, length time.Duration) []fault {
	kinds := slices.Sorted(maps.Keys(faults))
	var drawn []fault
	for at := time.Duration(0); at < length; {
		series := 1 + random.IntN(3)
		for range series {
			x := fault{
				at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(engineCount + plainCount),
				length: 200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond))),
			}
			drawn = append(drawn, x)
			at += time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		}
		at += time.Duration(random.Int64N(int64(1200 * time.Millisecond)))
	}
	return drawn
}

// inject carries out a schedule and waits for the end of the last disturbance.
func (f *fleet) inject(drawn []fault) {
	began := time.Now()
	var group sync.WaitGroup
	for _, x := range drawn {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(x.at)))
			faults[x.kind](f, x.target, x.length)
		})
	}
	group.Wait()
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			f.find("harness: %v", err)
		}
	}
}
