// Package limitshare connects a limits.Limiter with the blackboard: it sets budgets from the
// configuration, writes this node's demands for gossip and applies the shares that come back.
package limitshare

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/limits"
)

const (
	// stepInterval bounds the time until the first demand of a workspace is reported.
	stepInterval = 250 * time.Millisecond
	// reportsPerStep bounds the traffic: 8 workspaces/s with their replies take about 2 KB/s.
	reportsPerStep = 2
)

// Options configure a Controller.
type Options struct {
	// Name is this node's name.
	Name    string
	Board   *blackboard.Board
	Limiter *limits.Limiter
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Controller keeps a limiter up to date.
type Controller struct {
	o       Options
	config  uint64
	members uint64
	shares  uint64
	// reported holds when each workspace's demand was last written.
	reported map[string]time.Time
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Controller{o: o, reported: map[string]time.Time{}}
}

// Run works until ctx ends and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		c.Step(c.o.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step does the work that is due at now.
func (c *Controller) Step(now time.Time) {
	c.setBudgets()
	c.setLive()
	c.applyShares()
	c.writeDemands(now)
}

func (c *Controller) setBudgets() {
	entry, ok := c.o.Board.Config.Get(blackboard.ConfigKey)
	if !ok || entry.Value.Config == nil || entry.Value.Version == c.config {
		return
	}
	c.config = entry.Value.Version
	c.o.Limiter.SetBudgets(limits.FromConfig(entry.Value.Config))
}

func (c *Controller) setLive() {
	version := c.o.Board.Members.Version()
	if version == c.members {
		return
	}
	c.members = version
	live := 0
	for _, m := range c.o.Board.Members.Snapshot() {
		if m.Value.State == blackboard.MemberAlive || m.Value.State == blackboard.MemberSuspect {
			live++
		}
	}
	c.o.Limiter.SetLiveNodes(live)
}

func (c *Controller) applyShares() {
	version := c.o.Board.Shares.Version()
	if version == c.shares {
		return
	}
	for workspace, s := range c.o.Board.Shares.Snapshot() {
		if s.Version <= c.shares {
			continue
		}
		c.o.Limiter.SetShare(s.Evidence.ObservedAt, workspace, limits.Share{
			Requests:    s.Value.RequestsPerSecond,
			Tokens:      s.Value.TokensPerSecond,
			Concurrency: s.Value.Concurrency,
		})
	}
	c.shares = version
}

// writeDemands writes the demands that are due, at most once in a report interval each, and removes
// those that are gone. New ones come first, then those that waited longest.
func (c *Controller) writeDemands(now time.Time) {
	wanted := map[string]bool{}
	var due []limits.Report
	for _, r := range c.o.Limiter.Reports(now) {
		wanted[r.Workspace] = true
		if now.Sub(c.reported[r.Workspace]) >= limits.ReportInterval {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b limits.Report) int {
		return c.reported[a.Workspace].Compare(c.reported[b.Workspace])
	})
	for _, r := range due[:min(len(due), reportsPerStep)] {
		c.reported[r.Workspace] = now
		key := blackboard.DemandKey{Node: c.o.Name, Workspace: r.Workspace}
		c.o.Board.Demands.Put(key, blackboard.DemandEntry{
			RequestsPerSecond: r.Demand.Requests,
			TokensPerSecond:   r.Demand.Tokens,
			AdmittedRequests:  r.Demand.AdmittedRequests,
			AdmittedTokens:    r.Demand.AdmittedTokens,
			Running:           r.Demand.Running,
			Wanted:            r.Demand.DesiredConcurrency,
		}, blackboard.Evidence{Writer: "limitshare", Source: "limiter", ObservedAt: now})
	}
	for workspace := range c.reported {
		if !wanted[workspace] {
			delete(c.reported, workspace)
			c.o.Board.Demands.Delete(blackboard.DemandKey{Node: c.o.Name, Workspace: workspace})
			c.o.Board.Shares.Delete(workspace)
		}
	}
}
