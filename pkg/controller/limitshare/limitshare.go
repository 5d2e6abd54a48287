// Package limitshare connects a limits.Limiter with the blackboard. It sets the workspaces' budgets
// from the configuration, writes this node's demand for each workspace to the board, from which it is
// gossiped, and applies the shares of the limits that are assigned to this node in return.
package limitshare

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/limits"
)

const (
	// stepInterval is the time between steps, and so the delay with which a newly active workspace
	// is reported.
	stepInterval = 250 * time.Millisecond
	// reportsPerStep bounds the network traffic of a node: at 8 reports/s, the reports and their
	// replies take about 2 KB/s.
	reportsPerStep = 2
)

// Options configures a Controller.
type Options struct {
	// Name is this node's name in the membership.
	Name    string
	Board   *blackboard.Board
	Limiter *limits.Limiter
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Controller keeps a limiter in sync with the board. It is not safe for concurrent use.
type Controller struct {
	options        Options
	configVersion  uint64
	membersVersion uint64
	sharesVersion  uint64
	// reportedAt is the time at which each workspace's demand was last written to the board.
	reportedAt map[string]time.Time
}

// New returns a controller. Run or repeated calls of Step drive it.
func New(o Options) *Controller {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Controller{options: o, reportedAt: map[string]time.Time{}}
}

// Run calls Step every 250 ms until ctx ends, and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		c.Step(c.options.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step updates the limiter from the board and writes the demands that are due at now.
func (c *Controller) Step(now time.Time) {
	c.setBudgets()
	c.setLiveNodes()
	c.applyShares()
	c.writeDemands(now)
}

func (c *Controller) setBudgets() {
	entry, ok := c.options.Board.Config.Get(blackboard.ConfigKey)
	if !ok || entry.Value.Config == nil || entry.Value.Version == c.configVersion {
		return
	}
	c.configVersion = entry.Value.Version
	c.options.Limiter.SetBudgets(limits.FromConfig(entry.Value.Config))
}

// setLiveNodes sets the number of nodes among which the limiter divides a budget without a current
// share. Suspect members count as live.
func (c *Controller) setLiveNodes() {
	version := c.options.Board.Members.Version()
	if version == c.membersVersion {
		return
	}
	c.membersVersion = version
	live := 0
	for _, m := range c.options.Board.Members.Snapshot() {
		if m.Value.State == blackboard.MemberAlive || m.Value.State == blackboard.MemberSuspect {
			live++
		}
	}
	c.options.Limiter.SetLiveNodes(live)
}

func (c *Controller) applyShares() {
	version := c.options.Board.Shares.Version()
	if version == c.sharesVersion {
		return
	}
	for workspace, s := range c.options.Board.Shares.Snapshot() {
		if s.Version <= c.sharesVersion {
			continue
		}
		c.options.Limiter.SetShare(s.Evidence.ObservedAt, workspace, limits.Share{
			Requests:    s.Value.RequestsPerSecond,
			Tokens:      s.Value.TokensPerSecond,
			Concurrency: s.Value.Concurrency,
		})
	}
	c.sharesVersion = version
}

// writeDemands writes the demands that are due, each at most once in limits.ReportInterval, and
// removes those of workspaces that are no longer active. New workspaces are written first, then those
// that were last written the longest time ago.
func (c *Controller) writeDemands(now time.Time) {
	active := map[string]bool{}
	var due []limits.Report
	for _, r := range c.options.Limiter.Reports(now) {
		active[r.Workspace] = true
		if now.Sub(c.reportedAt[r.Workspace]) >= limits.ReportInterval {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b limits.Report) int {
		return c.reportedAt[a.Workspace].Compare(c.reportedAt[b.Workspace])
	})
	for _, r := range due[:min(len(due), reportsPerStep)] {
		c.reportedAt[r.Workspace] = now
		key := blackboard.DemandKey{Node: c.options.Name, Workspace: r.Workspace}
		c.options.Board.Demands.Put(key, blackboard.DemandEntry{
			RequestsPerSecond:  r.Demand.Requests,
			TokensPerSecond:    r.Demand.Tokens,
			AdmittedRequests:   r.Demand.AdmittedRequests,
			AdmittedTokens:     r.Demand.AdmittedTokens,
			Running:            r.Demand.Running,
			DesiredConcurrency: r.Demand.DesiredConcurrency,
		}, blackboard.Evidence{Writer: "limitshare", Source: "limiter", ObservedAt: now})
	}
	for workspace := range c.reportedAt {
		if !active[workspace] {
			delete(c.reportedAt, workspace)
			c.options.Board.Demands.Delete(blackboard.DemandKey{Node: c.options.Name, Workspace: workspace})
			c.options.Board.Shares.Delete(workspace)
		}
	}
}
