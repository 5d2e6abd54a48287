package service

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Guards against a request that is sent although beforeSend refused it. The permission to send can
// expire while the connection is being made.
func TestSendOnceSendsNothingWhenRefused(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	refused := fault.New(fault.PlatformUnavailable, "the claim is too old")
	_, err := NewClient().SendOnce(t.Context(), server.Listener.Addr().String(), &Request{Method: http.MethodPost, Target: "/book", Header: http.Header{}},
		func() error { return refused })
	server.Close()
	assert.ErrorIs(t, err, refused)
	assert.Zero(t, calls)
}
