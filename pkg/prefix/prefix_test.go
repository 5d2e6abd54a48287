package prefix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Each case differs from the base in one field of the salt. Guards against a request that matches
// cached data of another workspace, model, weights version or adapter.
func TestHashesAreSeparatedBySalt(t *testing.T) {
	base := Salt{Workspace: "shule", Model: "lugha", WeightsVersion: "v1", Adapter: "sw"}
	cases := map[string]Salt{
		"workspace":            {Workspace: "tuul", Model: "lugha", WeightsVersion: "v1", Adapter: "sw"},
		"model":                {Workspace: "shule", Model: "draft", WeightsVersion: "v1", Adapter: "sw"},
		"weights version":      {Workspace: "shule", Model: "lugha", WeightsVersion: "v2", Adapter: "sw"},
		"adapter":              {Workspace: "shule", Model: "lugha", WeightsVersion: "v1"},
		"field boundary moved": {Workspace: "shulel", Model: "ugha", WeightsVersion: "v1", Adapter: "sw"},
		"fields swapped":       {Workspace: "lugha", Model: "shule", WeightsVersion: "v1", Adapter: "sw"},
	}
	text := strings.Repeat("timetable ", 50)
	geometry := Geometry{PieceTokens: 20, BytesPerToken: 4}
	segments := []Segment{{Level: "school", Shared: true, Text: text}}
	want := Split(base, geometry, segments)
	content := ContentKeys(base, text, want)
	assert.Equal(t, Hashes(want), Hashes(Split(base, geometry, segments)))
	for name, salt := range cases {
		t.Run(name, func(t *testing.T) {
			other := Split(salt, geometry, segments)
			assert.Len(t, other, len(want))
			for i, hash := range Hashes(other) {
				assert.NotContains(t, Hashes(want), hash, i)
			}
			for i, key := range ContentKeys(salt, text, other) {
				assert.NotContains(t, content, key, i)
			}
		})
	}
}

// Guards against a prefix hash that does not depend on all text before it, on the level or on the
// piece boundaries.
func TestHashCoversAllPrecedingText(t *testing.T) {
	geometry := Geometry{PieceTokens: 10, BytesPerToken: 1}
	base := []Segment{{Level: "school", Text: "0123456789abcdefghij"}, {Level: "own", Text: "slot?"}}
	want := Hashes(Split(Salt{}, geometry, base))
	cases := map[string]struct {
		segments []Segment
		same     int
	}{
		"same text":        {base, 3},
		"later text":       {[]Segment{base[0], {Level: "own", Text: "slot!"}}, 2},
		"earlier text":     {[]Segment{{Level: "school", Text: "X123456789abcdefghij"}, base[1]}, 0},
		"another level":    {[]Segment{base[0], {Level: "family", Text: "slot?"}}, 2},
		"another boundary": {[]Segment{{Level: "school", Text: "0123456789abcdefghi"}, {Level: "own", Text: "jslot?"}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Hashes(Split(Salt{}, geometry, c.segments))
			assert.Equal(t, want[:c.same], got[:c.same])
			for _, hash := range got[c.same:] {
				assert.NotContains(t, want, hash)
			}
		})
	}
}
