package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a request that is refused because of a single crash, of crashes with a common cause, of crashes that
// one node alone has seen, or of a part that has succeeded since; and against one that is sent although a part
// crashes engines.
func TestJudge(t *testing.T) {
	// step is the crash of an engine, or a success if there is no engine.
	type step struct {
		at       float64
		engine   uint32
		observer uint8
		parts    []Part
	}
	p := func(parts ...Part) []Part { return parts }
	tests := map[string]struct {
		steps   []step
		request []Part
		refuse  bool
	}{
		"two crashes":                            {[]step{{0, 1, 1, p(7)}, {1, 2, 2, p(7)}}, p(7), false},
		"three":                                  {[]step{{0, 1, 1, p(7)}, {1, 2, 2, p(7)}, {2, 3, 1, p(7)}}, p(5, 7), true},
		"other parts":                            {[]step{{0, 1, 1, p(7)}, {1, 2, 2, p(7)}, {2, 3, 1, p(7)}}, p(5, 6), false},
		"the same engine, seen by several nodes": {[]step{{0, 1, 1, p(7)}, {0, 1, 2, p(7)}, {0.2, 1, 3, p(7)}, {0.4, 1, 4, p(7)}}, p(7), false},
		"at one moment":                          {[]step{{0, 1, 1, p(7)}, {0.02, 2, 2, p(7)}, {0.04, 3, 1, p(7)}, {0.06, 4, 1, p(7)}}, p(7), false},
		"seen by one node":                       {[]step{{0, 1, 1, p(7)}, {1, 2, 1, p(7)}, {2, 3, 1, p(7)}}, p(7), false},
		"five seen by one node":                  {[]step{{0, 1, 1, p(7)}, {1, 2, 1, p(7)}, {2, 3, 1, p(7)}, {3, 4, 1, p(7)}, {4, 5, 1, p(7)}}, p(7), true},
		"a success in between":                   {[]step{{0, 1, 1, p(7)}, {1, 2, 2, p(7)}, {1.5, 0, 0, p(7)}, {2, 3, 1, p(7)}}, p(7), false},
		"too long ago":                           {[]step{{0, 1, 1, p(7)}, {1, 2, 2, p(7)}, {602, 3, 1, p(7)}}, p(7), false},
		"sound a moment before":                  {[]step{{0, 0, 0, p(7)}, {0.5, 1, 1, p(7)}, {1, 2, 2, p(7)}, {1.5, 3, 1, p(7)}}, p(7), false},
		"sound before, and crashes for seconds":  {[]step{{0, 0, 0, p(7)}, {0.5, 1, 1, p(7)}, {1, 2, 2, p(7)}, {3, 3, 1, p(7)}}, p(7), true},
		"sound long before":                      {[]step{{0, 0, 0, p(7)}, {20, 1, 1, p(7)}, {20.5, 2, 2, p(7)}, {21, 3, 1, p(7)}}, p(7), true},
		"explained by another part":              {[]step{{0, 1, 1, p(7, 8)}, {1, 2, 2, p(7, 8)}, {2, 3, 1, p(7, 8)}, {3, 4, 1, p(7)}}, p(8), false},
		"the part that explains":                 {[]step{{0, 1, 1, p(7, 8)}, {1, 2, 2, p(7, 8)}, {2, 3, 1, p(7, 8)}, {3, 4, 1, p(7)}}, p(7), true},
		"one of two that explain equally":        {[]step{{0, 1, 1, p(7, 8)}, {1, 2, 2, p(7, 8)}, {2, 3, 1, p(7, 8)}}, p(7), false},
		"both of two that explain equally":       {[]step{{0, 1, 1, p(7, 8)}, {1, 2, 2, p(7, 8)}, {2, 3, 1, p(7, 8)}}, p(7, 8), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			now := start
			for _, s := range test.steps {
				now = at(s.at)
				if s.engine == 0 {
					table.RecordSuccess(s.parts, now)
				} else {
					table.RecordCrash(s.parts, Crash{Engine: s.engine, Observer: s.observer}, now)
				}
			}
			verdict := table.Judge(test.request, false, now)
			assert.Equal(t, test.refuse, verdict.Refuse)
			if verdict.Refuse {
				assert.Positive(t, verdict.RetryAfter)
				assert.Equal(t, Part(7), test.request[verdict.Index])
			}
		})
	}
}

// quarantined returns a table in which part 7 is quarantined since second 2.
func quarantined(t *testing.T) *Table {
	t.Helper()
	table := NewTable()
	for i := range 3 {
		table.RecordCrash([]Part{7}, Crash{Engine: uint32(i), Observer: uint8(i)}, at(float64(i)))
	}
	require.True(t, table.Judge([]Part{7}, false, at(2)).Refuse)
	return table
}

// Guards against several trials of a quarantined part at a time, trials by all nodes, trials in quick succession
// although engines crash in them, and a part that stays quarantined after a success.
func TestTrials(t *testing.T) {
	table := quarantined(t)
	assert.True(t, table.Judge([]Part{7}, true, at(61)).Refuse, "too early")
	assert.True(t, table.Judge([]Part{7}, false, at(63)).Refuse, "not on this node")
	assert.Equal(t, Verdict{Trial: true}, table.Judge([]Part{7}, true, at(63)))
	assert.True(t, table.Judge([]Part{7}, true, at(63)).Refuse, "one at a time")
	table.RecordCrash([]Part{7}, Crash{Engine: 9, Observer: 1}, at(64))
	assert.True(t, table.Judge([]Part{7}, true, at(64+127)).Refuse, "the delay grows")
	assert.True(t, table.Judge([]Part{7}, true, at(64+129)).Trial)
	table.RecordSuccess([]Part{7}, at(195))
	assert.Equal(t, Verdict{}, table.Judge([]Part{7}, false, at(195)))
}

// Guards against trials so frequent that they use up more engines than requests with one part may end after its fifth
// crash, and against quarantines that never end.
func TestTrialsAreRareAndQuarantinesEnd(t *testing.T) {
	table := quarantined(t)
	trials := 0
	for second := 3.0; second < 600; second += 0.5 {
		if table.Judge([]Part{7}, true, at(second)).Trial {
			trials++
			table.RecordCrash([]Part{7}, Crash{Engine: uint32(100 + trials), Observer: 1}, at(second))
		}
	}
	assert.Equal(t, 3, trials)
	table.Expire(at(600 + forgetAfter.Seconds()))
	assert.Empty(t, table.Suspects())
}

// Guards against a sound request that is not sent to another engine after a crash, and against one that goes on to
// crash engines.
func TestInDoubt(t *testing.T) {
	table := NewTable()
	table.RecordCrash([]Part{7, 8}, Crash{Engine: 1}, at(0))
	assert.False(t, table.InDoubt([]Part{7}, 1, at(0)), "the request's own crash")
	table.RecordCrash([]Part{8}, Crash{Engine: 2}, at(0.05))
	assert.False(t, table.InDoubt([]Part{8}, 2, at(0.05)), "at the same moment")
	table.RecordCrash([]Part{7, 8}, Crash{Engine: 3}, at(1))
	assert.True(t, table.InDoubt([]Part{7}, 3, at(1)))
	table.RecordSuccess([]Part{8}, at(0.5))
	table.RecordCrash([]Part{9}, Crash{Engine: 3}, at(1))
	assert.False(t, table.InDoubt([]Part{9}, 3, at(1)))
}

// Guards against nodes that judge differently after they have got the same messages in another order, late or
// repeatedly, and against parts of which the messages tell nothing.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		sources := []*Table{NewTable(), NewTable(), NewTable()}
		now := start
		type message struct {
			data []byte
			sent time.Time
		}
		var messages []message
		for step := range 60 {
			now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			source := random.IntN(len(sources))
			parts := []Part{Part(random.IntN(3)), Part(10 + random.IntN(3))}
			if random.IntN(3) > 0 {
				sources[source].RecordCrash(append(parts, 7), Crash{Engine: random.Uint32(), Observer: uint8(source)}, now)
			} else {
				sources[source].RecordSuccess(parts, now)
			}
			if step%3 == 0 || step > 56 {
				for i, s := range sources {
					if data, _ := s.Encode(All, 0, 4000, now); i == source || step > 56 {
						messages = append(messages, message{data, now})
					}
				}
			}
		}
		verdicts := map[Part]int{}
		const tables = 5
		for range tables {
			table := NewTable()
			random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
			for _, m := range append(messages, messages[:len(messages)/2]...) {
				// All are received without delay, so the times are the same in each order.
				table.Merge(m.data, false, 0, m.sent)
			}
			for _, s := range table.Suspects() {
				verdicts[s.Part]++
			}
		}
		require.Equal(t, tables, verdicts[7], "seed %d: %v", seed, verdicts)
	}
}

// Guards against messages that are larger than allowed, or lack the parts with the most evidence.
func TestEncodeIsBounded(t *testing.T) {
	table := quarantined(t)
	for part := range Part(200) {
		table.RecordCrash([]Part{1000 + part}, Crash{Engine: 50}, at(3))
	}
	data, _ := table.Encode(All, 0, 300, at(3))
	assert.LessOrEqual(t, len(data), 300)
	other := NewTable()
	assert.True(t, other.Merge(data, false, 0, at(3)))
	assert.True(t, other.Judge([]Part{7}, false, at(3)).Refuse)
	data, changes := table.Encode(All, 0, 0, at(3))
	assert.Nil(t, data)
	data, _ = table.Encode(All, changes, 300, at(3))
	assert.Nil(t, data, "nothing has changed")
	data, _ = table.Encode(Recent, 0, 300, at(100))
	assert.Nil(t, data)
	data, _ = table.Encode(All, 0, 300, at(100))
	assert.LessOrEqual(t, len(data), 32, "only the quarantined part")
}

// Guards against a node that was out of reach when a part was released and keeps it quarantined.
func TestReleaseReachesLateNode(t *testing.T) {
	leader, late := quarantined(t), quarantined(t)
	leader.RecordSuccess([]Part{7}, at(10))
	report, _ := late.Encode(All, 0, 900, at(30))
	leader.Merge(report, true, 0, at(30))
	heartbeat, _ := leader.Encode(All, 0, 900, at(30))
	assert.True(t, late.Merge(heartbeat, false, 0, at(30)))
	assert.Empty(t, late.Suspects())
}

// Guards against a node that observed all crashes itself and goes on to send requests with a part that the others
// refuse: a second node had observed the same crashes, but the node kept itself as the only observer.
func TestNodeThatObservedAllCrashesLearnsOfOtherObservers(t *testing.T) {
	tables := []*Table{NewTable(), NewTable(), NewTable()}
	now := start
	for crash := range 3 {
		now = at(float64(crash))
		for observer, table := range tables[:2] {
			table.RecordCrash([]Part{7}, Crash{Engine: uint32(crash), Observer: uint8(observer)}, now)
		}
	}
	for range 2 {
		for _, from := range tables {
			data, _ := from.Encode(All, 0, 960, now)
			for _, to := range tables {
				to.Merge(data, true, 0, now)
			}
		}
	}
	for i, table := range tables {
		assert.True(t, table.Judge([]Part{7}, false, now).Refuse, "node %d", i)
	}
}

// Guards against sound parts that are quarantined because engines, or a network, end single connections: the engines go
// on to serve other requests. A response from before the crash, or of an engine that has restarted, shows nothing.
func TestEngineThatRespondsHasNotCrashed(t *testing.T) {
	tests := map[string]struct {
		// sentAfter is the time from a crash until a request is sent to which the engine responds.
		sentAfter time.Duration
		refuse    bool
	}{
		"sent just after":  {300 * time.Millisecond, false},
		"sent before":      {-300 * time.Millisecond, true},
		"sent long after":  {maxSurvivalDelay + 100*time.Millisecond, true},
		"at the same time": {0, true},
		"sent a bit later": {900 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			observer, other, late := NewTable(), NewTable(), NewTable()
			exchange := func(from, to *Table, now time.Time) {
				data, _ := from.Encode(All, 0, 960, now)
				to.Merge(data, true, 0, now)
			}
			now := start
			for engine := range uint32(4) {
				now = at(2 * float64(engine))
				observer.RecordCrash([]Part{7, 8}, Crash{Engine: engine, Observer: uint8(engine % 2)}, now)
				exchange(observer, other, now)
				exchange(observer, late, now)
				responseAt := now.Add(1200 * time.Millisecond)
				other.RecordResponse(engine, now.Add(test.sentAfter), responseAt)
				exchange(other, observer, responseAt)
			}
			// A node that has missed the news learns it, and does not bring back the evidence.
			now = now.Add(1300 * time.Millisecond)
			exchange(late, observer, now)
			exchange(observer, late, now)
			for name, table := range map[string]*Table{"observer": observer, "other": other, "late": late} {
				assert.Equal(t, test.refuse, table.Judge([]Part{7, 8}, false, now).Refuse, name)
			}
		})
	}
}

// Guards against malformed evidence that crashes a node or grows its table without bound, and against evidence that
// changes when it is passed on.
func FuzzMerge(f *testing.F) {
	table := NewTable()
	table.RecordCrash([]Part{7, 8}, Crash{Engine: 1, Observer: 2}, start)
	table.RecordSuccess([]Part{8}, at(1))
	data, _ := table.Encode(All, 0, 900, at(1))
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		table, other := NewTable(), NewTable()
		table.Merge(data, true, 0, start)
		require.LessOrEqual(t, len(table.records), min(maxParts, len(data)/(partBytes+1)))
		for _, r := range table.records {
			require.LessOrEqual(t, len(r.pairs), maxPairs)
		}
		sent, _ := table.Encode(All, 0, 2*len(data)+900, start)
		other.Merge(sent, true, 0, start)
		relayed, _ := other.Encode(All, 0, 2*len(data)+900, start)
		other.Merge(sent, true, 0, start)
		repeated, _ := other.Encode(All, 0, 2*len(data)+900, start)
		require.Equal(t, relayed, repeated)
		// The time of the last crash may differ by less than momentGap, in which crashes count as one.
		for part, r := range table.records {
			crashes := map[Crash]bool{}
			for _, p := range r.pairs {
				crashes[p.crash] = p.soundBefore
			}
			passedOn := map[Crash]bool{}
			if o := other.records[part]; o != nil {
				for _, p := range o.pairs {
					passedOn[p.crash] = p.soundBefore
				}
			}
			require.Equal(t, crashes, passedOn, "part %v", part)
		}
		table.Judge([]Part{7}, true, start)
		table.Expire(start)
	})
}

// Guards against nodes that start, or read the stored evidence, more than evidenceTTL after the crashes, and then send
// requests with a quarantined part.
func TestOldQuarantineIsLearned(t *testing.T) {
	for _, crashes := range []int{3, 5, 8, 12} {
		for _, age := range []time.Duration{30 * time.Second, 2 * time.Minute, 30 * time.Minute} {
			known, started, restored := NewTable(), NewTable(), NewTable()
			for i := range crashes {
				known.RecordCrash([]Part{7}, Crash{Engine: uint32(i*977 + 5), Observer: uint8(i % 3)}, start.Add(time.Duration(i)*400*time.Millisecond))
			}
			encodedAt := start.Add(6 * time.Second)
			stored, _ := known.Encode(Quarantined, 0, 4096, encodedAt)
			now := start.Add(age)
			known.Expire(now)
			message, _ := known.Encode(All, 0, 960, now)
			started.Merge(message, false, 0, now)
			restored.Merge(stored, true, now.Sub(encodedAt), now)
			for name, table := range map[string]*Table{"known": known, "started": started, "restored": restored} {
				assert.True(t, table.Judge([]Part{7}, false, now).Refuse, "%s, %d crashes, %v", name, crashes, age)
			}
		}
	}
}

// Guards against a second bad part that hides behind an earlier one, whose record is full: its later crashes seemed to
// be explained by it.
func TestLaterBadPartIsFound(t *testing.T) {
	const shared, first, second = Part(2), Part(1), Part(3)
	for _, crashes := range []int{5, 20, 70} {
		for seed := range 40 {
			table := NewTable()
			engine := func(i int) uint32 { return uint32(PartOf("engine", fmt.Sprint(seed, i))) }
			for i := range crashes {
				table.RecordCrash([]Part{shared, first}, Crash{Engine: engine(i), Observer: uint8(i % 15)}, start.Add(time.Duration(i)*2*time.Second/time.Duration(crashes)))
			}
			table.RecordSuccess([]Part{shared}, start.Add(3*time.Second))
			sends := 0
			for i := range 100 {
				now := start.Add(100*time.Second + time.Duration(i)*500*time.Millisecond)
				table.RecordSuccess([]Part{shared}, now.Add(-50*time.Millisecond))
				if !table.Judge([]Part{shared, second}, false, now).Refuse {
					sends++
					table.RecordCrash([]Part{shared, second}, Crash{Engine: engine(1000 + i), Observer: uint8(i % 15)}, now)
				}
			}
			assert.LessOrEqual(t, sends, 5, "%d crashes of the first part, seed %d", crashes, seed)
			assert.True(t, table.Judge([]Part{first}, false, start.Add(150*time.Second)).Refuse)
		}
	}
}

// Guards against a part of most requests that stays refused for a minute after an outage in which all engines crashed:
// it had been sound, and is tried again soon.
func TestPartThatWasSoundIsTriedSoonAfterAnOutage(t *testing.T) {
	const outageFrom, outageTo = 10 * time.Second, 14 * time.Second
	table := NewTable()
	refusedUntil := time.Duration(0)
	for i, at := 0, time.Duration(0); at < time.Minute; i, at = i+1, at+50*time.Millisecond {
		now := start.Add(at)
		parts := []Part{1, Part(100 + i%30)}
		switch {
		case table.Judge(parts, i%15 == 0, now).Refuse:
			refusedUntil = at
		case at >= outageFrom && at < outageTo:
			// The engines restart, so that each crash ends another incarnation.
			table.RecordCrash(parts, Crash{Engine: uint32((i*7919%18 + 100*int(at/(1500*time.Millisecond))) * 2654435761), Observer: uint8(i % 15)}, now)
		default:
			table.RecordSuccess(parts, now)
		}
	}
	assert.Less(t, refusedUntil, outageTo+15*time.Second)
}

// Guards against a bad part of which a request comes only now and then, and ends an engine each time.
func TestRareBadPartIsFound(t *testing.T) {
	table := NewTable()
	sends := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 31 * time.Second)
		table.Expire(now)
		if !table.Judge([]Part{7}, false, now).Refuse {
			sends++
			table.RecordCrash([]Part{7}, Crash{Engine: uint32(i), Observer: uint8(i % 15)}, now)
		}
	}
	assert.LessOrEqual(t, sends, 8)
}

// Guards against a judgement that takes long, with all requests waiting for it, while many parts are in doubt.
func TestJudgementIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		for e := range 4 {
			table.recordLocked(Part(i), start).add(pair{crash: Crash{Engine: uint32(i*13 + e), Observer: uint8(e)}, at: at(float64(e))})
		}
	}
	table.judgeLocked(at(4))
	assert.LessOrEqual(t, len(table.suspects), maxCandidates)
	assert.NotEmpty(t, table.suspects)
}

// Guards against a node that dates crashes some milliseconds closer together than the others, counts fewer moments, and
// goes on to send requests with a part that the others refuse.
func TestNodesThatDateCrashesDifferentlyJudgeAlike(t *testing.T) {
	dating := func(gap time.Duration) *Table {
		table := NewTable()
		for i := range 3 {
			table.RecordCrash([]Part{7}, Crash{Engine: uint32(i), Observer: uint8(i)}, start.Add(time.Duration(i)*gap))
		}
		return table
	}
	apart, close := dating(momentGap+5*time.Millisecond), dating(momentGap-5*time.Millisecond)
	now := at(1)
	require.True(t, apart.Judge([]Part{7}, false, now).Refuse)
	require.False(t, close.Judge([]Part{7}, false, now).Refuse)
	data, _ := apart.Encode(All, 0, 960, now)
	close.Merge(data, false, 0, now)
	assert.True(t, close.Judge([]Part{7}, false, now).Refuse)
}

// Guards against nodes that keep different crashes of many, so that two parts which were in doubt in the same ones no
// longer explain each other.
func TestRecordsOfManyCrashesKeepTheSameOnes(t *testing.T) {
	const crashes = 5 * maxPairs
	random := rand.New(rand.NewPCG(1, 1))
	var kept [][]uint32
	for range 5 {
		table := NewTable()
		for _, i := range random.Perm(crashes) {
			table.RecordCrash([]Part{7}, Crash{Engine: uint32(i+1) * 2654435761, Observer: uint8(i % 5)}, at(1))
		}
		var engines []uint32
		for _, p := range table.records[7].pairs {
			engines = append(engines, p.crash.Engine)
		}
		require.Len(t, engines, maxPairs)
		kept = append(kept, engines)
	}
	for _, engines := range kept[1:] {
		assert.Equal(t, kept[0], engines)
	}
}

// Guards against memory that grows with the number of parts in doubt, or that were sound, and against the loss of a
// quarantined part because of many others.
func TestTableIsBounded(t *testing.T) {
	table := quarantined(t)
	for i := range 3 * maxParts {
		table.RecordCrash([]Part{Part(1000 + i)}, Crash{Engine: 50, Observer: 1}, at(3))
	}
	assert.LessOrEqual(t, len(table.records), maxParts)
	assert.True(t, table.Judge([]Part{7}, false, at(3)).Refuse)
	for i := range 5 * maxSound {
		table.RecordSuccess([]Part{Part(100_000 + i)}, at(4))
	}
	assert.LessOrEqual(t, len(table.sound)+len(table.soundBefore), 2*maxSound)
}
