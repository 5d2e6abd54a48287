// Package discovery writes the engines and backend servers that the platform and the owners of
// engines report to the blackboard.
package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/health"
	"cassiawall.example/cassiawall/pkg/vms"
)

const (
	writer = "discovery"
	// pollInterval is well below the 3 s in which a leaving backend must get no new work.
	pollInterval = time.Second
	// missingPolls is the number of lists in a row that must lack a VM before it counts as gone.
	// A single list can be incomplete.
	missingPolls = 3
)

// Options configures a Controller.
type Options struct {
	Board *blackboard.Board
	// VMs may be nil: only the static engines and the configuration's backend servers are used.
	VMs vms.Lister
	// EngineRole is the role of engine VMs in the list. Default vms.RoleEngine.
	EngineRole string
	// Static are engines that are known by settings.
	Static []vms.VM
	Logger *slog.Logger
	Now    func() time.Time
}

// Controller keeps the board's engines and backend servers in step with the platform.
type Controller struct {
	opt Options
	mu  sync.Mutex
	// seen holds the VMs of the list by name.
	seen    map[string]*listed
	leaving *health.LeavingDetector
	nodes   []string
	down    bool
}

// listed is a VM and the number of lists in a row that lack it.
type listed struct {
	vm      vms.VM
	missing int
}

// New returns a controller.
func New(opt Options) *Controller {
	if opt.EngineRole == "" {
		opt.EngineRole = vms.RoleEngine
	}
	return &Controller{opt: opt, seen: map[string]*listed{}, leaving: health.NewLeavingDetector(health.LeavingDetectorConfig{})}
}

// Run polls the VM list and follows the board's summaries until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	summaries, cancel := c.opt.Board.Summaries.Subscribe()
	defer cancel()
	configs, cancelConfigs := c.opt.Board.Config.Subscribe()
	defer cancelConfigs()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	c.Poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Poll(ctx)
		case <-configs:
			c.applyConfig(c.opt.Now())
		case <-summaries:
			c.applySummaries()
		}
	}
}

// Poll reads the VM list once and applies it.
func (c *Controller) Poll(ctx context.Context) {
	now := c.opt.Now()
	c.applyStatic(now)
	c.applyConfig(now)
	if c.opt.VMs == nil {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	list, err := c.opt.VMs.List(listCtx)
	if err != nil {
		c.logDown(ctx, err)
		return
	}
	c.down = false
	c.Apply(now, list)
}

func (c *Controller) logDown(ctx context.Context, err error) {
	if !c.down && ctx.Err() == nil {
		event.VMListUnavailable.Log(ctx, c.opt.Logger, slog.Any("error", err))
	}
	c.down = true
}

// Nodes returns the gossip addresses of the nodes on the last list.
func (c *Controller) Nodes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.nodes...)
}

// Apply takes over one VM list. An empty list is taken as a fault of the list, because a pool
// does not vanish as a whole.
func (c *Controller) Apply(now time.Time, list []vms.VM) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	c.nodes = c.nodes[:0]
	for _, vm := range list {
		present[vm.Name] = true
		c.seen[vm.Name] = &listed{vm: vm}
		c.leaving.Observe(now, vm.Name, health.SourceVMList, vm.State == vms.Leaving)
		if vm.Role == vms.RoleNode && vm.State == vms.Live {
			c.nodes = append(c.nodes, vm.Address)
		}
	}
	for name, l := range c.seen {
		if !present[name] {
			l.missing++
		}
		if l.missing >= missingPolls {
			c.forget(l)
			delete(c.seen, name)
		}
	}
	c.publishAll(now)
}

// publishAll writes the VMs to the board, pool by pool: the list alone never takes out a whole pool.
func (c *Controller) publishAll(now time.Time) {
	pools := map[string][]string{}
	for name, l := range c.seen {
		pool := l.vm.Role + "/" + l.vm.Service
		pools[pool] = append(pools[pool], name)
	}
	for _, ids := range pools {
		slices.Sort(ids)
		usable := c.leaving.Usable(now, ids)
		for _, id := range ids {
			c.publish(now, c.seen[id], !slices.Contains(usable, id))
		}
	}
}

func (c *Controller) publish(now time.Time, l *listed, leaving bool) {
	ev := blackboard.Evidence{Writer: writer, Source: "vm list", ObservedAt: now}
	switch l.vm.Role {
	case c.opt.EngineRole:
		c.putEngine(l.vm, leaving, ev)
	case vms.RoleService:
		key := blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address}
		c.putService(key, l.vm.DataCentre, leaving, ev)
	}
}

func (c *Controller) putEngine(vm vms.VM, leaving bool, ev blackboard.Evidence) {
	c.opt.Board.Engines.Update(vm.Name, ev, func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
		entry := old.Value
		if !ok {
			entry = blackboard.EngineEntry{ID: vm.Name, Reachable: true}
		}
		entry.Address, entry.DataCentre, entry.Leaving = vm.Address, vm.DataCentre, leaving
		changed := !ok || entry.Address != old.Value.Address || entry.DataCentre != old.Value.DataCentre || leaving != old.Value.Leaving
		return entry, changed
	})
}

func (c *Controller) putService(key blackboard.ServiceKey, dataCentre string, leaving bool, ev blackboard.Evidence) {
	c.opt.Board.Services.Update(key, ev, func(old blackboard.Entry[blackboard.ServiceEntry], ok bool) (blackboard.ServiceEntry, bool) {
		entry := old.Value
		if !ok {
			entry.Reachable = true
		}
		entry.DataCentre, entry.Leaving = dataCentre, leaving
		return entry, !ok || entry != old.Value
	})
}

func (c *Controller) forget(l *listed) {
	c.leaving.Remove(l.vm.Name)
	switch l.vm.Role {
	case c.opt.EngineRole:
		c.opt.Board.Engines.Delete(l.vm.Name)
	case vms.RoleService:
		c.opt.Board.Services.Delete(blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address})
	}
}

func (c *Controller) applyStatic(now time.Time) {
	ev := blackboard.Evidence{Writer: writer, Source: "settings", ObservedAt: now}
	for _, vm := range c.opt.Static {
		if _, ok := c.opt.Board.Engines.Get(vm.Name); !ok {
			c.putEngine(vm, false, ev)
		}
	}
}

// applyConfig adds the backend servers that the configuration names. The VM list marks them as
// leaving if it knows them.
func (c *Controller) applyConfig(now time.Time) {
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return
	}
	ev := blackboard.Evidence{Writer: writer, Source: "configuration", ObservedAt: now}
	declared := map[blackboard.ServiceKey]bool{}
	for i := range current.Services {
		c.addBackendServers(&current.Services[i], declared, ev)
	}
	c.dropUndeclared(declared)
}

func (c *Controller) addBackendServers(s *config.Service, declared map[blackboard.ServiceKey]bool, ev blackboard.Evidence) {
	for _, address := range s.BackendServers {
		key := blackboard.ServiceKey{Service: s.Name, Address: address}
		declared[key] = true
		if _, ok := c.opt.Board.Services.Get(key); !ok {
			c.putService(key, "", false, ev)
		}
	}
}

// dropUndeclared removes the backend servers that neither the configuration nor the VM list has.
func (c *Controller) dropUndeclared(declared map[blackboard.ServiceKey]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[blackboard.ServiceKey]bool{}
	for _, l := range c.seen {
		known[blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address}] = true
	}
	for key := range c.opt.Board.Services.Snapshot() {
		if !declared[key] && !known[key] {
			c.opt.Board.Services.Delete(key)
		}
	}
}

// applySummaries takes over what owners say about engines that this node does not own.
func (c *Controller) applySummaries() {
	for id, summary := range c.opt.Board.Summaries.Snapshot() {
		c.applySummary(id, summary)
	}
}

func (c *Controller) applySummary(id string, s blackboard.Entry[blackboard.SummaryEntry]) {
	c.opt.Board.Engines.Update(id, s.Evidence, func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
		entry := old.Value
		if !ok || s.Value.Incarnation == "" || old.Evidence.Writer != writer && old.Evidence.ObservedAt.After(s.Evidence.ObservedAt) {
			return entry, false
		}
		entry.HasState = true
		entry.State.Incarnation = s.Value.Incarnation
		entry.State.Model, entry.State.WeightsVersion = s.Value.Model, s.Value.WeightsVersion
		entry.State.Leaving = s.Value.Leaving
		same := old.Value.HasState && old.Value.State.Incarnation == entry.State.Incarnation &&
			old.Value.State.Model == entry.State.Model && old.Value.State.WeightsVersion == entry.State.WeightsVersion &&
			old.Value.State.Leaving == entry.State.Leaving
		return entry, !same
	})
}
