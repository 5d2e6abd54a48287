package burn

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
)

// MaxEncodedBytes bounds an encoded sketch. A node may use 9 KB/s for all of its control traffic; at
// this size, a report over 400 nodes transfers 1.6 MB.
const MaxEncodedBytes = 4 << 10

// maxDecodedBytes bounds a sketch after decompression.
const maxDecodedBytes = 1 << 20

// Sketch is the bounded summary of a node's requests that it sends to the node that makes a report.
type Sketch struct {
	Node string `json:"n"`
	// Since and At are the start of the recorder and the time of the sketch, in Unix seconds.
	Since int64 `json:"s"`
	At    int64 `json:"a"`
	// TTFT and Gap are the distributions of the time to first token and of the longest gap between
	// two tokens, over all workspaces.
	TTFT sparse `json:"f,omitempty"`
	Gap  sparse `json:"g,omitempty"`
	// Workspaces are the workspaces with the most misses, those with the most first.
	Workspaces []workspaceSketch `json:"w"`
	// Omitted is the number of workspaces that did not fit. Each of them has at most OmittedBad
	// misses in the budget period.
	Omitted    int    `json:"o,omitempty"`
	OmittedBad uint64 `json:"b,omitempty"`
}

// workspaceSketch is a node's counts of one workspace.
type workspaceSketch struct {
	Name   string            `json:"n"`
	Counts wireCounts        `json:"c"`
	Causes map[string]uint64 `json:"x,omitempty"`
	TTFT   sparse            `json:"f,omitempty"`
	Gap    sparse            `json:"g,omitempty"`
}

// wireCounts is the wire form of the counts by window and objective: pairs of the bad and of all
// requests. JSON arrays decode faster than objects and take fewer bytes.
type wireCounts [windowCount][objectiveCount][2]uint64

func toWire(sums [windowCount]tallies) wireCounts {
	var w wireCounts
	for i := range sums {
		for j, t := range sums[i] {
			w[i][j] = [2]uint64{t.Bad, t.Total}
		}
	}
	return w
}

func (w *wireCounts) window(i int) tallies {
	var counts tallies
	for j, pair := range w[i] {
		counts[j] = Tally{Bad: pair[0], Total: pair[1]}
	}
	return counts
}

// misses returns the number of missed objectives in the budget period.
func (w *workspaceSketch) misses() uint64 {
	counts := w.Counts.window(window24h)
	return counts.bad()
}

// maxCandidates is the maximum number of workspaces that are considered for a sketch. More never fit
// into MaxEncodedBytes, and encoding them would only cost time.
const maxCandidates = 512

// candidate is a workspace with requests in the budget period.
type candidate struct {
	name          string
	bad, requests uint64
}

// Sketch returns the summary of the recorder's counts at now, workspaces with the most misses first.
func (r *Recorder) Sketch(now time.Time) Sketch {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Sketch{Node: r.node, Since: r.started.Unix(), At: now.Unix()}
	ttft, gap := r.allWorkspaces.current(now)
	s.TTFT, s.Gap = ttft.sparse(), gap.sparse()
	candidates := r.candidates(now)
	if len(candidates) > maxCandidates {
		s.Omitted = len(candidates) - maxCandidates
		s.OmittedBad = candidates[maxCandidates].bad
		candidates = candidates[:maxCandidates]
	}
	for _, c := range candidates {
		s.Workspaces = append(s.Workspaces, r.workspaces[c.name].sketch(now, c.name))
	}
	return s
}

// candidates returns the workspaces with requests in the budget period, ordered by falling numbers of
// misses and then of requests.
func (r *Recorder) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(r.workspaces))
	for name, stats := range r.workspaces {
		counts := stats.history.coarse.sum(now, Windows[window24h])
		if counts != (tallies{}) {
			list = append(list, candidate{name: name, bad: counts.bad(), requests: counts[CompleteStreams].Total})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(b.requests, a.requests), cmp.Compare(a.name, b.name))
	})
	return list
}

func (s *workspaceStats) sketch(now time.Time, name string) workspaceSketch {
	w := workspaceSketch{Name: name, Counts: toWire(s.history.sums(now)), Causes: s.causes.current(now)}
	if s.latencies != nil {
		ttft, gap := s.latencies.current(now)
		w.TTFT, w.Gap = ttft.sparse(), gap.sparse()
	}
	return w
}

// Encode returns s as compressed JSON of at most MaxEncodedBytes. To fit, it first drops the histograms
// of the workspaces with the fewest misses, then these workspaces. The histograms over all workspaces
// are made coarser if they take more than half of the bytes.
func (s Sketch) Encode() []byte {
	if len(s.truncate(0, 0).compress()) > MaxEncodedBytes/2 {
		s.TTFT, s.Gap = s.TTFT.coarsen(), s.Gap.coarsen()
	}
	if encoded := s.compress(); len(encoded) <= MaxEncodedBytes {
		return encoded
	}
	if encoded := s.truncate(0, len(s.Workspaces)).compress(); len(encoded) <= MaxEncodedBytes {
		return s.encodeLargest(func(n int) Sketch { return s.truncate(n, len(s.Workspaces)) })
	}
	return s.encodeLargest(func(n int) Sketch { return s.truncate(0, n) })
}

// encodeLargest returns the encoding of cut(n) for the largest n at which it fits into
// MaxEncodedBytes. cut(0) must fit.
func (s Sketch) encodeLargest(cut func(n int) Sketch) []byte {
	n := sort.Search(len(s.Workspaces), func(n int) bool { return len(cut(n+1).compress()) > MaxEncodedBytes })
	return cut(n).compress()
}

// truncate returns s with only the first workspaces of its list, of which only the first detailed
// keep their histograms.
func (s Sketch) truncate(detailed, workspaces int) Sketch {
	if workspaces < len(s.Workspaces) {
		s.Omitted += len(s.Workspaces) - workspaces
		s.OmittedBad = max(s.OmittedBad, s.Workspaces[workspaces].misses())
	}
	s.Workspaces = slices.Clone(s.Workspaces[:workspaces])
	for i := detailed; i < workspaces; i++ {
		s.Workspaces[i].TTFT, s.Workspaces[i].Gap = nil, nil
	}
	return s
}

func (s Sketch) compress() []byte {
	var out bytes.Buffer
	// None of these calls can fail: the compression level is valid, the writer is in memory and the
	// types can be encoded.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	_ = json.NewEncoder(w).Encode(s)
	_ = w.Close()
	return out.Bytes()
}

// Decode decodes an encoded sketch. Errors are of kind fault.BadRequest.
func Decode(encoded []byte) (Sketch, error) {
	var s Sketch
	if len(encoded) > MaxEncodedBytes {
		return s, fault.New(fault.BadRequest, "the sketch has %d bytes; at most %d are allowed", len(encoded), MaxEncodedBytes)
	}
	reader := flate.NewReader(bytes.NewReader(encoded))
	if err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(&s); err != nil {
		return Sketch{}, fault.Wrap(err, fault.BadRequest, "the sketch does not decode")
	}
	return s, nil
}
