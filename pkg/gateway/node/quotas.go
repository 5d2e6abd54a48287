package node

import (
	"context"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// quotaEnvTTL is the time for which the agent uses the same state of the other nodes. It changes with the leader only, and
	// a former leader lends nothing.
	quotaEnvTTL = 20 * time.Millisecond
	// quotaRetryInterval is the time between checks for queries without a reply while a request waits.
	quotaRetryInterval = 20 * time.Millisecond
)

// quotas guards a limits.Agent and connects it to the node. It implements forward.Quotas.
type quotas struct {
	node *Node

	mu    sync.Mutex
	agent *limits.Agent
	env   limits.Env
	envAt time.Time
}

func newQuotas(n *Node) *quotas {
	q := &quotas{node: n}
	s := n.opt.Settings
	q.agent = limits.NewAgent(limits.AgentOptions{
		Self: s.PeerAddress, Seeds: s.Seeds, Bounds: s.Quotas, FirstStart: s.FirstStart, Env: q.envLocked, Send: q.send, Note: q.note,
	}, clock.Now())
	return q
}

// run keeps the quotas until ctx ends.
func (q *quotas) run(ctx context.Context) {
	wait.Every(ctx, limits.AppointmentInterval, func(context.Context) {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.envAt = time.Time{}
		q.agent.Tick(clock.Now())
	})
}

// apply applies the quotas of a configuration.
func (q *quotas) apply(c *routes.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.agent.SetQuotas(c.Quotas(), c.Version, clock.Now())
}

// release gives up this node's parts of the quotas because it stops.
func (q *quotas) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.agent.Release(clock.Now())
}

func (q *quotas) receive(from string, m *limits.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.env.ActingLeader && m.FirstLeader == q.node.opt.Settings.PeerAddress {
		// This node may have become the leader a moment ago.
		q.envAt = time.Time{}
	}
	q.agent.Receive(from, m, clock.Now())
}

func (q *quotas) send(to string, m *limits.Message) {
	if err := q.node.link.SendQuota(to, m); err != nil {
		q.node.opt.Logger.Debug("quota message not sent", "to", to, "error", err.Error())
	}
}

func (q *quotas) envLocked() limits.Env {
	now := time.Now()
	if now.Sub(q.envAt) < quotaEnvTTL {
		return q.env
	}
	c := q.node.controller
	e := limits.Env{ActingLeader: c.ActingLeader(), HoldsLease: c.HoldsLease(), Leader: c.Leader()}
	if e.ActingLeader {
		e.LeaseVersion = c.LeaseVersion()
	}
	e.Heard, e.Standbys, e.Peers = q.node.link.QuotaEnv()
	q.env, q.envAt = e, now
	return e
}

func (q *quotas) note(n limits.Note) {
	if n.Holder != "" {
		event.QuotaPartHeld.Emit(q.node.opt.Logger, "part", n.Part, "holder", n.Holder)
		return
	}
	event.QuotaOwner.Emit(q.node.opt.Logger, "role", n.Role, "parts", n.Parts, "of", limits.Parts)
}

// Take implements forward.Quotas.
func (q *quotas) Take(ctx context.Context, workspace uint64, weight int64, maxWait time.Duration) *limits.Waiter {
	q.mu.Lock()
	w := q.agent.Acquire(workspace, weight, clock.Now())
	q.mu.Unlock()
	select {
	case <-w.Done:
		return w
	default:
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	retry := time.NewTicker(quotaRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-w.Done:
			return w
		case <-retry.C:
			q.mu.Lock()
			q.agent.Retry(clock.Now())
			q.mu.Unlock()
		case <-deadline.C:
			return q.cancel(w)
		case <-ctx.Done():
			return q.cancel(w)
		}
	}
}

// cancel ends the wait of a request, unless it has been decided on.
func (q *quotas) cancel(w *limits.Waiter) *limits.Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.agent.Cancel(w)
	return w
}

// Valid implements forward.Quotas.
func (q *quotas) Valid(c limits.Charge) bool { return c.Valid(clock.Now()) }

// Refund implements forward.Quotas.
func (q *quotas) Refund(c limits.Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.agent.Refund(c, clock.Now())
}

// lent returns the number of parts that are lent to this node as the leader, and of those that it grants from itself.
func (q *quotas) lent() (leader, interim int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.agent.Lent(clock.Now())
}
