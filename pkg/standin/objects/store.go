// Package objects is a stand-in for the platform's object API. It keeps objects in memory and
// produces the API's faults: outages, slowness, rate caps, lost answers, stale reads and stale
// watch delivery. Store serves them in process, Handler over HTTP.
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

// Faults are the faults that a Store produces. The zero value has none. Shares lie between 0
// and 1; a share of 1 makes the fault certain.
type Faults struct {
	// Outage refuses every call and ends waiting watches.
	Outage bool `json:"outage"`
	// Delay is added to each call before it takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LostAnswers is the share of writes whose answer is lost after the write took effect.
	LostResponseShare float64 `json:"lost_answers"`
	// StaleReads is the share of reads that return an object's previous version.
	StaleReadShare float64 `json:"stale_reads"`
	// StaleWatches is the share of watch answers that repeat previous versions only.
	StaleWatchShare float64 `json:"stale_watches"`
	// WritesPerSecond and ReadsPerSecond cap the calls. 0 means no cap.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// record is an object with its previous version, which stale reads return.
type storedObject struct {
	current  objects.Object
	previous objects.Object
}

// Store is the stand-in. It implements objects.Store and is safe for concurrent use.
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

// NewStore returns an empty store whose random faults follow seed.
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

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// limiter allows bursts of a tenth of a second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (s *Store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit applies delay, outage and rate caps to a call.
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

func (s *Store) faultOccursLocked(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// Get returns an object, or its previous version under the fault StaleReads.
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

func (s *Store) readLocked(r storedObject) objects.Object {
	o := r.current
	if s.faultOccursLocked(s.faults.StaleReadShare) {
		o = r.previous
	}
	o.Value = slices.Clone(o.Value)
	return o
}

// Put stores value if the current version equals ifVersion.
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

// liveVersion is the version that a conditional update must name: 0 if the object is absent.
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

// Watch waits for changes after a version, until ctx ends or some arrive.
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

// changesAfter returns the changes after a version, or the channel that is closed with the next
// change of any object.
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

// previousLocked replaces each object by its previous version. Objects without one are left out.
func (s *Store) previousVersionsLocked(current []objects.Object) []objects.Object {
	var stale []objects.Object
	for _, o := range current {
		if p := s.objects[o.Name].previous; p.Version != 0 {
			stale = append(stale, p)
		}
	}
	return stale
}
