package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against short shared prefixes of many requests that each engine computes by itself: such requests go to any
// engine, and no engine fetched their prefix from another.
func TestShortPrefixIsFetchedFromAnotherEngine(t *testing.T) {
	b := startBackend(t, okResponse)
	s := startGateway(t, routes.Safe, func(c *routes.Config, opt *Options) {
		c.Services["s"] = routes.Service{Name: "s", HasEngines: true}
		c.Services["store"] = routes.Service{Name: "store", CacheStore: &routes.CacheStore{Address: "store:1"}}
		c.Routes[0].Sticky = true
		opt.Backends.Put(backends.Backend{ID: "source", Service: "other", Address: "source:1", DataCentre: "dc", Models: []backends.Model{{Name: "m", Version: 3}}})
		opt.Prefixes.Record(cachemap.Entry{Key: cachemap.ShortKeyOf("3", "base"), Engine: cachemap.EngineHash("source")}, time.Now())
	}, b)
	for prompt, want := range map[string]string{"base,own": "source:1", "base,inner,own": "source:1", "inner,own": "", "own": ""} {
		require.Equal(t, 200, postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Prompt": {prompt}}).status)
		assert.Equal(t, want, b.seen[len(b.seen)-1].Header.Get("Fetch"), prompt)
	}
}

// Guards against shared parts that an engine computes again although another engine or the store has them: in the
// first seconds after a load of new weights the store has nothing for their salt, and only engines do; on a prefix of
// few requests the last request was seconds ago.
func TestFetchSource(t *testing.T) {
	const chosen, other, gone = 1, 2, 3
	address := func(engine uint32) string { return map[uint32]string{chosen: "chosen", other: "other"}[engine] }
	recent := func(engine uint32) cachemap.PrefixState {
		return cachemap.PrefixState{Engine: engine, Cached: true, MaybeCached: true, RecentlyProcessed: true}
	}
	old := func(engine uint32) cachemap.PrefixState {
		return cachemap.PrefixState{Engine: engine, MaybeCached: true}
	}
	saved := func(p cachemap.PrefixState) cachemap.PrefixState { p.Saved = true; return p }
	none := cachemap.PrefixState{}
	for name, c := range map[string]struct {
		whole, base cachemap.PrefixState
		store, want string
	}{
		"the chosen engine has it":                                   {saved(recent(chosen)), recent(other), "store", ""},
		"another engine has it":                                      {saved(recent(other)), saved(recent(other)), "store", "other"},
		"another engine may have it, and the store has":              {saved(old(other)), none, "store", "store"},
		"another engine may have it, the store has not":              {old(other), recent(other), "store", "other"},
		"only the base is known, at another engine":                  {none, recent(other), "store", "other"},
		"only the base is known, at another engine, and seconds ago": {none, old(other), "store", "other"},
		"only the base is known, in the store too":                   {none, saved(recent(other)), "store", "store"},
		"the chosen engine has the base":                             {none, recent(chosen), "store", "store"},
		"nothing is known":                                           {none, none, "store", "store"},
		"nothing is known, and there is no store":                    {none, none, "", ""},
		"the engine is gone":                                         {old(gone), recent(gone), "store", "store"},
		"there is no store":                                          {old(other), none, "", "other"},
	} {
		assert.Equal(t, c.want, fetchSource([]cachemap.PrefixState{c.whole, c.base}, chosen, address, c.store), name)
	}
}

// Guards against prefixes that are computed again because no request saved them in time: prompts of some deployments
// have nearly as many tokens of their own as shared ones. Guards also against a store that is full of tokens that no
// other request uses.
func TestPromptsAreSavedIfHalfOfTheirTokensAreShared(t *testing.T) {
	assert.True(t, worthSaving(100, 6000))
	assert.True(t, worthSaving(6000, 6000))
	assert.False(t, worthSaving(7000, 6000))
}
