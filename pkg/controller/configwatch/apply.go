package configwatch

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/wait"
)

// ConflictError reports that another configuration was applied since the version on which the
// document is based. Apply returns it wrapped in an error of kind fault.Conflict.
type ConflictError struct {
	// IfVersion is the version on which the document is based, Current the version that the
	// object API holds now.
	IfVersion uint64
	Current   uint64
	// Changes lists how the current configuration differs from the document. Each entry describes one
	// section, or the named items of one section that were added, removed or changed.
	Changes []string
}

// Error returns both versions and the differences.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was applied after version %d; compared with your document it has: %s",
		e.Current, e.IfVersion, strings.Join(e.Changes, "; "))
}

// Apply validates a document and stores it if the current version is ifVersion, and returns the new
// version. An ifVersion of 0 requires that no configuration is stored. Errors are of kind
// fault.InvalidConfiguration, fault.Conflict (with a ConflictError), or fault.PlatformUnavailable.
func Apply(ctx context.Context, store objects.Store, document []byte, ifVersion uint64) (uint64, error) {
	parsed, err := config.Parse(document)
	if err != nil {
		return 0, err
	}
	value := document
	var replaced []objects.Object
	if len(document) > maxUnsplitObjectBytes {
		if value, replaced, err = storeParts(ctx, store, document, ifVersion); err != nil {
			return 0, err
		}
	}
	version, err := store.Put(ctx, configsync.CurrentObjectName, value, ifVersion)
	switch {
	case err == nil:
		deleteParts(ctx, store, replaced)
		return version, nil
	case fault.Is(err, fault.Conflict):
		return 0, newConflictError(ctx, store, parsed, ifVersion, err)
	case fault.Is(err, fault.PlatformUnavailable) && fault.As(err).Work == fault.Unknown:
		return confirmStored(ctx, store, parsed, value, ifVersion, err)
	}
	return 0, err
}

// confirmStored reads the object back after the response to a write was lost. The write took effect
// if the object holds the submitted value in a version above ifVersion.
func confirmStored(ctx context.Context, store objects.Store, submitted *config.Config, value []byte, ifVersion uint64, putErr error) (uint64, error) {
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return 0, putErr
	}
	if current.Version > ifVersion && bytes.Equal(current.Value, value) {
		return current.Version, nil
	}
	if current.Version == ifVersion {
		return 0, fault.Wrap(putErr, fault.PlatformUnavailable, "the configuration was not stored")
	}
	return 0, newConflictError(ctx, store, submitted, ifVersion, putErr)
}

// newConflictError returns an error of kind fault.Conflict with a ConflictError that compares the
// submitted configuration with the stored one. It returns cause if the stored one cannot be read.
func newConflictError(ctx context.Context, store objects.Store, submitted *config.Config, ifVersion uint64, cause error) error {
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return cause
	}
	details := &ConflictError{IfVersion: ifVersion, Current: current.Version}
	document, err := ReadDocument(ctx, store, current.Value, nil)
	if err != nil {
		return cause
	}
	inForce, err := config.Parse(document)
	if err != nil {
		details.Changes = []string{"content that this release rejects as invalid"}
	} else {
		details.Changes = Diff(submitted, inForce)
	}
	return fault.Wrap(details, fault.Conflict, "another configuration was applied")
}

// maxListedNames is the number of names listed for one kind of change.
const maxListedNames = 20

// Diff lists how b differs from a: the models, services and workspaces that were added, removed or
// changed, and the other sections that changed.
func Diff(a, b *config.Config) []string {
	var changes []string
	changes = append(changes, diffNamed("models", a.Models, b.Models, func(m config.Model) string { return m.Name })...)
	changes = append(changes, diffNamed("services", a.Services, b.Services, func(s config.Service) string { return s.Name })...)
	changes = append(changes, diffNamed("workspaces", a.Workspaces, b.Workspaces, func(w config.Workspace) string { return w.Name })...)
	for _, section := range []struct {
		name    string
		changed bool
	}{
		{"policy", a.Policy != b.Policy},
		{"rollout", a.Rollout != b.Rollout},
		{"kv_store", a.KVStore != b.KVStore},
	} {
		if section.changed {
			changes = append(changes, section.name+" changed")
		}
	}
	if len(changes) == 0 {
		return []string{"the same content"}
	}
	return changes
}

func diffNamed[T any](section string, a, b []T, name func(T) string) []string {
	before := byName(a, name)
	after := byName(b, name)
	var added, removed, changed []string
	for n, item := range after {
		old, ok := before[n]
		if !ok {
			added = append(added, n)
		} else if !reflect.DeepEqual(old, item) {
			changed = append(changed, n)
		}
	}
	for n := range before {
		if _, ok := after[n]; !ok {
			removed = append(removed, n)
		}
	}
	return slices.Concat(listNames(section, "added", added), listNames(section, "removed", removed), listNames(section, "changed", changed))
}

func byName[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

func listNames(section, change string, names []string) []string {
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	rest := ""
	if len(names) > maxListedNames {
		rest = fmt.Sprintf(" and %d more", len(names)-maxListedNames)
		names = names[:maxListedNames]
	}
	return []string{fmt.Sprintf("%s %s: %s%s", section, change, strings.Join(names, ", "), rest)}
}

const (
	// maxConcurrentQueries bounds the calls that QueryVersions has in flight.
	maxConcurrentQueries = 16
	queryTimeout         = time.Second
	// enforcementPollInterval is the pause of WaitEnforced between two rounds of queries.
	enforcementPollInterval = 500 * time.Millisecond
)

// QueryVersions calls the alive and suspect members whose recorded configuration version is lower
// than version and records the versions that they return on the blackboard. It returns the sorted
// names of the members that have a lower version in force or did not respond.
func (c *Controller) QueryVersions(ctx context.Context, version uint64) []string {
	var mu sync.Mutex
	var lagging []string
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentQueries)
	for _, m := range c.members() {
		if m.State != blackboard.MemberAlive && m.State != blackboard.MemberSuspect {
			continue
		}
		if m.Name == c.options.Name {
			m.ConfigVersion = c.version()
		}
		if m.ConfigVersion >= version {
			continue
		}
		group.Go(func() error {
			if m.Name == c.options.Name || c.queryVersion(ctx, m) < version {
				mu.Lock()
				defer mu.Unlock()
				lagging = append(lagging, m.Name)
			}
			return nil
		})
	}
	// The functions of the group return no errors: a member that does not respond counts as lagging.
	_ = group.Wait()
	slices.Sort(lagging)
	return lagging
}

// queryVersion returns the version in force on a member, or 0 if the member does not respond.
func (c *Controller) queryVersion(ctx context.Context, m blackboard.MemberEntry) uint64 {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	// With the highest possible version in the request, the reply omits the document.
	reply, err := c.options.Peers(m.RPCAddress).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: math.MaxUint64})
	if err != nil {
		return 0
	}
	evidence := blackboard.Evidence{Writer: "configwatch", Source: "call", ObservedAt: c.options.Now()}
	c.options.Board.Members.Update(m.Name, evidence, func(old blackboard.Entry[blackboard.MemberEntry], ok bool) (blackboard.MemberEntry, bool) {
		entry := old.Value
		newer := ok && reply.Version > entry.ConfigVersion
		entry.ConfigVersion = max(entry.ConfigVersion, reply.Version)
		return entry, newer
	})
	return reply.Version
}

// WaitEnforced waits until all live members have version or a higher one in force, or until ctx
// ends. It returns the names of the members that lag at that time.
func (c *Controller) WaitEnforced(ctx context.Context, version uint64) (lagging []string) {
	for {
		lagging = c.QueryVersions(ctx, version)
		if len(lagging) == 0 || !wait.Pause(ctx, enforcementPollInterval) {
			return lagging
		}
	}
}
