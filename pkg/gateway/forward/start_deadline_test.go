package forward

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a deadline that is late by the time for which the VM was suspended: timers do not count it.
func TestStartDeadlineCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		deadline := time.Now().Add(10 * time.Second)
		expired := make(chan struct{})
		w := &startWatch{
			deadline: func() time.Time { return deadline }, expire: func() { close(expired) },
			now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
		}
		w.start()
		time.Sleep(time.Second)
		suspended.Store(int64(9 * time.Second))
		resumedAt := time.Now()
		<-expired
		assert.LessOrEqual(t, time.Since(resumedAt), startCheckInterval)
	})
}
