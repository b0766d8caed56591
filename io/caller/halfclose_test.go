package caller

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cactuswell/core/profile"
)

// silentBackend takes every call and answers none.
type silentBackend struct {
	Backend
	profile   profile.Profile
	submitted chan struct{}
}

func (b *silentBackend) Profile(string) (profile.Profile, bool) { return b.profile, true }
func (b *silentBackend) NewRequestID() string                   { return "request-1" }
func (b *silentBackend) Accepting() (bool, string)              { return true, "" }

func (b *silentBackend) Submit(context.Context, Submission) *Answer {
	close(b.submitted)
	return NewAnswer()
}

// TestHalfClosedCallerGetsNoEmptyAnswer guards against an empty 200 for a call whose answer has not arrived when
// its caller closes its sending side.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		kind             profile.Kind
	}{
		{name: "call", path: "/v1/services/hold", body: "{}", kind: profile.KindService},
		{name: "chat", path: "/v1/chat/completions", body: `{"messages":[{}]}`, kind: profile.KindModel},
		{name: "streamed chat", path: "/v1/chat/completions", body: `{"stream":true,"messages":[{}]}`, kind: profile.KindModel},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, err := profile.New(profile.Spec{Name: "hold", Class: "hold", Kind: test.kind, Pool: "holds", TargetMs: 1000})
			if err != nil {
				t.Fatal(err)
			}
			backend := &silentBackend{
				profile:   p,
				submitted: make(chan struct{}),
			}
			server := httptest.NewServer(New(backend, Limits{MaxBodyBytes: 1 << 10}).Handler())
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			request.Header.Set(HeaderProfile, "hold")
			if err := request.Write(conn); err != nil {
				t.Fatal(err)
			}
			<-backend.submitted
			_ = conn.(*net.TCPConn).CloseWrite()
			if response, err := http.ReadResponse(bufio.NewReader(conn), request); err == nil {
				t.Errorf("the caller got status %d", response.StatusCode)
			}
		})
	}
}
