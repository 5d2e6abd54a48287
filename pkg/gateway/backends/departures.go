package backends

import (
	"maps"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

const (
	// departureTTL is the time for which the departure of a server is remembered. It exceeds the age of a copy that a store
	// is restored from.
	departureTTL = 2 * time.Minute
	// maxDepartures bounds the remembered departures.
	maxDepartures = 1024
	// relistTime is the time after which a server that is listed again counts as running although its listing says nothing
	// new: the platform removes the listing of a server that is silent for three heartbeats.
	relistTime = 6 * time.Second
)

// departure is the last listing of a backend server that is no longer listed.
type departure struct {
	Backend
	at time.Time
	// stated is what the server has stated in its responses.
	stated statements
	// relisted is a listing that came after the departure and precedes it, since relistedAt.
	relisted   *Backend
	relistedAt time.Time
}

// precedes reports whether a listing is of before the departure: it is of the same start, and the server had already
// announced that it would stop, or the listing says nothing newer.
func (d *departure) precedes(b Backend) bool {
	return d.restores(&b) && (d.Leaving || b.saysNothingNewerThan(&d.Backend))
}

// saysNothingNewerThan reports whether a server has written a listing no later than another one since the same start. It
// returns false if that is not known.
func (b *Backend) saysNothingNewerThan(other *Backend) bool {
	return b.Heartbeat > 0 && b.Heartbeat <= other.Heartbeat
}

// restores reports whether a listing is of the same start as the departure: the entry had only lapsed, so that what the
// server stated still counts.
func (d *departure) restores(b *Backend) bool {
	return d != nil && d.sameGeneration(b) && clock.Since(d.at) < departureTTL
}

func (d *departure) relist(b Backend) {
	if d.relisted == nil {
		d.relistedAt = clock.Now()
	}
	d.relisted = &b
}

// departLocked removes a server and remembers its last listing.
func (r *Registry) departLocked(m *member) {
	r.removeLocked(m)
	if len(r.departed) >= maxDepartures {
		maps.DeleteFunc(r.departed, func(_ string, d *departure) bool { return clock.Since(d.at) >= departureTTL })
	}
	if len(r.departed) < maxDepartures {
		d := &departure{Backend: m.Backend, at: clock.Now(), stated: m.statements}
		d.Leaving = m.leaves()
		if !m.relistedAt.IsZero() {
			d.relisted, d.relistedAt = &d.Backend, m.relistedAt
		}
		r.departed[m.ID] = d
	}
}

// AdmitRelisted adds the servers that have been listed again for relistTime without news, and returns their IDs.
func (r *Registry) AdmitRelisted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var admitted []string
	for id, d := range r.departed {
		if d.relisted != nil && !d.Leaving && clock.Since(d.relistedAt) >= relistTime {
			r.putLocked(*d.relisted)
			admitted = append(admitted, id)
		}
	}
	return admitted
}

// ListedIDs returns the IDs of all known backend servers and of those that are listed again after they departed.
func (r *Registry) ListedIDs() []string {
	ids := r.IDs()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, d := range r.departed {
		if d.relisted != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// MarkSuspectUntil marks backend servers that are missing from a list which followed an outage of the store. They get no
// request from until on, unless it is zero. Put clears the mark.
func (r *Registry) MarkSuspectUntil(ids []string, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if d := r.departed[id]; d != nil {
			d.relisted = nil
		}
		if m := r.members[id]; m != nil && m.suspectSince.IsZero() {
			m.suspectSince, m.suspectUntil, m.relistedAt = now, until, time.Time{}
		}
	}
}

// RemoveSuspects drops backend servers that have been suspect for timeout and returns their IDs.
func (r *Registry) RemoveSuspects(now time.Time, timeout time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var removed []string
	for id, m := range r.members {
		if !m.suspectSince.IsZero() && now.Sub(m.suspectSince) >= timeout {
			r.departLocked(m)
			removed = append(removed, id)
		}
	}
	return removed
}
