package claims

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"
)

// BenchmarkCommit measures the CPU time of one batch of 10 claims on a journal that already holds
// 3000.
func BenchmarkCommit(b *testing.B) {
	w := NewWriter(0)
	w.cacheValid = true
	for i := range 3000 {
		op := ClaimOp{Key: sha256.Sum256(fmt.Append(nil, i)), Attempt: "abcdefghijklmnopqrstuvwxyz", Retention: time.Hour}
		w.cached.apply(Op{Claim: &op}, start)
	}
	n := 3000
	for b.Loop() {
		for range 10 {
			n++
			op := ClaimOp{Key: sha256.Sum256(fmt.Append(nil, n)), Attempt: "abcdefghijklmnopqrstuvwxyz", Retention: time.Hour}
			w.queue = append(w.queue, Op{Claim: &op})
		}
		if action, _ := w.Next(start); action.Kind != Write {
			b.Fatalf("next action has kind %d, want a write", action.Kind)
		}
		w.callInProgress, w.batch = false, nil
	}
}
