package peer

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

var (
	keyA          = Key{ID: 1, Secret: []byte("0123456789abcdef-a")}
	keyB          = Key{ID: 2, Secret: []byte("0123456789abcdef-b")}
	discardLogger = slog.New(slog.DiscardHandler)
)

type fakePeer struct {
	peerpb.Peer
	calls     int
	started   chan struct{}
	cancelled chan struct{}
}

func (f *fakePeer) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	f.calls++
	return &peerpb.FetchConfigReply{Version: r.HaveVersion + 1}, nil
}

func (f *fakePeer) Acquire(ctx context.Context, _ *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	close(f.started)
	<-ctx.Done()
	close(f.cancelled)
	return nil, ctx.Err()
}

func newTestKeyring(t *testing.T, keys ...Key) *Keyring {
	t.Helper()
	k, err := NewKeyring(keys...)
	require.NoError(t, err)
	return k
}

func newAuth(k *Keyring, address string, now *time.Time) *Auth {
	return NewAuth(AuthOptions{Keyring: k, Address: address, Logger: discardLogger, Now: func() time.Time { return *now }})
}

// Guards against refused calls while keys are rotated, and against accepted calls with a wrong key.
func TestCallsDuringKeyRotation(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		caller, callee []Key
		accepted       bool
	}{
		"same key":                 {[]Key{keyA}, []Key{keyA}, true},
		"callee accepts new key":   {[]Key{keyA}, []Key{keyA, keyB}, true},
		"caller signs with new":    {[]Key{keyB, keyA}, []Key{keyA, keyB}, true},
		"callee dropped old":       {[]Key{keyB, keyA}, []Key{keyB}, true},
		"unknown key":              {[]Key{keyB}, []Key{keyA}, false},
		"same id, other secret":    {[]Key{{ID: 1, Secret: keyB.Secret}}, []Key{keyA}, false},
		"old key removed too soon": {[]Key{keyA}, []Key{keyB}, false},
	} {
		t.Run(name, func(t *testing.T) {
			callee := newAuth(newTestKeyring(t, c.callee...), "", &now)
			server := startTestServer(NewServer(&fakePeer{}, callee))
			defer server.Close()
			pool := NewPool(newAuth(newTestKeyring(t, c.caller...), "", &now))
			defer pool.Close()
			reply, err := pool.Client(strings.TrimPrefix(server.URL, "http://")).FetchConfig(t.Context(), &peerpb.FetchConfigRequest{HaveVersion: 6})
			assert.Equal(t, c.accepted, err == nil, "error: %v", err)
			if c.accepted {
				assert.EqualValues(t, 7, reply.Version)
				assert.Zero(t, callee.Refused())
			} else {
				assert.EqualValues(t, 1, callee.Refused())
			}
		})
	}
}

// signedCall returns a valid call to the node at address.
func signedCall(t *testing.T, k *Keyring, address string, now *time.Time) (*http.Request, []byte) {
	t.Helper()
	body, err := proto.Marshal(&peerpb.FetchConfigRequest{HaveVersion: 1})
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, "http://"+address+"/twirp/cassiawall.peer.Peer/FetchConfig", bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/protobuf")
	newAuth(k, "", now).signCall(r, address, body)
	return r, body
}

// flipBit flips one bit of byte i of the authentication header.
func flipBit(r *http.Request, i int) {
	value, _ := base64.RawURLEncoding.DecodeString(r.Header.Get(headerAuth))
	value[i] ^= 1
	r.Header.Set(headerAuth, base64.RawURLEncoding.EncodeToString(value))
}

// Guards against accepting calls that somebody without a key alters, replays, delays or redirects to
// another node.
func TestAlteredCallsAreRefused(t *testing.T) {
	k := newTestKeyring(t, keyA)
	for name, alter := range map[string]func(r *http.Request, now *time.Time){
		"other body":      func(r *http.Request, _ *time.Time) { r.Body = io.NopCloser(strings.NewReader("\x08\x02")) },
		"other method":    func(r *http.Request, _ *time.Time) { r.URL.Path = "/twirp/cassiawall.peer.Peer/Bootstrap" },
		"other node":      func(r *http.Request, _ *time.Time) { r.Host = "10.0.0.2:7000" },
		"other key":       func(r *http.Request, _ *time.Time) { flipBit(r, 3) },
		"other time":      func(r *http.Request, _ *time.Time) { flipBit(r, 11) },
		"other nonce":     func(r *http.Request, _ *time.Time) { flipBit(r, 12) },
		"other code":      func(r *http.Request, _ *time.Time) { flipBit(r, 35) },
		"no signature":    func(r *http.Request, _ *time.Time) { r.Header.Del(headerAuth) },
		"short signature": func(r *http.Request, _ *time.Time) { r.Header.Set(headerAuth, r.Header.Get(headerAuth)[:40]) },
		"too old":         func(_ *http.Request, now *time.Time) { *now = now.Add(ReplayWindow + time.Second) },
		"from the future": func(_ *http.Request, now *time.Time) { *now = now.Add(-ReplayWindow - time.Second) },
		"too large": func(r *http.Request, _ *time.Time) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", maxCallBytes+1)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			impl := &fakePeer{}
			callee := newAuth(k, "10.0.0.1:7000", &now)
			r, _ := signedCall(t, k, "10.0.0.1:7000", &now)
			alter(r, &now)
			w := httptest.NewRecorder()
			NewServer(impl, callee).ServeHTTP(w, r)
			assert.Equal(t, http.StatusUnauthorized, w.Code)
			assert.Zero(t, impl.calls)
			assert.EqualValues(t, 1, callee.Refused())
		})
	}
}

// Guards against accepting a captured call that is replayed, at any time within 200 s.
func TestReplayedCallIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newTestKeyring(t, keyA)
	impl := &fakePeer{}
	callee := newAuth(k, "10.0.0.1:7000", &now)
	handler := NewServer(impl, callee)
	r, body := signedCall(t, k, "10.0.0.1:7000", &now)
	for step := range 200 {
		replayed := r.Clone(t.Context())
		replayed.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(httptest.NewRecorder(), replayed)
		require.Equal(t, 1, impl.calls, "accepted again after %d s", step)
		now = now.Add(time.Second)
	}
	assert.EqualValues(t, 199, callee.Refused())
}

// Guards against accepting a reply, such as a configuration or a slot, from a process without a key.
func TestForgedReplyIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	forger := startTestServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		body, _ := proto.Marshal(&peerpb.FetchConfigReply{Version: 99})
		_, _ = w.Write(body)
	}))
	defer forger.Close()
	pool := NewPool(newAuth(newTestKeyring(t, keyA), "", &now))
	defer pool.Close()
	_, err := pool.Client(strings.TrimPrefix(forger.URL, "http://")).FetchConfig(t.Context(), &peerpb.FetchConfigRequest{})
	assert.Error(t, err)
}

// Guards against calls that stay queued on the callee after the caller has cancelled them.
func TestCancellationPropagatesToCallee(t *testing.T) {
	now := time.Unix(1000, 0)
	impl := &fakePeer{started: make(chan struct{}), cancelled: make(chan struct{})}
	server := startTestServer(NewServer(impl, newAuth(newTestKeyring(t, keyA), "", &now)))
	defer server.Close()
	pool := NewPool(newAuth(newTestKeyring(t, keyA), "", &now))
	defer pool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-impl.started
		cancel()
	}()
	_, err := pool.Client(strings.TrimPrefix(server.URL, "http://")).Acquire(ctx, &peerpb.AcquireRequest{})
	require.Error(t, err)
	<-impl.cancelled
}

// Guards against a queued call that waits until its deadline when the callee's VM loses power, and
// against refused calls to a member that has recovered.
func TestCallsToUnavailableMembersAreCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		state blackboard.MemberState
		after time.Duration
	}{
		"suspect": {blackboard.MemberSuspect, suspectGrace},
		"left":    {blackboard.MemberLeft, suspectGrace},
		"dead":    {blackboard.MemberDead, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := blackboard.New()
				put := func(state blackboard.MemberState) {
					board.Members.Put("m", blackboard.MemberEntry{Name: "m", RPCAddress: "m:1", State: state}, blackboard.Evidence{})
					synctest.Wait()
				}
				p := &Pool{canceller: newCallCanceller()}
				go func() { _ = p.WatchMembers(t.Context(), board) }()
				put(blackboard.MemberAlive)
				call, done := p.canceller.attach(t.Context(), "m:1")
				defer done()
				put(c.state)
				assert.Equal(t, c.after == 0, call.Err() != nil)
				time.Sleep(c.after)
				synctest.Wait()
				assert.Error(t, call.Err())
				refused, done := p.canceller.attach(t.Context(), "m:1")
				defer done()
				synctest.Wait()
				assert.Error(t, refused.Err())
				put(blackboard.MemberAlive)
				recoveredCtx, done := p.canceller.attach(t.Context(), "m:1")
				defer done()
				put(blackboard.MemberSuspect)
				put(blackboard.MemberAlive)
				time.Sleep(10 * suspectGrace)
				assert.NoError(t, recoveredCtx.Err(), "a refuted suspicion ends no call")
				other, done := p.canceller.attach(t.Context(), "unknown:1")
				defer done()
				assert.NoError(t, other.Err())
			})
		})
	}
}

// Guards against key settings that weaken or break authentication.
func TestKeyringRefusesBadKeys(t *testing.T) {
	for name, keys := range map[string][]Key{
		"none":      {},
		"three":     {keyA, keyB, {ID: 3, Secret: keyA.Secret}},
		"same id":   {keyA, {ID: 1, Secret: keyB.Secret}},
		"too short": {{ID: 1, Secret: []byte("short")}},
	} {
		_, err := NewKeyring(keys...)
		assert.Error(t, err, name)
	}
}
