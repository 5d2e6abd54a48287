package e2e

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	servicestandin "cassiawall.example/cassiawall/pkg/standin/service"
)

const bookingService = "ratiba"

// startBookings starts a fleet whose workspace sends bookings to a plain service; /book is not idempotent.
func startBookings(t *testing.T, nodes int) *localfleet.Fleet {
	t.Helper()
	c := fleetConfig()
	c.Services = []config.Service{{Name: bookingService, Routes: []config.Route{{Path: "/book", NonIdempotent: true}, {Path: "/slots"}}}}
	c.Workspaces[0].Services = []string{bookingService}
	return startFleetWith(t, c, nodes, 1)
}

func book(ctx context.Context, f *localfleet.Fleet, node int, key string) loadgen.Result {
	c := &loadgen.Client{BaseURL: f.Nodes()[node].CallersURL(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return c.CallService(ctx, &loadgen.ServiceCall{APIKey: apiKey, Method: http.MethodPost, Path: "/book", IdempotencyKey: key, Body: []byte(`{"slot":3}`)})
}

// Guards against a booking that runs more than once because a client repeats it, with the same idempotency key,
// through several nodes at the same time.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	f := startBookings(t, 3)
	results := make([]loadgen.Result, 9)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() { results[i] = book(t.Context(), f, i%3, "key") })
	}
	calls.Wait()
	for _, r := range results {
		assert.True(t, r.Complete || r.Kind == fault.InProgress, "%+v", r)
	}
	repeated := book(t.Context(), f, 2, "key")
	assert.True(t, repeated.Complete)
	assert.Equal(t, 1, f.Platform.Ledgers[bookingService].Executions().Total)
}

// Guards against a retry of a booking whose response was lost: it may have run, so its outcome is unknown.
func TestLostResponseOfBookingIsOutcomeUnknown(t *testing.T) {
	f := startBookings(t, 2)
	for _, b := range f.Platform.BackendServers[bookingService] {
		b.SetFaults(servicestandin.Faults{LostResponseShare: 1})
	}
	first := book(t.Context(), f, 0, "key")
	assert.Equal(t, fault.OutcomeUnknown, first.Kind)
	assert.Equal(t, fault.Unknown, first.Work)
	repeated := book(t.Context(), f, 1, "key")
	assert.Equal(t, fault.OutcomeUnknown, repeated.Kind)
	assert.Equal(t, 1, f.Platform.Ledgers[bookingService].Executions().Total)
}

// Guards against a booking that runs although it was refused because the object API is down, and against
// generation that depends on the object API.
func TestObjectAPIDown(t *testing.T) {
	f := startBookings(t, 2)
	f.SetObjectsDown(true)
	r := book(t.Context(), f, 0, "key")
	assert.Equal(t, fault.PlatformUnavailable, r.Kind)
	assert.Equal(t, fault.NotRun, r.Work)
	assert.Zero(t, f.Platform.Ledgers[bookingService].Executions().Total)
	params, want := chatParams("slot")
	c := newClient(f.Nodes()[1])
	got, err := c.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	assert.Equal(t, want, got.Choices[0].Message.Content)
	f.SetObjectsDown(false)
	require.Eventually(t, func() bool { return book(t.Context(), f, 0, "key").Complete }, testTimeout, pollInterval)
	assert.Equal(t, 1, f.Platform.Ledgers[bookingService].Executions().Total)
}

// Guards against a generation with an idempotency key that runs again when a client repeats it.
func TestRepeatedGenerationRunsOnce(t *testing.T) {
	f := startBookings(t, 2)
	send := func(node int) loadgen.Result {
		c := &loadgen.Client{BaseURL: f.Nodes()[node].CallersURL(), HTTP: http.DefaultClient}
		return c.CallService(t.Context(), &loadgen.ServiceCall{APIKey: apiKey, Method: http.MethodPost, Path: "/v1/completions", IdempotencyKey: "once",
			Body: []byte(`{"model":"lugha","prompt":"book it","max_tokens":8}`)})
	}
	first, second := send(0), send(1)
	require.True(t, first.Complete, "%+v", first)
	require.True(t, second.Complete, "%+v", second)
	assert.Equal(t, 1, f.Engines[0].Counters().Requests)
}
