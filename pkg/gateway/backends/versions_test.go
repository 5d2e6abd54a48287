package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/clock"
)

// Guards against an engine that carries out an order of before its restart, and for good counts as having the weights of
// before: no request fits it, and the leader does not order it to load the newer weights again.
func TestEngineCanGoBackToOlderWeights(t *testing.T) {
	const id, started = "e0", 7
	list := func(r *Registry, version int, heartbeat int64) {
		b := engine(id, version)
		b.Started, b.Heartbeat = started, heartbeat
		r.Put(b)
	}
	elapsed := func(r *Registry, d time.Duration) {
		known := r.members[id].versions["m"]
		known.at = known.at.Add(-d)
		r.members[id].versions["m"] = known
	}
	observe := func(r *Registry, version int, sentAt time.Time) { r.ObserveVersion(id, started, "m", version, sentAt) }
	announce := func(r *Registry, version int, revision int64) {
		r.ApplyStates([]State{{Hash: r.members[id].idHash, Version: version}}, revision, now, now)
	}
	tests := map[string]struct {
		change func(r *Registry)
		want   int
	}{
		"a newer listing":                                       {func(r *Registry) { list(r, 2, 6) }, 2},
		"an older listing":                                      {func(r *Registry) { list(r, 2, 4) }, 3},
		"an older listing after a newer one":                    {func(r *Registry) { list(r, 2, 6); list(r, 3, 5) }, 2},
		"a listing of before a response":                        {func(r *Registry) { observe(r, 4, time.Time{}); list(r, 3, 6) }, 4},
		"the newest listing again":                              {func(r *Registry) { list(r, 2, 6); list(r, 2, 6); list(r, 3, 7) }, 3},
		"a response to a later request":                         {func(r *Registry) { observe(r, 2, clock.Now().Add(time.Millisecond)) }, 2},
		"a response to an earlier request":                      {func(r *Registry) { observe(r, 2, clock.Now().Add(-time.Second)) }, 3},
		"the leader, at once":                                   {func(r *Registry) { announce(r, 2, 10) }, 3},
		"the leader, some time after a statement of the engine": {func(r *Registry) { elapsed(r, announcedLowerDelay); announce(r, 2, 10) }, 2},
		"a leader that lacks the newest listing":                {func(r *Registry) { elapsed(r, announcedLowerDelay); announce(r, 2, 9) }, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry("dc")
			b := engine(id, 3)
			b.Started, b.Heartbeat, b.Revision = started, 5, 10
			r.Put(b)
			test.change(r)
			assert.Equal(t, test.want, r.members[id].version("m"))
		})
	}
}

// Guards against a version of a response that the leader never checks again, although no listing has stated it since.
func TestVersionThatNoListingStatesIsUnconfirmed(t *testing.T) {
	r := newRegistry(1, func(_ int, b *Backend) { b.Heartbeat = 1 })
	isUnconfirmed := func() bool { return r.Engines("m", now)[0].Unconfirmed }
	r.ObserveVersion("e0", 0, "m", 2, time.Time{})
	assert.False(t, isUnconfirmed())
	r.members["e0"].versions["m"] = knownVersion{version: 2, at: clock.Now().Add(-confirmInterval)}
	assert.True(t, isUnconfirmed())
	r.ObserveVersion("e0", 0, "m", 2, time.Time{})
	assert.False(t, isUnconfirmed())
	b := engine("e0", 2)
	b.Heartbeat = 2
	r.Put(b)
	r.members["e0"].versions["m"] = knownVersion{version: 2, at: clock.Now().Add(-confirmInterval)}
	assert.False(t, isUnconfirmed(), "the listing states it")
}
