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
	number    int
	workspace int
	// path holds the number of the text at each level.
	path [levels]int
	// patience is the time after which the caller leaves; zero means that it stays.
	patience  time.Duration
	maxTokens int
	seed      int64
	// node is a random number that the load balancer maps to a node.
	node uint32
}

// trace is a workload: arrivals in order of time.
type trace struct {
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

// newTrace draws a trace. Equal options give equal traces.
func newTrace(p *Profile, o traceOptions) *trace {
	g := &generator{
		trace:   &trace{profile: p, messagesByName: map[string]openai.Message{}},
		options: o,
		random:  rand.New(rand.NewPCG(o.seed, 0x62656e6368)),
	}
	for i, l := range p.Levels {
		g.ranks[i] = rand.NewZipf(g.random, l.Skew, 1, uint64(l.Count-1))
	}
	rate := p.Rate * o.load
	for at := g.gap(rate); at < o.duration; at += g.gap(rate) {
		g.conversation(at)
	}
	t := g.trace
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range t.arrivals {
		t.arrivals[i].number = i
	}
	return t
}

type generator struct {
	trace   *trace
	options traceOptions
	random  *rand.Rand
	ranks   [levels]*rand.Zipf
}

func (g *generator) gap(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64()*float64(mean)) + time.Millisecond
}

// conversation draws a request and the retyped messages that follow it.
func (g *generator) conversation(at time.Duration) {
	a := arrival{at: at, workspace: g.workspace()}
	for i := range a.path {
		a.path[i] = g.text(i, at)
	}
	for a.at < g.options.duration {
		a.patience = 0
		if g.random.Float64() < abandonShare {
			a.patience = g.exponential(g.trace.profile.Patience)
		}
		a.maxTokens = g.trace.profile.MaxTokens/2 + g.random.IntN(g.trace.profile.MaxTokens/2+1)
		a.seed = g.random.Int64()
		a.node = g.random.Uint32()
		g.trace.arrivals = append(g.trace.arrivals, a)
		if a.patience == 0 || g.random.Float64() >= retypeShare {
			return
		}
		a.at += a.patience + g.exponential(meanThink)
	}
}

func (g *generator) workspace() int {
	u := g.random.Float64()
	for i, share := range g.trace.profile.Workspaces {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(g.trace.profile.Workspaces) - 1
}

// text draws a text of a level. After the shift other texts of the shared levels are hot.
func (g *generator) text(level int, at time.Duration) int {
	l := &g.trace.profile.Levels[level]
	rank := int(g.ranks[level].Uint64())
	if l.Shared && at >= g.options.shiftAt {
		rank += l.Count / 2
	}
	return rank % l.Count
}

// messages returns the chat of a request: a message per level and the caller's own question, which
// makes the prompt unique in its trace.
func (t *trace) messages(a *arrival) []openai.Message {
	out := make([]openai.Message, 0, levels+1)
	name := fmt.Sprintf("w%d", a.workspace)
	for i, l := range t.profile.Levels {
		name = fmt.Sprintf("%s %s%d", name, l.Name, a.path[i])
		out = append(out, t.message(name, l.Tokens))
	}
	question := fmt.Sprintf("ask %06d.", a.number)
	return append(out, openai.Message{Role: role, Content: openai.Content(question)})
}

// role is the role of all messages.
const role = "user"

// message returns the message with a name. Its text as an engine sees it has the given size.
func (t *trace) message(name string, tokens int) openai.Message {
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
