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

// ConfigReply answers FetchConfig from the blackboard. The document is left out when the caller
// has the version already.
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

// FetchConfig answers FetchConfig from the blackboard. A caller that has parts of a long document
// gets only the others.
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

// JoinConfig returns the document of a reply to FetchConfig, with the parts that the caller had
// taken from its own document. The error is of kind fault.InvalidConfiguration; asking for the
// whole document helps.
func JoinConfig(reply *peerpb.FetchConfigReply, own []byte) ([]byte, error) {
	if len(reply.Parts) == 0 {
		return reply.Document, nil
	}
	if len(reply.Digest) != len(configsync.PartID{}) {
		return nil, fault.New(fault.InvalidConfiguration, "configuration digest has %d bytes", len(reply.Digest))
	}
	known := map[uint64][]byte{}
	for _, p := range configsync.Split(own) {
		known[p.ID.Short()] = p.Content
	}
	contents := make([][]byte, len(reply.Parts))
	for i, p := range reply.Parts {
		contents[i] = known[p.Id]
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

// PartIDs returns what a caller with the document puts into FetchConfigRequest.HaveParts.
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

// Bootstrap answers a restarted node from the blackboard. prefixes are the soft prefixes of
// package placement, which the blackboard does not hold.
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

// ImportBootstrap writes a peer's reply into the blackboard. It never replaces newer entries.
// A configuration is taken over only if its version is higher than the one in force; stale
// reports a lower one. The error is of kind fault.InvalidConfiguration; everything else of the
// reply is imported all the same.
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
// stale reports a lower version, which is ignored. The error is of kind
// fault.InvalidConfiguration.
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
