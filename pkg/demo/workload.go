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
	repeatShare  = 0.5
	meanPatience = 150 * time.Millisecond
	outerCount   = 3
	innerCount   = 4
	leafCount    = 40
	maxTokens    = 48
)

// action is one request of the workload.
type action struct {
	chat *loadgen.Chat
	// patience is the time after which the caller leaves; zero means that it stays.
	patience time.Duration
	booking  *loadgen.Call
	repeat   bool
	node     int
	gap      time.Duration
}

// workload generates actions from a seed.
type workload struct {
	random  *rand.Rand
	targets []target
	nodes   int
	meanGap time.Duration
	next    int
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

func (w *workload) action() action {
	w.next++
	t := w.targets[w.random.IntN(len(w.targets))]
	a := action{node: w.random.IntN(w.nodes), gap: time.Duration(w.random.ExpFloat64() * float64(w.meanGap))}
	if t.bookingPath != "" && w.random.Float64() < bookingShare {
		a.booking = w.call(t)
		a.repeat = w.random.Float64() < repeatShare
		return a
	}
	a.chat = w.chat(t)
	if w.random.Float64() < abandonShare {
		a.patience = time.Duration(w.random.ExpFloat64()*float64(meanPatience)) + time.Millisecond
	}
	return a
}

func (w *workload) call(t target) *loadgen.Call {
	key := fmt.Sprintf("booking-%d-%d", w.next, w.random.Uint64())
	return &loadgen.Call{APIKey: t.apiKey, Method: "POST", Path: t.bookingPath, IdempotencyKey: key, Body: []byte(`{"slot":"` + key + `"}`)}
}

// chat picks the levels with a skew, so that a few prefixes are hot.
func (w *workload) chat(t target) *loadgen.Chat {
	outer := w.skewed(outerCount)
	inner := w.skewed(innerCount)
	leaf := w.random.IntN(leafCount)
	messages := []openai.Message{
		{Role: "system", Content: openai.Content(text(t.words, outerBytes, uint64(outer)))},
		{Role: "system", Content: openai.Content(text(t.words, innerBytes, uint64(outer*100+inner)))},
		{Role: "system", Content: openai.Content(text(t.words, leafBytes, uint64(outer*100_000+inner*1000+leaf)))},
		{Role: "user", Content: openai.Content(fmt.Sprintf("question %d", w.next))},
	}
	return &loadgen.Chat{APIKey: t.apiKey, Caller: fmt.Sprintf("caller-%d", leaf), Model: t.model, Prompt: t.prompt, Messages: messages,
		MaxTokens: maxTokens, Seed: int64(w.next)}
}

func (w *workload) skewed(n int) int {
	u := w.random.Float64()
	return int(u * u * float64(n))
}

// text returns words of about the given size; equal seeds give equal texts.
func text(words []string, bytes int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0x74657874))
	var b strings.Builder
	b.Grow(bytes + 16)
	for b.Len() < bytes {
		b.WriteString(words[random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:bytes]
}
