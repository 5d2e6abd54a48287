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

// ConflictError says that another configuration was applied in the meantime. Apply returns it
// within an error of kind fault.Conflict.
type ConflictError struct {
	// IfVersion is the version that the document was based on, Current the one in the object
	// API now.
	IfVersion uint64
	Current   uint64
	// Changes lists how the current configuration differs from the document, one section or
	// named item each.
	Changes []string
}

// Error returns the versions and the differences.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was applied after version %d; compared with your document it has: %s",
		e.Current, e.IfVersion, strings.Join(e.Changes, "; "))
}

// Apply validates a document and stores it if the current version is ifVersion; 0 means that
// there must be none. It returns the new version. Errors are of kind
// fault.InvalidConfiguration, fault.Conflict with a ConflictError, or fault.PlatformUnavailable.
func Apply(ctx context.Context, store objects.Store, document []byte, ifVersion uint64) (uint64, error) {
	parsed, err := config.Parse(document)
	if err != nil {
		return 0, err
	}
	value := document
	var replaced []objects.Object
	if len(document) > storeWholeBytes {
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
		return 0, conflict(ctx, store, parsed, ifVersion, err)
	case fault.Is(err, fault.PlatformUnavailable) && fault.As(err).Work == fault.Unknown:
		return confirm(ctx, store, parsed, value, ifVersion, err)
	}
	return 0, err
}

// confirm reads back after a lost answer: the write took effect if the object holds the document
// in a newer version.
func confirm(ctx context.Context, store objects.Store, mine *config.Config, value []byte, ifVersion uint64, lost error) (uint64, error) {
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return 0, lost
	}
	if current.Version > ifVersion && bytes.Equal(current.Value, value) {
		return current.Version, nil
	}
	if current.Version == ifVersion {
		return 0, fault.Wrap(lost, fault.PlatformUnavailable, "the configuration was not stored")
	}
	return 0, conflict(ctx, store, mine, ifVersion, lost)
}

func conflict(ctx context.Context, store objects.Store, mine *config.Config, ifVersion uint64, cause error) error {
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	if err != nil {
		return cause
	}
	details := &ConflictError{IfVersion: ifVersion, Current: current.Version}
	document, err := ReadDocument(ctx, store, current.Value, nil)
	if err != nil {
		return cause
	}
	theirs, err := config.Parse(document)
	if err != nil {
		details.Changes = []string{"content that this release does not accept"}
	} else {
		details.Changes = Diff(mine, theirs)
	}
	return fault.Wrap(details, fault.Conflict, "another configuration was applied")
}

// maxNamed bounds the names listed for one kind of change.
const maxNamed = 20

// Diff lists how b differs from a: named items that were added, removed or changed, and other
// sections that changed.
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

func listNames(section, what string, names []string) []string {
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	rest := ""
	if len(names) > maxNamed {
		rest = fmt.Sprintf(" and %d more", len(names)-maxNamed)
		names = names[:maxNamed]
	}
	return []string{fmt.Sprintf("%s %s: %s%s", section, what, strings.Join(names, ", "), rest)}
}

const (
	// askAtOnce bounds the calls that AskVersions has open.
	askAtOnce  = 16
	askTimeout = time.Second
	// enforcedInterval is the pause between two rounds of questions.
	enforcedInterval = 500 * time.Millisecond
)

// AskVersions asks the live members whose known version is lower than version and writes what
// they answer into the blackboard. It returns the names of those that do not enforce version or
// did not answer.
func (c *Controller) AskVersions(ctx context.Context, version uint64) []string {
	var mu sync.Mutex
	var behind []string
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askAtOnce)
	for _, m := range c.members() {
		if m.State != blackboard.MemberAlive && m.State != blackboard.MemberSuspect {
			continue
		}
		if m.Name == c.o.Name {
			m.ConfigVersion = c.version()
		}
		if m.ConfigVersion >= version {
			continue
		}
		group.Go(func() error {
			if m.Name == c.o.Name || c.askVersion(ctx, m) < version {
				mu.Lock()
				defer mu.Unlock()
				behind = append(behind, m.Name)
			}
			return nil
		})
	}
	// The calls return no errors; a member that does not answer is behind.
	_ = group.Wait()
	slices.Sort(behind)
	return behind
}

// askVersion returns the version in force on a member, or 0 if it does not answer.
func (c *Controller) askVersion(ctx context.Context, m blackboard.MemberEntry) uint64 {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	// The highest possible version keeps the reply free of the document.
	reply, err := c.o.Peers(m.RPCAddress).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: math.MaxUint64})
	if err != nil {
		return 0
	}
	evidence := blackboard.Evidence{Writer: "configwatch", Source: "call", ObservedAt: c.o.Now()}
	c.o.Board.Members.Update(m.Name, evidence, func(old blackboard.Entry[blackboard.MemberEntry], ok bool) (blackboard.MemberEntry, bool) {
		entry := old.Value
		newer := ok && reply.Version > entry.ConfigVersion
		entry.ConfigVersion = max(entry.ConfigVersion, reply.Version)
		return entry, newer
	})
	return reply.Version
}

// WaitEnforced waits until all live members enforce version or ctx ends. It returns the members
// that do not.
func (c *Controller) WaitEnforced(ctx context.Context, version uint64) (behind []string) {
	for {
		behind = c.AskVersions(ctx, version)
		if len(behind) == 0 || !wait.Pause(ctx, enforcedInterval) {
			return behind
		}
	}
}
