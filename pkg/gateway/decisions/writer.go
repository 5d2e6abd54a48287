// Package decisions writes the log lines of a node without blocking on the reader of standard output, and
// buffers the lines of a request until its end, when it is known whether they are worth writing.
package decisions

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
)

const (
	// maxQueuedLines bounds the lines that wait for the reader. A line is about 300 bytes long.
	maxQueuedLines = 4096
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Writer passes lines to another writer from a goroutine of its own. Lines that arrive while the queue is full
// are dropped and counted. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer that passes lines to dst. Close flushes it.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(dst)
	return w
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, waiting for the reader no longer than timeout. If the queue is full, it
// returns at once. Lines that are written after Close are lost.
func (w *Writer) Close(timeout time.Duration) {
	select {
	case w.lines <- nil:
	default:
		return
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run passes lines on until Close. Lines that dst fails to write are counted as dropped.
func (w *Writer) run(dst io.Writer) {
	defer close(w.done)
	report := slog.New(slog.NewJSONHandler(dst, nil))
	var reported int64
	var reportedAt time.Time
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := dst.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if dropped := w.dropped.Load(); dropped != reported && time.Since(reportedAt) >= dropReportInterval {
			event.LinesDropped.Emit(report, "lines", dropped-reported)
			reported, reportedAt = dropped, time.Now()
		}
	}
}
