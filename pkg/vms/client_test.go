package vms

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an odd entry of another writer after which a node no longer follows the VM list.
func TestOddEntryOfTheListHidesNoOther(t *testing.T) {
	odd := map[string]string{
		"nested very deeply": `{"name":"x","address":"h:1","odd":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"number":             `{"name":1e999,"address":"h:1"}`,
		"port out of range":  `{"name":"x","address":"h:70000"}`,
		"no port":            `{"name":"x","address":"h"}`,
		"not an object":      `7`,
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `[{"name":"a","address":"h:1","role":"engine"},%s,{"name":"b","address":"h:2","role":"node"}]`, entry)
			}))
			defer server.Close()
			client := NewClient(server.URL, server.Client())
			skipped := 0
			client.OnSkip = func(error) { skipped++ }
			list, err := client.List(t.Context())
			require.NoError(t, err)
			require.Len(t, list, 2)
			assert.Equal(t, "b", list[1].Name)
			assert.Equal(t, 1, skipped)
		})
	}
}
