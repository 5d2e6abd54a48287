// Package mirror keeps a local replica of one kind of objects in the platform's store up to date by a list and
// a chain of watches. A node that cannot reach the store imports the replica of another node.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/objects"
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

// Source is the part of the platform's store that a mirror uses.
type Source interface {
	// List returns all objects of a kind and the revision after which a watch continues.
	List(ctx context.Context, kind string) ([]Entry, int64, error)
	// Watch returns the changes after a revision, or none after about wait, and the revision to continue from.
	// It returns objects.ErrHistoryGone if the store no longer has these changes.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}

// Target receives a mirror's content. Its methods are called one at a time.
type Target interface {
	// Reset replaces the whole content.
	Reset(entries []Entry, f Freshness)
	Apply(c Change, f Freshness)
}

// Freshness describes how late or incomplete the content may be that a target receives.
type Freshness struct {
	// Interrupted is set if entries may be missing for a moment: the store was unavailable or restored from a copy
	// shortly before, or the content comes from a node that may not reach the store either.
	Interrupted bool
	// SeenByRelayOnly is set if this node knows of the interruption only from a node that relays store changes. That node
	// alone may have been cut off from the store, in which case the missing entries have been removed as usual.
	SeenByRelayOnly bool
	// CurrentAt is the last time, on the clock of clock.Now, at which the mirror is known to have held all changes. It is
	// zero before the first.
	CurrentAt time.Time
	// ConfirmedBy names what showed that: a list or a peer. It is "" before the first.
	ConfirmedBy string
}

// MaxDelay returns the longest time for which the change may already have been in the store. now is the time of
// clock.Now.
func (f Freshness) MaxDelay(now time.Time) time.Duration {
	if f.CurrentAt.IsZero() {
		return initialMaxDelay
	}
	return now.Sub(f.CurrentAt)
}

// initialMaxDelay is the MaxDelay that is reported before the mirror has been in sync with the store for the
// first time.
const initialMaxDelay = time.Hour

const (
	// watchSlack is the time by which the timeout of a watch call exceeds the wait that it requests.
	watchSlack = 500 * time.Millisecond
	// followerPollInterval is the time between checks whether this node is still a follower.
	followerPollInterval = 50 * time.Millisecond
	// maxTombstones bounds the recorded deletions.
	maxTombstones = 256
	// listTimeout bounds a list call. It allows for a store that responds fifty times slower than usual.
	listTimeout = 1500 * time.Millisecond
	// maxLatency bounds the time that InSync allows for a call, so that a paused node or a store that hardly responds
	// does not count as in sync.
	maxLatency = 300 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call. Options.MayCall bounds the calls to a store that
	// does not respond. With a longer pause, a relay is in sync late after the store's return, because one of its mirrors
	// still pauses, and other nodes call the store meanwhile.
	minRetryPause = 80 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
)

// Options configures a Mirror.
type Options struct {
	Kind   string
	Source Source
	Target Target
	Logger *slog.Logger
	// BatchDelay is the pause after a watch that returned changes. It lets the next call return several
	// changes.
	BatchDelay time.Duration
	// ListInterval returns the time after which the objects are listed again. A watch may miss changes when
	// the store drops its history, so this bounds how late they arrive.
	ListInterval func() time.Duration
	// IsFollower reports whether another node relays store changes to this one, which then need not call the
	// store.
	IsFollower func() bool
	// MayCall reports whether the store may be called. A node that has just started first asks its peers, and a node whose
	// calls fail makes few. It is asked immediately before each list, and before no watch that follows a successful call.
	MayCall func() bool
	// OnChange is called in a goroutine of its own after a change from the store. It may be nil.
	OnChange func()
}

// Mirror replicates one kind of objects to a target. Run may be called once; the other methods are safe for
// concurrent use.
type Mirror struct {
	opt Options
	// now is clock.Now: ages count the time for which the VM was suspended.
	now func() time.Time

	// retryPause is the pause after the next failed call. Only Run uses it.
	retryPause time.Duration

	mu sync.Mutex
	// failing is set since failingSince while calls fail.
	failing      bool
	failingSince time.Time
	recoveredAt  time.Time
	// restoredAt is the time at which a restoration of the store became known.
	restoredAt time.Time
	// takenOverAt is the time at which another node last told of an interruption that this node had not seen.
	takenOverAt time.Time
	// reachedAt is the last time at which the store is known to have responded.
	reachedAt time.Time
	// latency is the time that the last list took, at most maxLatency.
	latency time.Duration
	// currentAt is the last time at which the mirror is known to have held all changes. Like reachedAt it is the
	// time of the call, not that of its response: a response may wait in the socket while the process is paused.
	currentAt time.Time
	// currentBy is the Freshness.ConfirmedBy that belongs to currentAt.
	currentBy string
	entries   map[string]Entry
	// revision is the highest revision of a change of this kind that is known. All revisions are positions, which order
	// the revisions of a store that was restored after those of before; see objects.Position.
	revision int64
	// tombstones are the revisions of the deletions after compactedRevision, by name. Earlier deletions are
	// not recorded.
	tombstones        map[string]int64
	compactedRevision int64
	// completeRevision is the revision up to which the content has all changes. Changes from a watch do not raise it.
	completeRevision int64
}

// New returns an empty mirror.
func New(opt Options) *Mirror {
	return &Mirror{opt: opt, now: clock.Now, entries: map[string]Entry{}, tombstones: map[string]int64{}}
}

// Kind returns the kind of objects that the mirror holds.
func (m *Mirror) Kind() string { return m.opt.Kind }

// Revision returns the revision of the newest change that the mirror holds, or 0 before the first.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// CompleteRevision returns the revision up to which the mirror is known to hold all changes. It is below Revision if a
// watch, or a node that relays no store changes to this one, brought the newer ones: they may not be all.
func (m *Mirror) CompleteRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeRevision
}

// Size returns the size of all objects in bytes.
func (m *Mirror) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 0
	for _, e := range m.entries {
		size += len(e.Name) + len(e.Value)
	}
	return size
}

// MarkCurrent records that a peer held all changes at a time on the clock of clock.Now, and no newer ones than this
// mirror.
func (m *Mirror) MarkCurrent(peer string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmLocked(at, "peer "+peer)
}

// CurrentAge returns the time since the mirror is known to have held all changes. ok is false before the first such
// time.
func (m *Mirror) CurrentAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.currentAt), !m.currentAt.IsZero()
}

// confirmLocked records that the mirror held all changes at a time.
func (m *Mirror) confirmLocked(at time.Time, by string) {
	if at.After(m.currentAt) {
		m.currentAt, m.currentBy = at, by
	}
}

// Run replicates the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if m.Revision() > 0 && m.opt.IsFollower() || !m.opt.MayCall() {
			wait.Pause(ctx, followerPollInterval)
			continue
		}
		revision, ok := m.list(ctx)
		if !ok {
			continue
		}
		m.watch(ctx, revision, m.now().Add(m.opt.ListInterval()))
	}
}

// notifyChange calls OnChange, if it is set, without waiting for it.
func (m *Mirror) notifyChange() {
	if m.opt.OnChange != nil {
		go m.opt.OnChange()
	}
}

// watch applies changes until the objects should be listed again, this node becomes a follower, or ctx ends.
func (m *Mirror) watch(ctx context.Context, revision int64, deadline time.Time) {
	for ctx.Err() == nil {
		left := deadline.Sub(m.now())
		if left <= 0 || m.opt.IsFollower() {
			return
		}
		calledAt := m.now()
		callCtx, cancel := context.WithTimeout(ctx, left+watchSlack)
		changes, next, err := m.opt.Source.Watch(callCtx, m.opt.Kind, revision, left)
		cancel()
		switch {
		case errors.Is(err, objects.ErrHistoryGone):
			event.StoreHistoryGone.Emit(m.opt.Logger, "kind", m.opt.Kind, "revision", revision)
			// The pause limits the rate of lists while the store drops its history repeatedly.
			wait.Pause(ctx, minRetryPause)
			return
		case err != nil:
			// A list shows at once whether the store responds again, a watch only after its wait.
			m.backOff(ctx, err)
			return
		}
		respondedAt := calledAt
		if len(changes) == 0 && m.now().Sub(calledAt) >= left {
			// The store responds to a watch without changes only after the requested wait.
			respondedAt = calledAt.Add(left.Truncate(time.Millisecond))
		}
		m.recordSuccess(respondedAt)
		m.apply(changes)
		revision = next
		if m.opt.BatchDelay > 0 && len(changes) > 0 && !wait.Pause(ctx, m.opt.BatchDelay) {
			return
		}
	}
}

// apply applies changes that are newer than the known revisions of their objects. They do not show that the mirror is
// current, because a watch misses changes when the store drops its history.
func (m *Mirror) apply(changes []Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, freshness := m.revision, m.freshnessLocked()
	for _, c := range changes {
		m.applyLocked(c, freshness)
	}
	if m.revision != before {
		m.notifyChange()
	}
}

func (m *Mirror) applyLocked(c Change, freshness Freshness) {
	known, ok := m.entries[c.Name]
	switch {
	case ok && c.Revision < known.Revision, !ok && !c.Deleted && c.Revision <= m.tombstones[c.Name]:
		return
	case !ok && c.Deleted:
		// A list may have lacked the object already, but a follower may still hold it.
		if c.Revision > m.revision {
			m.revision = c.Revision
			m.recordDeletionLocked(c.Name)
		}
		return
	}
	m.revision = max(m.revision, c.Revision)
	if c.Deleted {
		delete(m.entries, c.Name)
		m.recordDeletionLocked(c.Name)
	} else {
		m.entries[c.Name] = c.Entry
		delete(m.tombstones, c.Name)
	}
	m.opt.Target.Apply(c, freshness)
}

// recordDeletionLocked records that an object was deleted at the present revision.
func (m *Mirror) recordDeletionLocked(name string) {
	if len(m.tombstones) >= maxTombstones {
		clear(m.tombstones)
		m.compactedRevision = m.revision
	}
	m.tombstones[name] = m.revision
}

// backOff logs the first of several failed calls in a row and pauses before the next call.
func (m *Mirror) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if m.recordFailure() {
		event.StoreLost.Emit(m.opt.Logger, "kind", m.opt.Kind, "error", err.Error())
	}
	m.retryPause = max(m.retryPause, minRetryPause)
	wait.Pause(ctx, m.retryPause/2+rand.N(m.retryPause/2))
	m.retryPause = min(m.retryPause*2, maxRetryPause)
}

// recordFailure reports whether a failed call is the first of several in a row.
func (m *Mirror) recordFailure() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return false
	}
	m.failing, m.failingSince = true, m.now()
	return true
}

// recordSuccess records that the store responded at a time or later, and logs the end of an outage.
func (m *Mirror) recordSuccess(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reachedAt, m.retryPause = at, 0
	if m.failing {
		m.recordRecoveryLocked()
	}
}

func (m *Mirror) recordLatency(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = min(took, maxLatency)
}

// InSync is ReachedWithin for a limit that applies to a store which responds at once. A response shows that the store
// was reached at the time of its call, and two calls may be under way before the next one shows more.
func (m *Mirror) InSync(limit time.Duration) bool {
	m.mu.Lock()
	latency := m.latency
	m.mu.Unlock()
	return m.ReachedWithin(limit + 2*latency)
}

// ReachedWithin reports whether the store is known to have responded less than limit ago.
func (m *Mirror) ReachedWithin(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.reachedAt.IsZero() && m.now().Sub(m.reachedAt) < limit
}
