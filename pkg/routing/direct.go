package routing

import (
	"sync"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// defaultMaxBatch is the assumed batch size of an engine that has not reported one.
const defaultMaxBatch = 16

// directLimiter limits the requests that this node sends to engines without their owners. The
// limits of all nodes add up to about one batch, so that an engine is not overloaded while its owner
// is unavailable.
type directLimiter struct {
	board *blackboard.Board
	mu    sync.Mutex
	used  map[string]int
}

func newDirectLimiter(board *blackboard.Board) *directLimiter {
	return &directLimiter{board: board, used: map[string]int{}}
}

// acquire reserves a request on the engine and returns the function that releases it, or false if the
// limit is reached.
func (d *directLimiter) acquire(engine string) (release func(), ok bool) {
	limit := d.limit(engine)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.used[engine] >= limit {
		return nil, false
	}
	d.used[engine]++
	return sync.OnceFunc(func() { d.release(engine) }), true
}

func (d *directLimiter) release(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used[engine]--
	if d.used[engine] == 0 {
		delete(d.used, engine)
	}
}

// limit returns this node's share of the engine's batch, at least one request.
func (d *directLimiter) limit(engine string) int {
	batch := defaultMaxBatch
	if e, ok := d.board.Engines.Get(engine); ok && e.Value.State.MaxBatch > 0 {
		batch = e.Value.State.MaxBatch
	}
	live := 0
	for _, m := range d.board.Members.Snapshot() {
		if m.Value.State == blackboard.MemberAlive {
			live++
		}
	}
	return max(1, batch/max(1, live))
}

// directSlot is a slot on an engine that was not granted by the owner.
type directSlot struct {
	router  *OwnerRouter
	pieces  []prefix.Piece
	target  Target
	release func()
}

// Target implements Slot.
func (s *directSlot) Target() Target { return s.target }

// FirstToken implements Slot.
func (s *directSlot) FirstToken(u Usage) { s.router.observe(s.pieces, s.target, u, true) }

// Done implements Slot.
func (s *directSlot) Done(o Outcome) {
	if o.Failed {
		s.router.observeFailure(s.pieces, s.target)
	}
	s.release()
}
