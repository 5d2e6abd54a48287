// Package lease decides who may send orders to a shard of engines. A lease is an object in the
// object API with a fencing number that grows with each holder. The package does no I/O: Lease
// turns the time and the results of calls into the next call.
//
// No clock is compared between VMs. A contender waits for the full duration of a lease after it
// has read a version, and takes over with a conditional update on that version. A holder counts
// its time from before it sent the last confirmed renewal, so its time ends first.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Timing of leases.
const (
	// TTL is the time for which a confirmed renewal allows to send.
	TTL = 30 * time.Second
	// RenewEvery leaves two more renewals before the lease ends.
	RenewEvery = 10 * time.Second
	// Flight is the longest time assumed from the check before a send to the arrival of the
	// order at the engine. It also covers the drift of the clocks during a lease.
	Flight = 5 * time.Second
	// RetryEvery is the pause after a failed call.
	RetryEvery = 2 * time.Second
)

// Timing sets the times of a lease. All nodes that contend for a lease must use the same, but for
// Reluctance.
type Timing struct {
	// TTL, RenewEvery, Flight and RetryEvery stand for the constants of the same names.
	TTL, RenewEvery, Flight, RetryEvery time.Duration
	// Handover is the time that a successor waits after a release.
	Handover time.Duration
	// Reluctance is added to each wait of this node, so that nodes that are better suited come first.
	Reluctance time.Duration
}

// DefaultTiming is used by New.
var DefaultTiming = Timing{TTL: TTL, RenewEvery: RenewEvery, Flight: Flight, RetryEvery: RetryEvery, Handover: Flight}

// Record is the stored form of a lease.
type Record struct {
	Holder string `json:"holder"`
	// Instance identifies one start of the holder's process. A restarted process does not know
	// what its predecessor sent, so it counts as another holder.
	Instance string `json:"instance"`
	// Fencing grows with each holder and is never used twice.
	Fencing uint64 `json:"fencing"`
	// Renewal counts the holder's writes, so that it recognises one whose answer was lost.
	Renewal uint64 `json:"renewal"`
	// Released says that the holder has ceased to send.
	Released bool `json:"released,omitempty"`
}

// DecodeRecord parses a stored lease.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, "lease does not parse")
	}
	if r.Instance == "" || r.Fencing == 0 {
		return Record{}, fault.New(fault.Internal, "lease lacks its instance or fencing number")
	}
	return r, nil
}

// ObjectName returns the name of a shard's lease in the object API.
func ObjectName(shard string) string { return fmt.Sprintf("leases/%s", shard) }

// ActionKind is a call of the object API.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
)

// Action is the next call. Its result goes to ReadDone or WriteDone.
type Action struct {
	Kind      ActionKind
	Value     []byte
	IfVersion uint64
}

// Lease is one node's part in one lease. It is not safe for concurrent use.
type Lease struct {
	holder   string
	instance string
	timing   Timing

	// seen is the last version read or written and seenAt the time at which the call ended.
	seen    Record
	version uint64
	seenAt  time.Time
	known   bool

	// held tells whether seen is this instance's record, heldFrom when it was sent.
	held     bool
	heldFrom time.Time

	// sentAt are the times at which this instance's writes were sent, by Renewal. Each write has
	// a Renewal of its own: a repeated number would take an early write for a late one.
	sentAt  map[uint64]time.Time
	renewal uint64
	// validFrom is the lowest Renewal under which this instance may send. A write that releases
	// the lease can take effect late, so only a later write makes the lease usable again.
	validFrom uint64
	writing   Record
	busy      bool
	// pauseUntil delays the next call after a failure.
	pauseUntil time.Time
}

// New returns a node's part in a lease. instance must differ between starts of the process.
func New(holder, instance string) *Lease { return NewWithTiming(holder, instance, DefaultTiming) }

// NewWithTiming is New with other times.
func NewWithTiming(holder, instance string, t Timing) *Lease {
	return &Lease{holder: holder, instance: instance, timing: t, sentAt: map[uint64]time.Time{}}
}

// Holder returns the last known holder, or "" if the lease is free or unknown.
func (l *Lease) Holder() string {
	if !l.known || l.seen.Released {
		return ""
	}
	return l.seen.Holder
}

// MaySend returns the fencing number if an order sent now arrives before the lease ends. It must
// be called immediately before each send, with a time that carries a monotonic reading.
func (l *Lease) MaySend(now time.Time) (fencing uint64, ok bool) {
	if !l.held || clock.Elapsed(l.heldFrom, now)+l.timing.Flight >= l.timing.TTL {
		return 0, false
	}
	return l.seen.Fencing, true
}

// HeldUntil returns the time until which the lease allows to send, or zero if it is not held.
func (l *Lease) HeldUntil() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.heldFrom.Add(l.timing.TTL - l.timing.Flight)
}

// Next returns the call to make now, if any. wanted tells whether this node should hold the
// lease; floor is the highest fencing number that an engine of the shard has reported.
func (l *Lease) Next(now time.Time, wanted bool, floor uint64) Action {
	if l.busy || now.Before(l.pauseUntil) {
		return Action{}
	}
	switch {
	case l.held && !wanted:
		return l.release(now)
	case l.held && now.Sub(l.heldFrom) >= l.timing.RenewEvery:
		return l.write(now, l.record(l.seen.Fencing))
	case l.held || !wanted:
		return Action{}
	case !l.known:
		l.busy = true
		return Action{Kind: Read}
	case now.Sub(l.seenAt) >= l.wait():
		return l.write(now, l.record(max(l.seen.Fencing, floor)+1))
	}
	return Action{}
}

// wait is the time after an observation for which a former holder may still send or an order of
// its may be on the way. Only the monotonic clock counts here: it never runs ahead.
func (l *Lease) wait() time.Duration {
	switch {
	case l.version == 0:
		return l.timing.Reluctance
	case l.seen.Released, l.seen.Instance == l.instance:
		return l.timing.Handover + l.timing.Reluctance
	default:
		return l.timing.TTL + l.timing.Flight + l.timing.Reluctance
	}
}

// record returns this instance's record with a Renewal that it has not used.
func (l *Lease) record(fencing uint64) Record {
	l.renewal = max(l.renewal, l.seen.Renewal) + 1
	return Record{Holder: l.holder, Instance: l.instance, Fencing: fencing, Renewal: l.renewal}
}

func (l *Lease) release(now time.Time) Action {
	record := l.record(l.seen.Fencing)
	record.Released = true
	l.validFrom = record.Renewal + 1
	l.held = false
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, r Record) Action {
	value, err := json.Marshal(r)
	if err != nil {
		// Record holds only strings, numbers and a flag.
		panic(err)
	}
	l.busy, l.writing = true, r
	l.sentAt[r.Renewal] = now
	return Action{Kind: Write, Value: value, IfVersion: l.version}
}

// ReadDone takes the result of a Read that ended at now. An error means that the stored lease is
// damaged; it is then never taken.
func (l *Lease) ReadDone(o objects.Object, err error, now time.Time) error {
	l.busy = false
	switch {
	case fault.Is(err, fault.NotFound):
		l.observe(Record{}, 0, now)
		return nil
	case err != nil:
		l.pauseUntil = now.Add(l.timing.RetryEvery)
		return nil
	}
	r, err := DecodeRecord(o.Value)
	if err != nil {
		l.pauseUntil = now.Add(l.timing.RetryEvery)
		return err
	}
	l.observe(r, o.Version, now)
	return nil
}

// observe takes over a version. A record of this very instance is held since it was sent.
func (l *Lease) observe(r Record, version uint64, now time.Time) {
	l.seen, l.version, l.seenAt, l.known = r, version, now, true
	sent, own := l.sentAt[r.Renewal]
	l.held = own && r.Instance == l.instance && !r.Released && r.Renewal >= l.validFrom
	if l.held {
		l.heldFrom = sent
	}
	l.forget(r.Renewal)
}

// Seen returns the last known record and its version.
func (l *Lease) Seen() (Record, uint64) { return l.seen, l.version }

// HandedBack reports whether this instance has released the lease and no other has taken it since.
func (l *Lease) HandedBack() bool {
	return l.known && l.seen.Released && l.seen.Instance == l.instance
}

// Sighted takes over a record that another node has told of, as if it had been read at now. The holder
// itself is the usual teller; an older version than the known one is ignored.
func (l *Lease) Sighted(r Record, version uint64, now time.Time) {
	if l.busy || l.held || version <= l.version || r.Instance == l.instance {
		return
	}
	l.observe(r, version, now)
}

// forget drops the send times of writes before a version that is known to be stored.
func (l *Lease) forget(renewal uint64) {
	for r := range l.sentAt {
		if r < renewal {
			delete(l.sentAt, r)
		}
	}
}

// WriteDone takes the result of a Write that ended at now. After a conflict or a lost answer the
// stored lease is unknown and is read again; a held lease keeps its time meanwhile.
func (l *Lease) WriteDone(version uint64, err error, now time.Time) {
	l.busy = false
	if err == nil {
		l.observe(l.writing, version, now)
		return
	}
	if fault.Is(err, fault.Conflict) {
		// The stored version is not the one that this node knows: another holder, or an
		// earlier write of this node whose answer was lost. Reading tells which.
		l.known, l.held = false, false
		return
	}
	l.pauseUntil = now.Add(l.timing.RetryEvery)
	if !l.held && fault.As(err).Work == fault.Unknown {
		l.known = false
	}
}
