package enginestandin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenBytes is the size of an answer token: four letters and a space.
const tokenBytes = 5

// answer generates the tokens of one answer. Each token depends on the prompt, the seed and all
// tokens before it, so a replay with wrong text leads to a visibly different answer.
type completion struct {
	state          uint64
	totalTokens    int
	finishReason   string
	producedTokens int
}

// newAnswer starts the answer to a prompt. About three of four answers end before maxTokens.
func newCompletion(prompt string, seed int64, maxTokens int) *completion {
	state := mix(xxhash.Sum64String(prompt) ^ uint64(seed)*0x9e3779b97f4a7c15)
	c := &completion{state: state, totalTokens: maxTokens, finishReason: "length"}
	if state%4 != 0 && maxTokens > 1 {
		half := (maxTokens + 1) / 2
		c.totalTokens = half + int(mix(state)%uint64(maxTokens-half+1))
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

// follow advances over a token, generated or replayed.
func (c *completion) advance(token string) {
	c.state = mix(c.state ^ xxhash.Sum64String(token))
	c.producedTokens++
}

// replay advances over text that was delivered before.
func (c *completion) skipReplayed(text string) {
	for len(text) >= tokenBytes {
		c.advance(text[:tokenBytes])
		text = text[tokenBytes:]
	}
}

func (c *completion) done() bool { return c.producedTokens >= c.totalTokens }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Answer returns the whole text that any engine gives for a prompt. Tests and the bench compare
// what a caller received with it.
func Completion(prompt string, seed int64, maxTokens int) string {
	c := newCompletion(prompt, seed, maxTokens)
	var text strings.Builder
	text.Grow(c.totalTokens * tokenBytes)
	for !c.done() {
		text.WriteString(c.next())
	}
	return text.String()
}

// ChatPrompt returns the prompt text of a chat, as the engine sees it.
func ChatPrompt(contents []string) string { return strings.Join(contents, "\n") }
