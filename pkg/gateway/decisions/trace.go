package decisions

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/event"
)

// sampleInterval is the number of successful requests of which one on average is logged.
const sampleInterval = 64

// Trace buffers the log lines of one request until its end. It is not safe for concurrent use.
type Trace struct {
	logger  *slog.Logger
	request string
	lines   []line
}

type line struct {
	at    time.Time
	event event.Event
	args  []any
}

// NewTrace returns an empty trace of the request with that ID.
func NewTrace(logger *slog.Logger, request string) *Trace {
	return &Trace{logger: logger, request: request}
}

// Add buffers an event with alternating attribute names and values.
func (t *Trace) Add(e event.Event, args ...any) {
	t.lines = append(t.lines, line{at: time.Now(), event: e, args: args})
}

// End writes the buffered lines if keep is set or the request belongs to the sample, which depends on its ID
// only.
func (t *Trace) End(keep bool) {
	if !keep && xxhash.Sum64String(t.request)%sampleInterval != 0 {
		return
	}
	for _, l := range t.lines {
		r := slog.NewRecord(l.at, l.event.Level, l.event.Name, 0)
		r.Add("event", l.event.Number, "request", t.request)
		r.Add(l.args...)
		// Writer, the destination of the handler, never returns an error.
		_ = t.logger.Handler().Handle(context.Background(), r)
	}
	t.lines = nil
}
