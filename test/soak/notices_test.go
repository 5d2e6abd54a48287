package soak

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// firstNoticeSeed is the first seed whose schedule also has laterFaults, firstEndlessSeed the first one with endlessFaults, and
// firstSilenceSeed the first one with silenceFaults. The schedules of the seeds below stay as they were.
const (
	firstNoticeSeed  = 1000
	firstEndlessSeed = 2003
	firstSilenceSeed = 3000
)

// momentOfSilence is the time for which sound servers may be silent, and hangupInterval that between two signals of a series.
const (
	momentOfSilence = 1800 * time.Millisecond
	hangupInterval  = 100 * time.Millisecond
)

// silenceFaults are further faults, like faults.
var silenceFaults = map[string]func(f *fleet, target int, duration time.Duration){
	"all servers silent for a moment": func(f *fleet, _ int, _ time.Duration) {
		f.mu.Lock()
		for _, b := range f.backends {
			b.engine.FallSilent(momentOfSilence)
		}
		f.mu.Unlock()
		time.Sleep(momentOfSilence)
	},
	"node stopped with a series of SIGHUP": func(f *fleet, target int, _ time.Duration) {
		m := f.members[target%nodeCount]
		restarted := make(chan struct{})
		go func() {
			defer close(restarted)
			f.restart(m, syscall.SIGTERM)
		}()
		for {
			select {
			case <-restarted:
				return
			case <-time.After(hangupInterval):
				m.signalWhileStopping(syscall.SIGHUP)
			}
		}
	},
}

// endlessFaults are further faults, like faults.
var endlessFaults = map[string]func(f *fleet, target int, duration time.Duration){
	"engine sends endless responses": engineFault(standin.EngineFaults{EndlessShare: 0.5}),
}

// laterFaults are further faults, like faults.
var laterFaults = map[string]func(f *fleet, target int, duration time.Duration){
	"engine states a limit": func(f *fleet, target int, duration time.Duration) {
		e := f.backend(target).engine
		e.SetLimit(20)
		time.Sleep(duration)
		e.EndLimit()
	},
	"engine asks for a pause":   pauseFault("1.5"),
	"engine asks for odd pause": pauseFault("soon"),
	"engine states it leaves": func(f *fleet, target int, _ time.Duration) {
		b := f.backend(target)
		if !f.removeBackend(b) {
			return
		}
		f.addBackend(b.service, b.model)
		b.engine.StateLeaving()
		time.Sleep(standin.DrainBound + time.Second)
		b.engine.Leave()
		b.proxy.close()
	},
	"store restored from a copy": restoreStore,
}

func pauseFault(retryAfter string) func(*fleet, int, time.Duration) {
	return func(f *fleet, target int, duration time.Duration) {
		e := f.backend(target).engine
		e.SetPause(retryAfter)
		time.Sleep(duration)
		e.SetPause("")
	}
}

// restoreTime is the time for which the store is away before it returns from a copy, and writeAgainTime the time in which the
// operator and the engines then write again.
const (
	restoreTime    = 300 * time.Millisecond
	writeAgainTime = time.Second
)

// restoreStore restores the store from a copy that is as old as the fault lasts. Then the operator and the engines write
// again, and the entries of engines that have gone since lapse.
func restoreStore(f *fleet, _ int, duration time.Duration) {
	before := f.store.Copy()
	time.Sleep(duration)
	storeFault(standin.StoreUnavailable)(f, 0, restoreTime)
	f.store.Restore(before)
	time.Sleep(writeAgainTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	standin.Configure(f.store, f.config)
	standin.SetDesiredVersion(f.store, f.version)
	running := map[string]bool{}
	for _, b := range f.backends {
		b.engine.Heartbeat()
		running[b.engine.ID] = true
	}
	for _, id := range f.store.Names(platform.KindServers) {
		if !running[id] {
			f.store.Delete(platform.KindServers, id)
		}
	}
}

// kindsOf returns the kinds of faults in the schedule of a seed.
func kindsOf(seed uint64) []string {
	kinds := slices.Sorted(maps.Keys(faults))
	if seed >= firstNoticeSeed {
		kinds = append(kinds, slices.Sorted(maps.Keys(laterFaults))...)
	}
	if seed >= firstEndlessSeed {
		kinds = append(kinds, slices.Sorted(maps.Keys(endlessFaults))...)
	}
	if seed >= firstSilenceSeed {
		kinds = append(kinds, slices.Sorted(maps.Keys(silenceFaults))...)
	}
	return kinds
}

func injectorOf(kind string) func(f *fleet, target int, duration time.Duration) {
	for _, known := range []map[string]func(*fleet, int, time.Duration){faults, laterFaults, endlessFaults, silenceFaults} {
		if inject, ok := known[kind]; ok {
			return inject
		}
	}
	return nil
}
