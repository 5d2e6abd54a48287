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
	// minSharedTokens is the length of a shared prefix in tokens from which its prefill costs more
	// than the usual difference in waiting time between engines.
	minSharedTokens = 1000
	// maxOwnToSharedRatio is the highest ratio of the request's own tokens to the shared tokens of a
	// prompt that is saved. An engine saves the whole prompt, and the link of the KV cache store is
	// narrow.
	maxOwnToSharedRatio = 0.4
	// savesPerSecond and saveBurst limit the rate at which one node requests that prompts be saved.
	savesPerSecond = 4
	saveBurst      = 4
)

// cacheSalt returns the salt that separates KV cache entries by the weights version that produced them
// and, for isolated workspaces, by workspace. An engine runs a request only if it has the requested
// version, so a request never uses KV cache entries of other weights.
func cacheSalt(version int, workspace *routes.Workspace) string {
	salt := strconv.Itoa(version)
	if workspace != nil && workspace.Isolated {
		salt += "/" + workspace.Name
	}
	return salt
}

// sharedParts returns the parts of the prompt that other requests may share.
func (a *activeRequest) sharedParts() []PromptPart {
	if !a.route.Sticky || len(a.request.PromptParts) == 0 {
		return nil
	}
	return a.request.PromptParts[:len(a.request.PromptParts)-1]
}

func (a *activeRequest) sharedTokens() int {
	tokens := 0
	for _, p := range a.sharedParts() {
		tokens += p.Tokens
	}
	return tokens
}

// affinityKey returns a hash that sends requests with the same shared prefix to the same engine, or 0
// if the shared prefix is shorter than minSharedTokens.
func (a *activeRequest) affinityKey() uint64 {
	if a.sharedTokens() < minSharedTokens {
		return 0
	}
	h := xxhash.New()
	for _, p := range a.sharedParts() {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(p.ID)
	}
	return h.Sum64()
}

// sharedPrefixHashes returns the hashes of the shared prefixes of at least minSharedTokens, longest
// first.
func (a *activeRequest) sharedPrefixHashes(version int) []cachemap.Key {
	if a.prefixHashesVersion == version && a.prefixHashes != nil {
		return a.prefixHashes
	}
	salt := cacheSalt(version, a.workspace)
	var hashes []cachemap.Key
	var ids []string
	tokens := 0
	for _, p := range a.sharedParts() {
		ids = append(ids, p.ID)
		if tokens += p.Tokens; tokens >= minSharedTokens {
			hashes = append([]cachemap.Key{cachemap.KeyOf(salt, ids...)}, hashes...)
		}
	}
	a.prefixHashes, a.prefixHashesVersion = hashes, version
	return hashes
}

// engineWithPrefix returns the cachemap.EngineHash of the engine that last processed the whole shared
// prefix, or 0 if none is known to have it cached.
func (a *activeRequest) engineWithPrefix(version int, now time.Time) uint32 {
	hashes := a.sharedPrefixHashes(version)
	if len(hashes) == 0 {
		return 0
	}
	if found := a.router.opt.Prefixes.Lookup(hashes[0], now); found.Cached {
		return found.Engine
	}
	return 0
}

// planCacheTransfers returns the addresses that the engine should fetch shared parts of the prompt from
// and save them to. "" means none.
func (a *activeRequest) planCacheTransfers(c *backends.Choice, now time.Time) (fetchFrom, saveTo string) {
	hashes := a.sharedPrefixHashes(c.Version)
	store := a.config.CacheStoreAddress()
	engineHash := cachemap.EngineHash(c.ID)
	for i, hash := range hashes {
		found := a.router.opt.Prefixes.Lookup(hash, now)
		if i == 0 && !found.Saved && a.shouldSave() {
			saveTo = store
		}
		switch {
		case fetchFrom != "":
		case found.RecentlyProcessed && found.Engine == engineHash:
			a.saveRequested = saveTo != ""
			return "", saveTo
		default:
			fetchFrom = a.fetchAddress(found, c, store, now)
		}
	}
	a.saveRequested = saveTo != ""
	return fetchFrom, saveTo
}

// countSharedTokens counts the shared tokens of a send by the source that the engine fetches them from.
func (a *activeRequest) countSharedTokens(fetchFrom string) {
	source := "engine"
	switch fetchFrom {
	case "":
		source = "none"
	case a.config.CacheStoreAddress():
		source = "store"
	}
	a.router.opt.Metrics.Counter("shared_tokens", "fetched_from", source).Inc(int64(a.sharedTokens()))
}

// fetchAddress returns the address of an engine or of the KV cache store to fetch a prefix from, or "".
// Engines are preferred because all fetches from the store share its link.
func (a *activeRequest) fetchAddress(found cachemap.PrefixState, c *backends.Choice, store string, now time.Time) string {
	if found.Cached && found.Engine != cachemap.EngineHash(c.ID) {
		if address := a.router.opt.Backends.CacheSource(found.Engine, a.request.Model, c.Version, now); address != "" {
			return address
		}
	}
	if a.router.opt.Prefixes.StoreUp() {
		// The store may have a prefix that this node has no record of, and a miss costs only about a
		// millisecond.
		return store
	}
	return ""
}

// shouldSave reports whether the engine should save the prompt to the KV cache store. If so, the
// save counts against the rate limit.
func (a *activeRequest) shouldSave() bool {
	if !a.router.opt.Prefixes.StoreUp() || len(a.request.PromptParts) == 0 {
		return false
	}
	ownTokens := a.request.PromptParts[len(a.request.PromptParts)-1].Tokens
	return float64(ownTokens) <= maxOwnToSharedRatio*float64(a.sharedTokens()) && a.router.saveLimiter.Allow()
}

// recordCachedPrompt records that an engine has processed the prompt and has its prefixes cached.
func (a *activeRequest) recordCachedPrompt(c *backends.Choice, now time.Time) {
	engine := cachemap.EngineHash(c.ID)
	for _, hash := range a.sharedPrefixHashes(c.Version) {
		a.router.opt.Prefixes.Record(cachemap.Entry{Key: hash, Engine: engine, Saved: a.saveRequested}, now)
	}
}
