package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/openai"
)

// Sizes of the demo's prompts, in bytes of each level's text. With four bytes a token and pieces
// of 4,000 tokens they make about two, three and one pieces.
const (
	outerBytes = 30_000
	innerBytes = 44_000
	leafBytes  = 6_000
)

// Shape of the demo's callers.
const (
	// abandonShare of the chats have a limited patience. Some of these answers end earlier, so
	// about 60% of the requests are abandoned.
	abandonShare = 0.75
	// bookingShare is the share of requests that book through the plain service.
	bookingShare = 0.1
	// repeatShare is the share of bookings that the caller sends twice, through another node.
	duplicateShare   = 0.5
	meanAbandonDelay = 150 * time.Millisecond
	outerCount       = 3
	innerCount       = 4
	leafCount        = 40
	maxOutputTokens  = 48
)

// action is one request of the workload.
type action struct {
	chat *loadgen.Chat
	// patience is the time after which the caller leaves; zero means that it stays.
	abandonAfter time.Duration
	booking      *loadgen.ServiceCall
	duplicate    bool
	node         int
	interval     time.Duration
}

// workload generates actions from a seed.
type workload struct {
	random              *rand.Rand
	targets             []target
	nodes               int
	meanRequestInterval time.Duration
	actionCount         int
}

// target is a workspace that the workload calls.
type target struct {
	apiKey string
	model  string
	prompt string
	// bookingPath is empty for a workspace without a plain service.
	bookingPath string
	// words is the vocabulary of the workspace's texts.
	words []string
}

func (w *workload) nextAction() action {
	w.actionCount++
	t := w.targets[w.random.IntN(len(w.targets))]
	a := action{node: w.random.IntN(w.nodes), interval: time.Duration(w.random.ExpFloat64() * float64(w.meanRequestInterval))}
	if t.bookingPath != "" && w.random.Float64() < bookingShare {
		a.booking = w.newBooking(t)
		a.duplicate = w.random.Float64() < duplicateShare
		return a
	}
	a.chat = w.newChat(t)
	if w.random.Float64() < abandonShare {
		a.abandonAfter = time.Duration(w.random.ExpFloat64()*float64(meanAbandonDelay)) + time.Millisecond
	}
	return a
}

func (w *workload) newBooking(t target) *loadgen.ServiceCall {
	key := fmt.Sprintf("booking-%d-%d", w.actionCount, w.random.Uint64())
	return &loadgen.ServiceCall{APIKey: t.apiKey, Method: "POST", Path: t.bookingPath, IdempotencyKey: key, Body: []byte(`{"slot":"` + key + `"}`)}
}

// newChat picks the levels with a skew, so that a few prefixes are hot.
func (w *workload) newChat(t target) *loadgen.Chat {
	outer := w.skewedIndex(outerCount)
	inner := w.skewedIndex(innerCount)
	leaf := w.random.IntN(leafCount)
	messages := []openai.Message{
		{Role: "system", Content: openai.Content(generateText(t.words, outerBytes, uint64(outer)))},
		{Role: "system", Content: openai.Content(generateText(t.words, innerBytes, uint64(outer*100+inner)))},
		{Role: "system", Content: openai.Content(generateText(t.words, leafBytes, uint64(outer*100_000+inner*1000+leaf)))},
		{Role: "user", Content: openai.Content(fmt.Sprintf("question %d", w.actionCount))},
	}
	return &loadgen.Chat{APIKey: t.apiKey, Caller: fmt.Sprintf("caller-%d", leaf), Model: t.model, Prompt: t.prompt, Messages: messages,
		MaxTokens: maxOutputTokens, Seed: int64(w.actionCount)}
}

func (w *workload) skewedIndex(n int) int {
	u := w.random.Float64()
	return int(u * u * float64(n))
}

// generateText returns words of about the given size; equal seeds give equal texts.
func generateText(words []string, bytes int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0x74657874))
	var b strings.Builder
	b.Grow(bytes + 16)
	for b.Len() < bytes {
		b.WriteString(words[random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:bytes]
}
