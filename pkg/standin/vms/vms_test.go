package vms

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/vms"
)

func stateOf(t *testing.T, l vms.Lister, name string) vms.State {
	list, err := l.List(t.Context())
	require.NoError(t, err)
	for _, vm := range list {
		if vm.Name == name {
			return vm.State
		}
	}
	return ""
}

// Guards against a client that drops a field of the list or reports an outage as an empty list.
func TestClientAgainstStandIn(t *testing.T) {
	list := New(nil)
	server := httptest.NewServer(Handler(list))
	defer server.Close()
	post := func(path string, v any) {
		document, err := json.Marshal(v)
		require.NoError(t, err)
		response, err := http.Post(server.URL+path, "application/json", bytes.NewReader(document))
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, response.StatusCode)
		require.NoError(t, response.Body.Close())
	}
	want := []vms.VM{
		{Name: "a", Address: "10.0.0.1:80", DataCentre: "dar-a", Role: vms.RoleService, Service: "ratiba", State: vms.Live},
		{Name: "b", Address: "10.0.0.2:80", DataCentre: "dar-b", Role: vms.RoleEngine, State: vms.Leaving},
	}
	post("/admin/vms", want)
	client := vms.NewClient(server.URL, server.Client())
	got, err := client.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, want, got)

	post("/admin/faults", Faults{Missing: []string{"a"}, Flapping: []string{"b"}})
	states := map[vms.State]bool{stateOf(t, client, "b"): true, stateOf(t, client, "b"): true}
	assert.Len(t, states, 2, "b flaps")
	assert.Empty(t, stateOf(t, client, "a"))

	post("/admin/faults", Faults{Outage: true})
	_, err = client.List(t.Context())
	assert.True(t, fault.Is(err, fault.PlatformUnavailable), err)
}

// Guards against a list that shows a change immediately, which the platform's list does not.
func TestListLagsBehindChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New([]vms.VM{{Name: "a", State: vms.Live}})
		l.SetFaults(Faults{Lag: 10 * time.Second})
		assert.True(t, l.SetState("a", vms.Leaving))
		assert.False(t, l.SetState("unknown", vms.Leaving))
		time.Sleep(9 * time.Second)
		assert.Equal(t, vms.Live, stateOf(t, l, "a"))
		time.Sleep(time.Second)
		assert.Equal(t, vms.Leaving, stateOf(t, l, "a"))
	})
}
