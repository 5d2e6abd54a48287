package weights

import (
	"cmp"
	"context"
	"errors"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// runOrder orders one engine to load a version, waits for the outcome and records it.
func (c *Controller) runOrder(ctx context.Context, t Target, model string, version int, o *engineOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	start := time.Now()
	outcome := c.loadVersion(ctx, t, model, version, o)
	c.opt.Backends.SetLoading(t.ID, time.Time{})
	c.opt.NotifyPeers()
	event.OrderEnded.Emit(c.opt.Logger, "engine", t.ID, "model", model, "version", version, "outcome", outcome,
		"took_ms", time.Since(start).Milliseconds())
	result := "failed"
	if outcome == outcomeDone {
		result = "done"
	}
	c.opt.Metrics.Counter("orders", "result", result).Inc(1)
	c.opt.Metrics.Histogram("order_ms", "result", result).Update(time.Since(start).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	o.pending, o.deferUntil = false, time.Time{}
	if outcome != outcomeDone {
		o.acceptedOrdersKnown = false
		o.deferUntil = time.Now().Add(failedOrderDelay)
		o.retryAt = time.Now().Add(retryPause)
	}
}

// loadVersion sends the order and waits until the engine serves the version. It returns outcomeDone or
// the reason for the failure.
func (c *Controller) loadVersion(ctx context.Context, t Target, model string, version int, o *engineOrder) string {
	if !o.acceptedOrdersKnown {
		sentAt := clock.Now()
		state, err := c.engineState(ctx, t)
		if err != nil {
			return err.Error()
		}
		if state.Busy {
			return "engine is busy with another order"
		}
		o.acceptedOrders, o.acceptedOrdersKnown, o.started = state.AcceptedOrders, true, state.Started
		if loaded := state.Versions[model]; loaded > 0 {
			c.opt.Backends.ObserveVersion(t.ID, cmp.Or(state.Started, t.Started), model, loaded, sentAt)
		}
		if state.Versions[model] >= version {
			return outcomeDone
		}
	}
	// The engine refuses requests after it has accepted the order, so the other nodes are notified first.
	c.opt.Backends.SetLoading(t.ID, time.Now().Add(loadTimeout))
	wait.Pause(ctx, c.opt.NotifyPeers()+heartbeatDelay)
	reply, repeated, err := c.sendOrder(ctx, t, model, version, o.acceptedOrders)
	if err != nil {
		return err.Error()
	}
	switch reply {
	case AlreadyLoaded:
		c.opt.Backends.ObserveVersion(t.ID, t.Started, model, version, time.Time{})
		return outcomeDone
	case Accepted:
		o.acceptedOrders++
	case Misdirected:
		c.opt.Backends.Pause(t.ID, time.Now().Add(retryPause))
		return "another backend server has the address"
	case Conflict:
		if !repeated {
			return outcomeRefused
		}
		// The engine may have accepted one of the calls that got no response.
		o.acceptedOrdersKnown = false
	default:
		return outcomeRefused
	}
	for pause := firstPollDelay; wait.Pause(ctx, pause); pause = pollInterval {
		state, err := c.engineState(ctx, t)
		if err != nil {
			return err.Error()
		}
		if state.Started != o.started {
			return "engine has restarted"
		}
		if reply == Conflict && !state.Busy && state.Versions[model] < version {
			return outcomeRefused
		}
		if !state.Busy && state.Versions[model] >= version {
			c.opt.Backends.ObserveVersion(t.ID, cmp.Or(state.Started, t.Started), model, state.Versions[model], time.Time{})
			o.acceptedOrders, o.acceptedOrdersKnown = state.AcceptedOrders, true
			return outcomeDone
		}
	}
	return "order was not carried out in time"
}

func (c *Controller) engineState(ctx context.Context, t Target) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return c.opt.Engines.State(ctx, t)
}

// sendOrder sends an order if this node still holds the lease; otherwise it returns Fenced. It repeats an order that
// gets no response, which does no harm: the engine accepts one of the calls at most, because each expects the same
// number of accepted orders. repeated is set if an earlier call than the one of the reply may have been accepted.
func (c *Controller) sendOrder(ctx context.Context, t Target, model string, version int, orders int64) (reply Reply, repeated bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	for timeout := orderTimeout; ; timeout *= 2 {
		reply, err = c.callOrder(ctx, timeout, t, model, version, orders)
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return reply, repeated, err
		}
		repeated = true
	}
}

// callOrder makes one call of sendOrder.
func (c *Controller) callOrder(ctx context.Context, timeout time.Duration, t Target, model string, version int, orders int64) (Reply, error) {
	c.mu.Lock()
	fencingToken, held := c.lease.MaySend(time.Now())
	c.mu.Unlock()
	if !held {
		return Fenced, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.opt.Engines.Load(ctx, t, Order{Model: model, Version: version, Holder: c.opt.PeerAddress, FencingToken: fencingToken, ExpectedOrders: orders})
}
