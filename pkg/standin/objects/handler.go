package objects

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// maxPollDuration is the time after which a long poll for changes returns an empty list, so that an
// unreachable client does not hold a connection forever.
const maxPollDuration = 30 * time.Second

// Handler serves a store over the HTTP interface of the object API, plus the test controls GET
// /admin/counters and POST /admin/faults, whose body is a Faults document.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.serveGet)
	mux.HandleFunc("PUT /objects/{name...}", s.servePut)
	mux.HandleFunc("DELETE /objects/{name...}", s.serveDelete)
	mux.HandleFunc("GET /objects", s.serveList)
	mux.HandleFunc("GET /watch", s.serveWatch)
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, s.Counters(), nil) })
	mux.HandleFunc("POST /admin/faults", s.serveFaults)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("name"))
	writeResponse(w, o, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must hold a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.Put(r.Context(), r.PathValue("name"), value, ifVersion)
	writeResponse(w, objects.WriteResponse{Version: version}, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must hold a version", http.StatusBadRequest)
		return
	}
	writeResponse(w, objects.WriteResponse{}, s.Delete(r.Context(), r.PathValue("name"), ifVersion))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	found, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, found, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxPollDuration)
	defer cancel()
	found, err := s.Watch(ctx, r.URL.Query().Get("prefix"), after)
	if ctx.Err() != nil && len(found) == 0 {
		writeResponse(w, []objects.Object{}, nil)
		return
	}
	writeResponse(w, found, err)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeResponse(w, f, nil)
}

// writeResponse writes v as JSON, or the HTTP status and message of err. If err means that it is
// unknown whether the call took effect (a lost response), it closes the connection without a
// response.
func writeResponse(w http.ResponseWriter, v any, err error) {
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
		return
	}
	e := fault.As(err)
	if e.Work == fault.Unknown {
		panic(http.ErrAbortHandler)
	}
	status := e.Status()
	if e.Kind == fault.PlatformUnavailable && e.RetryAfter > 0 {
		status = http.StatusTooManyRequests
	}
	http.Error(w, e.Message, status)
}
