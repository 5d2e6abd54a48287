// Package quarantine finds prompt parts on which engines crash. The evidence is a pair of a part and an engine
// incarnation: the engine's connection ended before it had survived a request with the part. A crash leaves such a pair
// for each part of each request in doubt, most of them sound. What tells the sound parts apart is that requests
// with them succeed elsewhere, which voids their pairs. A part that collects pairs at several engines and succeeds
// nowhere is quarantined: requests with it are refused. An engine that serves a request that was sent just after the
// crash has not crashed; only its connection ended.
//
// The state merges in any order and any number of times, so that nodes can exchange it in datagrams.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/compare"
)

// Part is the hash of a model and the ID of a prompt part.
type Part uint64

// PartOf returns the hash of a prompt part of a model.
func PartOf(model, id string) Part {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return Part(h.Sum64())
}

// String returns the hash in hexadecimal.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Crash is an engine that ended under a request.
type Crash struct {
	// Engine is the hash of the engine's incarnation.
	Engine uint32
	// Observer is a 7-bit hash of the node that observed it.
	Observer uint8
}

const (
	// minMoments is the number of crashes at different moments from which a part is quarantined, if at least
	// minObservers nodes have observed them. A node whose own connections fail is no second observer.
	minMoments   = 3
	minObservers = 2
	// minMomentsAlone replaces minMoments if a single node has observed all of them.
	minMomentsAlone = 5
	// minSpanSoundBefore is the time between the first and the last crash that is also necessary if requests with
	// the part succeeded a moment before. In that time all nodes learn of a success in between, also in large fleets.
	minSpanSoundBefore = 2 * time.Second
	// soundTTL is the time after a success for which a part counts as sound before a crash, and maxSound bounds the
	// parts whose successes a node remembers.
	soundTTL = 10 * time.Second
	maxSound = 4096
	// momentGap is the time within which the ends of several engines count as one: they have a common cause, such
	// as a reset of a node's connections or a loss of power, and not a request each.
	momentGap = 100 * time.Millisecond
	// maxSurvivalDelay is the time after the end of a connection within which a request must have been sent for its
	// response to show that the engine is still the same process. An engine that restarts loads its weights first.
	maxSurvivalDelay = time.Second
	// endedTTL is the time for which an engine is noted whose connection ended. Messages may tell later that it survived.
	endedTTL = 2 * announceTime
	// evidenceTTL is the time for which a pair counts, unless its part is quarantined. Requests with a bad part may be
	// minutes apart.
	evidenceTTL = 10 * time.Minute
	// minTrialDelay is the shortest time without a crash after which a quarantined part is tried again by one
	// request, and maxTrialDelay the longest. minTrialDelaySoundBefore replaces the shortest if requests with the part
	// succeeded a moment before a crash: after an outage of all engines, most requests have such a part. The delay is
	// trialDelayFactor times the time from the first crash to the last one, and so grows with each failed trial. A trial
	// can end an engine with all of its requests.
	minTrialDelay            = 60 * time.Second
	minTrialDelaySoundBefore = 5 * time.Second
	maxTrialDelay            = 30 * time.Minute
	trialDelayFactor         = 2
	// forgetAfter is the time after the last crash at which a quarantine ends if no request has asked for the part.
	forgetAfter = 2 * maxTrialDelay
	// maxPairs bounds the pairs of a part. Those with the lowest engine hashes are kept: of two parts that were in
	// doubt in the same crashes, the same ones remain, in whatever order nodes learn of them.
	maxPairs = 8
	// maxParts bounds the parts. Those with the fewest and oldest pairs are dropped first.
	maxParts = 2048
	// maxCandidates bounds the parts that are compared with each other. Those with the most crashes are compared.
	maxCandidates = 64
	// announceTime is the time for which a change is part of all messages.
	announceTime = 5 * time.Second
)

// pair is a crash in which a part was in doubt.
type pair struct {
	crash Crash
	at    time.Time
	// soundBefore is set if a node had seen a request with the part succeed within soundTTL before the crash.
	soundBefore bool
}

// record is the evidence about a part.
type record struct {
	// pairs are those that are not void, by engine hash, and lastAt is the time of the last crash, also if its pair
	// is not kept.
	pairs  []pair
	lastAt time.Time
	// spread is set once a node has counted minMoments in pairs. Nodes date a crash differently by some milliseconds,
	// and must judge alike.
	spread bool
	// soundAt is the time of the last known success. It voids the pairs up to then.
	soundAt time.Time
	// announceUntil is the time until which the record is part of all messages, and change the number of its last
	// change.
	announceUntil time.Time
	change        uint64
	// triedAt is the time of this node's last trial of the part.
	triedAt time.Time
}

// Table is the evidence about all parts, as a node knows it. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Part]*record
	changes uint64
	// suspects holds the parts with enough pairs for a quarantine, with the parts that are on the same crashes, or
	// itself alone. Parts whose crashes another part explains are not in it.
	suspects map[Part][]Part
	// sound holds the times of this node's successes since soundSince, and soundBefore those of the time before.
	sound, soundBefore map[Part]time.Time
	soundSince         time.Time
	// ended holds the engines with pairs from the last endedTTL, with the time of the first of them.
	ended map[uint32]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Part]*record{}, suspects: map[Part][]Part{}, sound: map[Part]time.Time{}, ended: map[uint32]time.Time{}}
}

// RecordCrash records that an engine ended before it had survived a request with parts. It reports whether the
// quarantined parts have changed.
func (t *Table) RecordCrash(parts []Part, crash Crash, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		r := t.recordLocked(part, now)
		r.expire(now)
		if r.add(pair{crash: crash, at: now, soundBefore: now.Sub(t.lastSoundLocked(part)) <= soundTTL}) {
			t.changedLocked(r, now, true)
		}
	}
	t.noteEndLocked(crash.Engine, now)
	return t.judgeLocked(now)
}

// noteEndLocked notes that a connection of an engine ended.
func (t *Table) noteEndLocked(engine uint32, at time.Time) {
	if first, ok := t.ended[engine]; !ok || at.Before(first) {
		t.ended[engine] = at
	}
}

// RecordResponse records that an engine has delivered an event or a complete response to a request that was sent at
// sentAt. It reports whether the quarantined parts have changed.
func (t *Table) RecordResponse(engine uint32, sentAt, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first, ok := t.ended[engine]; !ok || !sentAt.After(first) {
		return false
	}
	return t.surviveLocked(engine, sentAt, now, true) && t.judgeLocked(now)
}

// survivalPart returns the part under which messages tell that an engine has survived. The time of success in its record
// is that at which the request was sent.
func survivalPart(engine uint32) Part {
	return PartOf("\x00engine", strconv.FormatUint(uint64(engine), 16))
}

// surviveLocked deletes the pairs of an engine that has responded to a request which was sent at sentAt, within
// maxSurvivalDelay after the end of the connection. It reports whether there were any.
func (t *Table) surviveLocked(engine uint32, sentAt, now time.Time, announce bool) (deleted bool) {
	delete(t.ended, engine)
	for part, r := range t.records {
		i, found := slices.BinarySearchFunc(r.pairs, pair{crash: Crash{Engine: engine}}, comparePairs)
		if !found {
			continue
		}
		at := r.pairs[i].at
		if delay := sentAt.Sub(at); delay <= 0 || delay > maxSurvivalDelay {
			if delay <= 0 {
				t.noteEndLocked(engine, at)
			}
			continue
		}
		r.deletePairs(func(p pair) bool { return p.crash.Engine == engine })
		if t.changedLocked(r, now, false); len(r.pairs) == 0 && r.soundAt.IsZero() {
			delete(t.records, part)
		}
		deleted = true
	}
	if deleted {
		survival := t.recordLocked(survivalPart(engine), now)
		if sentAt.After(survival.soundAt) {
			survival.soundAt = sentAt
		}
		t.changedLocked(survival, now, announce)
	}
	return deleted
}

// applySurvivalLocked deletes the pairs of engines that have survived as other nodes tell.
func (t *Table) applySurvivalLocked(now time.Time, relay bool) (deleted bool) {
	for engine, first := range t.ended {
		if survival := t.records[survivalPart(engine)]; survival != nil && survival.soundAt.After(first) {
			deleted = t.surviveLocked(engine, survival.soundAt, now, relay) || deleted
		}
	}
	return deleted
}

// RecordSuccess records that an engine has survived a request with parts. It reports whether the
// quarantined parts have changed.
func (t *Table) RecordSuccess(parts []Part, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.soundSince) > soundTTL || len(t.sound) >= maxSound {
		t.sound, t.soundBefore, t.soundSince = map[Part]time.Time{}, t.sound, now
	}
	for _, part := range parts {
		t.sound[part] = now
	}
	if len(t.records) == 0 {
		return false
	}
	voided := false
	for _, part := range parts {
		// Without pairs, there is nothing to void.
		if r := t.records[part]; r != nil && len(r.pairs) > 0 {
			r.succeed(now)
			t.changedLocked(r, now, true)
			voided = true
		}
	}
	return voided && t.judgeLocked(now)
}

// lastSoundLocked returns the time of this node's last success with a part, or the zero time.
func (t *Table) lastSoundLocked(part Part) time.Time {
	if at, ok := t.sound[part]; ok {
		return at
	}
	return t.soundBefore[part]
}

// recordLocked returns the record of a part.
func (t *Table) recordLocked(part Part, now time.Time) *record {
	r := t.records[part]
	if r == nil {
		if len(t.records) >= maxParts {
			t.dropLocked(now)
		}
		r = &record{}
		t.records[part] = r
	}
	return r
}

// changedLocked notes a change of a record, and announces it in the next messages if announce is set.
func (t *Table) changedLocked(r *record, now time.Time, announce bool) {
	t.changes++
	r.change = t.changes
	if announce {
		r.announceUntil = now.Add(announceTime)
	}
}

// dropLocked drops expired records, and otherwise the quarter with the fewest and oldest pairs.
func (t *Table) dropLocked(now time.Time) {
	t.expireLocked(now)
	if len(t.records) < maxParts {
		return
	}
	parts := slices.SortedFunc(maps.Keys(t.records), func(a, b Part) int { return t.compareLocked(b, a) })
	for _, part := range parts[:maxParts/4] {
		delete(t.records, part)
	}
}

// compareLocked orders parts with more and newer evidence first.
func (t *Table) compareLocked(a, b Part) int {
	x, y := t.records[a], t.records[b]
	return cmp.Or(cmp.Compare(len(y.pairs), len(x.pairs)), cmp.Compare(y.change, x.change), cmp.Compare(a, b))
}

// add adds a pair unless it is known or void. It reports whether the record has changed.
func (r *record) add(p pair) (changed bool) {
	if !p.at.After(r.soundAt) {
		return false
	}
	i, known := slices.BinarySearchFunc(r.pairs, p, comparePairs)
	if known {
		old := &r.pairs[i]
		changed = p.soundBefore && !old.soundBefore
		old.soundBefore = old.soundBefore || p.soundBefore
		// A pair holds one of its observers. That there are two is kept in one pair at least.
		if p.crash.Observer != old.crash.Observer && r.hasSingleObserver() {
			old.crash.Observer, changed = p.crash.Observer, true
		}
		// A message makes a crash look later than it was, never earlier.
		if old.at.Sub(p.at) >= momentGap {
			old.at, changed = p.at, true
		}
		return changed
	}
	changed = r.observeLast(p.at)
	if i, _ = slices.BinarySearchFunc(r.pairs, p, comparePairs); i == maxPairs {
		return changed
	}
	r.pairs = slices.Insert(r.pairs, i, p)
	r.pairs = r.pairs[:min(len(r.pairs), maxPairs)]
	return true
}

// hasSingleObserver reports whether all pairs hold the same observer. With one pair, a second observer would replace
// the first one, and each of two nodes would announce that again and again.
func (r *record) hasSingleObserver() bool {
	return len(r.pairs) > 1 && !slices.ContainsFunc(r.pairs, func(p pair) bool { return p.crash.Observer != r.pairs[0].crash.Observer })
}

// observeLast updates the time of the last crash. It reports whether that has changed the record.
func (r *record) observeLast(at time.Time) (changed bool) {
	if at.Sub(r.lastAt) < momentGap {
		return false
	}
	r.lastAt = at
	return true
}

func comparePairs(a, b pair) int { return cmp.Compare(a.crash.Engine, b.crash.Engine) }

// succeed voids the pairs up to a time. It reports whether the record has changed.
func (r *record) succeed(at time.Time) bool {
	if !at.After(r.soundAt) {
		return false
	}
	r.soundAt = at
	r.deletePairs(func(p pair) bool { return !p.at.After(at) })
	return true
}

func (r *record) deletePairs(del func(pair) bool) {
	before := len(r.pairs)
	r.pairs = slices.DeleteFunc(r.pairs, del)
	r.spread = r.spread && len(r.pairs) == before
}

// expire drops pairs that are too old to count.
func (r *record) expire(now time.Time) {
	if len(r.pairs) == 0 {
		return
	}
	if r.suffices(r.pairs) {
		if now.Sub(r.lastAt) > forgetAfter {
			r.pairs = nil
		}
		return
	}
	r.deletePairs(func(p pair) bool { return now.Sub(p.at) > evidenceTTL })
}

// suffices reports whether pairs, which are some or all of the record's, suffice for a quarantine.
func (r *record) suffices(pairs []pair) bool {
	if len(pairs) < minMoments {
		return false
	}
	byTime := slices.SortedFunc(slices.Values(pairs), func(a, b pair) int { return a.at.Compare(b.at) })
	moments, observers := 0, map[uint8]bool{}
	var last time.Time
	for _, p := range byTime {
		observers[p.crash.Observer] = true
		if moments == 0 || p.at.Sub(last) >= momentGap {
			moments++
			last = p.at
		}
	}
	if wasSound(pairs) && byTime[len(byTime)-1].at.Sub(byTime[0].at) < minSpanSoundBefore {
		return false
	}
	enough := moments >= minMoments
	if len(pairs) == len(r.pairs) {
		enough = enough || r.spread || moments == minMoments-1 && r.lastAt.Sub(last) >= momentGap
		r.spread = enough
	}
	return enough && len(observers) >= minObservers || moments >= minMomentsAlone
}

// wasSound reports whether a request with the part succeeded a moment before one of the crashes.
func wasSound(pairs []pair) bool {
	return slices.ContainsFunc(pairs, func(p pair) bool { return p.soundBefore })
}

// Expire drops what no longer counts. It reports whether the quarantined parts have changed.
func (t *Table) Expire(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 && len(t.ended) == 0 {
		return false
	}
	t.expireLocked(now)
	return t.judgeLocked(now)
}

func (t *Table) expireLocked(now time.Time) {
	maps.DeleteFunc(t.ended, func(_ uint32, at time.Time) bool { return now.Sub(at) > endedTTL })
	for part, r := range t.records {
		r.expire(now)
		// The last success is kept for as long as messages may still report pairs before it.
		if len(r.pairs) == 0 && now.Sub(r.soundAt) > evidenceTTL && !now.Before(r.announceUntil) {
			delete(t.records, part)
		}
	}
}

// judgeLocked determines the suspects. It goes through the parts with enough pairs, those that had not been sound before
// and those with the most crashes first. A part whose crashes the suspects so far explain is none: each crash
// has one cause, and all parts of the requests in doubt have a pair. judgeLocked reports whether the suspects have
// changed.
func (t *Table) judgeLocked(now time.Time) (changed bool) {
	var candidates []Part
	for part, r := range t.records {
		if len(r.pairs) >= minMoments {
			r.expire(now)
			if r.suffices(r.pairs) {
				candidates = append(candidates, part)
			}
		}
	}
	if len(candidates) == 0 && len(t.suspects) == 0 {
		return false
	}
	slices.SortFunc(candidates, func(a, b Part) int { return cmp.Or(compareRecords(t.records[a], t.records[b]), cmp.Compare(a, b)) })
	candidates = candidates[:min(len(candidates), maxCandidates)]
	suspects := make(map[Part][]Part, len(candidates))
	var found []*record
	for i, part := range candidates {
		r := t.records[part]
		if !r.suffices(slices.DeleteFunc(slices.Clone(r.pairs), func(p pair) bool {
			return slices.ContainsFunc(found, func(suspect *record) bool { return suspect.explains(p) })
		})) {
			continue
		}
		same := []Part{part}
		for _, other := range candidates[i+1:] {
			if r.sameCrashes(t.records[other]) {
				same = append(same, other)
			}
		}
		for _, suspect := range same {
			suspects[suspect] = same
		}
		found = append(found, r)
	}
	changed = !maps.EqualFunc(t.suspects, suspects, slices.Equal[[]Part])
	t.suspects = suspects
	return changed
}

// compareRecords orders records of parts that had not been sound before first, then those with more crashes, then
// those with a later last one.
func compareRecords(a, b *record) int {
	return cmp.Or(compare.Bool(wasSound(a.pairs), wasSound(b.pairs)), cmp.Compare(len(b.pairs), len(a.pairs)),
		cmp.Compare(a.highestEngine(), b.highestEngine()), b.lastAt.Compare(a.lastAt))
}

// highestEngine returns the highest hash of the engines in a record. It is lower the more crashes a full one is a
// sample of.
func (r *record) highestEngine() uint32 { return r.pairs[len(r.pairs)-1].crash.Engine }

// explains reports whether the part was in doubt in a crash too. In a full record, that is unknown, and assumed, for
// the engines with higher hashes than it keeps, if the crash was between the first and the last of the record.
func (r *record) explains(p pair) bool {
	if len(r.pairs) == maxPairs && p.crash.Engine > r.highestEngine() && r.firstAt().Sub(p.at) < momentGap && p.at.Sub(r.lastAt) < momentGap {
		return true
	}
	_, found := slices.BinarySearchFunc(r.pairs, p, comparePairs)
	return found
}

// sameCrashes reports whether two parts were in doubt in the same crashes, and both or neither of them had been
// sound before.
func (r *record) sameCrashes(other *record) bool {
	return wasSound(r.pairs) == wasSound(other.pairs) && r.lastAt.Sub(other.lastAt).Abs() < momentGap &&
		slices.EqualFunc(r.pairs, other.pairs, func(a, b pair) bool { return a.crash.Engine == b.crash.Engine })
}

// Verdict is the decision about a request.
type Verdict struct {
	// Refuse is set if the request must not be sent. Index is then that of the part in the request.
	Refuse bool
	Index  int
	// RetryAfter is the time until the part may be tried again, if Refuse is set.
	RetryAfter time.Duration
	// Trial is set if the request is the one that tries a quarantined part again.
	Trial bool
}

// Judge decides about a request with parts. A quarantined part is tried again only if mayTry is set, which must hold
// on one node of the fleet.
//
// If several parts were in doubt in the same crashes, one of them is the cause. A request with all of them is
// refused. One with some of them is sent: its outcome tells which.
func (t *Table) Judge(parts []Part, mayTry bool, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return Verdict{}
	}
	verdict := Verdict{Trial: true}
	for i, part := range parts {
		same, ok := t.suspects[part]
		if !ok || slices.ContainsFunc(same, func(other Part) bool { return !slices.Contains(parts, other) }) {
			continue
		}
		if wait := t.records[part].trialAt().Sub(now); !mayTry || wait > 0 {
			verdict.Trial = false
			if !verdict.Refuse || wait > verdict.RetryAfter {
				verdict.Index, verdict.RetryAfter = i, max(wait, 0)
			}
		}
		verdict.Refuse = true
	}
	if !verdict.Refuse {
		return Verdict{}
	}
	if !verdict.Trial {
		return verdict
	}
	for _, part := range parts {
		if r := t.records[part]; r != nil {
			r.triedAt = now
		}
	}
	return Verdict{Trial: true}
}

// CancelTrial allows the next request to try parts whose trial has reached no engine.
func (t *Table) CancelTrial(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if r := t.records[part]; r != nil {
			r.triedAt = time.Time{}
		}
	}
}

// firstAt returns the time of the first crash that the record keeps.
func (r *record) firstAt() time.Time {
	first := r.lastAt
	for _, p := range r.pairs {
		if p.at.Before(first) {
			first = p.at
		}
	}
	return first
}

// trialAt returns the time from which the part may be tried again.
func (r *record) trialAt() time.Time {
	first, last := r.firstAt(), r.lastAt
	if r.triedAt.After(last) {
		last = r.triedAt
	}
	shortest := minTrialDelay
	if wasSound(r.pairs) {
		shortest = minTrialDelaySoundBefore
	}
	return last.Add(min(max(shortest, trialDelayFactor*last.Sub(first)), maxTrialDelay))
}

// InDoubt reports whether one of the parts was also in doubt when another engine crashed at another moment, and has
// succeeded neither a moment before nor since. A request that has just ended an engine should then not go to a further one.
func (t *Table) InDoubt(parts []Part, engine uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		r := t.records[part]
		if r == nil {
			continue
		}
		r.expire(now)
		for _, p := range r.pairs {
			if p.crash.Engine != engine && !p.soundBefore && now.Sub(p.at) >= momentGap {
				return true
			}
		}
	}
	return false
}

// Suspect describes a quarantined part.
type Suspect struct {
	Part Part
	// Engines is the number of engines that crashed, and Nodes that of the nodes that observed it.
	Engines, Nodes int
	// Alternatives is the number of other parts that were in doubt in the same crashes.
	Alternatives int
}

// Suspects returns the quarantined parts.
func (t *Table) Suspects() []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return nil
	}
	var suspects []Suspect
	for _, part := range slices.Sorted(maps.Keys(t.suspects)) {
		pairs := t.records[part].pairs
		observers := map[uint8]bool{}
		for _, p := range pairs {
			observers[p.crash.Observer] = true
		}
		suspects = append(suspects, Suspect{Part: part, Engines: len(pairs), Nodes: len(observers), Alternatives: len(t.suspects[part]) - 1})
	}
	return suspects
}
