package node

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/weights"
)

// Decoder decodes the objects of the platform's store.
type Decoder interface {
	// Config decodes the configuration. ok is false if e is another object of the same kind.
	Config(e mirror.Entry) (c *routes.Config, ok bool, err error)
	// Backend decodes the entry of a backend server.
	Backend(e mirror.Entry) (backends.Backend, error)
	// DesiredVersion decodes the weight version that the operator has set for a model.
	DesiredVersion(e mirror.Entry) (backends.Model, error)
}

// configTarget holds the configuration with the highest version.
type configTarget struct {
	decoder Decoder
	logger  *slog.Logger
	// onAccept, unless nil, is called with each new configuration.
	onAccept func(c *routes.Config)
	// current is nil before the first configuration.
	current atomic.Pointer[routes.Config]
}

// Reset implements mirror.Target. The current configuration stays in force if entries has none.
func (t *configTarget) Reset(entries []mirror.Entry, _ mirror.Freshness) {
	for _, e := range entries {
		t.acceptIfNewer(e)
	}
}

// Apply implements mirror.Target. The current configuration stays in force after its deletion.
func (t *configTarget) Apply(c mirror.Change, _ mirror.Freshness) {
	if c.Deleted {
		event.ConfigStale.Emit(t.logger, "name", c.Name)
		return
	}
	t.acceptIfNewer(c.Entry)
}

// acceptIfNewer decodes a configuration and puts it in force if its version is higher than the current one.
func (t *configTarget) acceptIfNewer(e mirror.Entry) {
	c, ok, err := t.decoder.Config(e)
	switch {
	case err != nil:
		event.ConfigInvalid.Emit(t.logger, "name", e.Name, "revision", e.Revision, "error", err.Error())
		return
	case !ok:
		return
	}
	old := t.current.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	c.AppliedAt = time.Now()
	t.current.Store(c)
	if t.onAccept != nil {
		t.onAccept(c)
	}
	event.ConfigAccepted.Emit(t.logger, "version", c.Version, "revision", e.Revision, "routes", len(c.Routes),
		"tenants", len(c.Workspaces))
}

// backendTarget applies the entries of backend servers to the registry.
type backendTarget struct {
	decoder  Decoder
	logger   *slog.Logger
	registry *backends.Registry
	// maxRelayedDoubt is the time for which servers may get requests whose entries are missing after an interruption that
	// only the relaying node has seen.
	maxRelayedDoubt time.Duration
}

// Reset implements mirror.Target.
func (t *backendTarget) Reset(entries []mirror.Entry, freshness mirror.Freshness) {
	missing := t.registry.ListedIDs()
	for _, e := range entries {
		t.put(e)
		missing = slices.DeleteFunc(missing, func(id string) bool { return id == e.Name })
	}
	t.remove(missing, freshness)
}

// Apply implements mirror.Target.
func (t *backendTarget) Apply(c mirror.Change, freshness mirror.Freshness) {
	if c.Deleted {
		t.remove([]string{c.Name}, freshness)
		return
	}
	t.put(c.Entry)
}

// put adds or updates a backend server. A server whose entry is malformed is removed.
func (t *backendTarget) put(e mirror.Entry) {
	b, err := t.decoder.Backend(e)
	if err != nil {
		event.EntrySkipped.Emit(t.logger, "backend", e.Name, "revision", e.Revision, "error", err.Error())
		t.registry.Remove(e.Name)
		return
	}
	b.Revision = e.Revision
	if t.registry.Put(b) {
		event.BackendListed.Emit(t.logger, "backend", b.ID, "service", b.Service, "address", b.Address, "leaving", b.Leaving,
			"models", b.Models, "revision", e.Revision)
	}
}

// remove removes backend servers. After an interruption of the store it only marks them as suspect, because
// their entries may reappear.
func (t *backendTarget) remove(ids []string, freshness mirror.Freshness) {
	if len(ids) == 0 {
		return
	}
	if freshness.Interrupted {
		now, until := time.Now(), time.Time{}
		if freshness.SeenByRelayOnly {
			until = now.Add(t.maxRelayedDoubt)
		}
		t.registry.MarkSuspectUntil(ids, now, until)
		event.BackendsInDoubt.Emit(t.logger, "backends", ids)
		return
	}
	for _, id := range ids {
		if t.registry.Remove(id) {
			event.BackendGone.Emit(t.logger, "backend", id)
		}
	}
}

// versionTarget adds the weight versions that the operator sets to versions.
type versionTarget struct {
	decoder  Decoder
	logger   *slog.Logger
	versions *weights.Versions
}

// Reset implements mirror.Target.
func (t *versionTarget) Reset(entries []mirror.Entry, freshness mirror.Freshness) {
	for _, e := range entries {
		t.add(e, freshness)
	}
}

// Apply implements mirror.Target.
func (t *versionTarget) Apply(c mirror.Change, freshness mirror.Freshness) {
	if !c.Deleted {
		t.add(c.Entry, freshness)
	}
}

// add adds a version that was stored at freshness.CurrentAt or later.
func (t *versionTarget) add(e mirror.Entry, freshness mirror.Freshness) {
	v, err := t.decoder.DesiredVersion(e)
	if err != nil {
		event.EntrySkipped.Emit(t.logger, "name", e.Name, "revision", e.Revision, "error", err.Error())
		return
	}
	now := clock.Now()
	maxDelay := freshness.MaxDelay(now)
	if t.versions.Add(v.Name, v.Version, maxDelay, now) {
		event.WeightsNamed.Emit(t.logger, "model", v.Name, "version", v.Version, "revision", e.Revision, "max_delay_ms", maxDelay.Milliseconds(),
			"confirmed_by", freshness.ConfirmedBy)
	}
}
