package engineview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/placement"
)

// Guards against engines that placement regards as usable although the board marks them as unusable,
// and against loads that do not reach placement.
func TestViews(t *testing.T) {
	state := engine.State{Incarnation: "i", Model: "m", WeightsVersion: "v", MaxBatch: 8}
	serving := blackboard.EngineEntry{Address: "x:1", DataCentre: "a", HasState: true, Reachable: true, State: state}
	cases := []struct {
		name     string
		change   func(e *blackboard.EngineEntry, s *blackboard.SummaryEntry)
		unusable bool
		network  time.Duration
	}{
		{"serving", func(*blackboard.EngineEntry, *blackboard.SummaryEntry) {}, false, 0},
		{"leaving", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) { e.Leaving = true }, true, 0},
		{"unreachable", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) { e.Reachable = false }, true, 0},
		{"loading", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) { e.State.Loading = true }, true, 0},
		{"summary marks it as leaving", func(_ *blackboard.EngineEntry, s *blackboard.SummaryEntry) { s.Leaving = true }, true, 0},
		{"same region", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) { e.DataCentre = "b" }, false, DefaultSameRegionRTT},
		{"other region", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) { e.DataCentre = "c" }, false, DefaultOtherRegionRTT},
		{"state known only from the summary", func(e *blackboard.EngineEntry, _ *blackboard.SummaryEntry) {
			e.HasState, e.State = false, engine.State{}
		}, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			board := blackboard.New()
			board.Members.Put("n1", blackboard.MemberEntry{DataCentre: "b", Region: "r"}, blackboard.Evidence{})
			board.Members.Put("n2", blackboard.MemberEntry{DataCentre: "c", Region: "far"}, blackboard.Evidence{})
			e, s := serving, blackboard.SummaryEntry{Owner: "n1", Incarnation: "i", Model: "m", WeightsVersion: "v", Running: 3, Version: 1}
			tc.change(&e, &s)
			board.Engines.Put("e", e, blackboard.Evidence{})
			board.Summaries.Put("e", s, blackboard.Evidence{})
			placer, err := placement.New(placement.Options{Region: "r"})
			require.NoError(t, err)
			f := New(Options{Board: board, DataCentre: "a", Region: "r"}, placer)
			views := f.views()
			require.Len(t, views, 1)
			assert.Equal(t, tc.unusable, views[0].Unusable)
			assert.Equal(t, tc.network, views[0].NetworkTime)
			assert.Equal(t, 3, views[0].Load.Running)
			assert.Equal(t, []string{"i", "m", "v"}, []string{views[0].Incarnation, views[0].Model, views[0].WeightsVersion})
			assert.True(t, f.Refresh())
			assert.False(t, f.Refresh(), "nothing has changed")
		})
	}
}
