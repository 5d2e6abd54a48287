package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/objects"
)

// keeperStore holds one object and counts the calls.
type keeperStore struct {
	object        objects.Object
	reads, writes int
	err           error
	era           int64
}

func (s *keeperStore) Era() (era int64, known bool) { return s.era, true }

func (s *keeperStore) Get(context.Context, string) (objects.Object, error) {
	s.reads++
	if s.err == nil && s.object.Version == 0 {
		return objects.Object{}, fault.New(fault.NotFound, "no object")
	}
	return s.object, s.err
}

func (s *keeperStore) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.writes++
	if s.err != nil {
		return 0, s.err
	}
	if ifVersion != s.object.Version {
		return 0, fault.New(fault.Conflict, "the version differs")
	}
	s.object = objects.Object{Name: name, Version: ifVersion + 1, Value: value}
	return s.object.Version, nil
}

// keeperFleet is a set of keepers of different nodes at one store, in simulated time.
type keeperFleet struct {
	store *keeperStore
	now   time.Time
}

func (f *keeperFleet) newKeeper() *quarantineKeeper {
	q := forward.NewQuarantine(forward.QuarantineOptions{
		Node: "n", MayTry: func() bool { return false }, Announce: func() {}, Now: func() time.Time { return f.now }, Logger: slog.New(slog.DiscardHandler),
	})
	return &quarantineKeeper{store: f.store, quarantine: q, holdsLease: func() bool { return true }, announce: func() {}, logger: slog.New(slog.DiscardHandler)}
}

func (f *keeperFleet) run(k *quarantineKeeper, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(keepInterval) {
		k.step(context.Background(), f.now)
	}
}

// crash lets a part be in doubt in three crashes.
func (f *keeperFleet) crash(k *quarantineKeeper, part quarantine.Part) {
	table := quarantine.NewTable()
	for i := range 3 {
		f.now = f.now.Add(time.Second)
		table.RecordCrash([]quarantine.Part{part}, quarantine.Crash{Engine: uint32(part)*10 + uint32(i), Observer: uint8(i)}, f.now)
	}
	data, _ := table.Encode(quarantine.All, 0, 900, f.now)
	k.quarantine.Merge(data, true, 0)
}

// Guards against a quarantine that is learned again at the cost of engines after all nodes have lost power, and
// against calls to the store while nothing changes.
func TestQuarantineSurvivesTheLossOfAllNodes(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	first := f.newKeeper()
	f.run(first, time.Minute)
	assert.Equal(t, keeperStore{reads: 1}, *f.store)
	f.crash(first, 7)
	f.run(first, 30*time.Second)
	assert.Equal(t, 1, f.store.writes)
	next := f.newKeeper()
	f.run(next, 20*time.Second)
	require.Len(t, next.quarantine.Suspects(), 1)
	assert.Equal(t, quarantine.Part(7), next.quarantine.Suspects()[0].Part)
	assert.Equal(t, 2, f.store.reads)
	assert.Equal(t, 1, f.store.writes)
}

// Guards against nodes that do not know the quarantined parts until one of them holds the lease, and against calls of
// nodes that neither hold it nor are seeds.
func TestSeedReadsQuarantineAtStart(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	leader, seed, other := f.newKeeper(), f.newKeeper(), f.newKeeper()
	f.run(leader, time.Second)
	f.crash(leader, 7)
	f.run(leader, time.Second)
	*f.store = keeperStore{object: f.store.object}
	seed.holdsLease, other.holdsLease = func() bool { return false }, func() bool { return false }
	seed.readsAtStart = true
	f.run(seed, 10*time.Second)
	assert.Equal(t, 1, f.store.reads)
	assert.Len(t, seed.quarantine.Suspects(), 1)
	f.run(other, 10*time.Second)
	assert.Equal(t, 1, f.store.reads)
	assert.Zero(t, f.store.writes)
}

// Guards against two leaders that overwrite each other's parts.
func TestQuarantinesOfTwoLeadersAreMerged(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	first, second := f.newKeeper(), f.newKeeper()
	f.run(first, time.Second)
	f.run(second, time.Second)
	f.crash(first, 7)
	f.run(first, time.Second)
	f.crash(second, 8)
	f.run(second, 2*keepRetryPause)
	assert.Len(t, second.quarantine.Suspects(), 2)
	third := f.newKeeper()
	f.run(third, time.Second)
	assert.Len(t, third.quarantine.Suspects(), 2)
}

// Guards against many calls to a store that is down, and against parts that are not kept once it is back.
func TestQuarantineIsKeptOnceTheStoreIsBack(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	k := f.newKeeper()
	f.run(k, time.Second)
	f.store.err = errors.New("store is down")
	f.crash(k, 7)
	f.run(k, 10*keepRetryPause)
	assert.LessOrEqual(t, f.store.reads+f.store.writes, 12)
	f.store.err = nil
	f.run(k, 2*keepRetryPause)
	assert.NotZero(t, f.store.object.Version)
	next := f.newKeeper()
	f.run(next, time.Second)
	assert.Len(t, next.quarantine.Suspects(), 1)
}

// Guards against a leader that writes the object for each change while many parts come and go.
func TestQuarantineIsNotWrittenForEachChange(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	k := f.newKeeper()
	f.run(k, time.Second)
	started := f.now
	for part := range quarantine.Part(10) {
		table := quarantine.NewTable()
		for i := range 3 {
			table.RecordCrash([]quarantine.Part{100 + part}, quarantine.Crash{Engine: uint32(part)*10 + uint32(i), Observer: uint8(i)}, f.now.Add(time.Duration(i-3)*time.Second))
		}
		data, _ := table.Encode(quarantine.All, 0, 900, f.now)
		k.quarantine.Merge(data, true, 0)
		f.run(k, 2*keepInterval)
	}
	f.run(k, minWriteGap)
	assert.LessOrEqual(t, f.store.writes, 1+int(f.now.Sub(started)/minWriteGap))
	next := f.newKeeper()
	f.run(next, time.Second)
	assert.Len(t, next.quarantine.Suspects(), 10)
}

// Guards against an old quarantine that is taken for a new one because the clock of the node that wrote it was ahead.
func TestQuarantineOfAClockAheadIsNotRestored(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(10_000, 0)}
	ahead := f.newKeeper()
	f.run(ahead, time.Second)
	f.crash(ahead, 7)
	f.run(ahead, time.Second)
	require.Equal(t, 1, f.store.writes)
	f.now = f.now.Add(-40 * time.Minute)
	next := f.newKeeper()
	f.run(next, 2*keepRetryPause)
	assert.Empty(t, next.quarantine.Suspects())
}

// Guards against quarantined parts that a store which was restored from a copy has lost for good.
func TestQuarantineIsStoredAgainAfterTheStoreWasRestored(t *testing.T) {
	f := &keeperFleet{store: &keeperStore{}, now: time.Unix(1000, 0)}
	leader := f.newKeeper()
	f.run(leader, time.Second)
	f.crash(leader, 7)
	f.run(leader, 5*time.Second)
	require.Equal(t, 1, f.store.writes)
	f.store.object, f.store.era = objects.Object{}, 1
	f.run(leader, 5*time.Second)
	assert.Equal(t, 2, f.store.writes)
	next := f.newKeeper()
	f.run(next, time.Second)
	assert.Len(t, next.quarantine.Suspects(), 1)
}
