package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against an engine whose response head never ends, and that fills the memory of the node.
func TestEndlessHeadOfAnEngineTakesLittleMemory(t *testing.T) {
	client := newEngineClients().clientFor(rawserver.Serve(t, rawserver.WriteEndlessHead))
	for name, call := range map[string]func() error{
		"state":    func() error { _, err := client.State(t.Context()); return err },
		"generate": func() error { _, err := client.Generate(t.Context(), &engine.Request{ID: "r"}); return err },
	} {
		t.Run(name, func(t *testing.T) {
			assert.Less(t, rawserver.AllocatedBytes(func() { assert.Error(t, call()) }), uint64(2<<20))
		})
	}
}
