package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The policies that a trial compares. The figures of these trials come from a small model of engines
// and are not benchmark results. Their bounds are the targets of docs/design.md, section 9.
const (
	policyLoad       = "least-loaded"
	policyHash       = "consistent-hash"
	policyCassiawall = "cassiawall"
)

// Guards against a placement policy that is no better than least load or consistent hashing.
func TestPolicyTrial(t *testing.T) {
	for name, w := range map[string]workload{"kilele": kileleWorkload(), "tuul": tuulWorkload()} {
		t.Run(name, func(t *testing.T) {
			byLoad := runTrial(t, policyLoad, w, 1)
			byHash := runTrial(t, policyHash, w, 1)
			ours := runTrial(t, policyCassiawall, w, 1)
			t.Logf("trial %s %s", policyLoad, byLoad)
			t.Logf("trial %s %s", policyHash, byHash)
			t.Logf("trial %s %s", policyCassiawall, ours)
			assert.LessOrEqual(t, ours.p99, byHash.p99*8/10)
			assert.LessOrEqual(t, ours.recomputed, byLoad.recomputed*0.25)
			assert.LessOrEqual(t, ours.recomputed, byHash.recomputed*0.7)
			assert.GreaterOrEqual(t, ours.hitRate, ours.maxHitRate*0.9)
			assert.LessOrEqual(t, ours.wasted, 0.05)
			if name == "kilele" {
				assert.LessOrEqual(t, ours.p99, byLoad.p99/2)
			}
		})
	}
}

// Guards against a hit rate that drops when a third of the cache events is lost, or after half of the
// entry nodes and the owner have restarted without state.
func TestFaultTrial(t *testing.T) {
	for name, w := range map[string]workload{"kilele": kileleWorkload(), "tuul": tuulWorkload()} {
		t.Run(name, func(t *testing.T) {
			none := runTrial(t, policyCassiawall, w, 1)
			lossy := w
			lossy.lostEvents = 1.0 / 3
			lost := runTrial(t, policyCassiawall, lossy, 1)
			w.restartAt = 25 * time.Second
			restart := runTrial(t, policyCassiawall, w, 1)
			t.Logf("trial none %s", none)
			t.Logf("trial lost %s", lost)
			t.Logf("trial restart %s", restart)
			assert.GreaterOrEqual(t, lost.hitRate, none.hitRate*0.95)
			assert.GreaterOrEqual(t, restart.hitRateAfter, restart.hitRateBefore*0.95)
		})
	}
}
