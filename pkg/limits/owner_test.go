package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a part that two nodes use: a new leader must not give a part away whose holder it does not know or does not
// reach, before the holder's term has ended.
func TestPartsAreNotGivenAwayBeforeTheirTermEnds(t *testing.T) {
	s := newQuotaSim(1, 7, testBounds, map[uint64]Quota{1: {Rate: 1000, Burst: 1000, Tokens: true}})
	s.term = 4 * time.Second
	for _, n := range s.nodes {
		s.startNode(n)
	}
	s.leader = s.nodes[3]
	s.heartbeats(time.Minute)
	s.run(3 * time.Second)
	lent, _ := s.leader.agent.Lent(s.now)
	assert.Equal(t, Parts, lent)
	var holder *simNode
	for _, n := range s.nodes {
		if n != s.leader && n.agent.parts.held(s.now) != 0 {
			holder = n
		}
	}
	if !assert.NotNil(t, holder) {
		return
	}
	// The leader ends, and its successor does not reach a holder.
	holder.group = 1
	former := s.leader
	former.life, former.down = former.life+1, true
	s.leader, s.lease = nil, s.lease+1
	for _, n := range s.nodes {
		if n != holder && n != former && n.agent.parts.held(s.now) == 0 {
			s.leader = n
		}
	}
	s.run(2 * time.Second)
	lent, _ = s.leader.agent.Lent(s.now)
	assert.Equal(t, Parts-1, lent)
	_, interim := holder.agent.Lent(s.now)
	assert.Equal(t, 1, interim, "the holder uses its part")
	s.run(4 * time.Second)
	lent, _ = s.leader.agent.Lent(s.now)
	assert.Equal(t, Parts, lent)
	_, interim = holder.agent.Lent(s.now)
	assert.Zero(t, interim, "its term has ended")
}

// agentNetwork passes messages between agents at once.
type agentNetwork struct {
	agents map[string]*Agent
	queue  []queuedMessage
}

type queuedMessage struct {
	from, to string
	m        Message
}

func (n *agentNetwork) add(self string, seeds []string, env func() Env, now time.Time) *Agent {
	a := NewAgent(AgentOptions{
		Self: self, Seeds: seeds, Bounds: testBounds, Env: env,
		Send: func(to string, m *Message) { n.queue = append(n.queue, queuedMessage{self, to, *m}) },
	}, now)
	n.agents[self] = a
	return a
}

func (n *agentNetwork) deliver(now time.Time) {
	for len(n.queue) > 0 {
		q := n.queue[0]
		n.queue = n.queue[1:]
		if a := n.agents[q.to]; a != nil {
			a.Receive(q.from, &q.m, now)
		}
	}
}

// Guards against a first leader after a restart of all nodes that takes itself for another one, because a seed has heard of it
// from a third node before it hears its heartbeat. The leader then waited for the end of a term that nobody held, and all
// requests of workspaces with quotas were refused for a minute.
func TestFirstLeaderOfWhichSeedsHearFromOthersGetsTheParts(t *testing.T) {
	now := simStart
	network, seeds := &agentNetwork{agents: map[string]*Agent{}}, []string{"a", "b", "c"}
	leading, heard := false, map[string]string{}
	envOf := func(self string) func() Env {
		return func() Env {
			if leading && self == "a" {
				return Env{ActingLeader: true, HoldsLease: true, LeaseVersion: 4, Leader: "a", Peers: []string{"d"}}
			}
			return Env{Leader: heard[self], Heard: heard[self], Peers: []string{"d"}}
		}
	}
	quotas := map[uint64]Quota{1: {Rate: 1000, Burst: 1000, Tokens: true}}
	for _, self := range []string{"a", "b", "c", "d"} {
		network.add(self, seeds, envOf(self), now).SetQuotas(quotas, 1, now)
	}
	tick := func(agents ...string) {
		now = now.Add(AppointmentInterval)
		for _, self := range agents {
			network.agents[self].Tick(now)
		}
		network.deliver(now)
	}
	for range 20 {
		tick("a", "b", "c", "d")
	}
	_, interim := network.agents["b"].Lent(now)
	require.Equal(t, 1, interim, "the seeds grant until there is a leader")
	leading, heard["d"] = true, "a"
	network.agents["d"].Acquire(1, 5, now)
	network.agents["d"].send("c", &Message{Probe: 1})
	network.deliver(now)
	network.agents["c"].send("a", &Message{Probe: 1})
	network.deliver(now)
	for range 4 {
		tick("a", "b", "c", "d")
	}
	lent, _ := network.agents["a"].Lent(now)
	assert.Equal(t, Parts, lent)
}
