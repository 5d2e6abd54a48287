// Package mirror keeps a node's copy of one kind of objects in the platform's store up to date by a
// list and a chain of watches.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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

// Target receives a mirror's content. Its methods are called from one goroutine.
type Target interface {
	// Reset replaces the whole content. Interrupted is set if the store was unreachable shortly
	// before, so that entries may be missing for a moment.
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

// Mirror copies one kind of objects to a target.
type Mirror struct {
	Kind   string
	Source Source
	Target Target
	Logger *slog.Logger
	// Pause is the least time between the ends of two watches. It lets one call return several
	// changes.
	Pause time.Duration

	failing      bool
	failingSince time.Time
	recoveredAt  time.Time
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
		entries, revision, err := m.Source.List(callCtx, m.Kind)
		cancel()
		if err == nil {
			m.reached()
			m.Target.Reset(entries, m.interrupted())
			return revision, true
		}
		if !m.failed(ctx, err, &pause) {
			return 0, false
		}
	}
}

// follow watches until the history is gone or ctx ends.
func (m *Mirror) follow(ctx context.Context, revision int64) {
	pause := retryLeast
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		changes, next, err := m.Source.Watch(callCtx, m.Kind, revision, watchWait)
		cancel()
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.Logger.Info("store history gone", "kind", m.Kind, "revision", revision)
			return
		case err != nil:
			if !m.failed(ctx, err, &pause) {
				return
			}
			continue
		}
		m.reached()
		pause = retryLeast
		for _, c := range changes {
			m.Target.Apply(c, m.interrupted())
		}
		revision = next
		if m.Pause > 0 && len(changes) > 0 && !wait.Pause(ctx, m.Pause) {
			return
		}
	}
}

// failed notes a failed call and waits before the next. It reports false at the end of ctx.
func (m *Mirror) failed(ctx context.Context, err error, pause *time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if !m.failing {
		m.failing, m.failingSince = true, time.Now()
		m.Logger.Warn("store lost", "kind", m.Kind, "error", err.Error())
	}
	ok := wait.Pause(ctx, *pause/2+rand.N(*pause/2))
	*pause = min(*pause*2, retryMost)
	return ok
}

func (m *Mirror) reached() {
	if m.failing {
		m.failing, m.recoveredAt = false, time.Now()
		m.Logger.Info("store regained", "kind", m.Kind, "away_ms", time.Since(m.failingSince).Milliseconds())
	}
}

// interrupted reports whether the store was away until a moment ago.
func (m *Mirror) interrupted() bool {
	return !m.recoveredAt.IsZero() && time.Since(m.recoveredAt) < recoveryTime
}
