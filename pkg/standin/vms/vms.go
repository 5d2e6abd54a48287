// Package vms emulates the platform's list of VMs. It injects the faults of the platform: responses
// that lag behind the VMs, outages, flapping states and incomplete lists.
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

// Faults are the faults that a List injects; the zero value injects none.
type Faults struct {
	Outage bool `json:"outage"`
	// Lag is the age of the VM list in responses.
	Lag time.Duration `json:"lag_ns"`
	// Flapping are the names of VMs whose state is wrong in every second response: leaving for a
	// live VM, live for any other.
	Flapping []string `json:"flapping"`
	// Missing are the names of VMs that responses omit.
	Missing []string `json:"missing"`
}

// revision is the VM list that is valid from a point in time.
type revision struct {
	since time.Time
	vms   []vms.VM
}

// List is a VM list with injected faults. It implements vms.Lister and is safe for concurrent use.
type List struct {
	mu        sync.Mutex
	revisions []revision
	faults    Faults
	calls     int
}

var _ vms.Lister = (*List)(nil)

// New returns a List of the given VMs without faults.
func New(list []vms.VM) *List {
	return &List{revisions: []revision{{vms: slices.Clone(list)}}}
}

// Set replaces all VMs. Responses contain them after Faults.Lag.
func (l *List) Set(list []vms.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(slices.Clone(list))
}

// SetState changes the state of one VM and reports whether the list contains it.
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

// dropExpiredLocked removes the revisions that responses no longer show: those before the newest one
// that is at least Faults.Lag old.
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

// List returns the VMs as they were Faults.Lag ago.
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

// Handler serves a list over the HTTP interface of the platform, plus the test controls POST
// /admin/vms, whose body is a list of VMs, and POST /admin/faults, whose body is a Faults document.
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

// adminHandler returns a handler that decodes the JSON body of a request and passes it to apply.
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
