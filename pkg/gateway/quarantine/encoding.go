package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// ageUnit is the unit of encoded ages. An age up to 2 s takes one byte, and one up to 4 min two.
	ageUnit = 16 * time.Millisecond
	// soundFlag is set in the count of the pairs of an encoded record that has a time of success, and in the
	// observer of a crash before which the part was sound.
	soundFlag = 0x80
	// spreadFlag is set in that count if a node has counted enough moments.
	spreadFlag = 0x40
	// partBytes and crashBytes are the sizes of an encoded Part and Crash.
	partBytes  = 8
	crashBytes = 5
)

// Scope determines which records a message contains.
type Scope int

const (
	// Recent are the records that have changed a moment ago.
	Recent Scope = iota
	// All are the recent records and the quarantined parts.
	All
	// Quarantined are the quarantined parts only.
	Quarantined
)

// Encode returns the records in scope that have changed after a number of changes, in at most maxBytes, and the
// present number of changes. Those with the most evidence come first. Without records, the result is nil.
func (t *Table) Encode(scope Scope, after uint64, maxBytes int, now time.Time) (data []byte, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil, t.changes
	}
	var parts []Part
	for part, r := range t.records {
		_, quarantined := t.suspects[part]
		if r.change > after && (scope != Quarantined && now.Before(r.announceUntil) || scope != Recent && quarantined) {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, t.compareLocked)
	for _, part := range parts {
		size := len(data)
		if data = t.records[part].appendTo(data, part, now); len(data) > maxBytes {
			if size == 0 {
				return nil, t.changes
			}
			return slices.Clip(data[:size]), t.changes
		}
	}
	return data, t.changes
}

func (r *record) appendTo(data []byte, part Part, now time.Time) []byte {
	data = binary.BigEndian.AppendUint64(data, uint64(part))
	count := byte(len(r.pairs))
	header := count
	if r.spread {
		header |= spreadFlag
	}
	if !r.soundAt.IsZero() && now.Sub(r.soundAt) <= forgetAfter {
		data = append(data, header|soundFlag)
		data = appendAge(data, now.Sub(r.soundAt))
	} else {
		data = append(data, header)
	}
	if count > 0 {
		data = appendAge(data, now.Sub(r.lastAt))
	}
	for _, p := range r.pairs {
		data = binary.BigEndian.AppendUint32(data, p.crash.Engine)
		observer := p.crash.Observer &^ soundFlag
		if p.soundBefore {
			observer |= soundFlag
		}
		data = append(data, observer)
		data = appendAge(data, now.Sub(p.at))
	}
	return data
}

func appendAge(data []byte, age time.Duration) []byte {
	return binary.AppendUvarint(data, uint64(max(age, 0)/ageUnit))
}

// Merge adds records that were encoded an age before now, by another node or before a restart. What is new is part of
// this node's messages too if relay is set. Merge ignores the rest of malformed data. It reports whether the quarantined
// parts have changed.
func (t *Table) Merge(data []byte, relay bool, age time.Duration, now time.Time) (changed bool) {
	if len(data) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for len(data) > partBytes {
		part := Part(binary.BigEndian.Uint64(data))
		received, rest, ok := decodeRecord(data[partBytes:], now.Add(-age))
		if !ok {
			break
		}
		data = rest
		r := t.recordLocked(part, now)
		if t.addOwnSuccessLocked(part, &received) {
			// The sender may not know of it.
			r.merge(received, now)
			t.changedLocked(r, now, true)
			news = true
		} else if r.merge(received, now) {
			t.changedLocked(r, now, relay)
			news = true
		}
		if len(received.pairs) > 0 && len(r.pairs) == 0 && received.soundAt.Before(r.soundAt.Add(-momentGap)) {
			// The sender does not know of the success.
			t.changedLocked(r, now, relay)
		}
		for _, p := range received.pairs {
			if now.Sub(p.at) <= endedTTL {
				t.noteEndLocked(p.crash.Engine, p.at)
			}
		}
	}
	news = t.applySurvivalLocked(now, relay) || news
	return news && t.judgeLocked(now)
}

// addOwnSuccessLocked adds this node's last success with a part to a received record. It reports whether that voids a
// pair or shows that the part was sound before one.
func (t *Table) addOwnSuccessLocked(part Part, received *record) (changed bool) {
	soundAt := t.lastSoundLocked(part)
	if soundAt.IsZero() {
		return false
	}
	for i := range received.pairs {
		p := &received.pairs[i]
		switch age := p.at.Sub(soundAt); {
		case p.at.Before(received.soundAt):
		case age <= 0:
			received.soundAt, changed = soundAt, true
		case age <= soundTTL && !p.soundBefore:
			p.soundBefore, changed = true, true
		}
	}
	return changed
}

// merge adds a record of another node. It reports whether that has changed this one.
func (r *record) merge(received record, now time.Time) (changed bool) {
	if len(r.pairs) > 0 || received.soundAt.Sub(r.soundAt) > momentGap {
		pairs := len(r.pairs)
		later := received.soundAt.Sub(r.soundAt) > momentGap
		changed = r.succeed(received.soundAt) && (later || len(r.pairs) < pairs)
	}
	for _, p := range received.pairs {
		changed = r.add(p) || changed
	}
	if len(r.pairs) > 0 && received.lastAt.After(r.soundAt) {
		changed = r.observeLast(received.lastAt) || changed
	}
	if received.spread && !r.spread && len(r.pairs) >= minMoments {
		r.spread, changed = true, true
	}
	// The pairs are judged together: those of a quarantine do not expire.
	r.expire(now)
	return changed
}

// decodeRecord decodes a record without its part, as of now, and returns the remaining data.
func decodeRecord(data []byte, now time.Time) (r record, rest []byte, ok bool) {
	header := data[0]
	data = data[1:]
	if header&soundFlag != 0 {
		if r.soundAt, data, ok = decodeTime(data, now); !ok {
			return r, nil, false
		}
	}
	count := header &^ (soundFlag | spreadFlag)
	r.spread = header&spreadFlag != 0
	if count > 0 {
		if r.lastAt, data, ok = decodeTime(data, now); !ok {
			return r, nil, false
		}
	}
	for range count {
		if len(data) < crashBytes {
			return r, nil, false
		}
		p := pair{crash: Crash{Engine: binary.BigEndian.Uint32(data), Observer: data[4] &^ soundFlag}, soundBefore: data[4]&soundFlag != 0}
		if p.at, data, ok = decodeTime(data[crashBytes:], now); !ok {
			return r, nil, false
		}
		r.pairs = append(r.pairs, p)
	}
	return r, data, true
}

func decodeTime(data []byte, now time.Time) (at time.Time, rest []byte, ok bool) {
	age, n := binary.Uvarint(data)
	if n <= 0 || age > uint64(math.MaxInt64/ageUnit) {
		return time.Time{}, nil, false
	}
	return now.Add(-time.Duration(age) * ageUnit), data[n:], true
}
