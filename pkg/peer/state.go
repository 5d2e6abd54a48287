package peer

import (
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// BootstrapSource is the evidence source of entries that came with a bootstrap reply.
const BootstrapSource = "bootstrap"

// ConfigReply returns the reply to a FetchConfig call of a caller that has version have. It contains
// the document in force on the blackboard if its version is higher.
func ConfigReply(board *blackboard.Board, have uint64) *peerpb.FetchConfigReply {
	entry, ok := board.Config.Get(blackboard.ConfigKey)
	if !ok {
		return &peerpb.FetchConfigReply{}
	}
	reply := &peerpb.FetchConfigReply{Version: entry.Value.Version}
	if entry.Value.Version > have {
		reply.Document = entry.Value.Document
	}
	return reply
}

// FetchConfig returns the reply to a FetchConfig call from the blackboard. A caller that has parts of a
// long document gets only the other parts.
func FetchConfig(board *blackboard.Board, r *peerpb.FetchConfigRequest) *peerpb.FetchConfigReply {
	reply := ConfigReply(board, r.HaveVersion)
	if len(r.HaveParts) == 0 || len(reply.Document) <= configsync.MaxUnsplitBytes {
		return reply
	}
	have := map[uint64]bool{}
	for _, id := range r.HaveParts {
		have[id] = true
	}
	digest := configsync.IDOf(reply.Document)
	reply.Digest = digest[:]
	for _, p := range configsync.Split(reply.Document) {
		part := &peerpb.ConfigPart{Id: p.ID.Short()}
		if !have[part.Id] {
			part.Content = configsync.Compress(p.Content)
		}
		reply.Parts = append(reply.Parts, part)
	}
	reply.Document = nil
	return reply
}

// JoinConfig returns the document of a reply to FetchConfig. Parts without content are taken from
// own, the document of the caller. The error is of kind fault.InvalidConfiguration; the remedy is to
// fetch the whole document.
func JoinConfig(reply *peerpb.FetchConfigReply, own []byte) ([]byte, error) {
	if len(reply.Parts) == 0 {
		return reply.Document, nil
	}
	if len(reply.Digest) != len(configsync.PartID{}) {
		return nil, fault.New(fault.InvalidConfiguration, "configuration digest has %d bytes, not %d", len(reply.Digest), len(configsync.PartID{}))
	}
	ownParts := map[uint64][]byte{}
	for _, p := range configsync.Split(own) {
		ownParts[p.ID.Short()] = p.Content
	}
	contents := make([][]byte, len(reply.Parts))
	for i, p := range reply.Parts {
		contents[i] = ownParts[p.Id]
		if len(p.Content) == 0 {
			continue
		}
		var err error
		if contents[i], err = configsync.Decompress(p.Content); err != nil {
			return nil, err
		}
	}
	return configsync.Join(configsync.PartID(reply.Digest), contents)
}

// PartIDs returns the shortened ids of the document's parts for FetchConfigRequest.HaveParts, or nil
// for a document that is not split.
func PartIDs(document []byte) []uint64 {
	if len(document) <= configsync.MaxUnsplitBytes {
		return nil
	}
	var ids []uint64
	for _, p := range configsync.Split(document) {
		ids = append(ids, p.ID.Short())
	}
	return ids
}

// Bootstrap returns the reply to the Bootstrap call of a restarted node from the blackboard. prefixes
// are the cached prefixes of the prefix index in package placement, which is not on the blackboard.
func Bootstrap(board *blackboard.Board, prefixes []*peerpb.SoftPrefix) *peerpb.BootstrapReply {
	reply := &peerpb.BootstrapReply{Prefixes: prefixes}
	if entry, ok := board.Config.Get(blackboard.ConfigKey); ok {
		reply.ConfigVersion = entry.Value.Version
		reply.ConfigDocument = entry.Value.Document
	}
	for _, entry := range board.Members.Snapshot() {
		reply.Members = append(reply.Members, MemberProto(entry.Value))
	}
	for engine, entry := range board.Summaries.Snapshot() {
		reply.Engines = append(reply.Engines, SummaryProto(engine, entry.Value))
	}
	slices.SortFunc(reply.Members, func(a, b *peerpb.MemberUpdate) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(reply.Engines, func(a, b *peerpb.EngineSummary) int { return strings.Compare(a.Engine, b.Engine) })
	return reply
}

// ImportBootstrap writes a peer's reply to Bootstrap to the blackboard. It does not replace existing
// members or newer engine summaries, and it ignores members that are dead or have left. The
// configuration is put into force only if its version is higher than the one in force; stale is set
// if it is lower. The error is of kind fault.InvalidConfiguration; the rest of the reply is imported
// nevertheless.
func ImportBootstrap(board *blackboard.Board, reply *peerpb.BootstrapReply, from string, now time.Time) (stale bool, err error) {
	evidence := blackboard.Evidence{Writer: "bootstrap/" + from, Source: BootstrapSource, ObservedAt: now}
	for _, u := range reply.Members {
		importMember(board, u, evidence)
	}
	for _, u := range reply.Engines {
		importSummary(board, u, evidence)
	}
	if reply.ConfigVersion == 0 {
		return false, nil
	}
	return StoreConfig(board, reply.ConfigVersion, reply.ConfigDocument, evidence)
}

func importMember(board *blackboard.Board, u *peerpb.MemberUpdate, evidence blackboard.Evidence) {
	if u.Name == "" || (u.State != peerpb.MemberUpdate_ALIVE && u.State != peerpb.MemberUpdate_SUSPECT) {
		return
	}
	board.Members.Update(u.Name, evidence, func(old blackboard.Entry[blackboard.MemberEntry], ok bool) (blackboard.MemberEntry, bool) {
		return MemberFromProto(u), !ok
	})
}

func importSummary(board *blackboard.Board, u *peerpb.EngineSummary, evidence blackboard.Evidence) {
	if u.Engine == "" || u.Incarnation == "" {
		return
	}
	board.Summaries.Update(u.Engine, evidence, func(old blackboard.Entry[blackboard.SummaryEntry], ok bool) (blackboard.SummaryEntry, bool) {
		return SummaryFromProto(u), !ok || u.Version > old.Value.Version
	})
}

// StoreConfig puts a configuration into force if its version is higher than the one in force.
// stale is set if its version is lower. The error is of kind fault.InvalidConfiguration.
func StoreConfig(board *blackboard.Board, version uint64, document []byte, evidence blackboard.Evidence) (stale bool, err error) {
	current, ok := board.Config.Get(blackboard.ConfigKey)
	if ok && version <= current.Value.Version {
		return version < current.Value.Version, nil
	}
	parsed, err := config.Parse(document)
	if err != nil {
		return false, fault.Wrap(err, fault.InvalidConfiguration, "configuration version %d from %s", version, evidence.Writer)
	}
	board.Config.Update(blackboard.ConfigKey, evidence, func(old blackboard.Entry[blackboard.ConfigEntry], ok bool) (blackboard.ConfigEntry, bool) {
		stale = ok && version < old.Value.Version
		newer := !ok || version > old.Value.Version
		return blackboard.ConfigEntry{Version: version, Document: document, Config: parsed}, newer
	})
	return stale, nil
}
