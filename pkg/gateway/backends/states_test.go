package backends

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against states that change on their way to other nodes.
func TestStatesAreEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOf(rapid.Custom(func(t *rapid.T) State {
			flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
			return State{
				Hash:       rapid.Uint32().Draw(t, "hash"),
				Assignment: Assignment{Long: rapid.IntRange(0, 255).Draw(t, "long"), Short: rapid.IntRange(0, 255).Draw(t, "short"), Loading: flag("loading"), TakesLong: flag("takesLong"), Down: flag("down"), Leaving: flag("leaving")},
				Version:    rapid.IntRange(0, 65535).Draw(t, "version"),
			}
		})).Draw(t, "states")
		encoded := EncodeStates(states)
		assert.Len(t, encoded, stateBytes*len(states))
		assert.ElementsMatch(t, states, DecodeStates(append(encoded, 1, 2, 3)))
	})
	assert.Equal(t, State{Assignment: Assignment{Long: 255}}, DecodeStates(EncodeStates([]State{{Assignment: Assignment{Long: 300}}}))[0])
}

// Guards against messages that grow with the number of engines, against a changed flag that a lost message hides,
// and against engines whose state never reaches the nodes. Replays 3,000 engines whose loads change all the time.
func TestAnnouncementsOfLargeFleetsAreBounded(t *testing.T) {
	const engines = 3000
	a := NewAnnouncer()
	states := make([]State, engines)
	for i := range states {
		states[i] = State{Hash: uint32(i), Version: 1}
	}
	received := map[uint32]State{}
	receive := func(selected []State) {
		assert.LessOrEqual(t, len(selected), MaxStates)
		for _, s := range selected {
			received[s.Hash] = s
		}
	}
	for range engines/MaxStates + 1 {
		receive(a.SelectHeartbeat(states))
	}
	assert.Len(t, received, engines)
	states[7].Loading = true
	for i := range states {
		states[i].Short = i % 4
	}
	assert.Equal(t, []State{states[7]}, a.SelectUpdates(states))
	assert.Empty(t, a.SelectUpdates(states))
	receive(a.SelectHeartbeat(states))
	assert.True(t, received[7].Loading, "the heartbeat repeats a flag whose update was lost")
	for range 2*engines/MaxStates + flagRepeats {
		receive(a.SelectHeartbeat(states))
	}
	for _, s := range states {
		assert.Equal(t, s, received[s.Hash])
	}
}

// Guards against states that do not reach the choice of an engine, and against a server that takes requests after
// the leader has announced that it leaves.
func TestApplyStates(t *testing.T) {
	leader, follower := newRegistry(4, nil), newRegistry(4, nil)
	b := engine("e0", 1)
	b.Leaving = true
	leader.Put(b)
	leader.SetLoading("e1", now.Add(1e9))
	leader.ObserveVersion("e2", 0, "m", 2, time.Time{})
	states := leader.States(map[string]Load{"e3": {Unreachable: minDownReports}}, now)
	follower.ApplyStates(DecodeStates(EncodeStates(states)), 0, now, now)
	q := Query{Service: "s", Model: "m"}
	assert.Equal(t, []string{"e2"}, pickedIDs(countPicks(follower, q)))
	c, _ := follower.Pick(q, now)
	assert.Equal(t, 2, c.Version)
	// Later messages without a server's state keep it valid.
	later := now.Add(assignmentTTL / 2)
	follower.ApplyStates(nil, 0, later, later)
	assert.True(t, follower.members["e1"].isLoading(later.Add(assignmentTTL-1)))
	assert.False(t, follower.members["e1"].isLoading(later.Add(assignmentTTL)))
}

// Guards against states that a paused node uses after its pause: the messages waited in its socket and are old when
// they are read.
func TestStatesCountFromTheTimeAtWhichTheyWereRead(t *testing.T) {
	leader, follower := newRegistry(2, nil), newRegistry(2, nil)
	leader.SetLoading("e1", now.Add(time.Hour))
	leader.ObserveVersion("e0", 0, "m", 2, time.Time{})
	states := leader.States(map[string]Load{"e0": {Long: 3}}, now)
	isLoading := func(at time.Time) bool { return follower.members["e1"].isLoading(at) }
	later := now.Add(4 * time.Second)
	follower.ApplyStates(states, 0, now, later)
	assert.False(t, isLoading(later), "the states are older than assignmentTTL")
	assert.Zero(t, follower.members["e0"].running(later))
	assert.Equal(t, 2, follower.members["e0"].version("m"), "weights never go back")
	follower.ApplyStates(states, 0, later.Add(-time.Second), later)
	assert.True(t, isLoading(later))
	assert.False(t, isLoading(later.Add(assignmentTTL-time.Second)))
	follower.ApplyStates(nil, 0, now, later)
	assert.True(t, isLoading(later), "older messages do not shorten the time")
}

// Guards against an engine that counts as having the weights of before its restart: it would refuse each request, and
// the leader would not order it to load them.
func TestVersionsOfBeforeARestartAreIgnored(t *testing.T) {
	r := newRegistry(1, func(_ int, b *Backend) { b.Started, b.Revision = 7, 10 })
	restarted := engine("e0", 1)
	restarted.Started, restarted.Revision = 8, 20
	r.Put(restarted)
	state := []State{{Hash: r.members["e0"].idHash, Assignment: Assignment{Long: 3}, Version: 2}}
	version := func() int { return r.members["e0"].version("m") }
	r.ObserveVersion("e0", 7, "m", 2, time.Time{})
	assert.Equal(t, 1, version(), "response of before the restart")
	r.ApplyStates(state, 19, now, now)
	assert.Equal(t, 1, version(), "state of before the restart")
	r.ApplyVersion("e0", "m", 2, 19)
	assert.Equal(t, 1, version(), "version of before the restart")
	assert.Zero(t, r.members["e0"].running(now))
	renewed := restarted
	renewed.Revision = 30
	r.Put(renewed)
	r.ApplyStates(state, 20, now, now)
	assert.Equal(t, 2, version(), "the leader had the listing of the restart")
	r.ObserveVersion("e0", 8, "m", 3, time.Time{})
	assert.Equal(t, 3, version())
}

// Guards against a frequent prefix that overloads one engine, and against a rare one that several engines prefill.
// Replays a hot key with a third of 600 requests a second while the nodes know no loads.
func TestFrequentPrefixHasSeveralHomes(t *testing.T) {
	r := NewRegistry("dc")
	for i := range 60 {
		r.Put(engine(fmt.Sprint("e", i), 1))
	}
	const hotRate = 200
	counts := countPicks(r, Query{Service: "s", Model: "m", Affinity: 42, PrefixRate: hotRate})
	assert.GreaterOrEqual(t, len(counts), hotRate/maxRatePerHome/2)
	assert.LessOrEqual(t, len(counts), 1+hotRate/maxRatePerHome)
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	assert.LessOrEqual(t, highest, 40, "of 200 requests")
	assert.Len(t, countPicks(r, Query{Service: "s", Model: "m", Affinity: 42}), 1)
}

// Guards against a prefix whose engines are far from the KV cache store that keeps it, and against a refusal while
// the engines of that data centre are gone.
func TestHomeIsNearThePrefixStore(t *testing.T) {
	r := newRegistry(6, func(i int, b *Backend) { b.DataCentre = fmt.Sprint("dc", i%3) })
	for affinity := range uint64(20) {
		q := Query{Service: "s", Model: "m", Affinity: affinity + 1, HomeDataCentre: "dc2"}
		for id := range countPicks(r, q) {
			assert.Contains(t, []string{"e2", "e5"}, id)
		}
	}
	r.Remove("e2")
	r.Remove("e5")
	assert.Len(t, countPicks(r, Query{Service: "s", Model: "m", Affinity: 3, HomeDataCentre: "dc2"}), 1)
}

// Guards against prefixes whose home moves to another data centre, away from the store that keeps them, when
// engines crash. Replays the loss of a quarter of the engines.
func TestHomeDataCentreIsStable(t *testing.T) {
	r := newRegistry(24, func(i int, b *Backend) { b.DataCentre = fmt.Sprint("dc", i%3) })
	before, counts := map[uint64]string{}, map[string]int{}
	for affinity := range uint64(3000) {
		before[affinity] = r.HomeDataCentre("s", affinity)
		counts[before[affinity]]++
	}
	for _, n := range counts {
		assert.InDelta(t, 1000, n, 100)
	}
	for i := range 6 {
		r.Remove(fmt.Sprint("e", i*4))
	}
	for affinity, home := range before {
		assert.Equal(t, home, r.HomeDataCentre("s", affinity))
	}
}

// Guards against a large fleet whose first long requests all go to the same two engines. Replays 300 nodes that
// start 150 long requests on 60 engines of 12 slots before the first loads are known.
func TestFirstLongRequestsAreSpread(t *testing.T) {
	r := NewRegistry("dc")
	for i := range 60 {
		b := engine(fmt.Sprint("e", i), 1)
		b.Slots = 12
		r.Put(b)
	}
	r.ApplyStates(r.States(nil, now), 0, now, now)
	counts := map[string]int{}
	for range 150 {
		// Each request comes from another node, which knows no load.
		c, _ := r.Pick(Query{Service: "s", Model: "m", Long: true}, now)
		counts[c.ID]++
		c.Done(Neutral, 0)
	}
	assert.GreaterOrEqual(t, len(counts), 6)
	// All assigned engines are full: further requests go to others.
	full := map[string]Load{}
	for id := range counts {
		full[id] = Load{Backend: id, Long: 12}
	}
	states := r.States(full, now)
	for i := range states {
		states[i].TakesLong = states[i].Long > 0
	}
	r.ApplyStates(states, 0, now, now)
	for range 1000 {
		c, _ := r.Pick(Query{Service: "s", Model: "m", Long: true}, now)
		require.NotContains(t, counts, c.ID)
		c.Done(Neutral, 0)
	}
}
