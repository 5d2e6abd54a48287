// Package discovery records engines and backend servers on the blackboard. It takes them from the
// platform's VM list, the settings, the configuration, and the summaries that the owners of engines
// publish.
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
	// pollInterval is the interval at which the VM list is read. It is well below the 3 s within
	// which a leaving backend must no longer receive new requests.
	pollInterval = time.Second
	// missingListThreshold is the number of consecutive lists without a VM after which the VM is
	// removed. A single list can be incomplete.
	missingListThreshold = 3
)

// Options configures a Controller.
type Options struct {
	Board *blackboard.Board
	// VMs is the VM list. If nil, only the static engines and the backend servers of the
	// configuration are used.
	VMs vms.Lister
	// EngineRole is the role of engine VMs in the list. Default: vms.RoleEngine.
	EngineRole string
	// Static lists the engines of the settings.
	Static []vms.VM
	Logger *slog.Logger
	// Now is the clock. It is required.
	Now func() time.Time
}

// Controller keeps the blackboard's engines and backend servers up to date.
type Controller struct {
	opt Options
	mu  sync.Mutex
	// listedVMs holds the VMs of the recent lists by name.
	listedVMs     map[string]*listedVM
	leaving       *health.LeavingDetector
	nodeAddresses []string
	// listUnavailable is set while reads of the VM list fail, so that a failure is logged once.
	listUnavailable bool
	// listRead is set once the VM list has been read.
	listRead bool
}

// listedVM is a VM and the number of consecutive latest lists without it.
type listedVM struct {
	vm          vms.VM
	missedLists int
}

// New returns a controller with defaults for unset options.
func New(opt Options) *Controller {
	if opt.EngineRole == "" {
		opt.EngineRole = vms.RoleEngine
	}
	return &Controller{opt: opt, listedVMs: map[string]*listedVM{}, leaving: health.NewLeavingDetector(health.LeavingDetectorConfig{})}
}

// Run polls the VM list and applies changes of the configuration and of engine summaries until ctx
// ends. It returns nil.
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

// Poll applies the static engines and the configuration, and reads and applies the VM list once. If
// the list cannot be read, the VMs of earlier lists are kept.
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listRead = true
}

// ListRead reports whether the VM list has been read since the start, or none is configured.
func (c *Controller) ListRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listRead || c.opt.VMs == nil
}

func (c *Controller) recordListFailure(ctx context.Context, err error) {
	if !c.listUnavailable && ctx.Err() == nil {
		event.VMListUnavailable.Log(ctx, c.opt.Logger, slog.Any("error", err))
	}
	c.listUnavailable = true
}

// NodeAddresses returns the gossip addresses of the live nodes on the last list.
func (c *Controller) NodeAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.nodeAddresses...)
}

// ApplyList applies one VM list. An empty list is ignored: it is treated as an error of the platform,
// because not all VMs disappear at once.
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

// publishAll records the VMs on the blackboard. It evaluates each pool (the VMs of one role and
// service) as a whole, because the VM list alone must not mark all VMs of a pool as leaving.
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

// applyConfig adds the backend servers of the configuration and removes those that are no longer
// declared. Whether a backend server is leaving is taken from the VM list, if it is on the list.
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

// removeUndeclared removes the backend servers that neither the configuration nor the VM list contains.
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

// applySummaries records the engine states that the owners published in summaries.
func (c *Controller) applySummaries() {
	for id, summary := range c.opt.Board.Summaries.Snapshot() {
		c.applySummary(id, summary)
	}
}

// applySummary records the state of one engine. It ignores a summary without an incarnation, one of an
// engine that is not on the blackboard, and one that is older than an entry of another writer.
func (c *Controller) applySummary(id string, s blackboard.Entry[blackboard.SummaryEntry]) {
	c.opt.Board.Engines.Update(id, s.Evidence, func(old blackboard.Entry[blackboard.EngineEntry], ok bool) (blackboard.EngineEntry, bool) {
		entry := old.Value
		if !ok || s.Value.Incarnation == "" || old.Evidence.Writer != evidenceWriter && old.Evidence.ObservedAt.After(s.Evidence.ObservedAt) {
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
