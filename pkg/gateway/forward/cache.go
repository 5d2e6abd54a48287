package forward

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

const (
	// leastSharedTokens is the length of a shared prefix from which on reading it again takes
	// longer than the difference between engines.
	leastSharedTokens = 1000
	// saveOwnShare bounds the request's own part of a prompt that is saved, as a share of the
	// shared part: an engine saves all that it has read, and the store's link is narrow.
	saveOwnShare = 0.4
	// savesPerSecond and saveBurst bound the prompts that one node has saved.
	savesPerSecond = 4
	saveBurst      = 4
)

// cacheNamespace separates cached prompts by the version of the weights that made them and, for
// isolated workspaces, by workspace. An engine runs the request only if it has that version, so no
// request can meet the cache of other weights.
func cacheNamespace(version int, tenant *routes.Tenant) string {
	n := strconv.Itoa(version)
	if tenant != nil && tenant.Isolated {
		n += "/" + tenant.Name
	}
	return n
}

// shared returns the parts of the prompt that other requests may have, too.
func (j *job) shared() []Part {
	if !j.route.Sticky || len(j.request.Prefix) == 0 {
		return nil
	}
	return j.request.Prefix[:len(j.request.Prefix)-1]
}

func (j *job) sharedTokens() int {
	tokens := 0
	for _, p := range j.shared() {
		tokens += p.Tokens
	}
	return tokens
}

// affinity returns the key by which requests with the same shared prefix choose the same engine, or 0
// if the prefix is too short for that.
func (j *job) affinity() uint64 {
	if j.sharedTokens() < leastSharedTokens {
		return 0
	}
	h := xxhash.New()
	for _, p := range j.shared() {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(p.ID)
	}
	return h.Sum64()
}

// prefixKeys returns the keys of the shared prefixes that are long enough to be worth a fetch, the
// longest first.
func (j *job) prefixKeys(version int) []cachemap.Key {
	if j.keysVersion == version && j.keys != nil {
		return j.keys
	}
	namespace := cacheNamespace(version, j.tenant)
	var keys []cachemap.Key
	var ids []string
	tokens := 0
	for _, p := range j.shared() {
		ids = append(ids, p.ID)
		if tokens += p.Tokens; tokens >= leastSharedTokens {
			keys = append([]cachemap.Key{cachemap.KeyOf(namespace, ids...)}, keys...)
		}
	}
	j.keys, j.keysVersion = keys, version
	return keys
}

// cacheHolder returns the short form of the engine that read the whole shared prefix last, or 0.
func (j *job) cacheHolder(version int, now time.Time) uint32 {
	keys := j.prefixKeys(version)
	if len(keys) == 0 {
		return 0
	}
	if f := j.router.opt.Prefixes.Lookup(keys[0], now); f.Cached {
		return f.Engine
	}
	return 0
}

// cachePlan returns where an engine should fetch shared parts of the prompt and save them to.
func (j *job) cachePlan(c *backends.Choice, now time.Time) (fetchFrom, saveTo string) {
	keys := j.prefixKeys(c.Version)
	store := j.config.CacheStore()
	own := cachemap.EngineHash(c.ID)
	for i, key := range keys {
		f := j.router.opt.Prefixes.Lookup(key, now)
		if i == 0 && !f.Saved && j.worthSaving() {
			saveTo = store
		}
		switch {
		case fetchFrom != "":
		case f.RecentlyRead && f.Engine == own:
			j.saving = saveTo != ""
			return "", saveTo
		default:
			fetchFrom = j.source(f, c, store, now)
		}
	}
	j.saving = saveTo != ""
	return fetchFrom, saveTo
}

// countShared counts the shared tokens of a send by where the engine gets those that it does not keep itself.
func (j *job) countShared(fetchFrom string) {
	source := "engine"
	switch fetchFrom {
	case "":
		source = "none"
	case j.config.CacheStore():
		source = "store"
	}
	j.router.opt.Metrics.Counter("shared_tokens", "fetched_from", source).Inc(int64(j.sharedTokens()))
}

// source returns the address of the engine or store that holds a prefix, or "". Engines come first,
// because all fetches from the store share its link.
func (j *job) source(f cachemap.PrefixState, c *backends.Choice, store string, now time.Time) string {
	if f.Cached && f.Engine != cachemap.EngineHash(c.ID) {
		if address := j.router.opt.Backends.CacheSource(f.Engine, j.request.Model, c.Version, now); address != "" {
			return address
		}
	}
	if j.router.opt.Prefixes.StoreUp() {
		// What is not known to be saved may be; a fetch that finds nothing costs a millisecond.
		return store
	}
	return ""
}

// worthSaving reports whether the prompt should be saved to the store now.
func (j *job) worthSaving() bool {
	if !j.router.opt.Prefixes.StoreUp() || len(j.request.Prefix) == 0 {
		return false
	}
	own := j.request.Prefix[len(j.request.Prefix)-1].Tokens
	return float64(own) <= saveOwnShare*float64(j.sharedTokens()) && j.router.saves.Allow()
}

// noteCached remembers that an engine has read the prompt.
func (j *job) noteCached(c *backends.Choice, now time.Time) {
	engine := cachemap.EngineHash(c.ID)
	for _, key := range j.prefixKeys(c.Version) {
		j.router.opt.Prefixes.Record(cachemap.Entry{Key: key, Engine: engine, Saved: j.saving}, now)
	}
}
