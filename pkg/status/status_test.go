package status

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
)

// Guards against a status that omits a node with another configuration version, an engine without a live
// owner or with a suspect one, a lease, or the share of a limit.
func TestDocument(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC)
	seen := blackboard.Evidence{ObservedAt: now.Add(-2 * time.Second)}
	b := blackboard.New()
	c := &config.Config{Workspaces: []config.Workspace{{Name: "north", Limits: config.Limits{RequestsPerSecond: 10}}, {Name: "idle"}}}
	b.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 7, Config: c}, seen)
	b.Members.Put("a", blackboard.MemberEntry{Name: "a", State: blackboard.MemberAlive}, seen)
	b.Members.Put("b", blackboard.MemberEntry{Name: "b", State: blackboard.MemberAlive, ConfigVersion: 6}, seen)
	b.Members.Put("c", blackboard.MemberEntry{Name: "c", State: blackboard.MemberDead, ConfigVersion: 5}, seen)
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
		b.Engines.Put(id, blackboard.EngineEntry{ID: id, Reachable: true}, seen)
	}
	b.Summaries.Put("e1", blackboard.SummaryEntry{Owner: "a", Queued: 3}, seen)
	b.Summaries.Put("e2", blackboard.SummaryEntry{Owner: "a", Suspect: true}, seen)
	b.Summaries.Put("e3", blackboard.SummaryEntry{Owner: "c"}, seen)
	b.Summaries.Put("e4", blackboard.SummaryEntry{Owner: "gone"}, seen)
	b.Leases.Put("engines/0", blackboard.LeaseEntry{Holder: "a", FencingToken: 4, HeldUntil: now.Add(5 * time.Second)}, seen)
	b.Demands.Put(blackboard.DemandKey{Node: "a", Workspace: "north"}, blackboard.DemandEntry{RequestsPerSecond: 2, Running: 1}, seen)
	b.Shares.Put("north", blackboard.ShareEntry{RequestsPerSecond: 4, Concurrency: 3}, seen)
	r := NewReporter(Options{Self: "a", Board: b, Now: func() time.Time { return now }})

	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	var d Document
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &d))
	assert.EqualValues(t, 7, d.ConfigVersion)
	assert.Equal(t, []string{"b"}, d.OtherConfigVersion)
	assert.Equal(t, []string{"b (version 6)"}, d.LaggingNodes(7))
	assert.InDelta(t, 2, d.Nodes[1].EvidenceAgeSeconds, 1e-9)
	assert.Equal(t, 3, d.Engines[0].Queued)
	reasons := map[string]string{}
	for _, o := range d.SuspectOwners {
		reasons[o.Engine] = o.Reason
	}
	assert.Equal(t, map[string]string{
		"e2": "the owner doubts its view of the cache", "e3": "the owner is dead", "e4": "the owner is not a member", "e5": "no owner has reported",
	}, reasons)
	assert.Equal(t, []Lease{{Name: "engines/0", Holder: "a", Fencing: 4, LeftSeconds: 5}}, d.Leases)
	assert.Equal(t, []LimitShare{{
		Workspace: "north", LimitRequestsPerSecond: 10, DemandRequestsPerSecond: 2, Running: 1,
		HasShare: true, ShareRequestsPerSecond: 4, ShareConcurrency: 3, ShareAgeSeconds: 2,
	}}, d.Limits)

	var text bytes.Buffer
	require.NoError(t, d.Text(&text))
	for _, want := range []string{"configuration version 7", "other configuration version on: b", "the owner is dead", "engines/0"} {
		assert.Contains(t, text.String(), want)
	}
}

// Guards against a panic before the first configuration and the first member are recorded.
func TestEmptyDocument(t *testing.T) {
	d := NewReporter(Options{Board: blackboard.New(), Now: time.Now}).Document()
	assert.Zero(t, d.ConfigVersion)
	assert.Empty(t, d.Limits)
}
