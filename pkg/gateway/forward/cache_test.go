package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
)

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
