package e2e

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Guards against a stream that is cut when its engine crashes, although another engine is free, because the deadline of the
// first token, which the caller has, has passed.
func TestStreamContinuesAfterItsFirstTokenDeadline(t *testing.T) {
	t.Parallel()
	const deadline = 500 * time.Millisecond
	f := startFleet(t, 2, 2)
	params, want := chatParams("slot")
	for _, e := range f.Engines {
		e.SetFaults(enginestandin.Faults{SlowFactor: 10})
	}
	c := newClient(f.Nodes()[0])
	startedAt := time.Now()
	stream := c.Chat.Completions.NewStreaming(t.Context(), params, option.WithHeader("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
	require.True(t, stream.Next(), "%v", stream.Err())
	text := stream.Current().Choices[0].Delta.Content
	id := strings.TrimPrefix(stream.Current().ID, "chatcmpl-")
	for _, e := range f.Engines {
		e.SetFaults(enginestandin.Faults{SlowFactor: 1000})
	}
	time.Sleep(time.Until(startedAt.Add(deadline)))
	for _, e := range f.Engines {
		if len(e.Executions(id)) > 0 {
			e.Crash()
		}
		e.SetFaults(enginestandin.Faults{})
	}
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, want, text)
}
