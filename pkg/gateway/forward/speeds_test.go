package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
)

// Guards against times that do not show an engine's speed: those of buffered responses, which include the decoding, of
// continued streams, of plain services, and of streams without an event.
func TestOnlyFirstEventsOfNewStreamsAreObserved(t *testing.T) {
	const delay = 30 * time.Millisecond
	for name, c := range map[string]struct {
		kind       routes.Kind
		hasEngines bool
		header     http.Header
		events     int
		observed   bool
	}{
		"stream":           {routes.Stream, true, nil, 3, true},
		"no event":         {routes.Stream, true, nil, 0, false},
		"continued stream": {routes.Stream, true, http.Header{"After": {"1"}}, 3, false},
		"plain service":    {routes.Stream, false, nil, 3, false},
		"buffered":         {routes.Safe, true, nil, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			speeds := speed.NewTracker()
			b := startBackend(t, func(req *http.Request) string {
				time.Sleep(delay)
				return eventStream(req, 1, c.events, true)
			})
			s := startGateway(t, c.kind, func(config *routes.Config, opt *Options) {
				config.Services["s"] = routes.Service{Name: "s", HasEngines: c.hasEngines}
				opt.Speeds = speeds
			}, b)
			header := http.Header{"M": {"m"}}
			for name, values := range c.header {
				header[name] = values
			}
			require.Equal(t, 200, postRequest(t, s, "/p/x", header).status)
			expected, _ := speeds.Expect("s", speed.Key("b0", 0), 0, 1, time.Now())
			if c.observed {
				assert.GreaterOrEqual(t, expected, delay)
			} else {
				assert.Zero(t, expected)
			}
		})
	}
}

// Guards against a prompt that counts as read although the engine has its leading parts or fetches them, and against one
// that counts as cached because a fetch is tried that may find nothing.
func TestCachedTokens(t *testing.T) {
	const chosen, other = 1, 2
	a := activeRequest{route: &routes.Route{Sticky: true}, request: Request{PromptParts: []PromptPart{{"a", 2000}, {"b", 500}, {"own", 100}}}}
	cached := func(engine uint32) cachemap.PrefixState {
		return cachemap.PrefixState{Engine: engine, Cached: true, MaybeCached: true}
	}
	none := cachemap.PrefixState{}
	for name, c := range map[string]struct {
		whole, base cachemap.PrefixState
		fetchFrom   string
		want        int
	}{
		"unknown, tried at the store": {none, none, "store", 0},
		"whole in memory":             {cached(chosen), none, "", 2500},
		"base in memory":              {none, cached(chosen), "store", 2000},
		"no longer in memory":         {cachemap.PrefixState{Engine: chosen, MaybeCached: true}, none, "", 0},
		"whole saved":                 {cachemap.PrefixState{Saved: true}, none, "store", 2500},
		"base saved":                  {none, cachemap.PrefixState{Saved: true}, "store", 2000},
		"fetched from an engine":      {cached(other), none, "other", 2500},
		"at an engine, not fetched":   {cached(other), none, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, a.cachedTokens([]cachemap.PrefixState{c.whole, c.base}, chosen, c.fetchFrom, "store"))
		})
	}
}
