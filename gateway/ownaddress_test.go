package gateway_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestEntryWithAddressOfHostIsRefused guards against calls that a host sends to itself, again and again, because an entry names its address.
func TestEntryWithAddressOfHostIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	f.spec.Version++
	for i := range f.spec.Routes {
		f.spec.Routes[i].Public = true
	}
	f.publishConfiguration()
	f.publishEndpoint("callers", service, f.gateway.CallerAddress(), false)
	f.publishEndpoint("ready", service, f.gateway.ReadyAddress(), false)
	f.awaitLine(`"event":"entryUnreadable"`, `"endpoint":"callers"`)
	f.awaitLine(`"event":"entryUnreadable"`, `"endpoint":"ready"`)
	f.awaitLine(`"event":"configurationTaken"`, `"version":2`)
	for range 8 {
		request := f.request(http.MethodPost, "/hold/x", []byte("x"))
		if got := f.do(request); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	if strings.Contains(f.logLines.String(), `"event":"endpointAppeared","host":"host-1","endpoint":"callers"`) {
		t.Error("the host is its own endpoint")
	}
}
