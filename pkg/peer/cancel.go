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

// callCanceller ends calls to members that membership takes to be gone.
type callCanceller struct {
	mu        sync.Mutex
	addresses map[string]*addressState
}

// addressState is the state of one address. Its context ends when calls have to end.
type addressState struct {
	state      blackboard.MemberState
	ctx        context.Context
	cancel     context.CancelCauseFunc
	graceTimer *time.Timer
}

func newCallCanceller() *callCanceller { return &callCanceller{addresses: map[string]*addressState{}} }

// attach returns a context that also ends when the member at address is gone.
func (c *callCanceller) attach(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	s, known := c.addresses[address]
	c.mu.Unlock()
	if !known {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ctx, func() { cancel(context.Cause(s.ctx)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// set takes over the states of all addresses.
func (c *callCanceller) setStates(states map[string]blackboard.MemberState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.addresses {
		if _, known := states[address]; !known {
			s.cancelCalls(address)
			delete(c.addresses, address)
		}
	}
	for address, state := range states {
		s, known := c.addresses[address]
		if known && s.state == state {
			continue
		}
		if !known || state == blackboard.MemberAlive {
			s = c.activeState(s)
			c.addresses[address] = s
		}
		s.setState(address, state)
	}
}

// activeState returns a line that was not ended. Calls on a line that was not ended either go on.
func (c *callCanceller) activeState(old *addressState) *addressState {
	if old != nil && (old.graceTimer == nil || old.graceTimer.Stop()) && old.ctx.Err() == nil {
		old.graceTimer = nil
		return old
	}
	s := &addressState{}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	return s
}

func (s *addressState) setState(address string, state blackboard.MemberState) {
	s.state = state
	switch state {
	case blackboard.MemberSuspect, blackboard.MemberLeft:
		if s.graceTimer == nil {
			s.graceTimer = time.AfterFunc(suspectGrace, func() { s.cancelCalls(address) })
		}
	case blackboard.MemberDead:
		s.cancelCalls(address)
	}
}

func (s *addressState) cancelCalls(address string) {
	s.cancel(fault.New(fault.PlatformUnavailable, "the node at %s is suspected, dead or has left", address).WithWork(fault.Unknown))
}

// WatchMembers ends calls to members that are suspected for a while, dead or gone, and refuses new
// ones, until ctx ends. It returns nil. Addresses that no member has are not restricted.
func (p *Pool) WatchMembers(ctx context.Context, board *blackboard.Board) error {
	changes, cancel := board.Members.Subscribe()
	defer cancel()
	for {
		p.canceller.setStates(memberStates(board))
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
