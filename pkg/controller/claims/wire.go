package claims

import (
	"crypto/sha256"
	"time"

	"github.com/twitchtv/twirp"

	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

func claimToWire(workspace string, op claims.ClaimOp) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Workspace:  workspace,
		Key:        op.Key[:],
		Attempt:    op.Attempt,
		BodyHash:   op.BodyHash[:],
		DeadlineMs: uint32(op.Deadline.Milliseconds()),
	}
}

func claimFromWire(r *peerpb.ClaimRequest, retention time.Duration) (claims.ClaimOp, error) {
	if len(r.Key) != sha256.Size || len(r.BodyHash) != sha256.Size || !claims.ValidAttempt(r.Attempt) {
		return claims.ClaimOp{}, twirp.InvalidArgumentError("claim", "key, body hash or attempt is malformed")
	}
	return claims.ClaimOp{
		Key:       claims.Key(r.Key),
		Attempt:   r.Attempt,
		BodyHash:  [sha256.Size]byte(r.BodyHash),
		Retention: retention,
		Deadline:  time.Duration(r.DeadlineMs) * time.Millisecond,
	}, nil
}

func recordToWire(workspace string, op claims.RecordOp) *peerpb.RecordOutcomeRequest {
	return &peerpb.RecordOutcomeRequest{Workspace: workspace, Key: op.Key[:], Attempt: op.Attempt, Outcome: outcomeToWire(op.Outcome)}
}

func recordFromWire(r *peerpb.RecordOutcomeRequest) (claims.RecordOp, error) {
	state := r.GetOutcome().GetState()
	if len(r.Key) != sha256.Size || !claims.ValidAttempt(r.Attempt) ||
		state < peerpb.Outcome_NOT_SENT || state > peerpb.Outcome_UNKNOWN_RESULT {
		return claims.RecordOp{}, twirp.InvalidArgumentError("outcome", "key, attempt or state is malformed")
	}
	return claims.RecordOp{Key: claims.Key(r.Key), Attempt: r.Attempt, Outcome: outcomeFromWire(r.Outcome)}, nil
}

func outcomeToWire(o claims.Outcome) *peerpb.Outcome {
	return &peerpb.Outcome{
		State:       peerpb.Outcome_State(o.State),
		Status:      uint32(o.Status),
		ContentType: o.ContentType,
		Body:        o.Body,
		BodyDigest:  o.BodyDigest,
		BodyBytes:   uint64(o.BodyBytes),
	}
}

func outcomeFromWire(o *peerpb.Outcome) claims.Outcome {
	return claims.Outcome{
		State:       claims.State(o.GetState()),
		Status:      int(o.GetStatus()),
		ContentType: o.GetContentType(),
		Body:        o.GetBody(),
		BodyDigest:  o.GetBodyDigest(),
		BodyBytes:   int(o.GetBodyBytes()),
	}
}

// wireVerdicts maps the verdicts to those of the peer protocol, localVerdicts maps them back.
var wireVerdicts = map[claims.Verdict]peerpb.ClaimReply_Verdict{
	claims.Granted:      peerpb.ClaimReply_GRANTED,
	claims.Recorded:     peerpb.ClaimReply_RECORDED,
	claims.Unknown:      peerpb.ClaimReply_UNKNOWN,
	claims.BodyConflict: peerpb.ClaimReply_BODY_CONFLICT,
	claims.Unavailable:  peerpb.ClaimReply_UNAVAILABLE,
	claims.InProgress:   peerpb.ClaimReply_IN_PROGRESS,
	claims.Full:         peerpb.ClaimReply_FULL,
}

var localVerdicts = map[peerpb.ClaimReply_Verdict]claims.Verdict{
	peerpb.ClaimReply_GRANTED:       claims.Granted,
	peerpb.ClaimReply_RECORDED:      claims.Recorded,
	peerpb.ClaimReply_UNKNOWN:       claims.Unknown,
	peerpb.ClaimReply_BODY_CONFLICT: claims.BodyConflict,
	peerpb.ClaimReply_UNAVAILABLE:   claims.Unavailable,
	peerpb.ClaimReply_IN_PROGRESS:   claims.InProgress,
	peerpb.ClaimReply_FULL:          claims.Full,
}

func replyToWire(r claims.Reply) *peerpb.ClaimReply {
	reply := &peerpb.ClaimReply{Verdict: wireVerdicts[r.Verdict], Version: r.Version}
	if r.Outcome.State != 0 {
		reply.Outcome = outcomeToWire(r.Outcome)
	}
	return reply
}

// replyFromWire converts a reply from the peer protocol. An unknown verdict becomes Unavailable, which
// never permits sending.
func replyFromWire(r *peerpb.ClaimReply) claims.Reply {
	verdict, ok := localVerdicts[r.GetVerdict()]
	if !ok {
		verdict = claims.Unavailable
	}
	return claims.Reply{Verdict: verdict, Version: r.GetVersion(), Outcome: outcomeFromWire(r.GetOutcome())}
}
