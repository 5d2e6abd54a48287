package speed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// observe records samples of an engine that takes factor times the usual time.
func observe(tracker *Tracker, engine uint32, n int, factor float64, now time.Time) {
	for i := range n {
		tokens, running := 500*(1+i%5), i%3
		ms := factor * (10 + 0.02*float64(tokens) + 2*float64(running))
		tracker.Observe(service, engine, tokens, running, time.Duration(ms*float64(time.Millisecond)), now)
	}
}

// Guards against a model that does not find the terms of noiseless samples.
func TestModelFitsItsTerms(t *testing.T) {
	tracker := NewTracker()
	expected, deviation := tracker.Expect(service, 1, 1000, 0, start)
	assert.Zero(t, expected)
	assert.Zero(t, deviation)
	observe(tracker, 1, 600, 1, start)
	expected, deviation = tracker.Expect(service, 1, 4000, 5, start)
	assert.InDelta(t, 100, expected.Seconds()*1000, 2)
	assert.Less(t, deviation, 5*time.Millisecond)
}

// Guards against engines with the speed of the previous process after a restart.
func TestRestartedEngineStartsAtOne(t *testing.T) {
	tracker := NewTracker()
	slow, restarted := Key("e", 1), Key("e", 2)
	tracker.Apply(announcementOf(slow, 1), start, start)
	assert.Equal(t, 2.0, tracker.Factor(slow, start))
	assert.Equal(t, 1.0, tracker.Factor(restarted, start))
}

// announcementOf returns an announcement of one factor.
func announcementOf(engine uint32, octaves float64) []byte {
	return []byte{formatVersion, byte(engine >> 24), byte(engine >> 16), byte(engine >> 8), byte(engine), encodeOctaves(octaves)}
}

// Guards against announced factors that count for ever after the leader is gone, or that change at once when it is late.
func TestAnnouncedFactorsAge(t *testing.T) {
	tracker := NewTracker()
	tracker.Apply(announcementOf(5, 1), start, start)
	assert.Equal(t, 2.0, tracker.Factor(5, start.Add(announcementTTL)))
	assert.InDelta(t, 1.41, tracker.Factor(5, start.Add(announcementTTL+recentHalfLife)), 0.01)
	assert.InDelta(t, 1, tracker.Factor(5, start.Add(time.Minute)), 0.01)
	tracker.Apply([]byte{formatVersion}, start.Add(factorTTL/2), start.Add(factorTTL/2))
	assert.Equal(t, 2.0, tracker.Factor(5, start.Add(factorTTL/2)), "not contained, but still announced")
	tracker.Apply([]byte{formatVersion}, start.Add(factorTTL), start.Add(factorTTL))
	assert.Equal(t, 1.0, tracker.Factor(5, start.Add(factorTTL)), "no longer announced")
	tracker.Apply(announcementOf(5, 2), start, start.Add(factorTTL))
	assert.Equal(t, 1.0, tracker.Factor(5, start.Add(factorTTL)), "older than the last one")
}

// Guards against an announced factor that contradicts what the node has just seen several times.
func TestOwnNewestSamplesCorrectTheFactor(t *testing.T) {
	tracker := NewTracker()
	observe(tracker, 1, 400, 1, start)
	tracker.Apply([]byte{formatVersion}, start, start)
	observe(tracker, 2, 2, 3, start)
	assert.Equal(t, 1.0, tracker.Factor(2, start), "two samples may be noise")
	observe(tracker, 2, 10, 3, start)
	assert.Greater(t, tracker.Factor(2, start), 1.4)
	assert.Equal(t, 1.0, tracker.Factor(1, start))
}

// Guards against noisy engines that are taken for slow ones: they show in the deviation.
func TestNoisyEnginesHaveAHigherDeviation(t *testing.T) {
	tracker := NewTracker()
	for i := range 600 {
		observe(tracker, 1, 1, 1, start)
		observe(tracker, 2, 1, []float64{0.6, 1 / 0.6}[i%2], start)
	}
	usual, usualDeviation := tracker.Expect(service, 1, 1000, 1, start)
	noisy, noisyDeviation := tracker.Expect(service, 2, 1000, 1, start)
	assert.Equal(t, usual, noisy)
	assert.Greater(t, noisyDeviation, 2*usualDeviation)
}

// Guards against reports and announcements that grow with the fleet, and against engines that never have their turn.
func TestMessagesAreBounded(t *testing.T) {
	const engines = 790
	tracker, combiner, services := NewTracker(), NewCombiner(), map[uint32]string{}
	observe(tracker, 1, 100, 1, start)
	for i := range uint32(engines) {
		services[i] = service
		observe(tracker, i, 4, []float64{1, 3}[i%2], start)
	}
	reports := 0
	for report := tracker.Report(start); report != nil; report = tracker.Report(start) {
		require.LessOrEqual(t, len(report), 384)
		combiner.Merge(report, start)
		reports++
	}
	assert.Equal(t, (engines+maxReported-1)/maxReported, reports)
	known := func(uint32, time.Time) float64 { return 1 }
	receiver := NewTracker()
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		for e := range uint32(engines) {
			combiner.Merge([]byte{0, 0, byte(e >> 8), byte(e), 4, encodeOctaves(float64(e%2) * 1.5)}, now)
		}
		announcement, _ := combiner.Announce(services, known, now)
		require.LessOrEqual(t, len(announcement), MaxAnnouncementBytes)
		if i > 50 {
			require.LessOrEqual(t, len(announcement), 1+maxRefreshed*factorBytes, "unchanged factors are repeated a few at a time")
		}
		receiver.Apply(announcement, now, now)
	}
	for e := range uint32(engines) {
		require.Equal(t, e%2 == 1, receiver.Factor(e, start.Add(60*time.Second)) > 2, "engine %d", e)
	}
}

// Guards against a new leader that announces 1 for each engine until it has reports of its own.
func TestNewLeaderKeepsTheFactors(t *testing.T) {
	tracker := NewTracker()
	tracker.Apply(announcementOf(5, 1), start, start)
	services := map[uint32]string{5: service}
	for i := range uint32(9) {
		services[100+i] = service
	}
	combiner := NewCombiner()
	now := start.Add(3 * time.Second)
	announcement, changes := combiner.Announce(services, tracker.Announced, now)
	assert.Empty(t, changes, "the previous leader has logged it")
	receiver := NewTracker()
	receiver.Apply(announcement, now, now)
	assert.InDelta(t, 2, receiver.Factor(5, now), 0.3)
	assert.Equal(t, 1.0, tracker.Announced(5, start.Add(factorTTL)), "not after a long time without a leader")
	assert.Equal(t, 1.0, receiver.Factor(100, now))
}

// Guards against messages of another version or a faulty sender that crash a node, or make it keep much.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{formatVersion, 0, 0, 0, 5, 32, 7}, []byte{0, 0, 0, 5, 1, 0x80, 9})
	f.Add([]byte{}, []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, announcement, report []byte) {
		tracker, combiner := NewTracker(), NewCombiner()
		tracker.Apply(announcement, start, start)
		combiner.Merge(report, start)
		assert.LessOrEqual(t, len(tracker.engines), maxAnnounced)
		for engine := range tracker.engines {
			factor := tracker.Factor(engine, start)
			assert.True(t, factor >= 1.0/16 && factor <= 16, "%v", factor)
		}
		services := map[uint32]string{5: service}
		again, _ := combiner.Announce(services, tracker.Announced, start)
		assert.LessOrEqual(t, len(again), 1+factorBytes)
	})
}

// BenchmarkObserve shows the processor time of one request: an expectation, a sample and a factor.
func BenchmarkObserve(b *testing.B) {
	tracker := NewTracker()
	observe(tracker, 1, 100, 1, start)
	for i := range b.N {
		engine, now := uint32(i%790), start.Add(time.Duration(i)*time.Millisecond)
		expected, _ := tracker.Expect(service, engine, 1000, 3, now)
		tracker.Observe(service, engine, 1000, 3, expected, now)
		tracker.Factor(engine, now)
	}
}

// BenchmarkAnnounce shows the processor time of one heartbeat of the leader at 400 nodes and 790 engines, with the reports
// of the nodes.
func BenchmarkAnnounce(b *testing.B) {
	combiner, services := NewCombiner(), map[uint32]string{}
	for i := range uint32(790) {
		services[i] = service
	}
	known := func(uint32, time.Time) float64 { return 1 }
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Second)
		for node := range uint32(400) {
			var report []byte
			for k := range uint32(13) {
				e := (node*13 + k + uint32(i)) % 790
				report = append(report, 0, 0, byte(e>>8), byte(e), 1, encodeOctaves(float64(e%3/2)))
			}
			combiner.Merge(report, now)
		}
		combiner.Announce(services, known, now)
	}
}
