package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// Guards against an entry of another writer that ends the nodes, or after which they no longer follow the list of backend
// servers.
func TestOddEntryAmongThoseOfTheBackendServersHidesNoOther(t *testing.T) {
	t.Parallel()
	const entry = `{"service":"plain","address":"127.0.0.1:%s","zone":"a","slots":%s,"state":"ready","seq":1,"born":1,"odd":%s}`
	odd := map[string]string{
		"nested very deeply":          fmt.Sprintf(entry, "9", "4", strings.Repeat("[", 20000)+strings.Repeat("]", 20000)),
		"number too large":            fmt.Sprintf(entry, "9", "1e999", "1"),
		"number of another type":      fmt.Sprintf(entry, "9", "-9223372036854775808", "1"),
		"port out of range":           fmt.Sprintf(entry, "99999", "4", "1"),
		"port zero":                   fmt.Sprintf(entry, "0", "4", "1"),
		"another type":                `[{"address":7}]`,
		"nothing but nested brackets": strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
	}
	f := startFleet(t, 2, func(f *fleet) { f.addPlain(1) })
	for name, spec := range odd {
		f.store.PutRaw(platform.KindServers, "odd "+name, []byte(spec))
		// Each entry could stop the nodes by itself.
		replaced, added := f.engines[len(f.engines)-1], f.addBackend(standin.PlainService, "")
		replaced.Drain()
		time.Sleep(standin.DrainBound)
		replaced.Leave()
		for node := range f.clientAddresses {
			r := f.send(node, standin.Safe, fmt.Sprintf("%s-%s-%d", t.Name(), strings.ReplaceAll(name, " ", "-"), node))
			assert.Equal(t, 200, r.Status, "%s: node %d follows the list", name, node)
		}
		require.Len(t, f.startsAt(added.ID), len(f.clientAddresses), name)
	}
	assert.NotContains(t, f.logs.String(), "task panicked")
}
