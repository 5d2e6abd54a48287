package peers

import "time"

// SpeedBoard is the part of a Board that exchanges the factors of the engines' speeds; see package speed.
type SpeedBoard interface {
	// SpeedReport returns and clears this node's encoded samples. AddSpeedReport adds those of a node at the leader.
	SpeedReport() []byte
	AddSpeedReport(report []byte)
	// AnnounceSpeeds returns the encoded factors for a heartbeat of the leader. ApplySpeeds applies those that the leader
	// read at readAt or later. readAt is zero if that is not known.
	AnnounceSpeeds() []byte
	ApplySpeeds(announcement []byte, readAt time.Time)
}

// addSpeedsToHeartbeat adds the factors to a heartbeat, after the leader's own samples, and applies them to this node.
func (l *Link) addSpeedsToHeartbeat(m *message, readAt time.Time) {
	l.opt.Board.AddSpeedReport(l.opt.Board.SpeedReport())
	m.Speeds = l.opt.Board.AnnounceSpeeds()
	l.opt.Board.ApplySpeeds(m.Speeds, readAt)
}
