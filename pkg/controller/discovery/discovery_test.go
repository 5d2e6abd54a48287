package discovery

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/vms"
)

func liveVM(name string) vms.VM {
	return vms.VM{Name: name, Address: name + ":1", Role: vms.RoleEngine, State: vms.Live}
}

func leavingVM(name string) vms.VM {
	vm := liveVM(name)
	vm.State = vms.Leaving
	return vm
}

// repeatList returns n equal lists.
func repeatList(n int, list ...vms.VM) [][]vms.VM {
	lists := make([][]vms.VM, n)
	for i := range lists {
		lists[i] = list
	}
	return lists
}

// Guards against an engine that still counts as usable when it is leaving, and against a pool that an
// incomplete or flapping VM list empties. Each case is a sequence of VM lists, one a second.
func TestVMListSequences(t *testing.T) {
	a, b := liveVM("a"), liveVM("b")
	cases := []struct {
		name    string
		lists   [][]vms.VM
		known   []string
		leaving []string
	}{
		{"one leaving report marks an engine as leaving", [][]vms.VM{{a, b}, {a, leavingVM("b")}}, []string{"a", "b"}, []string{"b"}},
		{"one live report does not clear leaving", [][]vms.VM{{a, b}, {a, leavingVM("b")}, {a, b}}, []string{"a", "b"}, []string{"b"}},
		{"flapping engine stays leaving", append([][]vms.VM{{a, leavingVM("b")}, {a, b}, {a, b}, {a, leavingVM("b")}}, repeatList(9, a, b)...), []string{"a", "b"}, []string{"b"}},
		{"steady live reports clear leaving", append([][]vms.VM{{a, leavingVM("b")}}, repeatList(12, a, b)...), []string{"a", "b"}, nil},
		{"empty list is ignored", [][]vms.VM{{a, b}, {}, {}, {}, {}}, []string{"a", "b"}, nil},
		{"missing from two lists is kept", [][]vms.VM{{a, b}, {a}, {a}}, []string{"a", "b"}, nil},
		{"missing from three lists is removed", [][]vms.VM{{a, b}, {a}, {a}, {a}}, []string{"a"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			board := blackboard.New()
			controller := New(Options{Board: board, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
			for i, list := range c.lists {
				controller.ApplyList(time.Unix(int64(i), 0), list)
			}
			var known, leaving []string
			for id, e := range board.Engines.Snapshot() {
				known = append(known, id)
				if e.Value.Leaving {
					leaving = append(leaving, id)
				}
			}
			assert.ElementsMatch(t, c.known, known)
			assert.ElementsMatch(t, c.leaving, leaving)
		})
	}
}

// Guards against backend servers that stay in use after they were removed from the configuration.
func TestConfiguredBackendServers(t *testing.T) {
	board := blackboard.New()
	controller := New(Options{Board: board, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	put := func(addresses ...string) {
		c := &config.Config{Services: []config.Service{{Name: "ratiba", BackendServers: addresses}}}
		board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Config: c}, blackboard.Evidence{})
		controller.Poll(t.Context())
	}
	put("r1:1", "r2:1")
	assert.Equal(t, 2, board.Services.Len())
	put("r2:1")
	_, ok := board.Services.Get(blackboard.ServiceKey{Service: "ratiba", Address: "r1:1"})
	assert.False(t, ok)
}

// Guards against an engine that other nodes than its owner never route to, because its state does not
// reach them except in the owner's summary.
func TestSummarySetsEngineState(t *testing.T) {
	board := blackboard.New()
	controller := New(Options{Board: board, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	controller.ApplyList(time.Unix(0, 0), []vms.VM{liveVM("a")})
	board.Summaries.Put("a", blackboard.SummaryEntry{Incarnation: "i1", Model: "lugha", WeightsVersion: "v1"},
		blackboard.Evidence{Writer: "gossip", ObservedAt: time.Unix(1, 0)})
	controller.applySummaries()
	e, _ := board.Engines.Get("a")
	assert.True(t, e.Value.HasState)
	assert.Equal(t, "i1", e.Value.State.Incarnation)
}
