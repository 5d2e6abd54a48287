// Package weights is a stand-in for the platform's weight store. It serves manifests at a limited
// rate and can be down.
package weights

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/weights"
)

// weightBytes is the size that manifests state.
const weightsSizeBytes = 16 << 30

// Faults are the faults that a Store produces.
type Faults struct {
	Outage bool `json:"outage"`
	// FetchesPerSecond caps the fetches. 0 means no cap.
	FetchesPerSecond float64 `json:"fetches_per_second"`
	// Missing are versions, as "model/version", that the store does not have.
	Missing []string `json:"missing"`
}

// Store is the stand-in. It implements weights.Store and has every version that is not missing.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	missing map[string]bool
	limiter *rate.Limiter
	served  int
	refused int
}

var _ weights.Store = (*Store)(nil)

// New returns a store without faults.
func New() *Store {
	return &Store{limiter: rate.NewLimiter(rate.Inf, 1)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.missing = map[string]bool{}
	for _, name := range f.Missing {
		s.missing[name] = true
	}
	s.limiter = rate.NewLimiter(rate.Inf, 1)
	if f.FetchesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.FetchesPerSecond), max(1, int(f.FetchesPerSecond)))
	}
}

// Fetches returns the numbers of fetches served and refused over the rate.
func (s *Store) Fetches() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Fetch returns the manifest of a version.
func (s *Store) Fetch(_ context.Context, model, version string) (weights.Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := model + "/" + version
	switch {
	case s.faults.Outage:
		return weights.Manifest{}, fault.New(fault.PlatformUnavailable, "weight store outage")
	case s.missing[name]:
		return weights.Manifest{}, fault.New(fault.NotFound, "no weights %s", name)
	case !s.limiter.Allow():
		s.refused++
		retryAfter := time.Duration(float64(time.Second) / float64(s.limiter.Limit()))
		return weights.Manifest{}, fault.New(fault.RateLimited, "over the rate").WithRetryAfter(retryAfter)
	}
	s.served++
	digest := sha256.Sum256([]byte(name))
	return weights.Manifest{Model: model, Version: version, Bytes: weightsSizeBytes, SHA256: hex.EncodeToString(digest[:])}, nil
}

// Handler serves a store with the HTTP interface of the platform, plus POST /admin/faults with a
// Faults document.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		manifest, err := s.Fetch(r.Context(), r.PathValue("model"), r.PathValue("version"))
		if err != nil {
			e := fault.As(err)
			if e.RetryAfter > 0 {
				w.Header().Set(fault.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
			}
			http.Error(w, e.Message, e.Status())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(manifest)
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
