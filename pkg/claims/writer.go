package claims

import (
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// Limits of a writer.
const (
	// MaxBatch is the largest number of requests in one conditional update.
	MaxBatch = 256
	// MaxQueue is the number of requests that wait for a shard's writer before further claims
	// are refused. At one commit a second they wait about 4 s.
	MaxQueue = 4 * MaxBatch
	// RefuseFor is the time for which a writer refuses at once after the object API has failed,
	// before one request probes it again.
	RefuseFor = 500 * time.Millisecond

	// maxTries bounds the reads and writes for one batch. Each conflict means that another node
	// made progress, so a few tries suffice when two nodes take turns.
	maxTries = 10
)

// ActionKind is what a writer wants its controller to do.
type ActionKind int

// Kinds of actions.
const (
	None ActionKind = iota
	Read
	Write
	// Delete removes an object, whatever its version. Its failure does no harm.
	Delete
)

// Action is one call of the object API. Its result goes to ReadDone, WriteDone or DeleteDone.
type Action struct {
	Kind ActionKind
	// Name is the object.
	Name      string
	Value     []byte
	IfVersion uint64
}

// Writer groups the claims of one shard into conditional updates. It is not safe for
// concurrent use.
type Writer struct {
	name string
	// known is the last journal read or written; current tells whether it may serve as the base
	// of an update.
	known   *Journal
	version uint64
	current bool

	queue []Op
	batch []Op
	// staged is the journal with the changes of batch, while it is being written.
	staged  *Journal
	replies []Reply
	// fresh tells whether the journal was read for this batch.
	fresh bool
	busy  bool
	tries int

	failing     bool
	refuseUntil time.Time

	// loading is a journal whose segments are being read, reading the object of the last read.
	loading *Journal
	reading string
	// sealing is a segment on its way; sealed tells that it is stored and can be adopted.
	sealing   *sealing
	sealed    bool
	sealAfter time.Time
	sealBytes int
	sealAge   time.Duration
	// garbage are segments that no journal names any more.
	garbage []string
	// dropped become garbage when the staged journal has been written.
	dropped []string
}

// NewWriter returns a writer of a shard that has not read its journal yet.
func NewWriter(shard int) *Writer {
	return &Writer{name: ObjectName(shard), known: NewJournal(), sealBytes: sealBytes, sealAge: sealAge}
}

// Submit adds a request. If the object API is known to fail or too many requests wait, it answers
// at once with ok true. Outcomes are always taken, because they end claims.
func (w *Writer) Submit(op Op, now time.Time) (reply Reply, ok bool) {
	if w.Refusing(now) {
		return w.answerFromMemory(op, now), true
	}
	if op.Claim != nil && len(w.queue) >= MaxQueue {
		return Reply{Ticket: op.Ticket, Verdict: Full}, true
	}
	w.queue = append(w.queue, op)
	return Reply{}, false
}

// Refusing reports whether requests are answered without a call: shortly after a failure, and
// while one request probes the object API.
func (w *Writer) Refusing(now time.Time) bool {
	return w.failing && (now.Before(w.refuseUntil) || len(w.batch)+len(w.queue) > 0)
}

// Idle reports whether the writer waits for requests.
func (w *Writer) Idle() bool {
	return !w.busy && len(w.queue) == 0 && len(w.batch) == 0 && len(w.garbage) == 0
}

// Peek returns the kind of call that Next would return, without starting it. A controller that
// paces its writes waits between the two, so that requests that arrive meanwhile join the write.
func (w *Writer) Peek(now time.Time) ActionKind {
	batch := append(w.batch[:len(w.batch):len(w.batch)], w.queue...)
	switch {
	case w.busy || w.Idle():
		return None
	case len(batch) == 0:
		return Delete
	case !w.current:
		return Read
	}
	_, _, changed, doubtful := w.stage(batch[:min(len(batch), MaxBatch)], now)
	switch {
	case doubtful && !w.fresh:
		return Read
	case changed:
		return Write
	default:
		return None
	}
}

// Next returns the next call of the object API, if any, and the replies that need none. It
// returns no action while a call is in progress.
func (w *Writer) Next(now time.Time) (Action, []Reply) {
	switch {
	case w.busy:
		return Action{}, nil
	case !w.fillBatch():
		return w.collect(), nil
	case !w.current:
		return w.read(), nil
	}
	staged, replies, changed, doubtful := w.stage(w.batch, now)
	switch {
	case doubtful && !w.fresh:
		// Another node may have settled these claims since the journal was cached.
		return w.read(), nil
	case !changed:
		return Action{}, w.finish(replies)
	case w.mustSeal(staged, now):
		w.busy = true
		return Action{Kind: Write, Name: w.sealing.segment.Name, Value: w.sealing.value}, nil
	}
	value, err := staged.Encode()
	if err != nil {
		return Action{}, w.fail(now)
	}
	w.busy, w.staged, w.replies = true, staged, replies
	return Action{Kind: Write, Name: w.name, Value: value, IfVersion: w.version}, nil
}

// mustSeal reports whether a segment has to be written before the staged journal.
func (w *Writer) mustSeal(staged *Journal, now time.Time) bool {
	if w.sealing != nil || staged.bytes+staged.bodyBytes < w.sealBytes || now.Before(w.sealAfter) {
		return false
	}
	w.sealing = w.known.seal(w.name, now, w.sealAge)
	if w.sealing == nil {
		w.sealAfter = now.Add(sealRetry)
	}
	return w.sealing != nil
}

// collect returns the deletion of a segment that is no longer named.
func (w *Writer) collect() Action {
	if len(w.garbage) == 0 {
		return Action{}
	}
	w.busy = true
	return Action{Kind: Delete, Name: w.garbage[0]}
}

// DeleteDone takes the end of a Delete. A segment that could not be deleted stays unused.
func (w *Writer) DeleteDone() {
	w.busy = false
	w.garbage = w.garbage[1:]
}

// fillBatch moves requests from the queue to the batch and reports whether there are any.
func (w *Writer) fillBatch() bool {
	n := min(len(w.queue), MaxBatch-len(w.batch))
	w.batch = append(w.batch, w.queue[:n]...)
	w.queue = w.queue[n:]
	return len(w.batch) > 0
}

// read returns the read of the journal, or of the next segment of a journal that has been read.
func (w *Writer) read() Action {
	w.busy, w.current, w.reading = true, false, w.name
	if w.loading != nil {
		w.reading = w.loading.missing()
	}
	return Action{Kind: Read, Name: w.reading}
}

// stage applies a batch to a copy of the journal. doubtful tells whether a reply depends on
// the journal being current.
func (w *Writer) stage(batch []Op, now time.Time) (staged *Journal, replies []Reply, changed, doubtful bool) {
	staged = w.known.clone()
	for _, op := range batch {
		reply, change := staged.apply(op, now)
		replies = append(replies, reply)
		changed = changed || change
		doubtful = doubtful || reply.Verdict == InProgress || reply.Verdict == Unknown || reply.Verdict == Full
	}
	w.dropped = nil
	if changed {
		if w.sealed {
			staged.adopt(w.sealing)
		}
		w.dropped = staged.trim(now)
	}
	return staged, replies, changed, doubtful
}

func (w *Writer) finish(replies []Reply) []Reply {
	for i := range replies {
		replies[i].Version = w.version
	}
	w.batch, w.staged, w.replies = nil, nil, nil
	w.tries, w.fresh, w.failing = 0, false, false
	return replies
}

// fail answers the batch without the object API. A claim that is answered Unavailable may still
// be in the journal: its attempt never sends and records NotSent later.
func (w *Writer) fail(now time.Time) []Reply {
	w.current, w.loading = false, nil
	w.failing = true
	w.refuseUntil = now.Add(RefuseFor)
	replies := make([]Reply, 0, len(w.batch)+len(w.queue))
	for _, op := range append(w.batch, w.queue...) {
		replies = append(replies, w.answerFromMemory(op, now))
	}
	w.batch, w.queue, w.staged, w.replies = nil, nil, nil, nil
	w.tries, w.fresh = 0, false
	return replies
}

// answerFromMemory answers from the last journal seen. Outcomes are final and a claim of this
// very attempt can only be settled by the attempt itself, so an old journal is good evidence
// for both; everything that would need a write is Unavailable.
func (w *Writer) answerFromMemory(op Op, now time.Time) Reply {
	reply, next := Reply{Verdict: Unavailable}, true
	if op.Claim != nil {
		r, change := w.known.claim(op.Claim, now)
		reply, next = r, change != nil || r.Verdict == Full
	}
	if next {
		reply = Reply{Verdict: Unavailable}
	}
	reply.Ticket = op.Ticket
	reply.Version = w.version
	return reply
}

// ReadDone takes the result of a Read. decodeErr is set if the journal or a segment is damaged;
// nothing is granted from it.
func (w *Writer) ReadDone(o objects.Object, err error, now time.Time) (replies []Reply, decodeErr error) {
	w.busy = false
	w.tries++
	absent := fault.Is(err, fault.NotFound)
	switch {
	case absent && w.reading == w.name:
		w.loading, w.version = NewJournal(), 0
	case absent && w.tries < maxTries:
		// The journal that names the segment was an old one.
		w.loading, w.current = nil, false
		return nil, nil
	case err != nil:
		return w.fail(now), nil
	case w.reading == w.name:
		w.loading, decodeErr = Decode(o.Value)
		w.version = o.Version
	default:
		w.loading.parts[w.reading], decodeErr = decodeSegment(w.reading, o.Value)
	}
	if decodeErr != nil {
		return w.fail(now), decodeErr
	}
	w.loadParts()
	return nil, nil
}

// loadParts takes over the segments that are in memory already, and the journal when it has all.
func (w *Writer) loadParts() {
	for _, s := range w.loading.segments {
		if p, ok := w.known.parts[s.Name]; ok {
			w.loading.parts[s.Name] = p
		}
	}
	if w.loading.missing() == "" {
		w.known, w.current, w.fresh, w.loading = w.loading, true, true, nil
	}
}

// WriteDone takes the result of a Write. After a conflict or a lost answer the next action is a
// read, which shows whether the batch took effect.
func (w *Writer) WriteDone(version uint64, err error, now time.Time) []Reply {
	w.busy = false
	if w.staged == nil {
		w.segmentDone(err, now)
		return nil
	}
	w.tries++
	if err == nil {
		w.known, w.version, w.current = w.staged, version, true
		w.garbage = append(w.garbage, w.dropped...)
		if w.sealed {
			w.sealing, w.sealed = nil, false
		}
		return w.finish(w.replies)
	}
	w.current, w.staged, w.replies = false, nil, nil
	unsettled := fault.Is(err, fault.Conflict) || fault.As(err).Work == fault.Unknown
	if unsettled && w.tries < maxTries {
		return nil
	}
	return w.fail(now)
}

// segmentDone takes the result of writing a segment. A conflict means that it is stored already.
// After any other failure the claims stay in the journal for now.
func (w *Writer) segmentDone(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) {
		w.sealed = true
		return
	}
	w.sealing, w.sealAfter = nil, now.Add(sealRetry)
}
