package owner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// workload describes the requests of a trial. A prompt has three nested levels of text, of which the
// first two are shared between requests.
type workload struct {
	engines, blocks, entryNodes int
	// textsPerLevel is the number of different texts that can follow each text of the level above,
	// at the first level the number per workspace.
	textsPerLevel [3]int
	// skew is the Zipf exponent of each level's popularity.
	skew [3]float64
	// pieces is the number of pieces of a text of each shared level, tailTokens the size of the
	// third level's text.
	pieces     [2]int
	tailTokens int
	rate       float64
	output     int
	// meanDisconnectDelay is the mean time until a caller disconnects. 60 % of the callers
	// disconnect; the others wait for the whole response.
	meanDisconnectDelay time.Duration
	duration            time.Duration
	lostEvents          float64
	// policy holds the weights that the questionnaire produces for this deployment.
	policy config.Policy
	// restartAt is the time at which the placers of half of the entry nodes and the owner are
	// replaced by ones without state; 0 means never.
	restartAt time.Duration
}

// workspaceShares is the share of requests of each workspace: three large and five small ones.
var workspaceShares = []float64{0.30, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05}

// hotPrefixShiftInterval is the time after which other texts become the most frequent ones.
const hotPrefixShiftInterval = 10 * time.Second

func kileleWorkload() workload {
	return workload{engines: 20, blocks: 48, entryNodes: 6, textsPerLevel: [3]int{5, 4, 30}, skew: [3]float64{1.3, 1.2, 1.05},
		pieces: [2]int{2, 3}, tailTokens: 1600, rate: 28, output: 100, meanDisconnectDelay: 1200 * time.Millisecond, duration: 40 * time.Second,
		policy: config.Policy{LatencyWeight: 2, RecomputeWeight: 1}}
}

func tuulWorkload() workload {
	return workload{engines: 10, blocks: 48, entryNodes: 4, textsPerLevel: [3]int{3, 12, 12}, skew: [3]float64{1.3, 1.1, 1.05},
		pieces: [2]int{1, 2}, tailTokens: 2000, rate: 14, output: 75, meanDisconnectDelay: 1500 * time.Millisecond, duration: 40 * time.Second,
		policy: config.Policy{LatencyWeight: 0.5, RecomputeWeight: 2}}
}

// request is a prompt of three levels and the time after which its caller disconnects.
type request struct {
	workspace   string
	pieces      []prefix.Piece
	cancelAfter time.Duration
}

func (p *pool) newRequest(rng *rand.Rand, at time.Duration) request {
	workspace := 0
	for u := rng.Float64(); workspace < len(workspaceShares)-1 && u > workspaceShares[workspace]; workspace++ {
		u -= workspaceShares[workspace]
	}
	r := request{workspace: fmt.Sprint(workspace), cancelAfter: time.Hour}
	path := r.workspace
	for level := range 3 {
		zipf := rand.NewZipf(rng, p.workload.skew[level], 1, uint64(p.workload.textsPerLevel[level]-1))
		text := (int(zipf.Uint64()) + int(at/hotPrefixShiftInterval)) % p.workload.textsPerLevel[level]
		path += fmt.Sprint("/", text)
		piece := prefix.Piece{Tokens: p.workload.tailTokens, Level: fmt.Sprint(level)}
		n := 1
		if level < 2 {
			piece.Tokens, piece.Shared = 4000, true
			n = p.workload.pieces[level]
		}
		for i := range n {
			piece.PrefixHash = rendezvous.Hash(fmt.Sprint(path, "#", i))
			r.pieces = append(r.pieces, piece)
		}
	}
	if rng.Float64() < 0.6 {
		r.cancelAfter = time.Duration(rng.ExpFloat64()*float64(p.workload.meanDisconnectDelay)) + time.Millisecond
	}
	return r
}
