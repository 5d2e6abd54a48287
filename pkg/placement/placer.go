package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Options configures a Placer. Zero values mean the defaults.
type Options struct {
	// Region limits preferred engines to this region while it has any engines. Empty means all
	// regions.
	Region string
	// IndexEntries bounds the prefix index. Default 50,000 prefixes of about 120 bytes each.
	IndexEntries int
	// Rand is the random source for sampling engines. Default: a source with a fixed seed.
	Rand *rand.Rand
	// Filter, Scorer and Picker name the stages. Empty means the defaults.
	Filter, Scorer, Picker string
}

// DefaultIndexEntries bounds the prefix index to about 8 MB.
const DefaultIndexEntries = 50_000

const (
	// maxScored bounds the engines that are scored for one request.
	maxScored = 24
	// extraPreferred is the number of preferred engines that are scored beyond the number that the
	// demand needs, so that a hot prefix can spread before its demand estimate rises.
	extraPreferred = 2
	// maxPreferred bounds the preferred engines that are scored.
	maxPreferred = 10
	// maxIndexed is the number of engines from the prefix index after which no shorter prefix is
	// looked up.
	maxIndexed = 8
	// sampleSize is the number of random engines that are scored in search of a low load.
	sampleSize = 3
)

// Placer ranks engines for one entry node. It is safe for concurrent use.
type Placer struct {
	mu       sync.Mutex
	options  Options
	filter   Filter
	scorer   Scorer
	picker   Picker
	interner interner
	fleet    *fleet
	index    *prefixIndex
	hitRates hitRates
	demand   demand
	rng      *rand.Rand
	scratch  [maxScored]ScoredEngine
}

// New returns a Placer without engines. It fails if a stage's name is unknown.
func New(options Options) (*Placer, error) {
	if options.IndexEntries <= 0 {
		options.IndexEntries = DefaultIndexEntries
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(1, 2))
	}
	p := &Placer{
		options:  options,
		interner: interner{},
		index:    newPrefixIndex(options.IndexEntries),
		hitRates: newHitRates(),
		rng:      options.Rand,
	}
	p.fleet = newFleet(nil, p.interner, nil)
	var err error
	if p.filter, err = lookupStage(filters, options.Filter, DefaultFilter); err != nil {
		return nil, err
	}
	if p.scorer, err = lookupStage(scorers, options.Scorer, DefaultScorer); err != nil {
		return nil, err
	}
	if p.picker, err = lookupStage(pickers, options.Picker, DefaultPicker); err != nil {
		return nil, err
	}
	return p, nil
}

// SetEngines replaces the set of engines. A load that is older than one received by SetLoad from
// the same owner is ignored. Call it after each change of the set or of loads: Rank itself does not
// scan all engines.
func (p *Placer) SetEngines(views []EngineView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.sameEngines(views) {
		p.fleet.update(views)
		return
	}
	p.fleet = newFleet(views, p.interner, p.fleet)
}

// SetLoad applies the load summary of an owner's reply, unless a newer one of that owner is known.
func (p *Placer) SetLoad(engine, incarnation string, load LoadView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(engine)
	if e == nil || e.hasNewerLoad(load) {
		return
	}
	e.Load = load
	e.dispatchedTokens = 0
	e.dispatchedRequests = 0
	if incarnation != "" && incarnation != e.Incarnation {
		e.Incarnation = incarnation
		e.incarnationHash = rendezvous.Hash(incarnation)
	}
}

// RecordDispatch counts a request that this node sends to an engine as load of the engine, until the
// next summary includes it.
func (p *Placer) RecordDispatch(engine string, missingTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engine(engine); e != nil {
		e.dispatchedTokens += missingTokens
		e.dispatchedRequests++
	}
}

func (p *Placer) engine(id string) *engineState {
	i, ok := p.fleet.byID[id]
	if !ok {
		return nil
	}
	return &p.fleet.engines[i]
}

// Rank returns at most three candidates, best first. It returns none if no engine can run the
// request. Begin returns the same candidates one by one, with their DeclineOver set.
func (p *Placer) Rank(now time.Time, r *Request) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.fleet.groupFor(r.Model, p.options.Region)
	if g == nil {
		return nil
	}
	scored := p.generateCandidates(now, g, r)
	for i := range scored {
		p.scorer.Score(r, &scored[i])
	}
	return candidates(p.picker.Pick(scored))
}

// PreferredEngine returns the first usable preferred engine of a prompt, or false if there is none.
func (p *Placer) PreferredEngine(r *Request) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.fleet.groupFor(r.Model, p.options.Region)
	if g == nil {
		return Candidate{}, false
	}
	preferred := p.preferredEnginesFor(g, r.Pieces)
	total := prefix.Tokens(r.Pieces)
	for rank, i := range preferred.order[:preferred.count] {
		s := ScoredEngine{View: &p.fleet.engines[i].EngineView, Rank: rank, TotalTokens: total, engine: i}
		if !p.filter.Keep(r, s.View) {
			continue
		}
		p.scorer.Score(r, &s)
		return candidates([]ScoredEngine{s})[0], true
	}
	return Candidate{}, false
}

func candidates(scored []ScoredEngine) []Candidate {
	out := make([]Candidate, len(scored))
	for i := range scored {
		s := &scored[i]
		out[i] = Candidate{
			Engine:        s.View.ID,
			Address:       s.View.Address,
			DataCentre:    s.View.DataCentre,
			Incarnation:   s.View.Incarnation,
			PredictedTTFT: s.TTFT,
			CachedPieces:  s.CachedPieces,
			CachedTokens:  int(s.CachedTokens),
			MissingTokens: s.TotalTokens - int(s.CachedTokens),
			NetworkTime:   s.View.NetworkTime,
			Wait:          s.Wait,
			Cost:          s.Cost,
			Rank:          s.Rank,
		}
	}
	return out
}
