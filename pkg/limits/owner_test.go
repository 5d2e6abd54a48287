package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
		if n != s.leader && n.agent.trustee.held(s.now) != 0 {
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
		if n != holder && n != former && n.agent.trustee.held(s.now) == 0 {
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
