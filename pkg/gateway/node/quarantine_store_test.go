package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/objects"
)

// fakeObjects is a store of one object that counts calls.
type fakeObjects struct {
	mu            sync.Mutex
	value         []byte
	version       uint64
	reads, writes int
	failing       bool
	// beforePut is called before a write, if it is set.
	beforePut func()
}

func (s *fakeObjects) Get(_ context.Context, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.failing:
		return objects.Object{}, fault.New(fault.Internal, "store is down")
	case s.version == 0:
		return objects.Object{}, fault.New(fault.NotFound, "no object")
	}
	return objects.Object{Name: name, Version: s.version, Value: s.value}, nil
}

func (s *fakeObjects) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.beforePut != nil {
		s.beforePut()
	}
	if s.failing || ifVersion != s.version {
		return 0, fault.New(fault.Conflict, "stored version is %d", s.version)
	}
	s.value, s.version = value, s.version+1
	return s.version, nil
}

// fakeEvidence is evidence whose quarantined parts are those of a table.
type fakeEvidence struct {
	*quarantine.Table
	generation atomic.Uint64
}

func newFakeEvidence() *fakeEvidence { return &fakeEvidence{Table: quarantine.NewTable()} }

func (e *fakeEvidence) Encode(scope quarantine.Scope, after uint64, maxBytes int) ([]byte, uint64) {
	return e.Table.Encode(scope, after, maxBytes, time.Now())
}

func (e *fakeEvidence) Merge(data []byte, relay bool, age time.Duration) (changed bool) {
	if changed = e.Table.Merge(data, relay, time.Now().Add(-age)); changed {
		e.generation.Add(1)
	}
	return changed
}

func (e *fakeEvidence) Generation() uint64 { return e.generation.Load() }

// quarantinePart records crashes until a part is quarantined.
func (e *fakeEvidence) quarantinePart(t *testing.T, part quarantine.Part) {
	t.Helper()
	for engine := range uint32(5) {
		time.Sleep(time.Second)
		if e.RecordCrash([]quarantine.Part{part}, quarantine.Crash{Engine: uint32(part) + engine, Witness: uint8(engine % 2)}, time.Now()) {
			e.generation.Add(1)
		}
	}
	require.True(t, e.refuses(part))
}

func (e *fakeEvidence) refuses(part quarantine.Part) bool {
	return e.Judge([]quarantine.Part{part}, false, time.Now()).Refuse
}

// change changes the store while no call is in progress.
func (s *fakeObjects) change(f func(s *fakeObjects)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// calls returns the numbers of reads and writes.
func (s *fakeObjects) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func startQuarantineStore(ctx context.Context, store *fakeObjects, leads, hasLeader bool) *fakeEvidence {
	e := newFakeEvidence()
	s := &quarantineStore{
		evidence: e, store: store, logger: slog.New(slog.DiscardHandler), isLeader: func() bool { return leads },
		hasLeader: func() bool { return hasLeader }, mayCall: func() bool { return true },
	}
	go s.run(ctx)
	return e
}

// Guards against a fleet that lets a prompt part crash engines again because all nodes have lost power.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{}
		ctx, powerOff := context.WithCancel(t.Context())
		leader := startQuarantineStore(ctx, store, true, false)
		time.Sleep(time.Second)
		leader.quarantinePart(t, 100)
		time.Sleep(3 * time.Second)
		powerOff()
		synctest.Wait()
		time.Sleep(20 * time.Second)

		ctx, cancel := context.WithCancel(t.Context())
		store.change(func(s *fakeObjects) { s.failing = true })
		restarted := startQuarantineStore(ctx, store, false, false)
		time.Sleep(2 * time.Second)
		assert.False(t, restarted.refuses(100))
		store.change(func(s *fakeObjects) { s.failing = false })
		time.Sleep(2 * time.Second)
		assert.True(t, restarted.refuses(100), "read once the store responds")
		assert.False(t, restarted.refuses(101))
		cancel()
		synctest.Wait()
	})
}

// Guards against calls of the store by nodes that have nothing to read or to write.
func TestQuarantineStoreCallsOnlyOnChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		forLeader, forFollower := &fakeObjects{}, &fakeObjects{}
		leader := startQuarantineStore(ctx, forLeader, true, false)
		startQuarantineStore(ctx, forFollower, false, true)
		time.Sleep(time.Minute)
		reads, writes := forLeader.calls()
		assert.Equal(t, []int{1, 0}, []int{reads, writes})
		reads, writes = forFollower.calls()
		assert.Zero(t, reads+writes)
		leader.quarantinePart(t, 100)
		time.Sleep(time.Minute)
		reads, writes = forLeader.calls()
		assert.Equal(t, []int{2, 1}, []int{reads, writes})
		cancel()
		synctest.Wait()
	})
}

// Guards against a leader that overwrites what the leader before it has saved, and against a damaged object that
// stops it.
func TestQuarantineStoreMergesBeforeItWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeObjects{value: []byte("{damaged"), version: 7}
		ctx, cancel := context.WithCancel(t.Context())
		first := startQuarantineStore(ctx, store, true, false)
		first.quarantinePart(t, 100)
		time.Sleep(3 * time.Second)
		store.change(func(s *fakeObjects) { require.EqualValues(t, 8, s.version) })

		second := startQuarantineStore(ctx, store, true, false)
		// The first leader writes between the read and the write of the second.
		store.change(func(s *fakeObjects) {
			s.beforePut = func() {
				s.beforePut = nil
				s.version++
			}
		})
		second.quarantinePart(t, 200)
		time.Sleep(10 * time.Second)
		last := startQuarantineStore(ctx, store, false, false)
		time.Sleep(time.Second)
		assert.True(t, last.refuses(100))
		assert.True(t, last.refuses(200))
		cancel()
		synctest.Wait()
	})
}
