package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an uneven distribution of keys, against keys that move although their candidate stays,
// and against a result that depends on the order of the names.
func TestBestSpreadsKeysAndIsStable(t *testing.T) {
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("node-", i))
	}
	counts := map[string]int{}
	moved := 0
	for i := range 5000 {
		key := fmt.Sprint("key-", i)
		best := Best(key, names)
		counts[best]++
		without := Best(key, names[:9])
		if best != names[9] && without != best {
			moved++
		}
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		assert.Equal(t, best, Best(key, reversed))
	}
	assert.Zero(t, moved)
	for name, n := range counts {
		assert.InDelta(t, 500, n, 100, name)
	}
	assert.Empty(t, Best("key", nil))
}
