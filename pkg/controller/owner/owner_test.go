package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// testNode is one node, "n", that owns one engine, "e".
type testNode struct {
	ctx    context.Context
	board  *blackboard.Board
	engine *fakeEngine
	owner  *Owner
}

// runWithOwner runs a test in fake time against an engine whose cache holds the prefix hashes 1 and 2.
func runWithOwner(t *testing.T, change func(o *Options), test func(t *testing.T, n *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &testNode{ctx: ctx, board: blackboard.New(), engine: newFakeEngine("e", 64)}
		n.engine.store([]uint64{1, 2})
		n.setMember("n", blackboard.MemberAlive)
		n.board.Engines.Put("e", blackboard.EngineEntry{ID: "e", DataCentre: "a", Reachable: true}, blackboard.Evidence{})
		options := Options{Board: n.board, Self: "n", Engines: func(string) engine.Reporter { return n.engine }}
		if change != nil {
			change(&options)
		}
		n.owner = New(options)
		go n.engine.run(ctx)
		go func() { _ = n.owner.Run(ctx) }()
		synctest.Wait()
		test(t, n)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (n *testNode) setMember(name string, state blackboard.MemberState) {
	n.board.Members.Put(name, blackboard.MemberEntry{Name: name, DataCentre: "a", State: state}, blackboard.Evidence{})
}

// acquireRequest returns a request with one piece of 4000 tokens for each key.
func acquireRequest(id string, keys ...uint64) *peerpb.AcquireRequest {
	r := &peerpb.AcquireRequest{RequestId: id, Engine: "e", Workspace: "w", Keys: keys, DeadlineMs: 60_000, MaxOutputTokens: 10}
	for range keys {
		r.PieceTokens = append(r.PieceTokens, 4000)
	}
	return r
}

func (n *testNode) acquire(t *testing.T, r *peerpb.AcquireRequest) *peerpb.AcquireReply {
	reply, err := n.owner.Acquire(n.ctx, r)
	require.NoError(t, err)
	return reply
}

func (n *testNode) release(slot uint64, stage peerpb.ReleaseRequest_Stage, reused uint32) *peerpb.EngineSummary {
	reply, _ := n.owner.Release(n.ctx, &peerpb.ReleaseRequest{Slot: slot, Engine: "e", Stage: stage, ReusedTokens: reused})
	return reply.GetSummary()
}

// Guards against an owner that replies before it has loaded the cache snapshot, and against slots
// that are not freed.
func TestAcquireAndRelease(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		reply := n.acquire(t, acquireRequest("r", 1, 2, 3))
		assert.Equal(t, peerpb.AcquireReply_GRANTED, reply.GetVerdict())
		assert.EqualValues(t, 2, reply.GetCachedPieces())
		assert.EqualValues(t, 200, reply.GetPredictedMs(), "4000 tokens at 20,000 a second")
		assert.Equal(t, "e-1", reply.GetIncarnation())
		assert.EqualValues(t, 1, reply.GetSummary().GetRunning())
		time.Sleep(time.Second)
		published, _ := n.board.Summaries.Get("e")
		assert.Equal(t, "m", published.Value.Model, "other nodes read the model from the summary")
		assert.Equal(t, "v1", published.Value.WeightsVersion)
		n.release(reply.GetSlot(), peerpb.ReleaseRequest_FIRST_TOKEN, 8000)
		assert.EqualValues(t, 3, n.acquire(t, acquireRequest("r2", 1, 2, 3)).GetCachedPieces())
		s := n.release(reply.GetSlot(), peerpb.ReleaseRequest_DONE, 0)
		assert.EqualValues(t, 1, s.GetRunning())
		assert.Greater(t, s.GetVersion(), reply.GetSummary().GetVersion())
		other := acquireRequest("r3", 1)
		other.Engine = "unknown"
		assert.Equal(t, peerpb.AcquireReply_NOT_OWNER, n.acquire(t, other).GetVerdict())
	})
}

// Guards against an owner that grants slots on a leaving engine. Each case marks the engine as
// leaving at a different step of the request.
func TestLeavingEngineIsNotGranted(t *testing.T) {
	leave := func(n *testNode) {
		n.board.Engines.Put("e", blackboard.EngineEntry{ID: "e", DataCentre: "a", Reachable: true, Leaving: true}, blackboard.Evidence{})
	}
	t.Run("before the request", func(t *testing.T) {
		runWithOwner(t, nil, func(t *testing.T, n *testNode) {
			leave(n)
			assert.Equal(t, peerpb.AcquireReply_ENGINE_LEAVING, n.acquire(t, acquireRequest("r", 1)).GetVerdict())
		})
	})
	t.Run("while the request waits", func(t *testing.T) {
		runWithOwner(t, nil, func(t *testing.T, n *testNode) {
			first := n.acquire(t, acquireRequest("first", 10))
			secondReply := make(chan *peerpb.AcquireReply, 1)
			go func() { secondReply <- n.acquire(t, acquireRequest("second", 100)) }()
			synctest.Wait()
			require.Empty(t, secondReply)
			leave(n)
			time.Sleep(3 * time.Second)
			n.release(first.GetSlot(), peerpb.ReleaseRequest_DONE, 0)
			assert.Equal(t, peerpb.AcquireReply_ENGINE_LEAVING, (<-secondReply).GetVerdict())
		})
	})
}

// Guards against a cancelled request that stays in the queue or keeps a slot.
func TestCancelledAcquireHoldsNothing(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		first := n.acquire(t, acquireRequest("first", 10))
		ctx, cancel := context.WithCancel(n.ctx)
		var waiting sync.WaitGroup
		for i := range 5 {
			waiting.Go(func() {
				_, err := n.owner.Acquire(ctx, acquireRequest(fmt.Sprint("gone", i), uint64(100+i)))
				assert.ErrorIs(t, err, context.Canceled)
			})
		}
		synctest.Wait()
		assert.EqualValues(t, 5, n.release(first.GetSlot(), peerpb.ReleaseRequest_RENEW, 0).GetQueued())
		cancel()
		waiting.Wait()
		s := n.release(first.GetSlot(), peerpb.ReleaseRequest_DONE, 0)
		assert.Zero(t, s.GetQueued())
		assert.Zero(t, s.GetRunning())
		assert.Zero(t, s.GetBacklogTokens())
	})
}

// Guards against concurrent requests that each compute the same uncached prefix, and against requests
// that wait forever for another request's prefill that has failed.
func TestConcurrentMissesShareOnePrefill(t *testing.T) {
	for _, fails := range []bool{false, true} {
		runWithOwner(t, nil, func(t *testing.T, n *testNode) {
			first := n.acquire(t, acquireRequest("first", 11, 12, 13, 21))
			var mu sync.Mutex
			var depths []uint32
			var followers sync.WaitGroup
			for i := range 3 {
				followers.Go(func() {
					reply := n.acquire(t, acquireRequest(fmt.Sprint("f", i), 11, 12, 13, uint64(31+i)))
					mu.Lock()
					depths = append(depths, reply.GetCachedPieces())
					mu.Unlock()
					n.release(reply.GetSlot(), peerpb.ReleaseRequest_FIRST_TOKEN, reply.GetCachedPieces()*4000)
				})
			}
			synctest.Wait()
			assert.Empty(t, depths, "the other requests wait for the first prefill")
			if fails {
				n.release(first.GetSlot(), peerpb.ReleaseRequest_DONE, 0)
			} else {
				n.release(first.GetSlot(), peerpb.ReleaseRequest_FIRST_TOKEN, 0)
			}
			followers.Wait()
			want := []uint32{3, 3, 3}
			if fails {
				want = []uint32{0, 3, 3}
			}
			slices.Sort(depths)
			assert.Equal(t, want, depths)
		})
	}
}

// Guards against an index and slots that outlive a restart of the engine, which empties its cache.
func TestNewIncarnationDropsIndexAndSlots(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		n.acquire(t, acquireRequest("r", 1, 2))
		n.engine.crash()
		time.Sleep(2 * time.Second)
		reply := n.acquire(t, acquireRequest("r2", 1, 2))
		assert.Zero(t, reply.GetCachedPieces())
		assert.Equal(t, "e-1+", reply.GetIncarnation())
		assert.EqualValues(t, 1, reply.GetSummary().GetRunning())
		entry, _ := n.board.Engines.Get("e")
		assert.Equal(t, "e-1+", entry.Value.State.Incarnation)
	})
}

// Guards against requests that stay queued at an engine whose calls fail, and against an engine that
// stays excluded after its calls succeed again.
func TestUnreachableEngine(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		n.acquire(t, acquireRequest("r", 10))
		done := make(chan *peerpb.AcquireReply, 1)
		go func() { done <- n.acquire(t, acquireRequest("waiting", 11)) }()
		synctest.Wait()
		n.setDown(true)
		assert.Equal(t, peerpb.AcquireReply_ENGINE_LEAVING, (<-done).GetVerdict())
		assert.Equal(t, peerpb.AcquireReply_ENGINE_LEAVING, n.acquire(t, acquireRequest("r2", 1)).GetVerdict())
		// The owner replies before it updates the board.
		synctest.Wait()
		entry, _ := n.board.Engines.Get("e")
		assert.False(t, entry.Value.Reachable)
		n.setDown(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, peerpb.AcquireReply_GRANTED, n.acquire(t, acquireRequest("r3", 1)).GetVerdict())
		entry, _ = n.board.Engines.Get("e")
		assert.True(t, entry.Value.Reachable)
	})
}

func (n *testNode) setDown(down bool) {
	n.engine.mu.Lock()
	defer n.engine.mu.Unlock()
	n.engine.down = down
}

// Guards against requests that stay queued at a former owner, and against an owner that uses an
// outdated member list.
func TestOwnershipChange(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		other := ""
		for i := range 20 {
			name := fmt.Sprint("m", i)
			if m, _ := Of("e", "a", []blackboard.MemberEntry{{Name: "n", DataCentre: "a", State: blackboard.MemberAlive},
				{Name: name, DataCentre: "a", State: blackboard.MemberAlive}}); m.Name == name {
				other = name
			}
		}
		require.NotEmpty(t, other)
		n.acquire(t, acquireRequest("r", 10))
		done := make(chan *peerpb.AcquireReply, 1)
		go func() { done <- n.acquire(t, acquireRequest("waiting", 11)) }()
		synctest.Wait()
		n.setMember(other, blackboard.MemberAlive)
		assert.Equal(t, peerpb.AcquireReply_NOT_OWNER, (<-done).GetVerdict())
		assert.Empty(t, n.owner.Owned())
		n.setMember(other, blackboard.MemberSuspect)
		synctest.Wait()
		assert.Empty(t, n.owner.Owned(), "a suspect member keeps its engines")
		n.setMember(other, blackboard.MemberDead)
		synctest.Wait()
		assert.EqualValues(t, 2, n.acquire(t, acquireRequest("r2", 1, 2, 3)).GetCachedPieces(), "the snapshot is loaded before the reply")
	})
}

// Guards against an owner that continues to read an engine at its former address.
func TestEngineMovesToAnotherAddress(t *testing.T) {
	moved := newFakeEngine("e", 64)
	moved.store([]uint64{1, 2, 3, 4})
	runWithOwner(t, func(o *Options) {
		current := o.Engines
		board := o.Board
		o.Engines = func(id string) engine.Reporter {
			if entry, _ := board.Engines.Get(id); entry.Value.Address == "new" {
				return moved
			}
			return current(id)
		}
	}, func(t *testing.T, n *testNode) {
		assert.EqualValues(t, 2, n.acquire(t, acquireRequest("r", 1, 2, 3, 4)).GetCachedPieces())
		n.board.Engines.Put("e", blackboard.EngineEntry{ID: "e", Address: "new", DataCentre: "a", Reachable: true}, blackboard.Evidence{})
		synctest.Wait()
		assert.EqualValues(t, 4, n.acquire(t, acquireRequest("r2", 1, 2, 3, 4)).GetCachedPieces())
	})
}

// Guards against an index that stays incomplete or suspect after cache events were lost.
func TestLostEventsAreRepaired(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		n.engine.mu.Lock()
		n.engine.lostEventRate = 1
		n.engine.store([]uint64{41, 42})
		n.engine.lostEventRate = 0
		n.engine.store([]uint64{43})
		n.engine.mu.Unlock()
		time.Sleep(3 * time.Second)
		reply := n.acquire(t, acquireRequest("r", 41, 42))
		assert.EqualValues(t, 2, reply.GetCachedPieces())
		assert.False(t, reply.GetSummary().GetDoubtful())
	})
}

// Guards against slots of an entry node that has failed and that would block the engine forever.
func TestSlotsWithoutRenewalExpire(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		reply := n.acquire(t, acquireRequest("r", 10))
		time.Sleep(10 * time.Second)
		assert.EqualValues(t, 1, n.release(reply.GetSlot(), peerpb.ReleaseRequest_RENEW, 0).GetRunning())
		time.Sleep(10 * time.Second)
		assert.EqualValues(t, 1, n.release(0, peerpb.ReleaseRequest_RENEW, 0).GetRunning())
		time.Sleep(10 * time.Second)
		assert.Zero(t, n.release(0, peerpb.ReleaseRequest_RENEW, 0).GetRunning())
	})
}

// Guards against a suggested copy that takes longer than prefill.
func TestCopyFromIsSuggestedWhereFaster(t *testing.T) {
	cases := []struct {
		name     string
		copyRate float64
		want     string
	}{{"fast copy", 200_000, "other"}, {"slow copy", 30_000, ""}, {"no copies", 0, ""}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runWithOwner(t, func(o *Options) {
				o.Copy = CopyOptions{TokensPerSecond: tc.copyRate}
				o.CopySource = func([]uint64, string) (string, int) { return "other", 5 }
			}, func(t *testing.T, n *testNode) {
				assert.Equal(t, tc.want, n.acquire(t, acquireRequest("r", 1, 2, 3, 4, 5)).GetCopyFrom())
			})
		})
	}
}

// Guards against two nodes that compute different owners from the same members in another order, and
// against owners that are not live.
func TestOwnerSelection(t *testing.T) {
	member := func(name, dataCentre string, state blackboard.MemberState) blackboard.MemberEntry {
		return blackboard.MemberEntry{Name: name, DataCentre: dataCentre, State: state}
	}
	draining := member("d", "a", blackboard.MemberAlive)
	draining.Draining = true
	cases := []struct {
		name    string
		members []blackboard.MemberEntry
		want    string
	}{
		{"own data centre first", []blackboard.MemberEntry{member("x", "b", blackboard.MemberAlive), member("y", "a", blackboard.MemberAlive)}, "y"},
		{"suspect counts", []blackboard.MemberEntry{member("y", "a", blackboard.MemberSuspect)}, "y"},
		{"other data centre if none is left", []blackboard.MemberEntry{member("x", "b", blackboard.MemberAlive), member("y", "a", blackboard.MemberDead), draining}, "x"},
		{"none", []blackboard.MemberEntry{member("y", "a", blackboard.MemberLeft)}, ""},
	}
	for _, tc := range cases {
		m, ok := Of("e", "a", tc.members)
		assert.Equal(t, tc.want, m.Name, tc.name)
		assert.Equal(t, tc.want != "", ok)
		slices.Reverse(tc.members)
		again, _ := Of("e", "a", tc.members)
		assert.Equal(t, m.Name, again.Name, "the order of members does not matter")
	}
}

// Guards against a slot that blocks the engine until it expires because the entry node cancelled
// Acquire at the moment of the grant and did not receive the reply.
func TestReleaseByRequestIDFreesSlot(t *testing.T) {
	runWithOwner(t, nil, func(t *testing.T, n *testNode) {
		n.acquire(t, acquireRequest("lost", 10))
		done := make(chan *peerpb.AcquireReply, 1)
		go func() { done <- n.acquire(t, acquireRequest("next", 11)) }()
		synctest.Wait()
		require.Empty(t, done, "the lost slot's prefill fills the engine")
		_, err := n.owner.Release(t.Context(), &peerpb.ReleaseRequest{Engine: "e", Stage: peerpb.ReleaseRequest_DONE, RequestId: "lost"})
		require.NoError(t, err)
		synctest.Wait()
		require.Len(t, done, 1)
		assert.Equal(t, peerpb.AcquireReply_GRANTED, (<-done).GetVerdict())
	})
}
