package limits

import (
	"testing"
	"time"
)

// BenchmarkLedgerQuery is the cost of a query at the owner, without its datagrams.
func BenchmarkLedgerQuery(b *testing.B) {
	now := simStart
	l := NewLedger(testBounds, 1, false, now)
	quotas := map[uint64]Quota{}
	for id := range uint64(18000) {
		quotas[id] = Quota{Rate: 1e9, Burst: 1e9, Tokens: true}
	}
	l.SetQuotas(quotas, 1, now)
	for i := range b.N {
		now = now.Add(time.Millisecond)
		for part := range Parts {
			l.Lend(part, now.Add(time.Minute), now)
		}
		l.Query("10.0.0.1:7000", 1, Query{Number: uint64(i + 1), Workspace: uint64(i % 18000), Version: 1, Needs: []int64{9200}}, now)
	}
}
