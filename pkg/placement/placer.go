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
	// Region limits homes to engines of this region while it has any. Empty means all.
	Region string
	// IndexEntries bounds the soft map. Default 50,000 keys of about 120 bytes.
	IndexEntries int
	// Rand is the source for sampling engines. Default: a fixed seed.
	Rand *rand.Rand
	// Filter, Scorer and Picker name the stages. Empty means the defaults.
	Filter, Scorer, Picker string
}

// DefaultIndexEntries bounds the soft map to about 8 MB.
const DefaultIndexEntries = 50_000

const (
	// maxScored bounds the candidates of one decision.
	maxScored = 24
	// extraPreferred is the number of homes beyond the width of a prefix that are considered, so
	// that a hot prefix can grow before its demand estimate does.
	extraPreferred = 2
	// maxPreferred bounds the homes that are considered.
	maxPreferred = 10
	// maxIndexed bounds the engines that are taken from the soft map.
	maxIndexed = 8
	// sampleSize is the number of random engines that are considered for their low load.
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

// SetEngines sets the engines of this node's view. Loads that are older than those learned from
// replies are ignored. Call it after changes; Rank itself does not look at all engines.
func (p *Placer) SetEngines(views []EngineView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.sameEngines(views) {
		p.fleet.update(views)
		return
	}
	p.fleet = newFleet(views, p.interner, p.fleet)
}

// SetLoad takes the summary that an owner's reply carried.
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

// RecordDispatch notes work that this node sends to an engine, until the next summary shows it.
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

// Rank returns the engines to ask, best first, at most three. It returns none if no engine can
// run the request. Begin wraps it with the bounds for asking.
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

// PreferredEngine returns the first usable home of a prompt, for dispatch without an owner.
func (p *Placer) PreferredEngine(r *Request) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.fleet.groupFor(r.Model, p.options.Region)
	if g == nil {
		return Candidate{}, false
	}
	h := p.preferredEnginesFor(g, r.Pieces)
	total := prefix.Tokens(r.Pieces)
	for rank, i := range h.order[:h.count] {
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
