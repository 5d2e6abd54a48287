// Package weights emulates the platform's store of model weights. It serves manifests and injects
// outages, rate limits and missing versions.
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

// weightsSizeBytes is the size of the weights that each manifest states.
const weightsSizeBytes = 16 << 30

// Faults are the faults that a Store injects; the zero value injects none.
type Faults struct {
	Outage bool `json:"outage"`
	// FetchesPerSecond limits the rate of fetches. 0 means no limit.
	FetchesPerSecond float64 `json:"fetches_per_second"`
	// Missing are the versions that the store does not contain, as "model/version".
	Missing []string `json:"missing"`
}

// Store is a weight store that contains every version except those in Faults.Missing. It implements
// weights.Store and is safe for concurrent use.
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

// Fetches returns the number of fetches served and the number refused by the rate limit.
func (s *Store) Fetches() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Fetch returns the manifest of a version. Its errors have the kinds fault.PlatformUnavailable in an
// outage, fault.NotFound for a missing version and fault.RateLimited over the rate limit.
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

// Handler serves a store over the HTTP interface of the platform, plus the test control POST
// /admin/faults, whose body is a Faults document.
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
