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

// Each case pairs a fault of the backend servers with one of the object API and with a crash of the
// entry node between a booking and its repeats. Guards against a booking that runs twice, and against
// a not_run although a backend server ran it.
func TestBookingFaults(t *testing.T) {
	t.Parallel()
	backends := []struct {
		name   string
		faults servicestandin.Faults
	}{
		{"backends work", servicestandin.Faults{}},
		{"answer lost", servicestandin.Faults{LostResponseShare: 1}},
		{"backends refuse", servicestandin.Faults{RefuseShare: 1}},
		{"backends stumble", servicestandin.Faults{LostResponseShare: 0.3, RefuseShare: 0.3}},
	}
	stores := []struct {
		name   string
		faults objects.Faults
		// crash restarts the entry node after the booking.
		crash bool
	}{
		{"store works", objects.Faults{}, false},
		{"entry crashes", objects.Faults{}, true},
		{"store loses answers", objects.Faults{LostResponseShare: 1}, false},
		{"store reads stale", objects.Faults{StaleReadShare: 1}, false},
		{"store stumbles and entry crashes", objects.Faults{LostResponseShare: 0.3, StaleReadShare: 0.3}, true},
		{"store fails after the booking", objects.Faults{Outage: true}, false},
		{"store is slow and loses answers", objects.Faults{Delay: 20 * time.Millisecond, LostResponseShare: 0.5}, false},
	}
	f := startBookings(t, 3)
	run := 0
	for _, backend := range backends {
		for _, store := range stores {
			t.Run(backend.name+", "+store.name, func(t *testing.T) {
				run++
				key := fmt.Sprint("key-", run)
				for _, b := range f.Platform.BackendServers[bookings] {
					b.SetFaults(backend.faults)
				}
				if !store.faults.Outage {
					f.Platform.Objects.SetFaults(store.faults)
				}
				check(t, f, key, book(t.Context(), f, 0, key))
				f.Platform.Objects.SetFaults(store.faults)
				ctx, cancel := context.WithTimeout(t.Context(), giveUp)
				defer cancel()
				if store.crash {
					require.NoError(t, f.Restart(ctx, 0))
				}
				for node := range 3 {
					book(t.Context(), f, node, key)
				}
				f.Platform.Objects.SetFaults(objects.Faults{})
				for _, b := range f.Platform.BackendServers[bookings] {
					b.SetFaults(servicestandin.Faults{})
				}
				for node := range 3 {
					check(t, f, key, book(t.Context(), f, node, key))
				}
			})
		}
	}
	assert.Zero(t, f.Platform.Ledgers[bookings].DuplicateExecutions())
}

// check compares what a caller was told of its booking with what the backend servers ran.
func check(t *testing.T, f *localfleet.Fleet, key string, r loadgen.Result) {
	t.Helper()
	runs := f.Platform.Ledgers[bookings].Executions().ByKey[key]
	assert.LessOrEqual(t, runs, 1)
	switch {
	case r.Complete:
		assert.Equal(t, 1, runs)
	case r.Work == fault.NotRun:
		assert.Zero(t, runs, "%+v", r)
	}
}

// slowChat starts a chat at a node and returns after its first token. The answer follows on the channel.
func slowChat(t *testing.T, f *localfleet.Fleet, node int) (*loadgen.Chat, <-chan loadgen.Result) {
	t.Helper()
	first, result := make(chan struct{}), make(chan loadgen.Result, 1)
	chat := &loadgen.Chat{APIKey: apiKey, Model: model, MaxTokens: 80, Seed: 7, OnFirstChunk: func() { close(first) },
		Messages: []messages.Message{{Role: "user", Content: "slot"}}}
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
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

// Guards against a stream that is cut because it outlives the start of a graceful shutdown.
func TestLongStreamOutlivesShutdown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 1)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 20})
	chat, answer := slowChat(t, f, 0)
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	require.NoError(t, f.RestartGracefully(ctx, 0))
	r := <-answer
	assert.True(t, r.Complete, "%+v", r)
	assert.Equal(t, enginestandin.Completion(messages.ChatText(chat.Messages), chat.Seed, chat.MaxTokens), r.Text)
}

// Guards against connections that a draining node refuses before load balancers notice, and against
// kept connections on which the next request would meet a closed listener.
func TestDrainingNodeServesUntilNoticed(t *testing.T) {
	t.Parallel()
	f := startFleetDraining(t, fleetConfig(), 2, 1, 0, giveUp)
	n := f.Nodes()[0]
	n.Shutdown()
	require.Eventually(t, func() bool { return !n.Ready() }, giveUp, poll)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.CallersURL()+"/v1/models", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close, "the connection is not kept")
}

// Guards against a stream that ends without a word, or as if it were whole, when it outlives the
// drain bound.
func TestStreamPastDrainBoundEndsTyped(t *testing.T) {
	t.Parallel()
	f := startFleetDraining(t, fleetConfig(), 2, 1, 50*time.Millisecond, 0)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 1000})
	_, answer := slowChat(t, f, 0)
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	require.NoError(t, f.RestartGracefully(ctx, 0))
	r := <-answer
	assert.False(t, r.Complete)
	assert.Equal(t, fault.Draining, r.Kind, "%+v", r)
	assert.Equal(t, fault.Run, r.Work)
}

// Guards against a shutdown that lasts as long as an outage of the object API because the outcome of
// a booking waits for it, and against a second run after it.
func TestShutdownEndsDuringOutage(t *testing.T) {
	t.Parallel()
	f := startBookings(t, 2)
	for _, b := range f.Platform.BackendServers[bookings] {
		b.SetFaults(servicestandin.Faults{ExecutionDelay: time.Second})
	}
	booked := make(chan loadgen.Result, 1)
	go func() { booked <- book(t.Context(), f, 0, "key") }()
	require.Eventually(t, func() bool { return f.Platform.Ledgers[bookings].Executions().Total == 1 }, giveUp, poll)
	f.SetObjectsDown(true)
	assert.True(t, (<-booked).Complete)
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- f.RestartGracefully(ctx, 0) }()
	select {
	case err := <-stopped:
		assert.NoError(t, err)
	case <-ctx.Done():
		t.Error("the node waits for the object API")
		f.SetObjectsDown(false)
		<-stopped
	}
	f.SetObjectsDown(false)
	require.Eventually(t, func() bool { return book(t.Context(), f, 1, "key").Kind != fault.PlatformUnavailable }, giveUp, poll)
	check(t, f, "key", book(t.Context(), f, 1, "key"))
}

// Guards against a restarted node that takes an older configuration from an object API which still
// shows it, while its peers have the newer one.
func TestStaleObjectAPIRevertsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	c := fleetConfig()
	c.Workspaces[0].Limits.RequestsPerSecond = 1000
	version, err := f.ApplyConfig(t.Context(), c)
	require.NoError(t, err)
	for i := range f.Nodes() {
		require.Eventually(t, func() bool { return configVersion(t, f, i) >= version }, giveUp, poll)
	}
	for _, faults := range []objects.Faults{{StaleReadShare: 1, StaleWatchShare: 1}, {Outage: true}} {
		f.Platform.Objects.SetFaults(faults)
		for i := range f.Nodes() {
			ctx, cancel := context.WithTimeout(t.Context(), giveUp)
			require.NoError(t, f.Restart(ctx, i))
			cancel()
			assert.Equal(t, version, configVersion(t, f, i))
		}
	}
}

// Guards against an answer that relies on what another workspace, or an engine before its crash, cached.
func TestCacheEndsWithWorkspaceAndCrash(t *testing.T) {
	const otherKey = "other-key"
	hash := sha256.Sum256([]byte(otherKey))
	c := fleetConfig()
	other := c.Workspaces[0]
	other.Name, other.APIKeyHashes = "tuul", []string{hex.EncodeToString(hash[:])}
	c.Workspaces = append(c.Workspaces, other)
	f := startFleetWith(t, c, 2, 1)
	prompt := []messages.Message{{Role: "system", Content: messages.Content(strings.Repeat("timetable ", 300))}, {Role: "user", Content: "slot"}}
	ask := func(node int, key string) loadgen.Result {
		client := loadgen.Client{BaseURL: f.Nodes()[node].CallersURL(), HTTP: http.DefaultClient}
		return client.Stream(t.Context(), &loadgen.Chat{APIKey: key, Model: model, MaxTokens: 8, Messages: prompt})
	}
	first, again, foreign := ask(0, apiKey), ask(1, apiKey), ask(0, otherKey)
	assert.Zero(t, first.CachedTokens)
	assert.Positive(t, again.CachedTokens)
	assert.True(t, foreign.Complete, "%+v", foreign)
	assert.Zero(t, foreign.CachedTokens)
	f.Engines[0].Crash()
	var restarted loadgen.Result
	require.Eventually(t, func() bool { restarted = ask(1, apiKey); return restarted.Complete }, giveUp, poll)
	assert.Zero(t, restarted.CachedTokens)
}
