package lease

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/lease"
	standin "cassiawall.example/cassiawall/pkg/standin/objects"
)

// fleet is a set of nodes with a board each and one shared object store.
type fleet struct {
	store  *standin.Store
	boards map[string]*blackboard.Board
	stops  map[string]func()
}

func newFleet(t *testing.T, nodes, models int) *fleet {
	f := &fleet{store: standin.NewStore(1), boards: map[string]*blackboard.Board{}, stops: map[string]func(){}}
	current := &config.Config{}
	for i := range models {
		current.Models = append(current.Models, config.Model{Name: fmt.Sprint("model-", i)})
	}
	for i := range nodes {
		board := blackboard.New()
		board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: current}, blackboard.Evidence{})
		f.boards[fmt.Sprint("node-", i)] = board
	}
	for name := range f.boards {
		f.setMember(name, blackboard.MemberAlive)
	}
	for name := range f.boards {
		f.start(t, name)
	}
	return f
}

func (f *fleet) start(t *testing.T, name string) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := New(Options{Node: name, Board: f.boards[name], Store: f.store, Logger: slog.New(slog.DiscardHandler)})
		_ = c.Run(ctx)
	}()
	f.stops[name] = func() {
		cancel()
		<-done
	}
}

func (f *fleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
}

func (f *fleet) setMember(name string, s blackboard.MemberState) {
	for _, board := range f.boards {
		board.Members.Put(name, blackboard.MemberEntry{Name: name, State: s}, blackboard.Evidence{})
	}
}

// holder returns the node that may currently send to a shard, and its fencing token. It fails the test
// if there are two.
func (f *fleet) holder(t *testing.T, shard string) (string, uint64) {
	found, fencing := "", uint64(0)
	for name, board := range f.boards {
		e, _ := board.Leases.Get(shard)
		if e.Value.FencingToken != 0 && time.Now().Before(e.Value.HeldUntil) {
			require.Empty(t, found, "two holders of %s", shard)
			found, fencing = name, e.Value.FencingToken
		}
	}
	return found, fencing
}

// Guards against calls of the object API that grow with the number of engines or nodes: the API's rate
// limits grow more slowly than the fleet. Only lease holders make calls, one lease per model.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 6)
		for _, board := range f.boards {
			for i := range 790 {
				id := fmt.Sprint("engine-", i)
				board.Engines.Put(id, blackboard.EngineEntry{ID: id, HasState: true, State: engine.State{Model: fmt.Sprint("model-", i%6)}}, blackboard.Evidence{})
			}
			break
		}
		time.Sleep(time.Minute)
		before := f.store.Counters().Calls()
		time.Sleep(5 * time.Minute)
		calls := float64(f.store.Counters().Calls()-before) / 300
		t.Logf("20 nodes, 790 engines, 6 leases: %.2f calls/s", calls)
		assert.LessOrEqual(t, calls, 0.61)
		for i := range 6 {
			name, _ := f.holder(t, fmt.Sprint("model-", i))
			assert.NotEmpty(t, name)
		}
		f.stopAll()
	})
}

// Guards against a shard that has no holder for longer than the lease's TTL and the transit time of
// orders, against two holders, and against a fencing token that does not increase.
func TestHandover(t *testing.T) {
	outage := func(f *fleet, on bool) { f.store.SetFaults(standin.Faults{Outage: on}) }
	cases := map[string]struct {
		disturb func(t *testing.T, f *fleet, holder string)
		within  time.Duration
	}{
		"graceful stop": {func(_ *testing.T, f *fleet, holder string) {
			f.stops[holder]()
			f.setMember(holder, blackboard.MemberLeft)
		}, lease.MaxDeliveryDelay + 4*time.Second},
		"holder dies": {func(_ *testing.T, f *fleet, holder string) {
			outage(f, true) // As in a crash, the holder's release is not written.
			f.stops[holder]()
			f.setMember(holder, blackboard.MemberDead)
			outage(f, false)
		}, lease.TTL + lease.MaxDeliveryDelay + 4*time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 1)
				time.Sleep(10 * time.Second)
				first, fencing := f.holder(t, "model-0")
				require.NotEmpty(t, first)
				c.disturb(t, f, first)
				time.Sleep(c.within)
				second, next := f.holder(t, "model-0")
				assert.NotEmpty(t, second)
				assert.NotEqual(t, first, second)
				assert.Greater(t, next, fencing)
				f.stopAll()
			})
		})
	}
}

// Guards against a holder that may still send after an object API outage longer than its lease, and
// against one that does not regain its lease after the outage.
func TestOutageEndsTheRightToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		time.Sleep(10 * time.Second)
		first, _ := f.holder(t, "model-0")
		require.NotEmpty(t, first)
		f.store.SetFaults(standin.Faults{Outage: true})
		time.Sleep(lease.TTL)
		name, _ := f.holder(t, "model-0")
		assert.Empty(t, name)
		f.store.SetFaults(standin.Faults{LostResponseShare: 0.5, StaleReadShare: 0.5})
		time.Sleep(2 * time.Minute)
		f.store.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		name, _ = f.holder(t, "model-0")
		assert.Equal(t, first, name)
		f.stopAll()
	})
}
