package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	messages "cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	"cassiawall.example/cassiawall/pkg/standin/objects"
	servicestandin "cassiawall.example/cassiawall/pkg/standin/service"
)

// Guards against a booking that runs twice when a client repeats it, and against a response that reports
// not_run although a backend server ran the booking. Each case combines a fault of the backend servers with
// a fault of the object API, and some restart the entry node between the booking and its repeats.
func TestBookingFaults(t *testing.T) {
	t.Parallel()
	backends := []struct {
		name   string
		faults servicestandin.Faults
	}{
		{"backends work", servicestandin.Faults{}},
		{"answer lost", servicestandin.Faults{LostResponseShare: 1}},
		{"backends refuse", servicestandin.Faults{RefuseShare: 1}},
		{"backends lose some answers and refuse some requests", servicestandin.Faults{LostResponseShare: 0.3, RefuseShare: 0.3}},
	}
	stores := []struct {
		name   string
		faults objects.Faults
		// crash restarts the entry node after the booking without a graceful shutdown.
		crash bool
	}{
		{"store works", objects.Faults{}, false},
		{"entry crashes", objects.Faults{}, true},
		{"store loses answers", objects.Faults{LostResponseShare: 1}, false},
		{"store reads stale", objects.Faults{StaleReadShare: 1}, false},
		{"store loses some answers, returns some stale reads and entry crashes", objects.Faults{LostResponseShare: 0.3, StaleReadShare: 0.3}, true},
		{"store fails after the booking", objects.Faults{Outage: true}, false},
		{"store is slow and loses answers", objects.Faults{Delay: 20 * time.Millisecond, LostResponseShare: 0.5}, false},
	}
	f := startBookings(t, 3)
	caseNumber := 0
	for _, backend := range backends {
		for _, store := range stores {
			t.Run(backend.name+", "+store.name, func(t *testing.T) {
				caseNumber++
				key := fmt.Sprint("key-", caseNumber)
				for _, b := range f.Platform.BackendServers[bookingService] {
					b.SetFaults(backend.faults)
				}
				if !store.faults.Outage {
					f.Platform.Objects.SetFaults(store.faults)
				}
				checkBooking(t, f, key, book(t.Context(), f, 0, key))
				f.Platform.Objects.SetFaults(store.faults)
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				if store.crash {
					require.NoError(t, f.Restart(ctx, 0))
				}
				for node := range 3 {
					book(t.Context(), f, node, key)
				}
				f.Platform.Objects.SetFaults(objects.Faults{})
				for _, b := range f.Platform.BackendServers[bookingService] {
					b.SetFaults(servicestandin.Faults{})
				}
				for node := range 3 {
					checkBooking(t, f, key, book(t.Context(), f, node, key))
				}
			})
		}
	}
	assert.Zero(t, f.Platform.Ledgers[bookingService].DuplicateExecutions())
}

// checkBooking compares the result of a booking at the client with the executions at the backend servers: at most
// one, exactly one after a complete response, and none after not_run.
func checkBooking(t *testing.T, f *localfleet.Fleet, key string, result loadgen.Result) {
	t.Helper()
	executions := f.Platform.Ledgers[bookingService].Executions().ByKey[key]
	assert.LessOrEqual(t, executions, 1)
	switch {
	case result.Complete:
		assert.Equal(t, 1, executions)
	case result.Work == fault.NotRun:
		assert.Zero(t, executions, "%+v", result)
	}
}

// startSlowChat starts a chat at a node and returns after its first token. The channel receives the result.
func startSlowChat(t *testing.T, f *localfleet.Fleet, node int) (*loadgen.Chat, <-chan loadgen.Result) {
	t.Helper()
	first, result := make(chan struct{}), make(chan loadgen.Result, 1)
	chat := &loadgen.Chat{APIKey: apiKey, Model: model, MaxTokens: 80, Seed: 7, OnFirstChunk: func() { close(first) },
		Messages: []messages.Message{{Role: "user", Content: "slot"}}}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c := loadgen.Client{BaseURL: f.Nodes()[node].CallersURL(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	go func() { result <- c.Stream(ctx, chat) }()
	select {
	case <-first:
	case <-ctx.Done():
		t.Fatal("no first token")
	}
	return chat, result
}

// Guards against a graceful shutdown that cuts a stream which is still running when the shutdown starts.
func TestStreamCompletesDuringGracefulShutdown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 20})
	chat, results := startSlowChat(t, f, 0)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, f.RestartGracefully(ctx, 0))
	result := <-results
	assert.True(t, result.Complete, "%+v", result)
	assert.Equal(t, enginestandin.Completion(messages.ChatText(chat.Messages), chat.Seed, chat.MaxTokens), result.Text)
}

// Guards against a draining node that refuses connections before load balancers have noticed that it is not
// ready, and that keeps connections alive on which the next request would fail after it has stopped.
func TestDrainingNodeServesDuringDrainNotice(t *testing.T) {
	t.Parallel()
	f := startFleetDraining(t, fleetConfig(), 2, 1, 0, testTimeout)
	n := f.Nodes()[0]
	n.Shutdown()
	require.Eventually(t, func() bool { return !n.Ready() }, testTimeout, pollInterval)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.CallersURL()+"/v1/models", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close, "the connection is not kept")
}

// Guards against a stream that ends without a typed error, or as if it were complete, because it lasts longer
// than the drain bound.
func TestStreamPastDrainBoundEndsWithTypedError(t *testing.T) {
	t.Parallel()
	f := startFleetDraining(t, fleetConfig(), 2, 1, 50*time.Millisecond, 0)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 1000})
	_, results := startSlowChat(t, f, 0)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, f.RestartGracefully(ctx, 0))
	result := <-results
	assert.False(t, result.Complete)
	assert.Equal(t, fault.Draining, result.Kind, "%+v", result)
	assert.Equal(t, fault.Run, result.Work)
}

// Guards against a graceful shutdown that lasts as long as an outage of the object API because it waits until the
// outcome of a booking is stored, and against a second execution of the booking after the restart.
func TestShutdownEndsDuringOutage(t *testing.T) {
	t.Parallel()
	f := startBookings(t, 2)
	for _, b := range f.Platform.BackendServers[bookingService] {
		b.SetFaults(servicestandin.Faults{ExecutionDelay: time.Second})
	}
	booked := make(chan loadgen.Result, 1)
	go func() { booked <- book(t.Context(), f, 0, "key") }()
	require.Eventually(t, func() bool { return f.Platform.Ledgers[bookingService].Executions().Total == 1 }, testTimeout, pollInterval)
	f.SetObjectsDown(true)
	assert.True(t, (<-booked).Complete)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- f.RestartGracefully(ctx, 0) }()
	select {
	case err := <-stopped:
		assert.NoError(t, err)
	case <-ctx.Done():
		t.Error("the shutdown did not end during the outage of the object API")
		f.SetObjectsDown(false)
		<-stopped
	}
	f.SetObjectsDown(false)
	require.Eventually(t, func() bool { return book(t.Context(), f, 1, "key").Kind != fault.PlatformUnavailable }, testTimeout, pollInterval)
	checkBooking(t, f, "key", book(t.Context(), f, 1, "key"))
}

// Guards against a restarted node that reverts to an older configuration because the object API returns a stale
// one or is down, although its peers have the newer one.
func TestStaleObjectAPIDoesNotRevertConfiguration(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	c := fleetConfig()
	c.Workspaces[0].Limits.RequestsPerSecond = 1000
	version, err := f.ApplyConfig(t.Context(), c)
	require.NoError(t, err)
	for i := range f.Nodes() {
		require.Eventually(t, func() bool { return configVersion(t, f, i) >= version }, testTimeout, pollInterval)
	}
	for _, faults := range []objects.Faults{{StaleReadShare: 1, StaleWatchShare: 1}, {Outage: true}} {
		f.Platform.Objects.SetFaults(faults)
		for i := range f.Nodes() {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			require.NoError(t, f.Restart(ctx, i))
			cancel()
			assert.Equal(t, version, configVersion(t, f, i))
		}
	}
}

// Guards against a response that uses prefixes which another workspace cached, or which an engine cached before it
// crashed and lost them.
func TestCacheNotSharedAcrossWorkspacesOrCrashes(t *testing.T) {
	const otherKey = "other-key"
	hash := sha256.Sum256([]byte(otherKey))
	c := fleetConfig()
	other := c.Workspaces[0]
	other.Name, other.APIKeyHashes = "tuul", []string{hex.EncodeToString(hash[:])}
	c.Workspaces = append(c.Workspaces, other)
	f := startFleetWith(t, c, 2, 1)
	prompt := []messages.Message{{Role: "system", Content: messages.Content(strings.Repeat("timetable ", 300))}, {Role: "user", Content: "slot"}}
	send := func(node int, key string) loadgen.Result {
		client := loadgen.Client{BaseURL: f.Nodes()[node].CallersURL(), HTTP: http.DefaultClient}
		return client.Stream(t.Context(), &loadgen.Chat{APIKey: key, Model: model, MaxTokens: 8, Messages: prompt})
	}
	first, repeated, otherWorkspace := send(0, apiKey), send(1, apiKey), send(0, otherKey)
	assert.Zero(t, first.CachedTokens)
	assert.Positive(t, repeated.CachedTokens)
	assert.True(t, otherWorkspace.Complete, "%+v", otherWorkspace)
	assert.Zero(t, otherWorkspace.CachedTokens)
	f.Engines[0].Crash()
	var restarted loadgen.Result
	require.Eventually(t, func() bool { restarted = send(1, apiKey); return restarted.Complete }, testTimeout, pollInterval)
	assert.Zero(t, restarted.CachedTokens)
}
