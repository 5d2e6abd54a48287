package owner

import (
	"time"

	"cassiawall.example/cassiawall/pkg/admission"
	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// CopyOptions describes the cost of copying cached blocks from another engine, which is compared
// with the cost of computing them.
type CopyOptions struct {
	// TokensPerSecond is the throughput of an export followed by an import. 0 disables copies.
	TokensPerSecond float64
	// Overhead is the time that a copy takes in addition, independent of its size.
	Overhead time.Duration
}

// minCopySpeedup is the factor by which a copy must be faster than prefill to be suggested, because
// a copy also loads the source engine.
const minCopySpeedup = 2

// copySource returns the engine from which to copy the cached prefix of the prompt, or "" if no copy
// is available or worth its cost.
func (e *ownedEngine) copySource(p *pendingPrompt) string {
	o := &e.owner.options
	if o.CopySource == nil || o.Copy.TokensPerSecond <= 0 || p.cachedPieces == len(p.prefixHashes) {
		return ""
	}
	source, pieces := o.CopySource(p.prefixHashes, e.id)
	if source == "" || pieces <= p.cachedPieces {
		return ""
	}
	tokens := float64(p.tokensOfFirst(pieces) - p.tokensOfFirst(p.cachedPieces))
	prefill := tokens / e.queue.Rates().PrefillRate()
	transfer := tokens/o.Copy.TokensPerSecond + o.Copy.Overhead.Seconds()
	if transfer*minCopySpeedup > prefill {
		return ""
	}
	return source
}

func verdictOf(v admission.Verdict) peerpb.AcquireReply_Verdict {
	switch v {
	case admission.Granted:
		return peerpb.AcquireReply_GRANTED
	case admission.Declined:
		return peerpb.AcquireReply_DECLINED
	case admission.DeadlineMissed:
		return peerpb.AcquireReply_DEADLINE
	case admission.QueueFull:
		return peerpb.AcquireReply_QUEUE_FULL
	}
	return peerpb.AcquireReply_DECLINED
}

func summaryProto(id string, s blackboard.SummaryEntry) *peerpb.EngineSummary {
	return &peerpb.EngineSummary{
		Engine:         id,
		Incarnation:    s.Incarnation,
		Owner:          s.Owner,
		Running:        uint32(s.Running),
		Queued:         uint32(s.Queued),
		BacklogTokens:  uint32(s.BacklogTokens),
		PrefillRate:    uint32(s.PrefillRate),
		StepUs:         uint32(s.StepTime.Microseconds()),
		Leaving:        s.Leaving,
		Doubtful:       s.Suspect,
		Version:        s.Version,
		Model:          s.Model,
		WeightsVersion: s.WeightsVersion,
	}
}

func ms(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }
