package peer

import (
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// MemberProto converts a member to its message.
func MemberProto(m blackboard.MemberEntry) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Name:          m.Name,
		GossipAddress: m.GossipAddress,
		RpcAddress:    m.RPCAddress,
		DataCentre:    m.DataCentre,
		Region:        m.Region,
		Incarnation:   m.Incarnation,
		State:         peerpb.MemberUpdate_State(m.State),
		ConfigVersion: m.ConfigVersion,
		Draining:      m.Draining,
	}
}

// MemberFromProto converts a message to a member.
func MemberFromProto(u *peerpb.MemberUpdate) blackboard.MemberEntry {
	return blackboard.MemberEntry{
		Name:          u.Name,
		GossipAddress: u.GossipAddress,
		RPCAddress:    u.RpcAddress,
		DataCentre:    u.DataCentre,
		Region:        u.Region,
		Incarnation:   u.Incarnation,
		State:         blackboard.MemberState(u.State),
		ConfigVersion: u.ConfigVersion,
		Draining:      u.Draining,
	}
}

// SummaryProto converts an engine's summary to its message.
func SummaryProto(engine string, e blackboard.SummaryEntry) *peerpb.EngineSummary {
	return &peerpb.EngineSummary{
		Engine:         engine,
		Incarnation:    e.Incarnation,
		Owner:          e.Owner,
		Running:        uint32(e.Running),
		Queued:         uint32(e.Queued),
		BacklogTokens:  uint32(e.BacklogTokens),
		PrefillRate:    uint32(e.PrefillRate),
		StepUs:         uint32(e.StepTime.Microseconds()),
		Leaving:        e.Leaving,
		Doubtful:       e.Suspect,
		Version:        e.Version,
		Model:          e.Model,
		WeightsVersion: e.WeightsVersion,
	}
}

// SummaryFromProto converts a message to an engine's summary.
func SummaryFromProto(u *peerpb.EngineSummary) blackboard.SummaryEntry {
	return blackboard.SummaryEntry{
		Owner:          u.Owner,
		Incarnation:    u.Incarnation,
		Running:        int(u.Running),
		Queued:         int(u.Queued),
		BacklogTokens:  int(u.BacklogTokens),
		PrefillRate:    float64(u.PrefillRate),
		StepTime:       time.Duration(u.StepUs) * time.Microsecond,
		Leaving:        u.Leaving,
		Suspect:        u.Doubtful,
		Version:        u.Version,
		Model:          u.Model,
		WeightsVersion: u.WeightsVersion,
	}
}
