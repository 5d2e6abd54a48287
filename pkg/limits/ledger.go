package limits

import (
	"time"
)

// Parts is the number of equal parts into which each quota is divided. Each part is held by one node, which lends it to the
// leader or, without a leader, grants from it itself.
const Parts = 3

const (
	// maxPromised bounds the time for which denied requests are told to wait for each other.
	maxPromised = 2 * time.Second
	// maxQueryWait bounds the time for which a request that never fits is told to wait.
	maxQueryWait = 10 * time.Second
	// staleDenial is the wait that is stated to a node whose configuration is newer than the owner's.
	staleDenial = 100 * time.Millisecond
	// seenQueries is the number of queries and returns of a process that are remembered to recognize repeated ones.
	seenQueries = 64
	// seenTTL is the time for which a process that sends no queries is remembered.
	seenTTL = 3 * time.Second
)

// Ledger counts the use of the quotas of all workspaces at their owner. What it grants in a time is bounded by the parts of
// the quotas that it has been lent during that time. Its times are on the clock of clock.Now. It is not safe for concurrent
// use.
type Ledger struct {
	bounds    QuotaBounds
	epoch     uint32
	startedAt time.Time
	quotas    map[uint64]Quota
	version   int64
	// useInitial is set if buckets start at bucketLimits.initial.
	useInitial bool

	// at is the time up to which credit is counted: the integral over time, in seconds, of the proportion of parts that are
	// lent.
	at     time.Time
	credit float64
	// lentUntil is the time until which each part is lent, or zero.
	lentUntil [Parts]time.Time
	// base is the credit from which buckets that do not exist yet have filled.
	base    float64
	buckets map[uint64]*bucket
	seen    map[process]*seenWindow
	sweptAt time.Time
}

// bucket is the token bucket of a workspace.
type bucket struct {
	limits bucketLimits
	// level can be negative after a request that is heavier than the depth. credit is Ledger.credit at its last update, and
	// grantedAt that at the last grant.
	level, credit, grantedAt float64
	// promised is the weight of denied requests that were told to come back, less what has flowed in since.
	promised float64
}

// process identifies the start of a node's process.
type process struct {
	address string
	start   uint64
}

// seenWindow holds the answers to the newest queries of a process by number. Returns have a zero reply.
type seenWindow struct {
	replies map[uint64]Reply
	highest uint64
	at      time.Time
}

// NewLedger returns a ledger that has been lent nothing and does not know what has been used: its buckets are empty, or, with
// useInitial, at a level that the tolerance allows. epoch must differ between ledgers.
func NewLedger(bounds QuotaBounds, epoch uint32, useInitial bool, now time.Time) *Ledger {
	return &Ledger{
		bounds: bounds, epoch: epoch, useInitial: useInitial, startedAt: now, at: now, sweptAt: now,
		buckets: map[uint64]*bucket{}, seen: map[process]*seenWindow{},
	}
}

// SetQuotas sets the quotas by workspace hash and the version of the configuration that they are from. Lower limits take
// effect at once.
func (l *Ledger) SetQuotas(quotas map[uint64]Quota, version int64, now time.Time) {
	l.advance(now)
	old := l.quotas
	l.quotas, l.version = quotas, version
	for id, b := range l.buckets {
		q, ok := quotas[id]
		if !ok {
			delete(l.buckets, id)
			continue
		}
		if q == old[id] {
			continue
		}
		b.refill(l)
		b.limits = l.bounds.bucketLimits(q)
		b.refill(l)
	}
}

// Lend lends a part to the ledger until a time, or longer than before.
func (l *Ledger) Lend(part int, until, now time.Time) {
	l.advance(now)
	if !until.After(now) || !until.After(l.lentUntil[part]) {
		return
	}
	if l.lentUntil[part].IsZero() {
		l.settle()
	}
	l.lentUntil[part] = until
}

// Withdraw takes a part back.
func (l *Ledger) Withdraw(part int, now time.Time) {
	l.advance(now)
	l.lapse(part)
}

// Lent returns the number of parts that are lent now.
func (l *Ledger) Lent(now time.Time) int {
	l.advance(now)
	return l.lent()
}

func (l *Ledger) lent() int {
	n := 0
	for _, until := range l.lentUntil {
		if !until.IsZero() {
			n++
		}
	}
	return n
}

// share returns the proportion of the quotas that is lent.
func (l *Ledger) share() float64 { return float64(l.lent()) / Parts }

// advance counts the credit up to now. Parts whose time has passed end at that time, also if the process was paused since.
func (l *Ledger) advance(now time.Time) {
	for {
		next := -1
		for i, until := range l.lentUntil {
			if !until.IsZero() && !until.After(now) && (next < 0 || until.Before(l.lentUntil[next])) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		l.count(l.lentUntil[next])
		l.lapse(next)
	}
	l.count(now)
}

func (l *Ledger) count(to time.Time) {
	if to.After(l.at) {
		l.credit += l.share() * to.Sub(l.at).Seconds()
		l.at = to
	}
}

// lapse ends the loan of a part. The levels are cut to the depth of the remaining parts, because the holder may fill its own
// buckets from now on.
func (l *Ledger) lapse(part int) {
	if l.lentUntil[part].IsZero() {
		return
	}
	l.settle()
	l.lentUntil[part] = time.Time{}
	for _, b := range l.buckets {
		b.refill(l)
	}
	// A bucket that does not exist yet could be full.
	l.base, l.useInitial = l.credit, false
}

// settle brings all buckets up to date before the share changes.
func (l *Ledger) settle() {
	for _, b := range l.buckets {
		b.refill(l)
	}
}

func (b *bucket) refill(l *Ledger) {
	added := b.limits.rate * (l.credit - b.credit)
	b.level = min(b.level+added, b.limits.depth*l.share())
	b.promised = max(b.promised-added, 0)
	b.credit = l.credit
}

// bucket returns the bucket of a workspace with a quota.
func (l *Ledger) bucket(workspace uint64, q Quota) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{limits: l.bounds.bucketLimits(q), credit: l.base, grantedAt: l.base}
		if l.useInitial {
			b.level = b.limits.initial
		}
		l.buckets[workspace] = b
	}
	b.refill(l)
	return b
}

// Query decides on a query of a node's process. ok is false if the query is older than those that are remembered. A repeated
// query gets the same reply.
func (l *Ledger) Query(from string, start uint64, q Query, now time.Time) (reply Reply, ok bool) {
	l.advance(now)
	window, repeated, ok := l.see(process{from, start}, q.Number, now)
	if !ok || repeated {
		return window.replies[q.Number], ok
	}
	reply = l.decide(q, now)
	if reply.Refused {
		// The node may ask again under the same number once a part is lent.
		return reply, true
	}
	window.record(q.Number, reply)
	return reply, true
}

func (l *Ledger) decide(q Query, now time.Time) Reply {
	reply := Reply{Number: q.Number, Workspace: q.Workspace, Epoch: l.epoch, StampMS: now.Sub(l.startedAt).Milliseconds()}
	share := l.share()
	if share == 0 {
		reply.Refused = true
		return reply
	}
	quota, limited := l.quotas[q.Workspace]
	if q.Version > l.version && (!limited || quota.Rate > q.Rate || quota.Burst > q.Burst) {
		reply.WaitMS, reply.RetryMS = staleDenial.Milliseconds(), staleDenial.Milliseconds()
		return reply
	}
	if !limited {
		reply.Granted = len(q.Needs)
		return reply
	}
	b := l.bucket(q.Workspace, quota)
	for _, need := range q.Needs {
		wait := b.take(float64(need), share, l.credit)
		if wait > 0 {
			reply.WaitMS = waitMS(wait)
			reply.RetryMS = waitMS(wait + b.promised/(b.limits.rate*share))
			b.promised = min(b.promised+float64(need), maxPromised.Seconds()*b.limits.rate)
			break
		}
		reply.Granted++
	}
	if spare := b.level - b.limits.depth*share/2; reply.Granted == len(q.Needs) && q.Extra > 0 && spare >= 1 {
		reply.Extra = min(q.Extra, int64(spare))
		b.level -= float64(reply.Extra)
	}
	reply.Level = int64(b.level)
	return reply
}

// waitMS converts seconds, rounded up, so that the credit is available afterwards.
func waitMS(seconds float64) int64 {
	return min(int64(seconds*1000)+1, maxQueryWait.Milliseconds())
}

// take takes a weight from the bucket, or returns the time in seconds until it can be taken. A weight over the depth is taken
// from a full bucket.
func (b *bucket) take(need, share, credit float64) (wait float64) {
	depth := b.limits.depth * share
	if need <= depth {
		if need > b.level {
			return (need - b.level) / (b.limits.rate * share)
		}
	} else {
		// epsilon hides rounding errors of the level.
		const epsilon = 1e-6
		idle := min(credit-b.grantedAt, b.limits.idle)
		most := (b.limits.depth+b.limits.oversize)*share + b.limits.rate*idle
		full := (depth - b.level) / (b.limits.rate * share)
		if need > most {
			return max(full, (need-most)/(b.limits.rate*share))
		}
		if full > epsilon {
			return full
		}
	}
	b.level -= need
	b.grantedAt = credit
	return 0
}

// Return adds unused tokens back that were granted at a stamp of this ledger, up to the depth. It reports whether they count.
func (l *Ledger) Return(from string, start uint64, r Return, now time.Time) bool {
	l.advance(now)
	window, repeated, ok := l.see(process{from, start}, r.Number, now)
	if !ok || repeated {
		return false
	}
	window.record(r.Number, Reply{})
	b := l.buckets[r.Workspace]
	age := now.Sub(l.startedAt) - time.Duration(r.StampMS)*time.Millisecond
	if b == nil || r.Epoch != l.epoch || r.Tokens <= 0 || age < 0 || age > returnTTL || l.lent() == 0 {
		return false
	}
	b.refill(l)
	b.level = min(b.level+float64(r.Tokens), b.limits.depth*l.share())
	return true
}

// see returns what is remembered of a process. repeated is set if the number was seen. ok is false if it is so old that this
// is not known.
func (l *Ledger) see(p process, number uint64, now time.Time) (w *seenWindow, repeated, ok bool) {
	l.sweep(now)
	w = l.seen[p]
	if w == nil {
		w = &seenWindow{replies: map[uint64]Reply{}}
		l.seen[p] = w
	}
	w.at = now
	if _, repeated = w.replies[number]; repeated {
		return w, true, true
	}
	return w, false, number+seenQueries > w.highest
}

func (w *seenWindow) record(number uint64, r Reply) {
	w.replies[number] = r
	w.highest = max(w.highest, number)
	if len(w.replies) <= seenQueries {
		return
	}
	for n := range w.replies {
		if n+seenQueries <= w.highest {
			delete(w.replies, n)
		}
	}
}

// sweep drops what is remembered of processes that have sent nothing for a while.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < seenTTL {
		return
	}
	l.sweptAt = now
	for p, w := range l.seen {
		if now.Sub(w.at) >= seenTTL {
			delete(l.seen, p)
		}
	}
}
