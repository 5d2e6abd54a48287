package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/openai"
)

// arrival is one request of a trace. All policies see the same arrivals.
type arrival struct {
	// at is the trace time of the arrival.
	at time.Duration
	// sequence is the position of the arrival in the trace.
	sequence  int
	workspace int
	// path is the index of the text at each prompt level.
	path [levels]int
	// cancelAfter is the time after which the caller disconnects; 0 means that it stays until the
	// response ends.
	cancelAfter time.Duration
	maxTokens   int
	seed        int64
	// nodeIndex selects the entry node, modulo the number of nodes.
	nodeIndex uint32
}

// requestTrace is a generated workload. Its arrivals are ordered by time.
type requestTrace struct {
	profile  *Profile
	arrivals []arrival
	// messagesByName caches the messages of the prompt levels, which requests share.
	messagesByName map[string]openai.Message
}

type traceOptions struct {
	seed     uint64
	duration time.Duration
	// shiftAt is the trace time at which other texts of the shared levels become the most
	// requested ones.
	shiftAt time.Duration
	// load scales the arrival rate.
	load float64
}

// newRequestTrace generates a trace. Conversations arrive as a Poisson process. Equal profiles and
// options give equal traces.
func newRequestTrace(p *Profile, o traceOptions) *requestTrace {
	g := &generator{
		trace:   &requestTrace{profile: p, messagesByName: map[string]openai.Message{}},
		options: o,
		rng:     rand.New(rand.NewPCG(o.seed, 0x62656e6368)),
	}
	for i, l := range p.Levels {
		g.rankDistributions[i] = rand.NewZipf(g.rng, l.Skew, 1, uint64(l.Count-1))
	}
	rate := p.Rate * o.load
	for at := g.interarrivalTime(rate); at < o.duration; at += g.interarrivalTime(rate) {
		g.addConversation(at)
	}
	t := g.trace
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range t.arrivals {
		t.arrivals[i].sequence = i
	}
	return t
}

// generator generates the arrivals of a trace.
type generator struct {
	trace             *requestTrace
	options           traceOptions
	rng               *rand.Rand
	rankDistributions [levels]*rand.Zipf
}

func (g *generator) interarrivalTime(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// exponential draws from an exponential distribution, plus 1 ms so that the result is never 0.
func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64()*float64(mean)) + time.Millisecond
}

// addConversation adds a request and the changed messages that its caller submits after
// disconnecting.
func (g *generator) addConversation(at time.Duration) {
	a := arrival{at: at, workspace: g.drawWorkspace()}
	for i := range a.path {
		a.path[i] = g.drawText(i, at)
	}
	for a.at < g.options.duration {
		a.cancelAfter = 0
		if g.rng.Float64() < abandonShare {
			a.cancelAfter = g.exponential(g.trace.profile.MeanPatience)
		}
		a.maxTokens = g.trace.profile.MaxTokens/2 + g.rng.IntN(g.trace.profile.MaxTokens/2+1)
		a.seed = g.rng.Int64()
		a.nodeIndex = g.rng.Uint32()
		g.trace.arrivals = append(g.trace.arrivals, a)
		if a.cancelAfter == 0 || g.rng.Float64() >= resubmitShare {
			return
		}
		a.at += a.cancelAfter + g.exponential(meanThinkTime)
	}
}

// drawWorkspace draws a workspace by the profile's shares.
func (g *generator) drawWorkspace() int {
	u := g.rng.Float64()
	for i, share := range g.trace.profile.WorkspaceShares {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(g.trace.profile.WorkspaceShares) - 1
}

// drawText draws the index of a text at a level. From shiftAt the ranks of shared texts are rotated
// by half their number, so that other texts are the most requested ones.
func (g *generator) drawText(level int, at time.Duration) int {
	l := &g.trace.profile.Levels[level]
	rank := int(g.rankDistributions[level].Uint64())
	if l.Shared && at >= g.options.shiftAt {
		rank += l.Count / 2
	}
	return rank % l.Count
}

// messages returns the messages of a request: one per prompt level, and a question that makes the
// prompt unique in the trace.
func (t *requestTrace) messages(a *arrival) []openai.Message {
	messages := make([]openai.Message, 0, levels+1)
	name := fmt.Sprintf("w%d", a.workspace)
	for i, l := range t.profile.Levels {
		name = fmt.Sprintf("%s %s%d", name, l.Name, a.path[i])
		messages = append(messages, t.message(name, l.Tokens))
	}
	question := fmt.Sprintf("ask %06d.", a.sequence)
	return append(messages, openai.Message{Role: role, Content: openai.Content(question)})
}

// role is the role of all messages.
const role = "user"

// message returns the message with a name. Its text as an engine receives it, which includes the
// role, has the given number of tokens.
func (t *requestTrace) message(name string, tokens int) openai.Message {
	if m, ok := t.messagesByName[name]; ok {
		return m
	}
	empty := openai.Message{Role: role}
	size := int(float64(tokens)*bytesPerToken) - len(empty.Text())
	text := strings.Repeat(name+" ", size/(len(name)+1)+1)[:size]
	m := openai.Message{Role: role, Content: openai.Content(text)}
	t.messagesByName[name] = m
	return m
}
