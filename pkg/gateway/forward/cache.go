package forward

import (
	"log/slog"
	"slices"
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
	// minFetchTokens is the length of a shared prefix in tokens from which a prefill takes longer than a fetch
	// from another engine.
	minFetchTokens = 64
	// maxOwnToSharedRatio is the highest ratio of the request's own tokens to the shared tokens of a prompt that is
	// saved. An engine saves the whole prompt, and the store's memory and link should serve shared tokens in the first
	// place.
	maxOwnToSharedRatio = 1.0
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

// leadingParts returns all parts of the prompt but the last, which is the request's own.
func (a *activeRequest) leadingParts() []PromptPart {
	return a.request.PromptParts[:max(len(a.request.PromptParts)-1, 0)]
}

// sharedParts returns the parts of the prompt that other requests may share, on a route whose prompts are kept.
func (a *activeRequest) sharedParts() []PromptPart {
	if !a.route.Sticky {
		return nil
	}
	return a.leadingParts()
}

// leadingPartIDs returns the IDs of the leading parts.
func (a *activeRequest) leadingPartIDs() []string {
	var ids []string
	for _, p := range a.leadingParts() {
		ids = append(ids, p.ID)
	}
	return ids
}

// partSizes are parts that are logged as ID:TOKENS. Most traces are dropped, so they are formatted only when a trace is
// written.
type partSizes []PromptPart

// LogValue implements slog.LogValuer.
func (p partSizes) LogValue() slog.Value {
	sizes := make([]string, len(p))
	for i, part := range p {
		sizes[i] = part.ID + ":" + strconv.Itoa(part.Tokens)
	}
	return slog.AnyValue(sizes)
}

func (a *activeRequest) sharedTokens() int {
	tokens := 0
	for _, p := range a.sharedParts() {
		tokens += p.Tokens
	}
	return tokens
}

// affinityKey returns a hash that sends requests with the same shared prefix to the same engine, or 0
// if the shared prefix is shorter than minSharedTokens. An isolated workspace has cached prefixes of its own,
// and so a key of its own.
func (a *activeRequest) affinityKey() uint64 {
	if !a.affinityKnown {
		a.affinity, a.affinityKnown = a.computeAffinityKey(), true
	}
	return a.affinity
}

func (a *activeRequest) computeAffinityKey() uint64 {
	if a.sharedTokens() < minSharedTokens {
		return 0
	}
	h := xxhash.New()
	// Writes to a hash do not fail.
	if a.workspace != nil && a.workspace.Isolated {
		_, _ = h.WriteString(a.workspace.Name)
	}
	for _, p := range a.sharedParts() {
		_, _ = h.WriteString(p.ID)
	}
	return h.Sum64()
}

// cacheStore returns the KV cache store that keeps the request's shared prefix, or nil if there is none, it is down or
// the prefix is shorter than minSharedTokens. Short prefixes would use up the store's rate of saves.
func (a *activeRequest) cacheStore() *routes.CacheStore {
	if a.sharedTokens() < minSharedTokens {
		return nil
	}
	store := a.config.CacheStoreFor(a.affinityKey(), a.homeDataCentre())
	if store == nil || !a.router.opt.Prefixes.StoreUp(store.Address) {
		return nil
	}
	return store
}

// homeDataCentre returns the data centre whose engines should serve the request's shared prefix, or "" for any. With
// several KV cache stores, the prefix is kept near these engines: a transfer between data centres takes longer and is
// billed.
func (a *activeRequest) homeDataCentre() string {
	if len(a.config.CacheStores()) < 2 || a.affinityKey() == 0 {
		return ""
	}
	return a.router.opt.Backends.HomeDataCentre(a.service, a.affinityKey())
}

// sharedPrefixHashes returns the hashes of the shared prefixes of at least minSharedTokens, longest first. If there is
// none, it returns those of at least minFetchTokens.
func (a *activeRequest) sharedPrefixHashes(version int) []cachemap.Key {
	if a.prefixHashesVersion == version && a.prefixHashes != nil {
		return a.prefixHashes
	}
	salt := cacheSalt(version, a.workspace)
	minTokens, keyOf := minSharedTokens, cachemap.KeyOf
	if a.sharedTokens() < minSharedTokens {
		minTokens, keyOf = minFetchTokens, cachemap.ShortKeyOf
	}
	var hashes []cachemap.Key
	var ids []string
	tokens := 0
	for _, p := range a.sharedParts() {
		ids = append(ids, p.ID)
		if tokens += p.Tokens; tokens >= minTokens {
			hashes = append([]cachemap.Key{keyOf(salt, ids...)}, hashes...)
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
	if found := a.router.opt.Prefixes.Lookup(hashes[0], "", now); found.Cached {
		return found.Engine
	}
	return 0
}

// planCacheTransfers returns the addresses that the engine should fetch shared parts of the prompt from
// and save them to. "" means none. It also sets a.tokensToRead.
func (a *activeRequest) planCacheTransfers(c *backends.Choice, now time.Time) (fetchFrom, saveTo string) {
	a.tokensToRead = a.request.PromptTokens
	hashes := a.sharedPrefixHashes(c.Version)
	if len(hashes) == 0 {
		return "", ""
	}
	storeAddress := ""
	store := a.cacheStore()
	if store != nil {
		storeAddress = store.Address
	}
	prefixes := make([]cachemap.PrefixState, len(hashes))
	for i, hash := range hashes {
		prefixes[i] = a.router.opt.Prefixes.Lookup(hash, storeAddress, now)
	}
	if store != nil && !prefixes[0].Saved && a.shouldSave(c) {
		saveTo = storeAddress
	}
	a.saveRequested = saveTo != ""
	engineAddress := func(engine uint32) string {
		return a.router.opt.Backends.CacheSource(engine, a.request.Model, c.Version, now)
	}
	chosen := cachemap.EngineHash(c.ID)
	fetchFrom = fetchSource(prefixes, chosen, engineAddress, storeAddress)
	a.tokensToRead = max(a.tokensToRead-a.cachedTokens(prefixes, chosen, fetchFrom, storeAddress), 0)
	return fetchFrom, saveTo
}

// fetchSource returns the address of the engine or of the KV cache store that the chosen engine should fetch the
// longest possible prefix from, or "". The prefixes are in order of their length, the longest first. engineAddress
// returns the address of an engine, or "" if nothing can be fetched from it. store is "" if there is none.
func fetchSource(prefixes []cachemap.PrefixState, chosen uint32, engineAddress func(uint32) string, store string) string {
	for i, p := range prefixes {
		whole := i == 0
		if p.Engine == chosen && p.RecentlyProcessed {
			if whole {
				return ""
			}
			break
		}
		other := ""
		if p.Engine != chosen && p.MaybeCached {
			other = engineAddress(p.Engine)
		}
		switch {
		case other != "" && whole && p.Cached:
			// All fetches from a store share its link.
			return other
		case p.Saved:
			// The store may also have a longer prefix that this node has no record of.
			return store
		case other != "":
			return other
		}
	}
	// The store may have a prefix that this node has no record of, and a miss costs only about a millisecond.
	return store
}

// countSharedTokens counts the shared tokens of a send by the source that the engine fetches them from.
func (a *activeRequest) countSharedTokens(fetchFrom string) {
	source := "engine"
	isSource := func(s routes.CacheStore) bool { return s.Address == fetchFrom }
	switch {
	case fetchFrom == "":
		source = "none"
	case slices.ContainsFunc(a.config.CacheStores(), isSource):
		source = "store"
	}
	a.router.opt.Metrics.Counter("shared_tokens", "fetched_from", source).Inc(int64(a.sharedTokens()))
}

// shouldSave reports whether the engine should save the prompt to the KV cache store. If so, the
// save counts against the limit of saves. An engine of another data centre leaves it to those of the home.
func (a *activeRequest) shouldSave(c *backends.Choice) bool {
	if home := a.homeDataCentre(); home != "" && c.DataCentre != home {
		return false
	}
	ownTokens := a.request.PromptParts[len(a.request.PromptParts)-1].Tokens
	return worthSaving(ownTokens, a.sharedTokens()) && a.router.saveLimiter.Allow()
}

// worthSaving reports whether a prompt with that many tokens of its own and shared tokens is worth its memory in the
// KV cache store.
func worthSaving(ownTokens, sharedTokens int) bool {
	return float64(ownTokens) <= maxOwnToSharedRatio*float64(sharedTokens)
}

// recordCachedPrompt records that an engine has processed the prompt and has its prefixes cached.
func (a *activeRequest) recordCachedPrompt(c *backends.Choice, now time.Time) {
	engine := cachemap.EngineHash(c.ID)
	for _, hash := range a.sharedPrefixHashes(c.Version) {
		a.router.opt.Prefixes.Record(cachemap.Entry{Key: hash, Engine: engine, Saved: a.saveRequested}, now)
	}
}
