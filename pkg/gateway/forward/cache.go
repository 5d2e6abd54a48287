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
	// minSharedTokens is the length of a shared prefix from which on reading it again takes
	// longer than the difference between engines.
	minSharedTokens = 1000
	// maxOwnToSharedRatio bounds the request's own part of a prompt that is saved, as a share of the
	// shared part: an engine saves all that it has read, and the store's link is narrow.
	maxOwnToSharedRatio = 0.4
	// savesPerSecond and saveBurst bound the prompts that one node has saved.
	savesPerSecond = 4
	saveBurst      = 4
)

// cacheSalt separates cached prompts by the version of the weights that made them and, for
// isolated workspaces, by workspace. An engine runs the request only if it has that version, so no
// request can meet the cache of other weights.
func cacheSalt(version int, workspace *routes.Workspace) string {
	salt := strconv.Itoa(version)
	if workspace != nil && workspace.Isolated {
		salt += "/" + workspace.Name
	}
	return salt
}

// sharedParts returns the parts of the prompt that other requests may have, too.
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

// affinityKey returns the key by which requests with the same shared prefix choose the same engine, or 0
// if the prefix is too short for that.
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

// sharedPrefixHashes returns the keys of the shared prefixes that are long enough to be worth a fetch, the
// longest first.
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

// engineWithPrefix returns the short form of the engine that read the whole shared prefix last, or 0.
func (a *activeRequest) engineWithPrefix(version int, now time.Time) uint32 {
	hashes := a.sharedPrefixHashes(version)
	if len(hashes) == 0 {
		return 0
	}
	if found := a.router.opt.Prefixes.Find(hashes[0], now); found.Held {
		return found.Engine
	}
	return 0
}

// planCacheTransfers returns where an engine should fetch shared parts of the prompt and save them to.
func (a *activeRequest) planCacheTransfers(c *backends.Choice, now time.Time) (fetchFrom, saveTo string) {
	hashes := a.sharedPrefixHashes(c.Version)
	store := a.config.CacheStoreAddress()
	engineHash := cachemap.EngineHash(c.ID)
	for i, hash := range hashes {
		found := a.router.opt.Prefixes.Find(hash, now)
		if i == 0 && !found.Saved && a.shouldSave() {
			saveTo = store
		}
		switch {
		case fetchFrom != "":
		case found.Fresh && found.Engine == engineHash:
			a.saveRequested = saveTo != ""
			return "", saveTo
		default:
			fetchFrom = a.fetchAddress(found, c, store, now)
		}
	}
	a.saveRequested = saveTo != ""
	return fetchFrom, saveTo
}

// countSharedTokens counts the shared tokens of a send by where the engine gets those that it does not keep itself.
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

// fetchAddress returns the address of the engine or store that holds a prefix, or "". Engines come first,
// because all fetches from the store share its link.
func (a *activeRequest) fetchAddress(found cachemap.Found, c *backends.Choice, store string, now time.Time) string {
	if found.Held && found.Engine != cachemap.EngineHash(c.ID) {
		if address := a.router.opt.Backends.CacheSource(found.Engine, a.request.Model, c.Version, now); address != "" {
			return address
		}
	}
	if a.router.opt.Prefixes.StoreUp() {
		// What is not known to be saved may be; a fetch that finds nothing costs a millisecond.
		return store
	}
	return ""
}

// shouldSave reports whether the prompt should be saved to the store now.
func (a *activeRequest) shouldSave() bool {
	if !a.router.opt.Prefixes.StoreUp() || len(a.request.PromptParts) == 0 {
		return false
	}
	ownTokens := a.request.PromptParts[len(a.request.PromptParts)-1].Tokens
	return float64(ownTokens) <= maxOwnToSharedRatio*float64(a.sharedTokens()) && a.router.saveLimiter.Allow()
}

// recordCachedPrompt remembers that an engine has read the prompt.
func (a *activeRequest) recordCachedPrompt(c *backends.Choice, now time.Time) {
	engine := cachemap.EngineHash(c.ID)
	for _, hash := range a.sharedPrefixHashes(c.Version) {
		a.router.opt.Prefixes.Note(cachemap.Entry{Key: hash, Engine: engine, Saved: a.saveRequested}, now)
	}
}
