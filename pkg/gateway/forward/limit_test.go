package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against clients of refused requests that all return at the same moment, or too late to be served.
func TestRefusalsAtLimitsReturnSpread(t *testing.T) {
	const remaining = 4 * time.Second
	early, late := 0, 0
	for range 1000 {
		d := spreadRetryAfter(remaining)
		assert.GreaterOrEqual(t, d, refusalRetryAfter)
		assert.LessOrEqual(t, d, remaining/4)
		if d < (refusalRetryAfter+remaining/4)/2 {
			early++
		} else {
			late++
		}
	}
	assert.InDelta(t, 500, early, 100)
	assert.InDelta(t, 500, late, 100)
	assert.Equal(t, 100*time.Millisecond, spreadRetryAfter(400*time.Millisecond))
	assert.Zero(t, spreadRetryAfter(-time.Second))
}
