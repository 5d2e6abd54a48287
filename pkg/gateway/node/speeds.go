package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
)

// SpeedReport implements peers.Board.
func (b *board) SpeedReport() []byte { return b.node.speeds.Report(clock.Now()) }

// AddSpeedReport implements peers.Board.
func (b *board) AddSpeedReport(report []byte) { b.node.speedCombiner.Merge(report, clock.Now()) }

// AnnounceSpeeds implements peers.Board. It logs the engines that have become slow or are no longer.
func (b *board) AnnounceSpeeds() []byte {
	announcement, changes := b.node.speedCombiner.Announce(b.node.registry.SpeedServices(), b.node.speeds.Announced, clock.Now())
	for _, c := range changes {
		e := event.EngineUsual
		if c.Slow {
			e = event.EngineSlow
		}
		e.Emit(b.node.opt.Logger, "backend", b.node.registry.SpeedEngine(c.Engine), "factor", c.Factor, "samples", int(c.Samples))
	}
	return announcement
}

// ApplySpeeds implements peers.Board.
func (b *board) ApplySpeeds(announcement []byte, readAt time.Time) {
	if readAt.IsZero() {
		return
	}
	b.node.speeds.Apply(announcement, readAt, clock.Now())
	b.node.refreshSpeedFactors()
}

// refreshSpeedFactors sets the factors of the backend servers. They also change with time: without a leader, they age.
func (n *Node) refreshSpeedFactors() {
	now := clock.Now()
	n.registry.SetSpeedFactors(func(key uint32) float64 { return n.speeds.Factor(key, now) })
}
