package peer

import (
	"context"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
)

// suspectGrace is the time after which calls to a member are cancelled that is suspected to have
// failed or has left. A VM that loses power closes no connection, so a queued Acquire would
// otherwise wait until its deadline.
const suspectGrace = time.Second

// callCanceller cancels calls to members that are unavailable according to the membership protocol.
type callCanceller struct {
	mu        sync.Mutex
	addresses map[string]*addressState
}

// addressState is the state of the member at one address. ctx is cancelled when its calls are to be
// cancelled.
type addressState struct {
	state      blackboard.MemberState
	ctx        context.Context
	cancel     context.CancelCauseFunc
	graceTimer *time.Timer
}

func newCallCanceller() *callCanceller { return &callCanceller{addresses: map[string]*addressState{}} }

// attach returns a context that is also cancelled when the member at address becomes unavailable. The
// caller must call the returned function after the call.
func (c *callCanceller) attach(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	s, ok := c.addresses[address]
	c.mu.Unlock()
	if !ok {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ctx, func() { cancel(context.Cause(s.ctx)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// setStates replaces the states of all addresses. Calls to addresses without a state are cancelled.
func (c *callCanceller) setStates(states map[string]blackboard.MemberState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.addresses {
		if _, ok := states[address]; !ok {
			s.cancelCalls(address)
			delete(c.addresses, address)
		}
	}
	for address, state := range states {
		s, ok := c.addresses[address]
		if ok && s.state == state {
			continue
		}
		if !ok || state == blackboard.MemberAlive {
			s = c.activeState(s)
			c.addresses[address] = s
		}
		s.setState(address, state)
	}
}

// activeState returns a state whose context is not cancelled: old, with its grace timer stopped, if
// its context is not cancelled yet, else a new one.
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
	s.cancel(fault.New(fault.PlatformUnavailable, "the node at %s is suspect, dead or has left", address).WithWork(fault.Unknown))
}

// WatchMembers cancels calls to members that are dead or removed from the board and, after
// suspectGrace, to members that are suspect or have left, until ctx ends. It returns nil. New calls
// to a member whose calls were cancelled fail at once until it is alive again. Calls to addresses
// without a member are not restricted.
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

// memberStates returns the state of each RPC address. After a restart of a VM two members can have
// the same address; then the more available state applies.
func memberStates(board *blackboard.Board) map[string]blackboard.MemberState {
	states := map[string]blackboard.MemberState{}
	for _, entry := range board.Members.Snapshot() {
		m := entry.Value
		old, ok := states[m.RPCAddress]
		if m.RPCAddress != "" && (!ok || m.State < old) {
			states[m.RPCAddress] = m.State
		}
	}
	return states
}
