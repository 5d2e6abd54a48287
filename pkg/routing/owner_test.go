package routing

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
)

// fakeOwners returns a fixed reply to Acquire per engine; the owner of an engine without one does not
// respond.
type fakeOwners struct {
	replies map[string]*peerpb.AcquireReply
	// before runs at each Acquire.
	before func(engine string)
	asked  []string
}

func (o *fakeOwners) Acquire(ctx context.Context, _ blackboard.MemberEntry, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	o.asked = append(o.asked, r.Engine)
	if o.before != nil {
		o.before(r.Engine)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if reply := o.replies[r.Engine]; reply != nil {
		return reply, nil
	}
	return nil, errors.New("connection refused")
}

func (o *fakeOwners) Release(context.Context, blackboard.MemberEntry, *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return &peerpb.ReleaseReply{}, nil
}

type singleOwner struct{}

func (singleOwner) Of(string, string) (blackboard.MemberEntry, bool) {
	return blackboard.MemberEntry{Name: "owner"}, true
}

// markLeaving marks an engine as leaving on the board.
func markLeaving(b *blackboard.Board, id string) {
	e, _ := b.Engines.Get(id)
	e.Value.Leaving = true
	b.Engines.Put(id, e.Value, blackboard.Evidence{})
}

// Each case is a set of owner replies, or a change during an Acquire call. Guards against requests to
// a leaving engine, against a slot with a missing or outdated incarnation, and against a refusal that
// is not reported as not run although no engine got the request.
func TestOwnerReplies(t *testing.T) {
	granted := &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_GRANTED, Slot: 1, Incarnation: "new"}
	leaving := &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_ENGINE_LEAVING}
	full := &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_QUEUE_FULL}
	cases := map[string]struct {
		engines []string
		replies map[string]*peerpb.AcquireReply
		before  func(b *blackboard.Board, cancel context.CancelFunc) func(engine string)
		want    Target
		kind    fault.Kind
	}{
		"granted by the owner":   {[]string{"a"}, map[string]*peerpb.AcquireReply{"a": granted}, nil, Target{Engine: "a", Address: "a", Incarnation: "new"}, ""},
		"no owner responds":      {[]string{"a"}, nil, nil, Target{Engine: "a", Address: "a", Incarnation: "a-1"}, ""},
		"the only engine leaves": {[]string{"a"}, map[string]*peerpb.AcquireReply{"a": leaving}, nil, Target{}, fault.NoEngine},
		"the queue is full":      {[]string{"a"}, map[string]*peerpb.AcquireReply{"a": full}, nil, Target{}, fault.Overloaded},
		"no engine":              {nil, nil, nil, Target{}, fault.NoEngine},
		"leaves while its owner is unavailable": {[]string{"a"}, nil, func(b *blackboard.Board, _ context.CancelFunc) func(string) {
			return func(id string) { markLeaving(b, id) }
		}, Target{}, fault.NoEngine},
		"the caller disconnects": {[]string{"a"}, nil, func(_ *blackboard.Board, cancel context.CancelFunc) func(string) { return func(string) { cancel() } }, Target{}, fault.Abandoned},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				board := boardWith(c.engines...)
				owners := &fakeOwners{replies: c.replies}
				if c.before != nil {
					owners.before = c.before(board, cancel)
				}
				r := newTestOwnerRouter(t, board, owners)
				req := testRequest()
				req.Arrived, req.Deadline = time.Now(), time.Now().Add(time.Minute)
				slot, err := r.Route(ctx, req)
				if c.kind != "" {
					assert.Nil(t, slot)
					assert.Equal(t, c.kind, fault.As(err).Kind, "%v", err)
					assert.Equal(t, fault.NotRun, fault.As(err).Work)
					return
				}
				require.NoError(t, err)
				assert.Equal(t, c.want, slot.Target())
				slot.Done(Outcome{})
				synctest.Wait()
			})
		})
	}
}

func newTestOwnerRouter(t *testing.T, board *blackboard.Board, owners OwnerClient) *OwnerRouter {
	placer, err := placement.New(placement.Options{Region: "r"})
	require.NoError(t, err)
	engineview.New(engineview.Options{Board: board, Region: "r"}, placer).Refresh()
	return NewOwnerRouter(OwnerOptions{Board: board, Placer: placer, Owners: owners, Table: singleOwner{}, Self: "n",
		Logger: slog.New(slog.DiscardHandler), Now: time.Now})
}

// Guards against an engine that is offered while it is leaving, loading or unreachable, or serves another
// weights version.
func TestUnusableEnginesAreNotOffered(t *testing.T) {
	cases := map[string]func(e *blackboard.EngineEntry){
		"leaving by the VM list":    func(e *blackboard.EngineEntry) { e.Leaving = true },
		"leaving by its own report": func(e *blackboard.EngineEntry) { e.State.Leaving = true },
		"unreachable":               func(e *blackboard.EngineEntry) { e.Reachable = false },
		"loading":                   func(e *blackboard.EngineEntry) { e.State.Loading = true },
		"older weights":             func(e *blackboard.EngineEntry) { e.State.WeightsVersion = "v0" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			board := boardWith("a")
			e, _ := board.Engines.Get("a")
			change(&e.Value)
			board.Engines.Put("a", e.Value, blackboard.Evidence{})
			owners := &fakeOwners{}
			req := testRequest()
			req.Deadline = time.Now().Add(time.Hour)
			_, err := newTestOwnerRouter(t, board, owners).Route(t.Context(), req)
			assert.True(t, fault.Is(err, fault.NoEngine), "%v", err)
			assert.Empty(t, owners.asked)
			assert.Empty(t, Candidates(board, req))
		})
	}
}
