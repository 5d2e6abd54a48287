package claims

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/standin/objects"
)

// fleet is a set of controllers that call each other directly, without a network.
type fleet struct {
	store *objects.Store
	nodes map[string]*Controller
	// repliesLost makes peer calls fail after they were executed, unreachable before they are executed.
	repliesLost, unreachable atomic.Bool
}

func (f *fleet) Claim(ctx context.Context, node string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if f.unreachable.Load() {
		return nil, errors.New("unreachable")
	}
	reply, err := f.nodes[node].Claim(ctx, r)
	if f.repliesLost.Load() {
		return nil, errors.New("reply lost")
	}
	return reply, err
}

func (f *fleet) RecordOutcome(ctx context.Context, node string, r *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error) {
	if f.unreachable.Load() {
		return nil, errors.New("unreachable")
	}
	reply, err := f.nodes[node].RecordOutcome(ctx, r)
	if f.repliesLost.Load() {
		return nil, errors.New("reply lost")
	}
	return reply, err
}

// withFleet runs check with three nodes in fake time.
func withFleet(t *testing.T, check func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: objects.NewStore(1), nodes: map[string]*Controller{}}
		board := blackboard.New()
		for i := range 3 {
			name := fmt.Sprint("node-", i)
			board.Members.Put(name, blackboard.MemberEntry{Name: name, State: blackboard.MemberAlive}, blackboard.Evidence{})
			f.nodes[name] = New(Options{Node: name, Board: board, Store: f.store, Peer: f, Metrics: metrics.New(), Logger: slog.New(slog.DiscardHandler)})
		}
		check(t, f)
		f.store.SetFaults(objects.Faults{})
		for _, c := range f.nodes {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			c.Close(ctx)
			cancel()
		}
	})
}

func request(key, body string) Request {
	return Request{Workspace: "w", Key: claims.NewKey("w", "/book", key), BodyHash: sha256.Sum256([]byte(body)), Deadline: 10 * time.Second}
}

// Guards against a request that runs twice, is refused without need, or is refused with a wrong
// statement on whether it ran, under each fault of the peers and the object API.
func TestBegin(t *testing.T) {
	outage := objects.Faults{Outage: true}
	done := claims.CompletedOutcome(201, "text/plain", []byte("booked"))
	begin := func(t *testing.T, f *fleet, node, key, body string) (*Permit, *claims.Outcome, error) {
		return f.nodes[node].Begin(t.Context(), request(key, body))
	}
	first := func(t *testing.T, f *fleet) *Permit {
		p, _, err := begin(t, f, "node-0", "k", "body")
		require.NoError(t, err)
		require.NoError(t, p.AuthorizeSend())
		return p
	}
	refused := func(t *testing.T, f *fleet, kind fault.Kind, work fault.Work) {
		t.Helper()
		for name := range f.nodes {
			p, o, err := begin(t, f, name, "k", "body")
			require.Nil(t, p)
			require.Nil(t, o)
			require.Equal(t, kind, fault.As(err).Kind, err)
			require.Equal(t, work, fault.As(err).Work, err)
		}
	}
	granted := func(t *testing.T, f *fleet) {
		t.Helper()
		p, _, err := begin(t, f, "node-2", "k", "body")
		require.NoError(t, err)
		require.NoError(t, p.AuthorizeSend())
	}
	cases := map[string]func(t *testing.T, f *fleet){
		"repeat in progress": func(t *testing.T, f *fleet) {
			first(t, f)
			refused(t, f, fault.InProgress, fault.Unknown)
		},
		"repeat after a crash of the entry node": func(t *testing.T, f *fleet) {
			first(t, f)
			time.Sleep(time.Minute)
			refused(t, f, fault.OutcomeUnknown, fault.Unknown)
		},
		"repeat after completion": func(t *testing.T, f *fleet) {
			first(t, f).Finish(t.Context(), done)
			for name := range f.nodes {
				_, o, err := begin(t, f, name, "k", "body")
				require.NoError(t, err)
				require.Equal(t, done, *o)
			}
		},
		"repeat with another body": func(t *testing.T, f *fleet) {
			first(t, f)
			_, _, err := begin(t, f, "node-1", "k", "other")
			assert.True(t, fault.Is(err, fault.IdempotencyConflict), err)
		},
		"repeat after the response was lost": func(t *testing.T, f *fleet) {
			first(t, f).Finish(t.Context(), claims.Outcome{State: claims.UnknownResult})
			refused(t, f, fault.OutcomeUnknown, fault.Unknown)
		},
		"repeat after the backend refused": func(t *testing.T, f *fleet) {
			first(t, f).Finish(t.Context(), claims.Outcome{State: claims.NotSent})
			granted(t, f)
		},
		"response too large to record": func(t *testing.T, f *fleet) {
			first(t, f).Finish(t.Context(), claims.CompletedOutcome(200, "", make([]byte, claims.MaxOutcomeBodyBytes+1)))
			refused(t, f, fault.OutcomeUnknown, fault.Run)
		},
		"object API down": func(t *testing.T, f *fleet) {
			f.store.SetFaults(outage)
			before := time.Now()
			refused(t, f, fault.PlatformUnavailable, fault.NotRun)
			assert.Less(t, time.Since(before), 100*time.Millisecond, "refused without waiting")
			f.store.SetFaults(objects.Faults{})
			time.Sleep(claims.RefuseDuration)
			granted(t, f)
		},
		"outcome known during an outage": func(t *testing.T, f *fleet) {
			first(t, f).Finish(t.Context(), done)
			f.store.SetFaults(outage)
			_, o, err := begin(t, f, "node-1", "k", "body")
			require.NoError(t, err)
			assert.Equal(t, done, *o)
		},
		"outcome recorded after an outage": func(t *testing.T, f *fleet) {
			p := first(t, f)
			f.store.SetFaults(outage)
			p.Finish(t.Context(), done)
			f.store.SetFaults(objects.Faults{})
			time.Sleep(2 * maxRecordBackoff)
			_, o, err := begin(t, f, "node-1", "k", "body")
			require.NoError(t, err)
			assert.Equal(t, done, *o)
		},
		"all responses of the object API lost": func(t *testing.T, f *fleet) {
			f.store.SetFaults(objects.Faults{LostResponseShare: 1})
			first(t, f).Finish(t.Context(), done)
			_, o, err := begin(t, f, "node-1", "k", "body")
			require.NoError(t, err)
			assert.Equal(t, done, *o)
		},
		"object API hangs and the claim is written late": func(t *testing.T, f *fleet) {
			f.store.SetFaults(objects.Faults{Delay: time.Hour})
			_, _, err := begin(t, f, "node-0", "k", "body")
			require.Equal(t, fault.NotRun, fault.As(err).Work)
			f.store.SetFaults(objects.Faults{})
			time.Sleep(2 * maxRecordBackoff)
			granted(t, f)
		},
		"peer replies lost": func(t *testing.T, f *fleet) {
			f.repliesLost.Store(true)
			first(t, f).Finish(t.Context(), done)
			for name := range f.nodes {
				_, o, err := begin(t, f, name, "k", "body")
				require.NoError(t, err)
				require.Equal(t, done, *o)
			}
		},
		"usual writer unreachable": func(t *testing.T, f *fleet) {
			f.unreachable.Store(true)
			first(t, f).Finish(t.Context(), done)
			_, o, err := begin(t, f, "node-2", "k", "body")
			require.NoError(t, err)
			assert.Equal(t, done, *o)
		},
		"permit used too late": func(t *testing.T, f *fleet) {
			p, _, err := begin(t, f, "node-0", "k", "body")
			require.NoError(t, err)
			time.Sleep(claims.SendTimeout + time.Second)
			require.Equal(t, fault.NotRun, fault.As(p.AuthorizeSend()).Work)
			p.Abandon()
			time.Sleep(time.Second)
			granted(t, f)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { withFleet(t, check) })
	}
}

// Guards against two permits for one key when callers repeat a request at all nodes concurrently.
func TestConcurrentRepeatsGetOnePermit(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{Delay: 5 * time.Millisecond, LostResponseShare: 0.3, StaleReadShare: 0.3})
		var permits atomic.Int32
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				p, _, _ := f.nodes[fmt.Sprint("node-", i%3)].Begin(t.Context(), request("k", "body"))
				if p != nil && p.AuthorizeSend() == nil {
					permits.Add(1)
				}
			})
		}
		callers.Wait()
		assert.Equal(t, int32(1), permits.Load())
	})
}

// Guards against one write of the object API per request: the platform accepts only several hundred
// writes a second.
func TestBurstSharesWrites(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(objects.Faults{Delay: 5 * time.Millisecond})
		const requests = 3000
		started := time.Now()
		var callers sync.WaitGroup
		var granted atomic.Int32
		for i := range requests {
			callers.Go(func() {
				p, _, err := f.nodes[fmt.Sprint("node-", i%3)].Begin(t.Context(), request(fmt.Sprint(i), "body"))
				if err == nil && p.AuthorizeSend() == nil {
					granted.Add(1)
				}
			})
		}
		callers.Wait()
		writes := f.store.Counters().Writes()
		t.Logf("%d claims of %d with %d writes in %s", granted.Load(), requests, writes, time.Since(started))
		assert.Equal(t, int32(requests), granted.Load())
		// Each node's rate limiter starts with a burst of one second's share.
		assert.LessOrEqual(t, float64(writes), (1+time.Since(started).Seconds())*DefaultWritesPerSecond+1)
		assert.Less(t, writes, uint64(requests/3))
	})
}

// Guards against a journal that is full long before its claims expire, against claims in sealed
// segments that a new writer does not find, and against segments that are never deleted.
func TestSealedClaimsAreKept(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		done := claims.CompletedOutcome(200, "text/plain", []byte("booked"))
		keyOf := func(i int) claims.Key { return claims.Key{0: 7, 1: byte(i >> 8), 2: byte(i)} }
		const batches, perBatch = 6, 1000
		for batch := range batches {
			var callers sync.WaitGroup
			for i := range perBatch {
				callers.Go(func() {
					p, _, err := f.nodes[fmt.Sprint("node-", i%3)].Begin(t.Context(), Request{Key: keyOf(batch*perBatch + i)})
					if assert.NoError(t, err) && assert.NoError(t, p.AuthorizeSend()) {
						p.Finish(t.Context(), done)
					}
				})
			}
			callers.Wait()
			time.Sleep(2 * time.Minute)
		}
		found, err := f.store.List(t.Context(), "claims/007")
		require.NoError(t, err)
		assert.Greater(t, len(found), 2)
		assert.Less(t, len(found[0].Value), 300<<10, "the journal itself remains small")

		f.unreachable.Store(true)
		for i := 0; i < batches*perBatch; i += 97 {
			_, o, err := f.nodes["node-1"].Begin(t.Context(), Request{Key: keyOf(i)})
			require.NoError(t, err)
			require.Equal(t, done, *o)
		}

		time.Sleep(25 * time.Hour)
		for range 2 {
			p, _, err := f.nodes["node-1"].Begin(t.Context(), Request{Key: keyOf(0)})
			require.NoError(t, err)
			p.Finish(t.Context(), claims.Outcome{State: claims.NotSent})
		}
		time.Sleep(time.Minute)
		found, err = f.store.List(t.Context(), "claims/007")
		require.NoError(t, err)
		assert.Len(t, found, 1)
	})
}
