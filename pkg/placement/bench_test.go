package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// testPieces returns the pieces of a prompt with three levels and ten pieces.
func testPieces(outer, inner, family int) []prefix.Piece {
	var pieces []prefix.Piece
	add := func(n int, level string, shared bool, name string) {
		for i := range n {
			hash := rendezvous.Hash(fmt.Sprint(level, name, i))
			pieces = append(pieces, prefix.Piece{PrefixHash: hash, Tokens: 4000, Level: level, Shared: shared})
		}
	}
	add(3, "school", true, fmt.Sprint(outer))
	add(6, "timetable", true, fmt.Sprint(outer, "/", inner))
	add(1, "family", false, fmt.Sprint(outer, "/", inner, "/", family))
	return pieces
}

func engineViews(n int) []EngineView {
	v := make([]EngineView, n)
	for i := range v {
		v[i] = EngineView{ID: fmt.Sprintf("e%03d", i), Region: "r", Incarnation: "1", Model: "m", WeightsVersion: "v1",
			MaxBatch: 16, Load: LoadView{Owner: "n", Version: 1, PrefillRate: 20_000}}
	}
	return v
}

func newTestPlacer(tb testing.TB, engines int) *Placer {
	p, err := New(Options{Region: "r", IndexEntries: 10_000})
	require.NoError(tb, err)
	p.SetEngines(engineViews(engines))
	return p
}

// observeRequests ranks n requests and reports each as served by its first candidate.
func observeRequests(p *Placer, n int) {
	now := time.Unix(1000, 0)
	for i := range n {
		r := &Request{Pieces: testPieces(i%50, i%400, i), Model: "m", WeightsVersion: "v1"}
		c := p.Rank(now, r)[0]
		p.Observe(now, Feedback{Pieces: r.Pieces, Engine: c.Engine, Incarnation: "1", ReusedTokens: 36_000, Direct: true})
		now = now.Add(time.Millisecond)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, engines := range []int{20, 200, 790} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := newTestPlacer(b, engines)
			observeRequests(p, 20_000)
			var requests []*Request
			for i := range 1000 {
				requests = append(requests, &Request{Pieces: testPieces(i%50, i%400, i), Model: "m", WeightsVersion: "v1", MaxTokens: 128})
			}
			now := time.Unix(1030, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Rank(now, requests[i%len(requests)])
			}
		})
	}
}

// Guards against memory that grows with engines x prefixes: the prefix index is bounded, and so are
// the rendezvous orders per group of engines.
func TestPlacerHeapIsBounded(t *testing.T) {
	p := newTestPlacer(t, 790)
	observeRequests(p, 20_000)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	observeRequests(p, 40_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapGrowth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	require.Less(t, heapGrowth, int64(2<<20))
	require.Less(t, int64(after.HeapAlloc), int64(24<<20))
}
