package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// adapters are the in-process and the HTTP interface of a store. Each entry returns the adapter and a
// function that sets the faults through the same interface.
var adapters = map[string]func(t *testing.T, s *Store) (objects.Store, func(Faults)){
	"in process": func(_ *testing.T, s *Store) (objects.Store, func(Faults)) { return s, s.SetFaults },
	"http": func(t *testing.T, s *Store) (objects.Store, func(Faults)) {
		server := httptest.NewServer(Handler(s))
		t.Cleanup(server.Close)
		return objects.NewClient(server.URL, server.Client()), func(f Faults) {
			document, err := json.Marshal(f)
			require.NoError(t, err)
			response, err := http.Post(server.URL+"/admin/faults", "application/json", bytes.NewReader(document))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NoError(t, response.Body.Close())
		}
	},
}

// Guards against an adapter or an injected fault that violates the contract of objects.Store, such as
// a conditional update that overwrites a newer version, an outage reported as a missing object, or a
// lost response reported as a refusal.
func TestStoreContract(t *testing.T) {
	cases := map[string]func(t *testing.T, s objects.Store, set func(Faults)){
		"conditional update":          checkConditionalUpdate,
		"values up to the limit":      checkValueLimit,
		"list by prefix":              checkList,
		"watch wakes on change":       checkWatch,
		"outage":                      checkOutage,
		"answer lost after the write": checkLostResponse,
		"stale read":                  checkStaleRead,
		"stale watch":                 checkStaleWatch,
		"rate caps":                   checkRateLimits,
		"slow call and deadline":      checkCallDeadline,
	}
	for adapter, connect := range adapters {
		for name, check := range cases {
			t.Run(adapter+"/"+name, func(t *testing.T) {
				store, set := connect(t, NewStore(1))
				check(t, store, set)
			})
		}
	}
}

func put(t *testing.T, s objects.Store, name, value string, ifVersion uint64) uint64 {
	t.Helper()
	v, err := s.Put(t.Context(), name, []byte(value), ifVersion)
	require.NoError(t, err)
	return v
}

func assertFault(t *testing.T, err error, kind fault.Kind, work fault.Work) {
	t.Helper()
	require.Error(t, err)
	assert.Equal(t, kind, fault.As(err).Kind, err)
	assert.Equal(t, work, fault.As(err).Work, err)
}

func checkConditionalUpdate(t *testing.T, s objects.Store, _ func(Faults)) {
	v1 := put(t, s, "a/b", "one", 0)
	_, err := s.Put(t.Context(), "a/b", []byte("two"), 0)
	assertFault(t, err, fault.Conflict, fault.NotRun)
	v2 := put(t, s, "a/b", "two", v1)
	assert.Greater(t, v2, v1)
	_, err = s.Put(t.Context(), "a/b", []byte("three"), v1)
	assertFault(t, err, fault.Conflict, fault.NotRun)
	o, err := s.Get(t.Context(), "a/b")
	require.NoError(t, err)
	assert.Equal(t, objects.Object{Name: "a/b", Version: v2, Value: []byte("two")}, o)
	assertFault(t, s.Delete(t.Context(), "a/b", v1), fault.Conflict, fault.NotRun)
	require.NoError(t, s.Delete(t.Context(), "a/b", v2))
	_, err = s.Get(t.Context(), "a/b")
	assertFault(t, err, fault.NotFound, fault.NotRun)
	assert.Greater(t, put(t, s, "a/b", "again", 0), v2, "a version is never used twice")
}

func checkValueLimit(t *testing.T, s objects.Store, _ func(Faults)) {
	put(t, s, "full", string(make([]byte, objects.MaxValueBytes)), 0)
	_, err := s.Put(t.Context(), "over", make([]byte, objects.MaxValueBytes+1), 0)
	assertFault(t, err, fault.BadRequest, fault.NotRun)
}

func checkList(t *testing.T, s objects.Store, _ func(Faults)) {
	put(t, s, "p/2", "b", 0)
	put(t, s, "p/1", "a", 0)
	put(t, s, "q/1", "c", 0)
	found, err := s.List(t.Context(), "p/")
	require.NoError(t, err)
	require.Len(t, found, 2)
	assert.Equal(t, "p/1", found[0].Name)
	assert.Equal(t, []byte("b"), found[1].Value)
}

func checkWatch(t *testing.T, s objects.Store, _ func(Faults)) {
	v := put(t, s, "w/1", "a", 0)
	found, err := s.Watch(t.Context(), "w/", 0)
	require.NoError(t, err)
	require.Len(t, found, 1)
	type delivery struct {
		found []objects.Object
		err   error
	}
	delivered := make(chan delivery)
	go func() {
		found, err := s.Watch(t.Context(), "w/", v)
		delivered <- delivery{found, err}
	}()
	require.NoError(t, s.Delete(t.Context(), "w/1", v))
	d := <-delivered
	require.NoError(t, d.err)
	require.Len(t, d.found, 1)
	assert.True(t, d.found[0].Deleted)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Watch(ctx, "w/", d.found[0].Version)
	assert.Error(t, err)
}

func checkOutage(t *testing.T, s objects.Store, set func(Faults)) {
	v := put(t, s, "o", "a", 0)
	set(Faults{Outage: true})
	_, err := s.Get(t.Context(), "o")
	assertFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	_, err = s.Put(t.Context(), "o", []byte("b"), v)
	assertFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	_, err = s.Watch(t.Context(), "o", v)
	assertFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	set(Faults{})
	put(t, s, "o", "b", v)
}

func checkLostResponse(t *testing.T, s objects.Store, set func(Faults)) {
	set(Faults{LostResponseShare: 1})
	_, err := s.Put(t.Context(), "l", []byte("mine"), 0)
	assertFault(t, err, fault.PlatformUnavailable, fault.Unknown)
	o, err := s.Get(t.Context(), "l")
	require.NoError(t, err)
	assert.Equal(t, []byte("mine"), o.Value, "the write took effect")
}

func checkStaleRead(t *testing.T, s objects.Store, set func(Faults)) {
	v1 := put(t, s, "s", "old", 0)
	put(t, s, "s", "new", v1)
	set(Faults{StaleReadShare: 1})
	o, err := s.Get(t.Context(), "s")
	require.NoError(t, err)
	assert.Equal(t, []byte("old"), o.Value)
	_, err = s.Put(t.Context(), "s", []byte("newer"), o.Version)
	assertFault(t, err, fault.Conflict, fault.NotRun)
}

func checkStaleWatch(t *testing.T, s objects.Store, set func(Faults)) {
	v1 := put(t, s, "s", "old", 0)
	v2 := put(t, s, "s", "new", v1)
	set(Faults{StaleWatchShare: 1})
	found, err := s.Watch(t.Context(), "s", v1)
	require.NoError(t, err)
	require.Len(t, found, 1)
	assert.Equal(t, v1, found[0].Version)
	set(Faults{})
	found, err = s.Watch(t.Context(), "s", v1)
	require.NoError(t, err)
	assert.Equal(t, v2, found[0].Version)
}

func checkRateLimits(t *testing.T, s objects.Store, set func(Faults)) {
	// One call in 1,000 s, so that the limiter adds no second token during the test.
	set(Faults{WritesPerSecond: 0.001, ReadsPerSecond: 0.001})
	v := put(t, s, "r", "a", 0)
	_, err := s.Put(t.Context(), "r", []byte("b"), v)
	assertFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	_, err = s.Get(t.Context(), "r")
	require.NoError(t, err, "reads have their own cap")
	_, err = s.Get(t.Context(), "r")
	assertFault(t, err, fault.PlatformUnavailable, fault.NotRun)
}

func checkCallDeadline(t *testing.T, s objects.Store, set func(Faults)) {
	set(Faults{Delay: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, cancel)
	_, err := s.Get(ctx, "any")
	require.Error(t, err)
	assert.True(t, fault.Is(err, fault.PlatformUnavailable), err)
}

// Guards against waiting watches that are not counted: the target for calls per second includes them.
func TestWaitingWatchIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { _, _ = s.Watch(ctx, "", 0) }()
		synctest.Wait()
		assert.Equal(t, Counters{Watches: 1, Waiting: 1}, s.Counters())
		<-ctx.Done()
		synctest.Wait()
		counters := s.Counters()
		assert.Equal(t, 0, counters.Waiting)
		assert.InDelta(t, 10, counters.WatchSeconds, 1e-9)
		assert.Equal(t, uint64(1), counters.Calls())
	})
}
