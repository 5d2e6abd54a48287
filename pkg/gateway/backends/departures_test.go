package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// Guards against a server that comes back by a listing of before it announced its stop or before it left, which a store
// lists again that was restored from a copy, and against losing a server that really returns.
func TestOlderListingDoesNotBringBackAServer(t *testing.T) {
	listing := func(heartbeat int64) Backend {
		return Backend{ID: "e", Service: "s", Address: "127.0.0.1:1", Started: 7, Heartbeat: heartbeat}
	}
	used := func(r *Registry) bool {
		c, _ := r.Pick(Query{Service: "s"}, time.Now())
		return c != nil
	}
	t.Run("announced its stop", func(t *testing.T) {
		r := NewRegistry("dc")
		leaving := listing(5)
		leaving.Leaving = true
		r.Put(leaving)
		r.Put(listing(3))
		assert.False(t, used(r))
		r.Remove("e")
		r.Put(listing(9))
		assert.False(t, used(r), "leaving is final for a start")
		again := listing(1)
		again.Started = 8
		r.Put(again)
		assert.True(t, used(r), "a new start under the same ID")
	})
	t.Run("no longer listed", func(t *testing.T) {
		r := NewRegistry("dc")
		r.Put(listing(5))
		r.Remove("e")
		r.Put(listing(5))
		assert.False(t, used(r))
		assert.Contains(t, r.ListedIDs(), "e")
		assert.Empty(t, r.AdmitRelisted())
		r.departed["e"].relistedAt = r.departed["e"].relistedAt.Add(-relistTime)
		assert.Equal(t, []string{"e"}, r.AdmitRelisted(), "its listing would have lapsed if it were gone")
		assert.True(t, used(r))
	})
	t.Run("no longer listed twice", func(t *testing.T) {
		r := NewRegistry("dc")
		r.Put(listing(5))
		r.Remove("e")
		r.Put(listing(5))
		r.Remove("e")
		r.departed["e"].relistedAt = r.departed["e"].relistedAt.Add(-relistTime)
		assert.Empty(t, r.AdmitRelisted())
	})
	t.Run("lapsed and written again", func(t *testing.T) {
		r := NewRegistry("dc")
		r.Put(listing(5))
		r.Remove("e")
		r.Put(listing(6))
		assert.True(t, used(r))
	})
	t.Run("in doubt", func(t *testing.T) {
		r := NewRegistry("dc")
		r.Put(listing(5))
		r.MarkSuspectUntil([]string{"e"}, time.Now().Add(-time.Minute), time.Time{})
		r.Put(listing(5))
		assert.Equal(t, []string{"e"}, r.RemoveSuspects(time.Now(), time.Second))
		assert.False(t, used(r))
		r.Put(listing(6))
		assert.True(t, used(r))
	})
}

// Guards against requests that demand weights which an engine no longer has, because a store that was restored from a copy
// lists the ones before.
func TestOlderListingDoesNotLowerTheVersionOfWeights(t *testing.T) {
	r := NewRegistry("dc")
	r.Put(engine("e", 3))
	r.Put(engine("e", 2))
	c, _ := r.Pick(Query{Service: "s", Model: "m"}, now)
	assert.Equal(t, 3, c.Version)
	restarted := engine("e", 2)
	restarted.Started = 9
	r.Put(restarted)
	c, _ = r.Pick(Query{Service: "s", Model: "m"}, now)
	assert.Equal(t, 2, c.Version)
}

// Guards against requests over the limit of a server, or during the pause that it has asked for, after its entry has lapsed and
// returned because it was cut off from the store, and against statements of before a restart.
func TestStatementsOutliveALapsedEntry(t *testing.T) {
	for name, test := range map[string]struct {
		startedAgain int64
		kept         bool
	}{
		"the same start": {7, true},
		"restarted":      {8, false},
	} {
		t.Run(name, func(t *testing.T) {
			listing := Backend{ID: "e", Service: "s", Address: "127.0.0.1:1", Started: 7, Heartbeat: 5}
			r := NewRegistry("dc")
			r.Put(listing)
			knownSince := r.LimitableServers()[0].ListedAt
			sentAt := clock.Now()
			r.ObserveLimit("e", 7, quota.Statement{Limited: true, Rate: 3}, sentAt, sentAt)
			until := r.ObservePause("e", 7, 2*time.Second)
			r.Remove("e")
			listing.Heartbeat, listing.Started = 9, test.startedAgain
			r.Put(listing)
			assert.Equal(t, test.kept, len(r.LimitedHashes()) == 1)
			assert.Equal(t, test.kept, r.members["e"].statedPauseUntil.Equal(until))
			assert.Equal(t, test.kept, r.LimitableServers()[0].ListedAt.Equal(knownSince), "the leader counts the observations of before")
		})
	}
}
