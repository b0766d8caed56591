package opaque

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestFingerprintTellsRequestsApart guards against requests that are taken for each other, and
// against a repeated request that is not recognized.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	fingerprint := func(method, target, host, team, body, id string) uint64 {
		request := httptest.NewRequest(method, target, nil)
		request.Host = host
		request.RequestURI = target
		request.Header.Set("X-Request-Id", id)
		x := &exchange{
			request: request,
			team:    team,
			body:    buffer{bytes: []byte(body)},
		}
		return x.fingerprint()
	}
	original := fingerprint("POST", "/hold/1?q=2", "rooms.example", "a", "body", "1")
	if got := fingerprint("POST", "/hold/1?q=2", "Rooms.Example", "a", "body", "2"); got != original {
		t.Error("a repeated request has another fingerprint")
	}
	others := map[string]uint64{
		"method": fingerprint("PUT", "/hold/1?q=2", "rooms.example", "a", "body", "1"),
		"target": fingerprint("POST", "/hold/1?q=3", "rooms.example", "a", "body", "1"),
		"host":   fingerprint("POST", "/hold/1?q=2", "rooms2.example", "a", "body", "1"),
		"team":   fingerprint("POST", "/hold/1?q=2", "rooms.example", "b", "body", "1"),
		"body":   fingerprint("POST", "/hold/1?q=2", "rooms.example", "a", "bodies", "1"),
		"border": fingerprint("POST", "/hold/1?q=2", "rooms.example", "ab", "ody", "1"),
	}
	seen := map[uint64]string{original: "original"}
	for name, value := range others {
		if other, ok := seen[value]; ok {
			t.Errorf("%s and %s have the same fingerprint", name, other)
		}
		seen[value] = name
	}
}

func BenchmarkFingerprint(b *testing.B) {
	request := httptest.NewRequest(http.MethodPost, "/draft/1", nil)
	x := &exchange{
		request: request,
		team:    "team",
		body:    buffer{bytes: make([]byte, 17000)},
	}
	for b.Loop() {
		x.fingerprint()
	}
}
