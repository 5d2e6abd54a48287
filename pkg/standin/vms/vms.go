// Package vms is a stand-in for the platform's VM list. Its answers lag behind the VMs, and its
// faults are outages, flapping states and incomplete lists.
package vms

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/vms"
)

// Faults are the faults that a List produces. The zero value has none.
type Faults struct {
	Outage bool `json:"outage"`
	// Lag is the age of the state that answers show.
	Lag time.Duration `json:"lag_ns"`
	// Flapping names VMs that every second answer shows in the other state.
	Flapping []string `json:"flapping"`
	// Missing names VMs that answers leave out.
	Missing []string `json:"missing"`
}

// revision is the list from a point in time on.
type revision struct {
	since time.Time
	vms   []vms.VM
}

// List is the stand-in. It implements vms.Lister and is safe for concurrent use.
type List struct {
	mu        sync.Mutex
	revisions []revision
	faults    Faults
	calls     int
}

var _ vms.Lister = (*List)(nil)

// New returns a list of VMs.
func New(list []vms.VM) *List {
	return &List{revisions: []revision{{vms: slices.Clone(list)}}}
}

// Set replaces all VMs. Answers show them after the lag.
func (l *List) Set(list []vms.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(slices.Clone(list))
}

// SetState changes the state of one VM and reports whether the list has it.
func (l *List) SetState(name string, state vms.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.revisions[len(l.revisions)-1].vms)
	i := slices.IndexFunc(list, func(vm vms.VM) bool { return vm.Name == name })
	if i < 0 {
		return false
	}
	list[i].State = state
	l.setLocked(list)
	return true
}

func (l *List) setLocked(list []vms.VM) {
	now := time.Now()
	l.dropExpiredLocked(now)
	l.revisions = append(l.revisions, revision{since: now, vms: list})
}

// dropOldLocked keeps the newest revision that is older than the lag and all later ones.
func (l *List) dropExpiredLocked(now time.Time) {
	for len(l.revisions) > 1 && now.Sub(l.revisions[1].since) >= l.faults.Lag {
		l.revisions = l.revisions[1:]
	}
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// List returns the VMs as they were before the lag.
func (l *List) List(context.Context) ([]vms.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.faults.Outage {
		return nil, fault.New(fault.PlatformUnavailable, "VM list outage")
	}
	l.dropExpiredLocked(time.Now())
	list := slices.Clone(l.revisions[0].vms)
	for i := range list {
		if slices.Contains(l.faults.Flapping, list[i].Name) && l.calls%2 == 1 {
			list[i].State = invertState(list[i].State)
		}
	}
	return slices.DeleteFunc(list, func(vm vms.VM) bool { return slices.Contains(l.faults.Missing, vm.Name) }), nil
}

func invertState(s vms.State) vms.State {
	if s == vms.Live {
		return vms.Leaving
	}
	return vms.Live
}

// Handler serves a list with the HTTP interface of the platform, plus POST /admin/vms with a list
// of VMs and POST /admin/faults with a Faults document.
func Handler(l *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		list, err := l.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc("POST /admin/vms", adminHandler(l.Set))
	mux.HandleFunc("POST /admin/faults", adminHandler(l.SetFaults))
	return mux
}

// admin decodes a JSON document and applies it.
func adminHandler[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
