package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// Source names where evidence about a backend comes from.
type Source string

// Sources of evidence.
const (
	// FromList is the platform's VM list, which lags and may flap.
	FromList Source = "vm_list"
	// FromBackend is what the backend says of itself.
	FromBackend Source = "backend"
)

// LeavingConfig sets the detection. Zero values take the defaults stated at each field.
type LeavingConfig struct {
	// ReturnAfter is how long observations must be steady before a leaving backend returns.
	// It doubles with each return that was taken back, up to MaxReturnAfter. Defaults 10 s
	// and 2 min.
	ReturnAfter    time.Duration
	MaxReturnAfter time.Duration
	// ForgetFlaps is the quiet time after which the doubling starts over. Default 10 min.
	ForgetFlaps time.Duration
	// MinUsableShare is the share of a pool that the list alone cannot take out, rounded up.
	// Default 0.2.
	MinUsableShare float64
	// AliveFor is how long an answer counts as proof that a backend runs. Default 5 s.
	AliveFor time.Duration
}

func (c LeavingConfig) withDefaults() LeavingConfig {
	defaults.Set(&c.ReturnAfter, 10*time.Second)
	defaults.Set(&c.MaxReturnAfter, 2*time.Minute)
	defaults.Set(&c.ForgetFlaps, 10*time.Minute)
	defaults.Set(&c.MinUsableShare, 0.2)
	defaults.Set(&c.AliveFor, 5*time.Second)
	return c
}

// Evidence tells why a backend counts as leaving.
type Evidence struct {
	Source Source
	// Since is the time of the first observation since the backend last counted as staying.
	Since time.Time
	// Last is the time of the latest observation that it leaves.
	Last time.Time
}

// Leaving decides which backends leave. One observation is enough to leave; a return takes
// steady evidence. It is not safe for concurrent use.
type Leaving struct {
	config   LeavingConfig
	backends map[string]*leaver
}

type leaver struct {
	// says holds the latest word of each source.
	says     map[Source]observation
	leaving  bool
	evidence Evidence
	// stayingSince and stayingLast bound the steady observations that support a return. Zero
	// means that there are none. Silence after stayingLast is no evidence.
	stayingSince time.Time
	stayingLast  time.Time
	flaps        int
	returned     time.Time
	answered     time.Time
	failed       time.Time
}

type observation struct {
	leaving bool
	at      time.Time
}

// NewLeaving returns a detector without observations.
func NewLeaving(config LeavingConfig) *Leaving {
	return &Leaving{config: config.withDefaults(), backends: map[string]*leaver{}}
}

// Observe notes what a source says about a backend. observed is the time of the observation;
// one that is older than the latest of its source changes nothing.
func (l *Leaving) Observe(observed time.Time, id string, source Source, leaving bool) {
	b := l.backend(id)
	if observed.Before(b.says[source].at) {
		return
	}
	b.says[source] = observation{leaving: leaving, at: observed}
	if leaving {
		l.mark(observed, b, source)
		return
	}
	if !b.leaving || !b.allStay() {
		return
	}
	if b.stayingSince.IsZero() {
		b.stayingSince = observed
	}
	b.stayingLast = observed
}

// Answered notes whether a request or probe of a backend got an answer.
func (l *Leaving) Answered(now time.Time, id string, ok bool) {
	b := l.backend(id)
	if ok {
		b.answered = now
		return
	}
	b.failed = now
}

// Forget drops a backend that is no member any more.
func (l *Leaving) Forget(id string) { delete(l.backends, id) }

func (l *Leaving) backend(id string) *leaver {
	b := l.backends[id]
	if b == nil {
		b = &leaver{says: map[Source]observation{}}
		l.backends[id] = b
	}
	return b
}

func (b *leaver) allStay() bool {
	for _, o := range b.says {
		if o.leaving {
			return false
		}
	}
	return true
}

func (l *Leaving) mark(observed time.Time, b *leaver, source Source) {
	b.stayingSince = time.Time{}
	b.evidence.Last = observed
	if b.leaving {
		if source == FromBackend {
			b.evidence.Source = source
		}
		return
	}
	if !b.returned.IsZero() {
		b.flaps++
		if observed.Sub(b.returned) > l.config.ForgetFlaps {
			b.flaps = 0
		}
	}
	b.leaving = true
	b.evidence = Evidence{Source: source, Since: observed, Last: observed}
}

// Leaving reports whether a backend leaves at now, and on what evidence.
func (l *Leaving) Leaving(now time.Time, id string) (bool, Evidence) {
	b := l.backends[id]
	if b == nil || !b.leaving {
		return false, Evidence{}
	}
	if b.stayingSince.IsZero() || b.stayingLast.Sub(b.stayingSince) < l.returnAfter(b) {
		return true, b.evidence
	}
	b.leaving = false
	b.returned = now
	b.stayingSince = time.Time{}
	return false, Evidence{}
}

func (l *Leaving) returnAfter(b *leaver) time.Duration {
	return min(l.config.ReturnAfter<<min(b.flaps, 16), l.config.MaxReturnAfter)
}

// Usable returns the members of a pool that may get new work, in order of ids. If the list takes
// out more than its share, it is not believed for the backends that answered most recently. A
// backend that announces its leaving or does not answer is never kept.
func (l *Leaving) Usable(now time.Time, ids []string) []string {
	usable := make([]string, 0, len(ids))
	var doubtful []string
	for _, id := range ids {
		leaving, evidence := l.Leaving(now, id)
		switch {
		case !leaving:
			usable = append(usable, id)
		case evidence.Source == FromList && l.alive(now, id):
			doubtful = append(doubtful, id)
		}
	}
	missing := int(math.Ceil(float64(len(ids))*l.config.MinUsableShare)) - len(usable)
	if missing > 0 {
		slices.SortFunc(doubtful, l.mostRecentAnswer)
		usable = append(usable, doubtful[:min(missing, len(doubtful))]...)
	}
	slices.Sort(usable)
	return usable
}

// alive reports whether the latest word of the backend itself is a recent answer.
func (l *Leaving) alive(now time.Time, id string) bool {
	b := l.backends[id]
	return now.Sub(b.answered) <= l.config.AliveFor && !b.failed.After(b.answered)
}

func (l *Leaving) mostRecentAnswer(a, b string) int {
	if c := l.backends[b].answered.Compare(l.backends[a].answered); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
