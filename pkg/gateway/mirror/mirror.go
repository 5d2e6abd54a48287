// Package mirror keeps a node's copy of one kind of objects in the platform's store up to date by a
// list and a chain of watches. A node that the store does not serve takes the copy of another node.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/wait"
)

// Entry is an object of the store.
type Entry struct {
	Name     string
	Revision int64
	// Value is the object's content as its writer encoded it.
	Value []byte
}

// Change is one event of a watch.
type Change struct {
	Entry
	Deleted bool
}

// Source is the store as a mirror sees it.
type Source interface {
	// List returns all objects of a kind and the revision that a watch goes on from.
	List(ctx context.Context, kind string) ([]Entry, int64, error)
	// Watch returns the changes after a revision, or none after about wait, and the revision to
	// go on from. ErrHistoryGone means that the changes are no longer known.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}

// ErrHistoryGone is returned by a Source whose history does not reach back far enough.
var ErrHistoryGone = errors.New("the store no longer holds the changes after this revision; list the objects again")

// Target receives a mirror's content. Its methods are called one at a time.
type Target interface {
	// Reset replaces the whole content. Interrupted is set if the content may lack entries for a
	// moment or be late: the store was away until shortly before, or another node sent it.
	Reset(entries []Entry, interrupted bool)
	Apply(c Change, interrupted bool)
}

const (
	// watchWait is the longest wait of one watch. The connection's keep-alive finds silent
	// connections, so a long wait only saves calls.
	watchWait = 20 * time.Second
	// watchSlack is added to watchWait for the call's own timeout.
	watchSlack = 2 * time.Second
	// listTimeout bounds a list. It covers a store that answers fifty times slower than usual.
	listTimeout = 1500 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 80 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// recoveryTime is the time after the store's return in which entries that lapsed while it was
	// away come back.
	recoveryTime = 2500 * time.Millisecond
)

// Options configures a Mirror.
type Options struct {
	Kind   string
	Source Source
	Target Target
	Logger *slog.Logger
	// Pause is the least time between the ends of two watches. It lets one call return several
	// changes.
	Pause time.Duration
}

// Mirror copies one kind of objects to a target. Run may be called once; the other methods are safe
// for concurrent use.
type Mirror struct {
	opt Options

	failing      bool
	failingSince time.Time

	mu          sync.Mutex
	recoveredAt time.Time
	entries     map[string]Entry
	// revision is the highest revision of a change of this kind that is known.
	revision int64
}

// New returns an empty mirror.
func New(opt Options) *Mirror { return &Mirror{opt: opt, entries: map[string]Entry{}} }

// Kind returns the kind of objects that the mirror holds.
func (m *Mirror) Kind() string { return m.opt.Kind }

// Revision returns the revision of the newest change that the mirror holds, or 0 before the first.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Export returns the content for another node.
func (m *Mirror) Export() ([]Entry, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries, m.revision
}

// Import takes over the content of another node if it is newer. It reports whether it was.
func (m *Mirror) Import(entries []Entry, revision int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return false
	}
	m.resetLocked(entries, revision, true)
	return true
}

// Run copies until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, ok := m.list(ctx)
		if !ok {
			return
		}
		m.follow(ctx, revision)
	}
}

// list lists until it succeeds. It reports false at the end of ctx.
func (m *Mirror) list(ctx context.Context) (int64, bool) {
	pause := retryLeast
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		entries, revision, err := m.opt.Source.List(callCtx, m.opt.Kind)
		cancel()
		if err == nil {
			m.reached()
			m.listed(entries)
			return revision, true
		}
		if !m.failed(ctx, err, &pause) {
			return 0, false
		}
	}
}

// listed takes over a list of the store.
func (m *Mirror) listed(entries []Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.revision
	for _, e := range entries {
		newest = max(newest, e.Revision)
	}
	m.resetLocked(entries, newest, m.interruptedLocked())
}

func (m *Mirror) resetLocked(entries []Entry, revision int64, interrupted bool) {
	clear(m.entries)
	for _, e := range entries {
		m.entries[e.Name] = e
	}
	m.revision = revision
	m.opt.Target.Reset(entries, interrupted)
}

// follow watches until the history is gone or ctx ends.
func (m *Mirror) follow(ctx context.Context, revision int64) {
	pause := retryLeast
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		changes, next, err := m.opt.Source.Watch(callCtx, m.opt.Kind, revision, watchWait)
		cancel()
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.opt.Logger.Info("store history gone", "kind", m.opt.Kind, "revision", revision)
			return
		case err != nil:
			if !m.failed(ctx, err, &pause) {
				return
			}
			continue
		}
		m.reached()
		pause = retryLeast
		m.apply(changes)
		revision = next
		if m.opt.Pause > 0 && len(changes) > 0 && !wait.Pause(ctx, m.opt.Pause) {
			return
		}
	}
}

// apply takes over changes that are newer than what is known of their objects.
func (m *Mirror) apply(changes []Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	interrupted := m.interruptedLocked()
	for _, c := range changes {
		known, ok := m.entries[c.Name]
		if ok && c.Revision < known.Revision || !ok && c.Deleted {
			continue
		}
		if c.Deleted {
			delete(m.entries, c.Name)
		} else {
			m.entries[c.Name] = c.Entry
		}
		m.revision = max(m.revision, c.Revision)
		m.opt.Target.Apply(c, interrupted)
	}
}

// failed notes a failed call and waits before the next. It reports false at the end of ctx.
func (m *Mirror) failed(ctx context.Context, err error, pause *time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if !m.failing {
		m.failing, m.failingSince = true, time.Now()
		m.opt.Logger.Warn("store lost", "kind", m.opt.Kind, "error", err.Error())
	}
	ok := wait.Pause(ctx, *pause/2+rand.N(*pause/2))
	*pause = min(*pause*2, retryMost)
	return ok
}

func (m *Mirror) reached() {
	if !m.failing {
		return
	}
	m.failing = false
	m.mu.Lock()
	m.recoveredAt = time.Now()
	m.mu.Unlock()
	m.opt.Logger.Info("store regained", "kind", m.opt.Kind, "away_ms", time.Since(m.failingSince).Milliseconds())
}

// interruptedLocked reports whether the store was away until a moment ago.
func (m *Mirror) interruptedLocked() bool {
	return !m.recoveredAt.IsZero() && time.Since(m.recoveredAt) < recoveryTime
}
