package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/cacheindex"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Series is a figure measured at several sizes.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of Y, Size what X counts.
	Unit   string  `json:"unit"`
	Size   string  `json:"size"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Target is the target size and AtTarget the line's value there.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
}

// ScaleResult holds all series.
type ScaleResult struct {
	Series []Series `json:"series"`
}

// ScaleOptions configures a scale measurement.
type ScaleOptions struct {
	// Idle is the time over which idle nodes are measured.
	Idle     time.Duration
	Progress io.Writer
	Logger   *slog.Logger
}

// Target sizes of the design page, section 4: engines, keys of one owner node, and nodes.
const (
	targetEngines = 790
	targetKeys    = 400_000
	targetNodes   = 400
)

// Sizes at which the series are measured.
var (
	engineSizes = []int{100, 200, 400, 790}
	keySizes    = []int{50_000, 100_000, 200_000, 400_000}
	nodeSizes   = []int{2, 4, 8, 12}
)

// RunScale measures all series.
func RunScale(ctx context.Context, o ScaleOptions) (ScaleResult, error) {
	o.progress("placement decisions at %v engines", engineSizes)
	decisions, err := measure(engineSizes, decisionTime)
	if err != nil {
		return ScaleResult{}, err
	}
	o.progress("cache index at %v keys", keySizes)
	memory, _ := measure(keySizes, indexMemory)
	events, _ := measure(keySizes, indexEventTime)
	cpu, heap, err := o.idleNodes(ctx)
	if err != nil {
		return ScaleResult{}, err
	}
	return ScaleResult{Series: []Series{
		newSeries("placement_decision", "us", "engines", targetEngines, decisions),
		newSeries("cache_index_memory", "MB", "keys", targetKeys, memory),
		newSeries("cache_index_event", "us", "keys", targetKeys, events),
		newSeries("idle_cpu_all_nodes", "ms/s", "nodes", targetNodes, cpu),
		newSeries("idle_heap_all_nodes", "MB", "nodes", targetNodes, heap),
	}}, nil
}

func (o *ScaleOptions) progress(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

func measure(sizes []int, figure func(int) (float64, error)) ([]Point, error) {
	points := make([]Point, len(sizes))
	for i, n := range sizes {
		y, err := figure(n)
		if err != nil {
			return nil, err
		}
		points[i] = Point{X: float64(n), Y: y}
	}
	return points, nil
}

func newSeries(name, unit, size string, target float64, points []Point) Series {
	s := Series{Name: name, Unit: unit, Size: size, Target: target, Points: points, Fit: fitLine(points)}
	s.AtTarget = s.Fit.at(target)
	return s
}

const (
	// decisions is the number of placement decisions per measurement.
	decisions = 20_000
	// repeats is the number of measurements of which the median counts.
	repeats = 5
	// chainLength is the chain length of the design page's target for decisions.
	chainLength = 10
)

// decisionTime returns the time of one placement decision in µs.
func decisionTime(engines int) (float64, error) {
	p, err := placement.New(placement.Options{})
	if err != nil {
		return 0, err
	}
	views := make([]placement.EngineView, engines)
	for i := range views {
		views[i] = placement.EngineView{ID: engineName(i), Incarnation: "1", Model: "m", WeightsVersion: weightsVersion, MaxBatch: 16}
	}
	p.SetEngines(views)
	requests := scaleRequests()
	now := time.Unix(0, 0)
	warm := func() time.Duration {
		begin := time.Now()
		for i := range decisions {
			r := &requests[i%len(requests)]
			c := p.Rank(now, r)
			if i%4 == 0 && len(c) > 0 {
				p.Observe(now, placement.Feedback{Pieces: r.Pieces, Engine: c[0].Engine, Incarnation: "1"})
			}
		}
		return time.Since(begin)
	}
	warm()
	return medianOf(func() float64 { return warm().Seconds() * 1e6 / decisions }), nil
}

// scaleRequests returns requests with nested prefixes.
func scaleRequests() []placement.Request {
	random := rand.New(rand.NewPCG(1, 1))
	requests := make([]placement.Request, 1000)
	for i := range requests {
		r := &requests[i]
		r.Model, r.WeightsVersion, r.MaxTokens = "m", weightsVersion, 100
		r.Policy = config.Policy{LatencyWeight: 1, RecomputeWeight: 1}
		for j := range chainLength {
			key := uint64(j+1) << 32
			if j >= chainLength/2 {
				key += random.Uint64N(200)
			}
			r.Pieces = append(r.Pieces, prefix.Piece{Key: key * 0x9e3779b97f4a7c15, Tokens: pieceTokens, Level: "l", Shared: j < chainLength-1})
		}
	}
	return requests
}

func medianOf(figure func() float64) float64 {
	values := make([]float64, repeats)
	for i := range values {
		values[i] = figure()
	}
	slices.Sort(values)
	return values[repeats/2]
}

// filledIndex returns an index with n keys that a snapshot and events brought.
func filledIndex(n int) *cacheindex.Index {
	x := cacheindex.New(cacheindex.Options{})
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	x.Load(time.Unix(0, 0), engine.CacheSnapshot{Incarnation: "1", Keys: keys})
	return x
}

// heapNow returns the live heap in MB.
func heapNow() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

func indexMemory(n int) (float64, error) {
	before := heapNow()
	x := filledIndex(n)
	after := heapNow()
	runtime.KeepAlive(x)
	return after - before, nil
}

// indexEventTime returns the time of one event in µs, half of them evictions.
func indexEventTime(n int) (float64, error) {
	x := filledIndex(n)
	seq := uint64(0)
	const batches, size = 100, 100
	return medianOf(func() float64 {
		begin := time.Now()
		for range batches {
			b := engine.EventBatch{Incarnation: "1"}
			for range size / 2 {
				b.Events = append(b.Events,
					engine.CacheEvent{Seq: seq + 1, Kind: engine.EventStored, Key: uint64(n) + seq},
					engine.CacheEvent{Seq: seq + 2, Kind: engine.EventEvicted, Key: (seq/2 + 1) * 0x9e3779b97f4a7c15})
				seq += 2
			}
			b.Last = seq
			x.Apply(time.Unix(1, 0), b)
		}
		return time.Since(begin).Seconds() * 1e6 / (batches * size)
	}), nil
}

// idleNodes measures the CPU in ms/s and the heap in MB of idle fleets. The figures include the
// stand-in engines, two a node, so they are upper bounds for the nodes.
func (o *ScaleOptions) idleNodes(ctx context.Context) (cpu, heap []Point, err error) {
	profile, err := ProfileByName("tuul")
	if err != nil {
		return nil, nil, err
	}
	for _, n := range nodeSizes {
		o.progress("%d idle nodes for %s", n, o.Idle)
		profile.Nodes = n
		profile.Engines = 2 * n
		used, size, err := o.idleFleet(ctx, &profile)
		if err != nil {
			return nil, nil, err
		}
		cpu = append(cpu, Point{X: float64(n), Y: used})
		heap = append(heap, Point{X: float64(n), Y: size})
	}
	return cpu, heap, nil
}

// settleTime lets a new fleet finish its start before it counts as idle.
const settleTime = 2 * time.Second

func (o *ScaleOptions) idleFleet(ctx context.Context, p *Profile) (cpu, heap float64, err error) {
	before := heapNow()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := startFleet(startCtx, p, PolicyCassiawall, enginestandin.NewLedger(), o.Logger)
	if err != nil {
		return 0, 0, err
	}
	sleepUntil(ctx, time.Now().Add(settleTime))
	first, begin := processCPU(), time.Now()
	sleepUntil(ctx, begin.Add(o.Idle))
	cpu = (processCPU() - first).Seconds() * 1000 / time.Since(begin).Seconds()
	heap = heapNow() - before
	if err := fleet.Close(); err != nil {
		return 0, 0, err
	}
	return cpu, heap, ctx.Err()
}

// processCPU returns the CPU time of this process. It is zero if the system does not tell.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteScaleTable writes the series as a table for people.
func WriteScaleTable(w io.Writer, r ScaleResult) error {
	for _, s := range r.Series {
		if _, err := fmt.Fprintf(w, "%s: %.4g %s per %s (±%.2g), R² %.3f, largest error %.0f%%, %.4g %s at %.0f %s\n",
			s.Name, s.Fit.Slope, s.Unit, s.Size, s.Fit.SlopeError, s.Fit.R2, 100*s.Fit.MaxError,
			s.AtTarget, s.Unit, s.Target, s.Size); err != nil {
			return err
		}
		for _, p := range s.Points {
			if _, err := fmt.Fprintf(w, "  %8.0f %s: %.4g %s\n", p.X, s.Size, p.Y, s.Unit); err != nil {
				return err
			}
		}
	}
	return nil
}
