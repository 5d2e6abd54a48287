package forward

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
)

// QuarantineOptions configures a Quarantine. All fields are required.
type QuarantineOptions struct {
	// Node identifies this node among the observers of a crash.
	Node string
	// MayTry reports whether this node may send a request with a quarantined part, to see whether engines still
	// crash on it. It must hold on one node of the fleet.
	MayTry func() bool
	// Announce is called after an engine has crashed under a request, and when the quarantined parts have changed,
	// so that the other nodes learn of it.
	Announce func()
	// Now returns the current time.
	Now    func() time.Time
	Logger *slog.Logger
}

// Quarantine refuses requests with prompt parts on which engines crash. It is safe for concurrent use.
type Quarantine struct {
	opt      QuarantineOptions
	observer uint8
	table    *quarantine.Table

	mu sync.Mutex
	// waiting holds the sends that have got no event.
	waiting map[*waitingSend]struct{}
	// logged holds the quarantined parts that were logged.
	logged map[quarantine.Part]bool
}

// waitingSend is a send of a request with shared parts that has got no event.
type waitingSend struct {
	parts  []quarantine.Part
	cancel context.CancelCauseFunc
}

// NewQuarantine returns a quarantine without parts.
func NewQuarantine(opt QuarantineOptions) *Quarantine {
	return &Quarantine{
		opt: opt, observer: uint8(xxhash.Sum64String(opt.Node)) & math.MaxInt8, table: quarantine.NewTable(),
		waiting: map[*waitingSend]struct{}{}, logged: map[quarantine.Part]bool{},
	}
}

// errQuarantined is the cause of a cancelled send whose request has a part that was quarantined after the send.
var errQuarantined = errors.New("a prompt part was quarantined before the first event")

// Encode returns the evidence for the other nodes; see quarantine.Table.Encode.
func (q *Quarantine) Encode(scope quarantine.Scope, after uint64, maxBytes int) (data []byte, changes uint64) {
	return q.table.Encode(scope, after, maxBytes, q.opt.Now())
}

// Merge adds evidence that was encoded an age ago or later, by another node or before a restart. It is part of this
// node's messages too if relay is set. Merge reports whether the quarantined parts have changed.
func (q *Quarantine) Merge(data []byte, relay bool, age time.Duration) (changed bool) {
	if len(data) == 0 || !q.table.Merge(data, relay, age, q.opt.Now()) {
		return false
	}
	q.apply()
	return true
}

// Expire drops evidence that no longer counts.
func (q *Quarantine) Expire() {
	if q.table.Expire(q.opt.Now()) {
		q.apply()
	}
}

// Suspects returns the quarantined parts.
func (q *Quarantine) Suspects() []quarantine.Suspect { return q.table.Suspects() }

// apply cancels the sends whose requests have quarantined parts and no event, and logs the parts.
func (q *Quarantine) apply() {
	suspects := q.table.Suspects()
	now := q.opt.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	cancelled := 0
	for s := range q.waiting {
		if q.table.Judge(s.parts, false, now).Refuse {
			delete(q.waiting, s)
			cancelled++
			// Closing a connection may take a system call.
			go s.cancel(errQuarantined)
		}
	}
	quarantined := make(map[quarantine.Part]bool, len(suspects))
	for _, s := range suspects {
		quarantined[s.Part] = true
		if !q.logged[s.Part] {
			event.PartQuarantined.Emit(q.opt.Logger, "part", s.Part.String(), "engines", s.Engines, "nodes", s.Nodes,
				"alternatives", s.Alternatives, "cancelled", cancelled)
		}
	}
	for part := range q.logged {
		if !quarantined[part] {
			event.PartReleased.Emit(q.opt.Logger, "part", part.String())
		}
	}
	q.logged = quarantined
}

// admit decides whether a request with parts may be sent.
func (q *Quarantine) admit(parts []quarantine.Part) quarantine.Verdict {
	if len(parts) == 0 {
		return quarantine.Verdict{}
	}
	return q.table.Judge(parts, q.opt.MayTry(), q.opt.Now())
}

// track notes a send that waits for its first event, so that it is cancelled when one of its parts is quarantined.
// It returns nil if that has already happened.
func (q *Quarantine) track(parts []quarantine.Part, cancel context.CancelCauseFunc) *waitingSend {
	s := &waitingSend{parts: parts, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Judge(parts, false, q.opt.Now()).Refuse {
		return nil
	}
	q.waiting[s] = struct{}{}
	return s
}

func (q *Quarantine) untrack(s *waitingSend) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, s)
}

// recordCrash records that an engine ended before it had survived the parts of a request. It reports whether one of
// the parts was in doubt in another crash too.
func (q *Quarantine) recordCrash(parts []quarantine.Part, engine uint32) (inDoubt bool) {
	now := q.opt.Now()
	if q.table.RecordCrash(parts, quarantine.Crash{Engine: engine, Observer: q.observer}, now) {
		q.apply()
	}
	q.opt.Announce()
	return q.table.InDoubt(parts, engine, now)
}

// recordSuccess records that an engine has survived the parts of a request.
func (q *Quarantine) recordSuccess(parts []quarantine.Part) {
	if q.table.RecordSuccess(parts, q.opt.Now()) {
		q.apply()
		q.opt.Announce()
	}
}

// recordResponse records that an engine has delivered an event or a complete response to a request that was sent at
// sentAt.
func (q *Quarantine) recordResponse(engine uint32, sentAt time.Time) {
	if q.table.RecordResponse(engine, sentAt, q.opt.Now()) {
		q.apply()
		q.opt.Announce()
	}
}

// engineHash returns the hash of an engine's incarnation.
func engineHash(b *backends.Backend) uint32 {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(b.ID)
	var started [8]byte
	binary.BigEndian.PutUint64(started[:], uint64(b.Started))
	_, _ = h.Write(started[:])
	return uint32(h.Sum64())
}

// endedByBackend reports whether an error states that the other side ended the connection.
func endedByBackend(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hashedParts returns the hashes of the leading parts.
func (a *activeRequest) hashedParts() []quarantine.Part {
	if a.partHashes == nil {
		for _, p := range a.leadingParts() {
			a.partHashes = append(a.partHashes, quarantine.PartOf(a.request.Model, p.ID))
		}
	}
	return a.partHashes
}

// isQuarantined reports whether the request must not be sent because of one of its parts.
func (a *activeRequest) isQuarantined() bool {
	if a.trial {
		return false
	}
	verdict := a.router.opt.Quarantine.admit(a.hashedParts())
	if verdict.Trial {
		a.trial = true
		event.PartTried.Emit(a.router.opt.Logger, "request", a.request.ID, "parts", a.leadingPartIDs())
	}
	if verdict.Refuse {
		a.retryAfter = verdict.RetryAfter
		a.trace.Add(event.PartRefused, "part", a.request.PromptParts[verdict.Index].ID, "hash", a.hashedParts()[verdict.Index].String(),
			"retry_after_ms", verdict.RetryAfter.Milliseconds())
	}
	return verdict.Refuse
}

// hasQuarantinedPart reports whether one of the request's parts is quarantined, and the request is no trial.
func (a *activeRequest) hasQuarantinedPart() bool {
	q := a.router.opt.Quarantine
	return !a.trial && q.table.Judge(a.hashedParts(), false, q.opt.Now()).Refuse
}

// cancelUnusedTrial allows a further trial if this one has reached no engine.
func (a *activeRequest) cancelUnusedTrial() {
	if a.trial && a.sends == 0 {
		a.router.opt.Quarantine.table.CancelTrial(a.hashedParts())
	}
}

// trackSend returns a context that ends when one of the request's parts is quarantined before the first event. It
// reports false if that has already happened. stop must be called at the end of the send.
func (a *activeRequest) trackSend(parent context.Context) (ctx context.Context, stop func(), ok bool) {
	a.waiting = nil
	parts := a.hashedParts()
	if len(parts) == 0 || a.trial || a.headerWritten {
		return parent, func() {}, true
	}
	ctx, cancel := context.WithCancelCause(parent)
	s := a.router.opt.Quarantine.track(parts, cancel)
	if s == nil {
		cancel(nil)
		return nil, nil, false
	}
	a.waiting = s
	return ctx, func() {
		a.router.opt.Quarantine.untrack(s)
		cancel(nil)
	}, true
}

// minSoundStream is the time from the first event of a stream to a later one after which its parts count as sound. An
// engine that crashes on a part does so as it begins to write the answer, which may be some events later.
const minSoundStream = time.Second

// recordEvent records that the engine has delivered an event or a complete response. An event shows that the engine
// has survived what came before the request, and only after minSoundStream that it survives the request's parts. A
// header alone is no sign of either: the process that accepts requests may outlive the one that generates.
func (a *activeRequest) recordEvent(c *backends.Choice) {
	if a.eventDelivered && (a.shownSound || len(a.hashedParts()) == 0) {
		// Reading the clock takes two system calls, and streams have many events.
		return
	}
	now := a.router.opt.Quarantine.opt.Now()
	if a.eventDelivered {
		if now.Sub(a.firstEventAt) >= minSoundStream {
			a.recordSound()
		}
		return
	}
	a.eventDelivered, a.firstEventAt = true, now
	if a.waiting != nil {
		a.router.opt.Quarantine.untrack(a.waiting)
		a.waiting = nil
	}
	a.router.opt.Quarantine.recordResponse(engineHash(&c.Backend), a.quarantineSentAt)
}

// recordComplete records that the engine has delivered a complete response.
func (a *activeRequest) recordComplete(c *backends.Choice) {
	a.recordEvent(c)
	a.recordSound()
}

// recordSound records that the engine has survived the request's parts.
func (a *activeRequest) recordSound() {
	if parts := a.hashedParts(); len(parts) > 0 && !a.shownSound {
		a.router.opt.Quarantine.recordSuccess(parts)
	}
	a.shownSound = true
}

// recordEnd records that an engine ended the connection of a send before it was shown to survive the request's parts.
// It reports whether the request should not go to a further engine, because it was a trial or one of its parts was in
// doubt in another crash too. ended is why this node ended the send, or nil if it did not.
func (a *activeRequest) recordEnd(ended error, c *backends.Choice, err error) (inDoubt bool) {
	parts := a.hashedParts()
	if len(parts) == 0 || a.shownSound || ended != nil || a.req.Context().Err() != nil || !endedByBackend(err) {
		return false
	}
	inDoubt = a.router.opt.Quarantine.recordCrash(parts, engineHash(&c.Backend))
	return inDoubt || a.trial
}
