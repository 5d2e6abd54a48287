package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against engines that stay unknown to members which the repeats of the full form did not reach.
func TestLoadTakesFullFormOnceForEachMember(t *testing.T) {
	s, now := newSummaryQueue("n0"), time.Unix(1, 0)
	s.publish(now, "e1", summaryEntry("n0", 1))
	e := s.byEngine["e1"]
	for range fullRepeats {
		e.recordSent("n1")
	}
	for load := range 2 {
		s.publish(now.Add(time.Duration(load+1)*minLoadInterval), "e1", summaryEntry("n0", 100*(load+1)))
		require.Less(t, e.fullRepeatsLeft, 1)
		toInformed, toOther := e.toProto("n1", true), e.toProto("n2", true)
		assert.Empty(t, toInformed.Incarnation)
		assert.Equal(t, load == 0, toOther.Incarnation != "", "load %d", load)
		e.recordSent("n2")
	}
}

// Guards against repeats that are spent on members which have the version while others lack it.
func TestRepeatsPreferMembersWithoutTheVersion(t *testing.T) {
	s := newSummaryQueue("n0")
	e := s.getOrCreate("e1")
	s.enqueue(e, "n1")
	assert.True(t, e.isRedundantFor("n1", 3))
	assert.False(t, e.isRedundantFor("n2", 3))
	e.recordSent("n2")
	e.recordSent("n3")
	assert.False(t, e.isRedundantFor("n1", 3), "each was sent it: repeats replace lost messages")
	s.enqueue(e)
	assert.False(t, e.isRedundantFor("n1", 3), "no member has a new version")
}
