// Package e2e tests fleets of complete nodes with stand-ins of engines, services and the platform over loopback.
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
	// testTimeout ends a test that hangs. No test result depends on its value otherwise.
	testTimeout  = time.Minute
	pollInterval = 5 * time.Millisecond
)

func fleetConfig() *config.Config {
	hash := sha256.Sum256([]byte(apiKey))
	return &config.Config{
		Models: []config.Model{{Name: model, WeightsVersion: "v1", PieceTokens: 100, BytesPerToken: 4, MinServing: 1}},
		Workspaces: []config.Workspace{{
			Name: "shule", APIKeyHashes: []string{hex.EncodeToString(hash[:])}, Models: []string{model}, Weight: 1,
			Prompts: []config.Prompt{{Name: "slots", Levels: []config.Level{{Name: "school", Shared: true}, {Name: "timetable", Shared: true}}}},
			Limits:  config.Limits{BodyBytes: 1 << 20, Deadline: config.Duration(testTimeout)},
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

// startFleetDraining starts a fleet with the given drain bound and drain notice; 0 selects the default.
func startFleetDraining(t testing.TB, c *config.Config, nodes, engines int, bound, notice time.Duration) *localfleet.Fleet {
	t.Helper()
	return startFleetOptions(t, nodes, engines, localfleet.Options{Config: c, DrainBound: bound, DrainNotice: notice})
}

// startFleetOptions starts a fleet with the options that all tests share added to the given ones.
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
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := localfleet.Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, f.Close()) })
	return f
}

func newClient(n *node.Node) openai.Client {
	return openai.NewClient(option.WithBaseURL(n.CallersURL()+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

// chatParams returns the parameters of a chat and the expected text of its response.
func chatParams(question string) (openai.ChatCompletionNewParams, string) {
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

// Guards against nodes that cannot reach the owners of engines on other nodes: requests are served nevertheless,
// because nodes then dispatch to engines directly.
func TestOwnersReachableFromOtherNodes(t *testing.T) {
	counter := eventCounter{Handler: slog.DiscardHandler, event: event.DirectDispatch, count: &atomic.Int64{}}
	f := startFleetOptions(t, 3, 3, localfleet.Options{Config: fleetConfig(), Logger: slog.New(counter)})
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { return n.Board().Members.Len() == 3 }, testTimeout, pollInterval)
	}
	for i := range 12 {
		params, _ := chatParams(fmt.Sprint("slot ", i))
		c := newClient(f.Nodes()[i%3])
		_, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
	}
	assert.Zero(t, counter.count.Load())
}

// Guards against responses that the published OpenAI client cannot read, on any node, streamed or not.
func TestOpenAIClient(t *testing.T) {
	f := startFleet(t, 3, 4)
	for i, n := range f.Nodes() {
		params, want := chatParams(fmt.Sprint("slot ", i))
		c := newClient(n)
		completion, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		assert.Equal(t, want, completion.Choices[0].Message.Content)
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
	c := newClient(f.Nodes()[0])
	models, err := c.Models.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, model, models.Data[0].ID)
}

// Guards against an engine that continues a request after the published OpenAI client has cancelled its stream.
func TestOpenAIClientCancels(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 50})
	params, _ := chatParams("slot")
	ctx, cancel := context.WithCancel(t.Context())
	c := newClient(f.Nodes()[1])
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	require.True(t, stream.Next())
	id := stream.Current().ID
	cancel()
	require.NoError(t, stream.Close())
	assert.Equal(t, "cancelled", waitOutcome(t, f, strings.TrimPrefix(id, "chatcmpl-")))
}

// waitOutcome waits until an engine has ended the execution of a request and returns its outcome. It returns
// "running" after testTimeout.
func waitOutcome(t *testing.T, f *localfleet.Fleet, requestID string) string {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		for _, e := range f.Engines {
			for _, execution := range e.Executions(requestID) {
				if execution.Outcome != "running" {
					return execution.Outcome
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return "running"
}

// Guards against typed errors that the published OpenAI client cannot read.
func TestOpenAIClientReadsTypedErrors(t *testing.T) {
	f := startFleet(t, 1, 1)
	params, _ := chatParams("slot")
	params.Model = "unknown"
	c := newClient(f.Nodes()[0])
	_, err := c.Chat.Completions.New(t.Context(), params)
	var apiError *openai.Error
	require.ErrorAs(t, err, &apiError)
	assert.Equal(t, "not_found", apiError.Code)
}

// Guards against a response that is incomplete or contains repeated or foreign chunks because of a faulty engine.
// In each case one of two engines refuses requests, or cuts or ends a stream early, or repeats, skips or mixes up
// its chunks.
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
				params, want := chatParams(fmt.Sprint("slot ", i))
				c := newClient(f.Nodes()[0])
				got, err := c.Chat.Completions.New(t.Context(), params)
				require.NoError(t, err)
				assert.Equal(t, want, got.Choices[0].Message.Content)
			}
		})
	}
}

// Guards against a stream that ends because its engine crashes, although another engine could continue it.
func TestStreamContinuesAfterEngineCrash(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 2)
	for _, e := range f.Engines {
		e.SetFaults(enginestandin.Faults{SlowFactor: 10})
	}
	params, want := chatParams("slot")
	c := newClient(f.Nodes()[0])
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

// Guards against a crash that ends some of the streams of an engine because the retry budget, which grows with
// traffic, is too small under low traffic to continue all of them.
func TestAllStreamsContinueAfterEngineCrash(t *testing.T) {
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
			params, want := chatParams(fmt.Sprint("slot ", i))
			c := newClient(f.Nodes()[0])
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
