package node

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Guards against samples of a node that do not become factors of its backend servers, and against a slow engine without a
// line in the log.
func TestReportedSpeedsBecomeFactors(t *testing.T) {
	var log bytes.Buffer
	n := New(Options{Logger: slog.New(slog.NewJSONHandler(&log, nil)), Metrics: metrics.New()})
	n.board = newBoard(n)
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		n.registry.Put(backends.Backend{ID: id, Service: "s", Address: id + ":1", Started: 1, Models: []backends.Model{{Name: "m", Version: 1}}})
	}
	n.board.AnnounceSpeeds()
	observe := func(ids []string, ms int) {
		for _, id := range ids {
			n.speeds.Observe("s", speed.Key(id, 1), 1000, 1, time.Duration(ms)*time.Millisecond, clock.Now())
		}
	}
	for range 30 {
		observe(ids[:3], 50)
	}
	for range 30 {
		observe(ids[:3], 50)
		observe(ids[3:], 150)
		n.board.AddSpeedReport(n.board.SpeedReport())
	}
	n.board.ApplySpeeds(n.board.AnnounceSpeeds(), time.Time{})
	assert.Equal(t, 1.0, n.speeds.Announced(speed.Key("d", 1), clock.Now()), "the age of the factors is not known")
	n.board.ApplySpeeds(n.board.AnnounceSpeeds(), clock.Now())
	assert.Greater(t, n.speeds.Announced(speed.Key("d", 1), clock.Now()), speed.SlowFactor)
	assert.Equal(t, 1.0, n.speeds.Announced(speed.Key("a", 1), clock.Now()))
	assert.Equal(t, 1, n.registry.CountSlow())
	assert.Contains(t, log.String(), `"event":960`)
	assert.Contains(t, log.String(), `"backend":"d"`)
}
