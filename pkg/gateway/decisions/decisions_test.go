package decisions

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/event"
)

// stalledWriter blocks writes until release is closed, like standard output whose reader does not read.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against requests that block on a stalled reader of standard output, and against dropped lines that
// are not reported.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledWriter{release: make(chan struct{})}
		w := NewWriter(s)
		began := time.Now()
		for range 3 * maxQueuedLines {
			_, err := w.Write([]byte("line\n"))
			assert.NoError(t, err)
		}
		assert.Zero(t, time.Since(began))
		assert.GreaterOrEqual(t, w.Dropped(), int64(maxQueuedLines))
		close(s.release)
		time.Sleep(time.Second)
		w.Close(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Contains(t, s.text.String(), event.LinesDropped.Name)
		assert.GreaterOrEqual(t, strings.Count(s.text.String(), "line\n"), maxQueuedLines)
	})
}

// Guards against a failed request without its lines, and against lines for every successful request.
func TestTraceWritesFailedAndSampledRequests(t *testing.T) {
	var text bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&text, nil))
	kept := 0
	for i := range 1000 {
		text.Reset()
		trace := NewTrace(logger, strings.Repeat("x", i))
		trace.Add(event.RequestAdmitted, "route", "r")
		trace.End(false)
		if text.Len() > 0 {
			kept++
		}
	}
	assert.InDelta(t, 1000/sampleInterval, kept, 12)
	text.Reset()
	trace := NewTrace(logger, "id1")
	trace.Add(event.RequestAdmitted, "route", "r")
	trace.Add(event.SendFailed, "backend", "b")
	trace.End(true)
	assert.Equal(t, 2, strings.Count(text.String(), `"request":"id1"`))
	assert.Contains(t, text.String(), `"event":924`)
}
