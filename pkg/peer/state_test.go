package peer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// longDocument returns a valid configuration of more than one part.
func longDocument(workspaces int, comment string) []byte {
	var b strings.Builder
	b.WriteString("models:\n  - {name: m, weights_version: v1}\nworkspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  - name: w%05d\n    api_key_hashes: [%064x]\n    models: [m]\n", i, i+1)
		if i == workspaces/2 {
			b.WriteString(comment)
		}
	}
	return []byte(b.String())
}

func boardWith(t *testing.T, version uint64, document []byte) *blackboard.Board {
	t.Helper()
	board := blackboard.New()
	_, err := StoreConfig(board, version, document, blackboard.Evidence{})
	require.NoError(t, err)
	return board
}

// Guards against sending a whole document for a small change, and against joining parts into a wrong
// document.
func TestFetchConfigSendsMissingPartsOnly(t *testing.T) {
	before, after := longDocument(3000, ""), longDocument(3000, "    weight: 3\n")
	board := boardWith(t, 7, after)
	reply := FetchConfig(board, &peerpb.FetchConfigRequest{HaveVersion: 6, HaveParts: PartIDs(before)})
	assert.EqualValues(t, 7, reply.Version)
	assert.Empty(t, reply.Document)
	sent := 0
	for _, p := range reply.Parts {
		if len(p.Content) > 0 {
			sent++
		}
	}
	assert.LessOrEqual(t, sent, 2)
	assert.Greater(t, len(reply.Parts), sent)
	document, err := JoinConfig(reply, before)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(after, document))
	_, err = JoinConfig(reply, longDocument(3000, "    weight: 4\n")[1:])
	assert.True(t, fault.Is(err, fault.InvalidConfiguration), "the caller has another document")
	assert.Equal(t, after, FetchConfig(board, &peerpb.FetchConfigRequest{HaveVersion: 6}).Document)
	assert.Empty(t, FetchConfig(board, &peerpb.FetchConfigRequest{HaveVersion: 7, HaveParts: PartIDs(before)}).Parts)
}

// Guards against state that is lost between a node and a restarted one, and against a reply that
// replaces newer entries.
func TestBootstrapRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	from := boardWith(t, 9, longDocument(2, ""))
	from.Members.Put("a", blackboard.MemberEntry{Name: "a", GossipAddress: "a:1", State: blackboard.MemberAlive, Incarnation: 3}, blackboard.Evidence{})
	from.Members.Put("d", blackboard.MemberEntry{Name: "d", GossipAddress: "d:1", State: blackboard.MemberDead}, blackboard.Evidence{})
	for engine, version := range map[string]uint64{"e1": 5, "e2": 5} {
		from.Summaries.Put(engine, blackboard.SummaryEntry{Owner: "a", Incarnation: "i", Version: version, Running: 4}, blackboard.Evidence{})
	}
	reply := Bootstrap(from, []*peerpb.SoftPrefix{{Key: 1}})
	assert.Len(t, reply.Prefixes, 1)

	to := blackboard.New()
	to.Summaries.Put("e2", blackboard.SummaryEntry{Owner: "b", Incarnation: "i", Version: 6}, blackboard.Evidence{})
	stale, err := ImportBootstrap(to, reply, "a", now)
	require.NoError(t, err)
	assert.False(t, stale)
	config, _ := to.Config.Get(blackboard.ConfigKey)
	assert.EqualValues(t, 9, config.Value.Version)
	assert.Len(t, config.Value.Config.Workspaces, 2)
	member, _ := to.Members.Get("a")
	assert.Equal(t, "a:1", member.Value.GossipAddress)
	assert.Equal(t, BootstrapSource, member.Evidence.Source)
	_, imported := to.Members.Get("d")
	assert.False(t, imported, "dead members are not imported")
	e1, _ := to.Summaries.Get("e1")
	e2, _ := to.Summaries.Get("e2")
	assert.Equal(t, 4, e1.Value.Running)
	assert.Equal(t, "b", e2.Value.Owner)

	newer := boardWith(t, 10, longDocument(3, ""))
	stale, err = ImportBootstrap(newer, reply, "a", now)
	require.NoError(t, err)
	assert.True(t, stale)
	config, _ = newer.Config.Get(blackboard.ConfigKey)
	assert.EqualValues(t, 10, config.Value.Version)
}
