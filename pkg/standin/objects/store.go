// Package objects emulates the platform's object API, a store with versioned objects, conditional
// updates and watches. It keeps objects in memory and injects the faults of the API: outages, slow
// calls, rate limits, lost responses, stale reads and stale watch responses. Store is the
// in-process interface, Handler the HTTP interface.
package objects

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Faults are the faults that a Store injects; the zero value injects none. A share is the probability
// of a fault for each call, from 0 to 1.
type Faults struct {
	// Outage makes every call fail, including watches that are waiting.
	Outage bool `json:"outage"`
	// Delay is the time that each call waits before it takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LostResponseShare is the share of writes that take effect but whose response is lost.
	LostResponseShare float64 `json:"lost_answers"`
	// StaleReadShare is the share of reads that return the previous version of an object. In a
	// list, it applies to each object separately.
	StaleReadShare float64 `json:"stale_reads"`
	// StaleWatchShare is the share of watch responses that contain the previous versions of the
	// changed objects instead of the current ones.
	StaleWatchShare float64 `json:"stale_watches"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls. Lists and watches count as
	// reads. 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// storedObject is an object with its previous version, which stale reads return.
type storedObject struct {
	current  objects.Object
	previous objects.Object
}

// Store is an in-memory object store. It implements objects.Store and is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	version  uint64
	objects  map[string]storedObject
	changed  chan struct{}
	writes   *rate.Limiter
	reads    *rate.Limiter
	counters Counters
}

var _ objects.Store = (*Store)(nil)

// NewStore returns an empty store without faults. The seed determines which calls random faults affect.
func NewStore(seed uint64) *Store {
	return &Store{
		random:  rand.New(rand.NewPCG(seed, 0)),
		objects: map[string]storedObject{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(rate.Inf, 1),
		reads:   rate.NewLimiter(rate.Inf, 1),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writes = newLimiter(f.WritesPerSecond)
	s.reads = newLimiter(f.ReadsPerSecond)
	s.notifyWatchersLocked()
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// newLimiter returns a rate limiter that allows bursts of the calls of a tenth of a second, at least
// one call.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// notifyWatchersLocked wakes all waiting watches.
func (s *Store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and applies the delay, outage and rate limit.
func (s *Store) admit(ctx context.Context, kind callKind) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.counters.count(kind)
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		s.counters.Refused++
		return fault.New(fault.PlatformUnavailable, "object API outage")
	}
	limit := s.reads
	if kind == callPut || kind == callDelete {
		limit = s.writes
	}
	if !limit.Allow() {
		s.counters.Refused++
		return fault.New(fault.PlatformUnavailable, "object API over its rate").WithRetryAfter(100 * time.Millisecond)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.PlatformUnavailable, "object API call ended")
	}
}

// faultOccursLocked decides at random whether a fault with this share affects the current call.
func (s *Store) faultOccursLocked(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// Get returns an object, or its previous version if a stale read is injected.
func (s *Store) Get(ctx context.Context, name string) (objects.Object, error) {
	if err := s.admit(ctx, callGet); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.readLocked(s.objects[name])
	if o.Version == 0 || o.Deleted {
		return objects.Object{}, fault.New(fault.NotFound, "object %q does not exist", name)
	}
	return o, nil
}

// readLocked returns a copy of the current version, or of the previous one if a stale read is injected.
func (s *Store) readLocked(r storedObject) objects.Object {
	o := r.current
	if s.faultOccursLocked(s.faults.StaleReadShare) {
		o = r.previous
	}
	o.Value = slices.Clone(o.Value)
	return o
}

// Put stores value if the current version equals ifVersion, and returns the new version. An
// ifVersion of 0 means that the object must not exist.
func (s *Store) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > objects.MaxValueBytes {
		return 0, fault.New(fault.BadRequest, "value of %d bytes is over the platform's limit", len(value))
	}
	return s.update(ctx, callPut, objects.Object{Name: name, Value: slices.Clone(value)}, ifVersion)
}

// Delete removes an object if its current version equals ifVersion.
func (s *Store) Delete(ctx context.Context, name string, ifVersion uint64) error {
	if ifVersion == 0 {
		return fault.New(fault.BadRequest, "a deletion needs the version of %q", name)
	}
	_, err := s.update(ctx, callDelete, objects.Object{Name: name, Deleted: true}, ifVersion)
	return err
}

// update writes o if the current version equals ifVersion, and returns the new version.
func (s *Store) update(ctx context.Context, kind callKind, o objects.Object, ifVersion uint64) (uint64, error) {
	if err := s.admit(ctx, kind); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.objects[o.Name]
	if liveVersion(r.current) != ifVersion {
		s.counters.Conflicts++
		return 0, fault.New(fault.Conflict, "object %q is at version %d", o.Name, liveVersion(r.current))
	}
	s.version++
	o.Version = s.version
	s.objects[o.Name] = storedObject{current: o, previous: r.current}
	s.notifyWatchersLocked()
	if s.faultOccursLocked(s.faults.LostResponseShare) {
		s.counters.LostResponses++
		return 0, fault.New(fault.PlatformUnavailable, "object API answer lost").WithWork(fault.Unknown)
	}
	return o.Version, nil
}

// liveVersion returns the version that a conditional update of o must state: 0 if o does not exist.
func liveVersion(o objects.Object) uint64 {
	if o.Deleted {
		return 0
	}
	return o.Version
}

// List returns the objects whose names start with prefix, ordered by name.
func (s *Store) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	if err := s.admit(ctx, callList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []objects.Object
	for name, r := range s.objects {
		o := s.readLocked(r)
		if strings.HasPrefix(name, prefix) && liveVersion(o) != 0 {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b objects.Object) int { return strings.Compare(a.Name, b.Name) })
	return found, nil
}

// Watch returns the objects below prefix that have changed after a version. It waits until there is
// one or ctx ends.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objects.Object, error) {
	if err := s.admit(ctx, callWatch); err != nil {
		return nil, err
	}
	started := time.Now()
	s.trackWaitingWatch(1, 0)
	defer func() { s.trackWaitingWatch(-1, time.Since(started)) }()
	for {
		found, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(found) > 0 {
			return found, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.PlatformUnavailable, "watch ended")
		}
	}
}

// changesAfter returns the objects that have changed after a version, ordered by version, and a
// channel that is closed at the next change of any object or of the faults.
func (s *Store) changesAfter(prefix string, after uint64) ([]objects.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, fault.New(fault.PlatformUnavailable, "object API outage")
	}
	var found []objects.Object
	for name, r := range s.objects {
		if strings.HasPrefix(name, prefix) && r.current.Version > after {
			found = append(found, r.current)
		}
	}
	if len(found) > 0 && s.faultOccursLocked(s.faults.StaleWatchShare) {
		found = s.previousVersionsLocked(found)
	}
	slices.SortFunc(found, func(a, b objects.Object) int { return int(a.Version) - int(b.Version) })
	return found, s.changed, nil
}

// previousVersionsLocked returns the previous versions of the objects, without objects that have none.
func (s *Store) previousVersionsLocked(current []objects.Object) []objects.Object {
	var stale []objects.Object
	for _, o := range current {
		if p := s.objects[o.Name].previous; p.Version != 0 {
			stale = append(stale, p)
		}
	}
	return stale
}
