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
	at        time.Duration
	sequence  int
	workspace int
	// path holds the number of the text at each level.
	path [levels]int
	// cancelAfter is the time after which the caller leaves; zero means that it stays.
	cancelAfter time.Duration
	maxTokens   int
	seed        int64
	// nodeIndex is a random number that the load balancer maps to a node.
	nodeIndex uint32
}

// requestTrace is a workload: arrivals in order of time.
type requestTrace struct {
	profile  *Profile
	arrivals []arrival
	// messagesByName caches the messages that requests share.
	messagesByName map[string]openai.Message
}

// traceOptions sets the length of a trace and when its hot set shifts.
type traceOptions struct {
	seed     uint64
	duration time.Duration
	shiftAt  time.Duration
	// load scales the rate of arrivals.
	load float64
}

// newRequestTrace draws a trace. Equal options give equal traces.
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

type generator struct {
	trace             *requestTrace
	options           traceOptions
	rng               *rand.Rand
	rankDistributions [levels]*rand.Zipf
}

func (g *generator) interarrivalTime(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64()*float64(mean)) + time.Millisecond
}

// addConversation draws a request and the retyped messages that follow it.
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

func (g *generator) drawWorkspace() int {
	u := g.rng.Float64()
	for i, share := range g.trace.profile.WorkspaceShares {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(g.trace.profile.WorkspaceShares) - 1
}

// drawText draws a text of a level. After the shift other texts of the shared levels are hot.
func (g *generator) drawText(level int, at time.Duration) int {
	l := &g.trace.profile.Levels[level]
	rank := int(g.rankDistributions[level].Uint64())
	if l.Shared && at >= g.options.shiftAt {
		rank += l.Count / 2
	}
	return rank % l.Count
}

// messages returns the chat of a request: a message per level and the caller's own question, which
// makes the prompt unique in its trace.
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

// message returns the message with a name. Its text as an engine sees it has the given size.
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
