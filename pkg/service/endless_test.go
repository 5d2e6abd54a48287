package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a backend server whose response head never ends, and that fills the memory of the node.
func TestEndlessHeadTakesLittleMemory(t *testing.T) {
	address, client := rawserver.Serve(t, rawserver.WriteEndlessHead), NewClient()
	for name, send := range map[string]func(*Request) (*http.Response, error){
		"pooled": func(r *Request) (*http.Response, error) { return client.Send(t.Context(), address, r) },
		"once": func(r *Request) (*http.Response, error) {
			return client.SendOnce(t.Context(), address, r, func() error { return nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			allocated := rawserver.AllocatedBytes(func() {
				_, err := send(&Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
				assert.Error(t, err)
			})
			assert.Less(t, allocated, uint64(2<<20))
		})
	}
}
