package claims

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"
)

// BenchmarkCommit measures the CPU time of one group commit of 10 claims into a full journal.
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
			b.Fatal("no write")
		}
		w.callInProgress, w.batch = false, nil
	}
}
