// Package e2e drives whole fleets of nodes and stand-ins over loopback.
package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/localfleet"
	"cassiawall.example/cassiawall/pkg/node"
	messages "cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

const (
	apiKey = "e2e-key"
	model  = "lugha"
	// giveUp only ends a test that hangs; no verdict depends on it.
	giveUp = time.Minute
	poll   = 5 * time.Millisecond
)

func fleetConfig() *config.Config {
	hash := sha256.Sum256([]byte(apiKey))
	return &config.Config{
		Models: []config.Model{{Name: model, WeightsVersion: "v1", PieceTokens: 100, BytesPerToken: 4, MinServing: 1}},
		Workspaces: []config.Workspace{{
			Name: "shule", APIKeyHashes: []string{hex.EncodeToString(hash[:])}, Models: []string{model}, Weight: 1,
			Prompts: []config.Prompt{{Name: "slots", Levels: []config.Level{{Name: "school", Shared: true}, {Name: "timetable", Shared: true}}}},
			Limits:  config.Limits{BodyBytes: 1 << 20, Deadline: config.Duration(giveUp)},
		}},
		Policy: config.Policy{LatencyWeight: 1, RecomputeWeight: 1},
	}
}

func startFleet(t testing.TB, nodes, engines int) *localfleet.Fleet {
	t.Helper()
	return startFleetWith(t, fleetConfig(), nodes, engines)
}

func startFleetWith(t testing.TB, c *config.Config, nodes, engines int) *localfleet.Fleet {
	t.Helper()
	return startFleetOptions(t, nodes, engines, localfleet.Options{Config: c})
}

// startFleetDraining starts a fleet with a drain bound and a drain notice; 0 is the default.
func startFleetDraining(t testing.TB, c *config.Config, nodes, engines int, bound, notice time.Duration) *localfleet.Fleet {
	t.Helper()
	return startFleetOptions(t, nodes, engines, localfleet.Options{Config: c, DrainBound: bound, DrainNotice: notice})
}

// startFleetOptions fills in the options that all fleets of these tests share.
func startFleetOptions(t testing.TB, nodes, engines int, options localfleet.Options) *localfleet.Fleet {
	t.Helper()
	for i := range engines {
		options.Engines = append(options.Engines, enginestandin.Config{ID: fmt.Sprintf("engine-%d", i+1), Model: model,
			WeightsVersion: "v1", StepTime: time.Millisecond, Seed: uint64(i)})
	}
	options.Nodes, options.DataCentres = nodes, []string{"dar-a", "dar-b", "dar-c"}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	f, err := localfleet.Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, f.Close()) })
	return f
}

func client(n *node.Node) openai.Client {
	return openai.NewClient(option.WithBaseURL(n.CallersURL()+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

// chat returns the parameters of a chat and its expected answer.
func chat(question string) (openai.ChatCompletionNewParams, string) {
	const maxTokens, seed = 40, 7
	texts := []string{strings.Repeat("school ", 200), strings.Repeat("timetable ", 300), question}
	params := openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(maxTokens), Seed: openai.Int(seed),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage(texts[0]), openai.SystemMessage(texts[1]), openai.UserMessage(texts[2])}}
	wire := []messages.Message{{Role: "system", Content: messages.Content(texts[0])}, {Role: "system", Content: messages.Content(texts[1])},
		{Role: "user", Content: messages.Content(texts[2])}}
	return params, enginestandin.Completion(messages.ChatText(wire), seed, maxTokens)
}

// eventCounter counts the log records of an event.
type eventCounter struct {
	slog.Handler
	event event.Event
	count *atomic.Int64
}

// Handle implements slog.Handler.
func (c eventCounter) Handle(_ context.Context, r slog.Record) error {
	if r.Message == c.event.Name {
		c.count.Add(1)
	}
	return nil
}

// Enabled implements slog.Handler.
func (c eventCounter) Enabled(context.Context, slog.Level) bool { return true }

// Guards against nodes that cannot call each other and hide it by dispatching without owners.
func TestOwnersAnswerOtherNodes(t *testing.T) {
	counter := eventCounter{Handler: slog.DiscardHandler, event: event.DirectDispatch, count: &atomic.Int64{}}
	f := startFleetOptions(t, 3, 3, localfleet.Options{Config: fleetConfig(), Logger: slog.New(counter)})
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { return n.Board().Members.Len() == 3 }, giveUp, poll)
	}
	for i := range 12 {
		params, _ := chat(fmt.Sprint("slot ", i))
		c := client(f.Nodes()[i%3])
		_, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
	}
	assert.Zero(t, counter.count.Load())
}

// Guards against answers that a published client cannot read, on any node, streamed or whole.
func TestPublishedClient(t *testing.T) {
	f := startFleet(t, 3, 4)
	for i, n := range f.Nodes() {
		params, want := chat(fmt.Sprint("slot ", i))
		c := client(n)
		whole, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		assert.Equal(t, want, whole.Choices[0].Message.Content)
		stream := c.Chat.Completions.NewStreaming(t.Context(), params)
		var text strings.Builder
		finish := ""
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
				finish += choice.FinishReason
			}
		}
		require.NoError(t, stream.Err())
		assert.Equal(t, want, text.String())
		assert.NotEmpty(t, finish)
	}
	c := client(f.Nodes()[0])
	models, err := c.Models.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, model, models.Data[0].ID)
}

// Guards against engine work that goes on after a published client cancels its stream.
func TestPublishedClientCancels(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 50})
	params, _ := chat("slot")
	ctx, cancel := context.WithCancel(t.Context())
	c := client(f.Nodes()[1])
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	require.True(t, stream.Next())
	id := stream.Current().ID
	cancel()
	require.NoError(t, stream.Close())
	assert.Equal(t, "cancelled", waitOutcome(t, f, strings.TrimPrefix(id, "chatcmpl-")))
}

// waitOutcome waits until the request has left its engine and returns how it ended.
func waitOutcome(t *testing.T, f *localfleet.Fleet, requestID string) string {
	t.Helper()
	deadline := time.Now().Add(giveUp)
	for time.Now().Before(deadline) {
		for _, e := range f.Engines {
			for _, x := range e.Executions(requestID) {
				if x.Outcome != "running" {
					return x.Outcome
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return "running"
}

// Guards against typed errors that a published client cannot read.
func TestPublishedClientReadsTypedErrors(t *testing.T) {
	f := startFleet(t, 1, 1)
	params, _ := chat("slot")
	params.Model = "unknown"
	c := client(f.Nodes()[0])
	_, err := c.Chat.Completions.New(t.Context(), params)
	var apiError *openai.Error
	require.ErrorAs(t, err, &apiError)
	assert.Equal(t, "not_found", apiError.Code)
}

// Each case cuts, doubles or crosses chunks in the engine that answers first. Guards against an
// answer that is not exactly the caller's own.
func TestEngineStreamFaults(t *testing.T) {
	t.Parallel()
	cases := map[string]enginestandin.Faults{
		"cut":      {CutAfter: 2, MaxFaultyStreams: 1},
		"early":    {EndAfter: 2, MaxFaultyStreams: 1},
		"foreign":  {ForeignAfter: 2, MaxFaultyStreams: 1},
		"repeated": {RepeatAfter: 2, MaxFaultyStreams: 1},
		"gap":      {GapAt: 2, MaxFaultyStreams: 1},
		"refusing": {Refuse: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, 2)
			f.Engines[0].SetFaults(faults)
			f.Engines[1].SetFaults(enginestandin.Faults{})
			for i := range 4 {
				params, want := chat(fmt.Sprint("slot ", i))
				c := client(f.Nodes()[0])
				got, err := c.Chat.Completions.New(t.Context(), params)
				require.NoError(t, err)
				assert.Equal(t, want, got.Choices[0].Message.Content)
			}
		})
	}
}

// Guards against streams that end when their engine crashes although another engine could
// continue them.
func TestEngineCrashContinuesElsewhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 2)
	for _, e := range f.Engines {
		e.SetFaults(enginestandin.Faults{SlowFactor: 10})
	}
	params, want := chat("slot")
	c := client(f.Nodes()[0])
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	require.True(t, stream.Next())
	text := stream.Current().Choices[0].Delta.Content
	id := strings.TrimPrefix(stream.Current().ID, "chatcmpl-")
	for _, e := range f.Engines {
		if len(e.Executions(id)) > 0 {
			e.Crash()
		}
	}
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, want, text)
}

// Guards against a crash that ends some of the streams of an engine because continuing them costs
// more retries than little traffic has earned.
func TestEngineCrashContinuesAllStreams(t *testing.T) {
	f := startFleet(t, 1, 2)
	for _, e := range f.Engines {
		e.SetFaults(enginestandin.Faults{SlowFactor: 10})
	}
	const streams = 8
	var first, done sync.WaitGroup
	first.Add(streams)
	crashed := make(chan struct{})
	for i := range streams {
		done.Go(func() {
			params, want := chat(fmt.Sprint("slot ", i))
			c := client(f.Nodes()[0])
			stream := c.Chat.Completions.NewStreaming(t.Context(), params)
			ok := stream.Next()
			first.Done()
			<-crashed
			var text strings.Builder
			for ; ok; ok = stream.Next() {
				for _, choice := range stream.Current().Choices {
					text.WriteString(choice.Delta.Content)
				}
			}
			assert.NoError(t, stream.Err())
			assert.Equal(t, want, text.String())
		})
	}
	first.Wait()
	f.Engines[0].Crash()
	close(crashed)
	done.Wait()
}
