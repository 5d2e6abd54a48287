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
	evidenceWriter = "discovery"
	// pollInterval is well below the 3 s in which a leaving backend must get no new work.
	pollInterval = time.Second
	// missingPolls is the number of lists in a row that must lack a VM before it counts as gone.
	// A single list can be incomplete.
	missingListThreshold = 3
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
	listedVMs       map[string]*listedVM
	leaving         *health.LeavingDetector
	nodeAddresses   []string
	listUnavailable bool
}

// listed is a VM and the number of lists in a row that lack it.
type listedVM struct {
	vm          vms.VM
	missedLists int
}

// New returns a controller.
func New(opt Options) *Controller {
	if opt.EngineRole == "" {
		opt.EngineRole = vms.RoleEngine
	}
	return &Controller{opt: opt, listedVMs: map[string]*listedVM{}, leaving: health.NewLeavingDetector(health.LeavingDetectorConfig{})}
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
		c.recordListFailure(ctx, err)
		return
	}
	c.listUnavailable = false
	c.ApplyList(now, list)
}

func (c *Controller) recordListFailure(ctx context.Context, err error) {
	if !c.listUnavailable && ctx.Err() == nil {
		event.VMListUnavailable.Log(ctx, c.opt.Logger, slog.Any("error", err))
	}
	c.listUnavailable = true
}

// Nodes returns the gossip addresses of the nodes on the last list.
func (c *Controller) NodeAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.nodeAddresses...)
}

// Apply takes over one VM list. An empty list is taken as a fault of the list, because a pool
// does not vanish as a whole.
func (c *Controller) ApplyList(now time.Time, list []vms.VM) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	c.nodeAddresses = c.nodeAddresses[:0]
	for _, vm := range list {
		present[vm.Name] = true
		c.listedVMs[vm.Name] = &listedVM{vm: vm}
		c.leaving.Observe(now, vm.Name, health.SourceVMList, vm.State == vms.Leaving)
		if vm.Role == vms.RoleNode && vm.State == vms.Live {
			c.nodeAddresses = append(c.nodeAddresses, vm.Address)
		}
	}
	for name, l := range c.listedVMs {
		if !present[name] {
			l.missedLists++
		}
		if l.missedLists >= missingListThreshold {
			c.removeVM(l)
			delete(c.listedVMs, name)
		}
	}
	c.publishAll(now)
}

// publishAll writes the VMs to the board, pool by pool: the list alone never takes out a whole pool.
func (c *Controller) publishAll(now time.Time) {
	pools := map[string][]string{}
	for name, l := range c.listedVMs {
		pool := l.vm.Role + "/" + l.vm.Service
		pools[pool] = append(pools[pool], name)
	}
	for _, names := range pools {
		slices.Sort(names)
		usable := c.leaving.Usable(now, names)
		for _, name := range names {
			c.publishVM(now, c.listedVMs[name], !slices.Contains(usable, name))
		}
	}
}

func (c *Controller) publishVM(now time.Time, l *listedVM, leaving bool) {
	evidence := blackboard.Evidence{Writer: evidenceWriter, Source: "vm list", ObservedAt: now}
	switch l.vm.Role {
	case c.opt.EngineRole:
		c.putEngine(l.vm, leaving, evidence)
	case vms.RoleService:
		key := blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address}
		c.putService(key, l.vm.DataCentre, leaving, evidence)
	}
}

func (c *Controller) putEngine(vm vms.VM, leaving bool, evidence blackboard.Evidence) {
	c.opt.Board.Engines.Update(vm.Name, evidence, func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
		entry := old.Value
		if !ok {
			entry = blackboard.EngineEntry{ID: vm.Name, Reachable: true}
		}
		entry.Address, entry.DataCentre, entry.Leaving = vm.Address, vm.DataCentre, leaving
		changed := !ok || entry.Address != old.Value.Address || entry.DataCentre != old.Value.DataCentre || leaving != old.Value.Leaving
		return entry, changed
	})
}

func (c *Controller) putService(key blackboard.ServiceKey, dataCentre string, leaving bool, evidence blackboard.Evidence) {
	c.opt.Board.Services.Update(key, evidence, func(old blackboard.Entry[blackboard.ServiceEntry], ok bool) (blackboard.ServiceEntry, bool) {
		entry := old.Value
		if !ok {
			entry.Reachable = true
		}
		entry.DataCentre, entry.Leaving = dataCentre, leaving
		return entry, !ok || entry != old.Value
	})
}

func (c *Controller) removeVM(l *listedVM) {
	c.leaving.Remove(l.vm.Name)
	switch l.vm.Role {
	case c.opt.EngineRole:
		c.opt.Board.Engines.Delete(l.vm.Name)
	case vms.RoleService:
		c.opt.Board.Services.Delete(blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address})
	}
}

func (c *Controller) applyStatic(now time.Time) {
	evidence := blackboard.Evidence{Writer: evidenceWriter, Source: "settings", ObservedAt: now}
	for _, vm := range c.opt.Static {
		if _, ok := c.opt.Board.Engines.Get(vm.Name); !ok {
			c.putEngine(vm, false, evidence)
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
	evidence := blackboard.Evidence{Writer: evidenceWriter, Source: "configuration", ObservedAt: now}
	declared := map[blackboard.ServiceKey]bool{}
	for i := range current.Services {
		c.addBackendServers(&current.Services[i], declared, evidence)
	}
	c.removeUndeclared(declared)
}

func (c *Controller) addBackendServers(service *config.Service, declared map[blackboard.ServiceKey]bool, evidence blackboard.Evidence) {
	for _, address := range service.BackendServers {
		key := blackboard.ServiceKey{Service: service.Name, Address: address}
		declared[key] = true
		if _, ok := c.opt.Board.Services.Get(key); !ok {
			c.putService(key, "", false, evidence)
		}
	}
}

// dropUndeclared removes the backend servers that neither the configuration nor the VM list has.
func (c *Controller) removeUndeclared(declared map[blackboard.ServiceKey]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[blackboard.ServiceKey]bool{}
	for _, l := range c.listedVMs {
		listed[blackboard.ServiceKey{Service: l.vm.Service, Address: l.vm.Address}] = true
	}
	for key := range c.opt.Board.Services.Snapshot() {
		if !declared[key] && !listed[key] {
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
		if !ok || s.Value.Incarnation == "" || old.Evidence.Writer != evidenceWriter && old.Evidence.ObservedAt.After(s.Evidence.ObservedAt) {
			return entry, false
		}
		entry.Known = true
		entry.State.Incarnation = s.Value.Incarnation
		entry.State.Model, entry.State.WeightsVersion = s.Value.Model, s.Value.WeightsVersion
		entry.State.Leaving = s.Value.Leaving
		same := old.Value.Known && old.Value.State.Incarnation == entry.State.Incarnation &&
			old.Value.State.Model == entry.State.Model && old.Value.State.WeightsVersion == entry.State.WeightsVersion &&
			old.Value.State.Leaving == entry.State.Leaving
		return entry, !same
	})
}
