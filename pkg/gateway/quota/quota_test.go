package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that ends by a late response to an earlier request, or never ends.
func TestLimitEndsOnlyByAResponseToALaterRequest(t *testing.T) {
	var s Server
	assert.True(t, s.Available(at(0)))
	assert.True(t, s.Observe(Statement{Limited: true, Rate: 4}, at(0), at(100)))
	assert.False(t, s.Observe(Statement{Limited: true, Rate: 4}, at(50), at(120)))
	assert.False(t, s.Available(at(120)))
	assert.False(t, s.Observe(Statement{}, at(90), at(200)), "the request was sent before the limit was stated")
	assert.True(t, s.Limited())
	assert.False(t, s.Observe(Statement{Invalid: "x"}, at(300), at(400)), "an invalid limit changes nothing")
	assert.True(t, s.Limited())
	assert.True(t, s.Observe(Statement{}, at(300), at(400)))
	assert.False(t, s.Limited())
	assert.True(t, s.Available(at(400)))
}

// Guards against permits that are used twice or after their expiry.
func TestPermitsExpire(t *testing.T) {
	var s Server
	s.Observe(Statement{Limited: true, Rate: 4}, at(0), at(0))
	s.Grant(2, at(0))
	assert.True(t, s.Available(at(100)))
	s.Take(at(100))
	assert.True(t, s.Available(at(100)))
	s.Take(at(100))
	assert.False(t, s.Available(at(100)))
	s.Grant(1, at(200))
	assert.False(t, s.Available(at(200).Add(PermitTTL)))
}

// Guards against a limit that the leader's older view ends, or that stays after all nodes have seen its end.
func TestLeaderEndsALimitThatThisNodeHasNotSeenEnd(t *testing.T) {
	var s Server
	s.Observe(Statement{Limited: true, Rate: 4}, at(0), at(0))
	s.Announce(false, true, at(1000))
	assert.True(t, s.Limited(), "the leader may not have this node's report yet")
	s.Announce(false, false, at(5000))
	assert.True(t, s.Limited(), "a new leader does not have all reports")
	s.Announce(false, true, at(5000))
	assert.False(t, s.Limited())

	var other Server
	other.Announce(true, true, at(0))
	assert.True(t, other.Limited(), "this node has not heard of the limit itself")
	other.Announce(false, true, at(-100))
	assert.True(t, other.Limited(), "messages may overtake each other")
	other.Announce(false, true, at(100))
	assert.False(t, other.Limited())
}

// Guards against a limit that is forgotten when the leader changes, and one that outlives the start it belongs to.
func TestDistributorUsesTheNewestObservation(t *testing.T) {
	d := NewDistributor()
	servers := []ServerInfo{{ID: 1, Service: 7}}
	nodes := []string{"a", "b"}
	assert.True(t, d.AddReport("a", Report{Observations: []Observation{{Server: 1, Limited: true, Rate: 4, Age: 10 * time.Millisecond}}}, at(1000)))
	assert.True(t, d.Limited(1))
	assert.False(t, d.AddReport("b", Report{Observations: []Observation{{Server: 1, Age: 500 * time.Millisecond}}}, at(1000)), "older")
	assert.True(t, d.Limited(1))
	assert.True(t, d.AddReport("b", Report{Observations: []Observation{{Server: 1, Age: 10 * time.Millisecond}}}, at(2000)))
	assert.False(t, d.Limited(1))
	d.AddReport("a", Report{Observations: []Observation{{Server: 1, Limited: true, Rate: 4}}}, at(3000))
	servers[0].ListedAt = at(3500)
	d.Issue(servers, nodes, at(4000))
	assert.False(t, d.Limited(1), "the server has restarted")
}

// Guards against a burst of permits after a pause of the leader, and against none at all for a limit of 0.
func TestPausedLeaderIssuesNoBurst(t *testing.T) {
	d := NewDistributor()
	servers := []ServerInfo{{ID: 1, Service: 7}, {ID: 2, Service: 7}}
	d.AddReport("a", Report{Observations: []Observation{{Server: 1, Limited: true, Rate: 10}, {Server: 2, Limited: true, Rate: 0}}}, at(0))
	issued := map[uint32]int{}
	issue := func(now time.Time) {
		for _, p := range d.Issue(servers, []string{"a"}, now)["a"].Permits {
			issued[p.Server] += p.N
		}
	}
	issue(at(0))
	issue(at(200))
	clear(issued)
	issue(at(2900))
	assert.LessOrEqual(t, issued[1], 11)
	clear(issued)
	for ms := 3100; ms < 13100; ms += 200 {
		issue(at(ms))
	}
	assert.InDelta(t, 100, issued[1], 2)
	assert.InDelta(t, minRate*10, issued[2], 1)
}

// Guards against reports and permits that change on their way, and against values that no node sends.
func TestEncoding(t *testing.T) {
	r := Report{
		Observations: []Observation{{Server: 1, Limited: true, Rate: 4.5, Age: 70 * time.Millisecond}, {Server: 2, Age: time.Second}},
		Demands:      []Demand{{Service: 3, Rate: 12.5}},
	}
	assert.Equal(t, r, DecodeReport(r.Encode()))
	assert.Nil(t, Report{}.Encode())
	p := Permits{Authoritative: true, Permits: []Permit{{Server: 1, N: 3}}}
	decoded, ok := DecodePermits(p.Encode())
	assert.True(t, ok)
	assert.Equal(t, p, decoded)
	_, ok = DecodePermits(Permits{}.Encode())
	assert.True(t, ok, "a leader that issues none now")
	_, ok = DecodePermits(nil)
	assert.False(t, ok, "a leader of an earlier version")
	bad := Report{Demands: []Demand{{Service: 1, Rate: math.Inf(1)}, {Service: 2, Rate: math.NaN()}, {Service: 3, Rate: -1}}}
	assert.Empty(t, DecodeReport(bad.Encode()).Demands)
}

// Guards against decoders that panic or return more than the data can hold.
func FuzzDecode(f *testing.F) {
	f.Add(Report{Observations: []Observation{{Server: 1, Limited: true, Rate: 4}}, Demands: []Demand{{Service: 1, Rate: 2}}}.Encode())
	f.Add(Permits{Permits: []Permit{{Server: 1, N: 2}}}.Encode())
	f.Add([]byte{255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := DecodeReport(data)
		assert.LessOrEqual(t, len(r.Observations)*observationBytes+len(r.Demands)*demandBytes, len(data))
		for _, o := range r.Observations {
			assert.False(t, math.IsNaN(o.Rate) || math.IsInf(o.Rate, 0) || o.Rate < 0)
		}
		p, _ := DecodePermits(data)
		assert.LessOrEqual(t, len(p.Permits)*permitBytes, len(data))
	})
}

// Guards against a leader or a node that computes for long, or keeps permits without bound, because a server states a huge
// limit or a node has no requests.
func TestHugeLimitsAndIdleNodesTakeLittle(t *testing.T) {
	d := NewDistributor()
	servers := []ServerInfo{{ID: 1, Service: 7}}
	var nodes []string
	for i := range 300 {
		nodes = append(nodes, string(rune('a'+i)))
	}
	d.AddReport("a", Report{Observations: []Observation{{Server: 1, Limited: true, Rate: math.MaxFloat32}}}, at(0))
	begin := time.Now()
	for ms := 0; ms < 5000; ms += 200 {
		d.Issue(servers, nodes, at(ms))
	}
	assert.Less(t, time.Since(begin), 5*time.Second)
	var s Server
	s.Observe(Statement{Limited: true, Rate: math.MaxFloat64}, at(0), at(0))
	for ms := 0; ms < 100000; ms += 500 {
		s.Grant(1<<40, at(ms))
	}
	assert.LessOrEqual(t, len(s.permits), 4*maxPermits)
	s.Draw(1, at(200000))
	assert.True(t, s.Available(at(200000)))
}
