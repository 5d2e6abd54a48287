package enginestandin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenBytes is the size of a generated token: four letters and a space.
const tokenBytes = 5

// completion generates the tokens of one completion. Each token is a function of the prompt, the
// seed and all tokens before it, so a replay with wrong text produces different tokens from there
// on and a test detects it.
type completion struct {
	state          uint64
	totalTokens    int
	finishReason   string
	producedTokens int
}

// newCompletion returns the generator for a prompt, before its first token. About three of four
// completions have a random length between half of maxTokens and maxTokens and the finish reason
// "stop"; the others reach maxTokens.
func newCompletion(prompt string, seed int64, maxTokens int) *completion {
	state := splitMix64(xxhash.Sum64String(prompt) ^ uint64(seed)*0x9e3779b97f4a7c15)
	c := &completion{state: state, totalTokens: maxTokens, finishReason: "length"}
	if state%4 != 0 && maxTokens > 1 {
		half := (maxTokens + 1) / 2
		c.totalTokens = half + int(splitMix64(state)%uint64(maxTokens-half+1))
		c.finishReason = "stop"
	}
	return c
}

// next returns the next token.
func (c *completion) next() string {
	var token [tokenBytes]byte
	bits := c.state
	for i := range tokenBytes - 1 {
		token[i] = 'a' + byte(bits%26)
		bits /= 26
	}
	token[tokenBytes-1] = ' '
	c.advance(string(token[:]))
	return string(token[:])
}

// advance updates the state with a generated or replayed token.
func (c *completion) advance(token string) {
	c.state = splitMix64(c.state ^ xxhash.Sum64String(token))
	c.producedTokens++
}

// skipReplayed updates the state with the tokens of text, which an earlier execution generated.
func (c *completion) skipReplayed(text string) {
	for len(text) >= tokenBytes {
		c.advance(text[:tokenBytes])
		text = text[tokenBytes:]
	}
}

func (c *completion) done() bool { return c.producedTokens >= c.totalTokens }

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Completion returns the complete text that every stand-in engine generates for a prompt. Tests and
// the benchmark compare the text that a client received with it.
func Completion(prompt string, seed int64, maxTokens int) string {
	c := newCompletion(prompt, seed, maxTokens)
	var text strings.Builder
	text.Grow(c.totalTokens * tokenBytes)
	for !c.done() {
		text.WriteString(c.next())
	}
	return text.String()
}

// ChatPrompt returns the prompt that the engine builds from the messages of a chat request.
func ChatPrompt(contents []string) string { return strings.Join(contents, "\n") }
