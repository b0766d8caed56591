package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cactuswell/standin/keyedlog"
)

// TestLargeEntriesDoNotSeparateHosts guards against hosts that get no endpoints from others, because odd entries make the whole too large.
func TestLargeEntriesDoNotSeparateHosts(t *testing.T) {
	f := newFixture(t, 1)
	// As many of the largest records as exceed a response of another host.
	for i := range 40 {
		f.log.Append(endpointTopic, fmt.Sprintf("odd-%d", i), []byte(strings.Repeat("x", 256<<10)))
	}
	eventually(t, "the odd entries are read", func() bool {
		return strings.Contains(f.logLines.String(), `"endpoint":"odd-39"`)
	})
	client := f.log.NewClient()
	client.SetFault(keyedlog.Refusal{})
	second := f.startSecondHost(client)
	if got := second.get("/lookup/x"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	f.addEndpoint(service, 7)
	eventually(t, "the second host follows", func() bool {
		return strings.Contains(second.logLines.String(), `"endpoint":"booking-7"`)
	})
	for _, line := range strings.Split(f.logLines.String(), "\n") {
		if strings.Contains(line, `"endpoint":"odd-0"`) && !strings.Contains(line, "262144 bytes") {
			t.Errorf("the line does not tell why: %s", line)
		}
	}
}
