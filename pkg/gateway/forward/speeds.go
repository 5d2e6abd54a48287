package forward

import (
	"math"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
)

// speedSample is what the time to the first event of a send depends on, and what was expected of it.
type speedSample struct {
	engine                uint32
	tokensToRead, running int
	// expected is 0 before the first samples of the service.
	expected time.Duration
	// pending is set until the first event.
	pending bool
}

// beginSpeedSample sets the sample of a send to an engine. Only streams have one: other responses begin after the last
// token. A continued stream has none either, because the tokens of its earlier engines are not counted.
func (a *activeRequest) beginSpeedSample(c *backends.Choice, sentAt time.Time) {
	a.speedSample = speedSample{}
	if !a.config.Services[a.service].HasEngines {
		return
	}
	s := speedSample{
		engine: speed.Key(c.ID, c.Started), tokensToRead: a.tokensToRead, running: c.Counts.Running,
		pending: a.request.LastEventID == "" && a.events.lastID == "",
	}
	s.expected, _ = a.router.opt.Speeds.Expect(a.service, s.engine, s.tokensToRead, s.running, sentAt)
	a.speedSample = s
}

// recordFirstEvent records the time to the first event of the current send.
func (a *activeRequest) recordFirstEvent(c *backends.Choice, took time.Duration) {
	s := &a.speedSample
	if !s.pending {
		return
	}
	s.pending = false
	now := clock.Now()
	a.router.opt.Speeds.Observe(a.service, s.engine, s.tokensToRead, s.running, took, now)
	a.router.opt.Backends.SetSpeedFactor(c.ID, c.Started, a.router.opt.Speeds.Factor(s.engine, now))
	if s.expected > 0 && took > 0 {
		a.router.opt.Metrics.Histogram("first_event_error_percent").Update(int64(100 * math.Abs(float64(s.expected-took)) / float64(took)))
	}
}

// cachedTokens returns the tokens of the longest prefix that the chosen engine is assumed to have in memory or to fetch.
// prefixes are the states of the shared prefixes, the longest first.
func (a *activeRequest) cachedTokens(prefixes []cachemap.PrefixState, chosen uint32, fetchFrom, store string) int {
	parts := a.sharedParts()
	tokens := a.sharedTokens()
	for i, p := range prefixes {
		switch {
		case p.Engine == chosen && p.Cached,
			fetchFrom != "" && fetchFrom == store && p.Saved,
			fetchFrom != "" && fetchFrom != store && p.Engine != chosen && p.MaybeCached:
			return tokens
		}
		tokens -= parts[len(parts)-1-i].Tokens
	}
	return 0
}
