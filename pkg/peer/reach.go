package peer

import (
	"context"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
)

// suspectGrace is how long calls to a suspected or leaving member go on. A VM that loses power
// closes no connection, and a queued Acquire would otherwise wait for its whole deadline.
const suspectGrace = time.Second

// reach ends calls to members that membership takes to be gone.
type reach struct {
	mu    sync.Mutex
	lines map[string]*line
}

// line is the state of one address. Its context ends when calls have to end.
type line struct {
	state  blackboard.MemberState
	ctx    context.Context
	cancel context.CancelCauseFunc
	grace  *time.Timer
}

func newReach() *reach { return &reach{lines: map[string]*line{}} }

// attach returns a context that also ends when the member at address is gone.
func (r *reach) attach(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	l, known := r.lines[address]
	r.mu.Unlock()
	if !known {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.ctx, func() { cancel(context.Cause(l.ctx)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// set takes over the states of all addresses.
func (r *reach) set(states map[string]blackboard.MemberState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, l := range r.lines {
		if _, known := states[address]; !known {
			l.end(address)
			delete(r.lines, address)
		}
	}
	for address, state := range states {
		l, known := r.lines[address]
		if known && l.state == state {
			continue
		}
		if !known || state == blackboard.MemberAlive {
			l = r.renew(l)
			r.lines[address] = l
		}
		l.enter(address, state)
	}
}

// renew returns a line that was not ended. Calls on a line that was not ended either go on.
func (r *reach) renew(old *line) *line {
	if old != nil && (old.grace == nil || old.grace.Stop()) && old.ctx.Err() == nil {
		old.grace = nil
		return old
	}
	l := &line{}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	return l
}

func (l *line) enter(address string, state blackboard.MemberState) {
	l.state = state
	switch state {
	case blackboard.MemberSuspect, blackboard.MemberLeft:
		if l.grace == nil {
			l.grace = time.AfterFunc(suspectGrace, func() { l.end(address) })
		}
	case blackboard.MemberDead:
		l.end(address)
	}
}

func (l *line) end(address string) {
	l.cancel(fault.New(fault.PlatformUnavailable, "the node at %s is suspected, dead or has left", address).WithWork(fault.Unknown))
}

// Follow ends calls to members that are suspected for a while, dead or gone, and refuses new
// ones, until ctx ends. It returns nil. Addresses that no member has are not restricted.
func (p *Pool) Follow(ctx context.Context, board *blackboard.Board) error {
	changes, cancel := board.Members.Subscribe()
	defer cancel()
	for {
		p.reach.set(memberStates(board))
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

// memberStates returns the state of each RPC address. A restarted VM can have two members with
// the same address; the better state counts.
func memberStates(board *blackboard.Board) map[string]blackboard.MemberState {
	states := map[string]blackboard.MemberState{}
	for _, entry := range board.Members.Snapshot() {
		m := entry.Value
		old, known := states[m.RPCAddress]
		if m.RPCAddress != "" && (!known || m.State < old) {
			states[m.RPCAddress] = m.State
		}
	}
	return states
}
