package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/openai"
)

// Sizes of the texts of the three prompt levels in bytes. With four bytes per token and pieces of
// 4,000 tokens, the levels have about two, three and one pieces.
const (
	outerBytes = 30_000
	innerBytes = 44_000
	leafBytes  = 6_000
)

// Parameters of the workload.
const (
	// abandonShare is the share of chats that the caller abandons after a random time. Some of these
	// complete before that time, so about 60% of the requests are abandoned.
	abandonShare = 0.75
	// bookingShare is the share of requests that are bookings, for workspaces with a plain service.
	bookingShare = 0.1
	// duplicateShare is the share of bookings that are also sent through a second node.
	duplicateShare   = 0.5
	meanAbandonDelay = 150 * time.Millisecond
	// outerCount, innerCount and leafCount are the numbers of texts per prompt level. The texts of a
	// level differ between the texts of the level above.
	outerCount      = 3
	innerCount      = 4
	leafCount       = 40
	maxOutputTokens = 48
)

// action is one request of the workload.
type action struct {
	chat *loadgen.Chat
	// abandonAfter is the time after which the caller abandons the chat, or 0 for never.
	abandonAfter time.Duration
	booking      *loadgen.ServiceCall
	// duplicate marks a booking that is also sent through a second node.
	duplicate bool
	// node is the index of the node that the request is sent to.
	node int
	// interval is the time until the next action.
	interval time.Duration
}

// workload generates actions from a seed.
type workload struct {
	random              *rand.Rand
	targets             []target
	nodes               int
	meanRequestInterval time.Duration
	actionCount         int
}

// target is a workspace that the workload sends requests for.
type target struct {
	apiKey string
	model  string
	prompt string
	// bookingPath is the path of a non-idempotent route, or empty for a workspace without one.
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

// newChat returns a chat with random texts for the levels. The outer two levels have a skewed
// distribution, so that a few prefixes are requested most often.
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

// skewedIndex returns a random index below n, where low indexes are more likely.
func (w *workload) skewedIndex(n int) int {
	u := w.random.Float64()
	return int(u * u * float64(n))
}

// generateText returns a text of the given number of bytes from random words. Equal seeds give equal
// texts.
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
