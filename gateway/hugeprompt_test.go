package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestHostWithHugePromptIsHeard guards against a caller's number of tokens that keeps the other hosts from reading a host's reports.
func TestHostWithHugePromptIsHeard(t *testing.T) {
	f := newFixture(t, 3)
	second := f.startSecondHost(f.log.NewClient())
	eventually(t, "the second host knows the first", func() bool {
		return strings.Contains(second.logLines.String(), `"event":"budgetShared"`)
	})
	request := f.request(http.MethodPost, "/draft/stream", []byte("x"))
	request.Header.Set("Cactuswell-Tokens", "1000000000,50")
	if got := f.do(request); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	// The reports of a few seconds, longer than it takes until a host counts as silent.
	const reports = 12
	before := f.metric(t, "cactuswell_peer_datagrams_total")
	eventually(t, "the host sends further reports", func() bool {
		return f.metric(t, "cactuswell_peer_datagrams_total") >= before+reports
	})
	if strings.Contains(second.logLines.String(), `"event":"hostSilent"`) {
		t.Error("the second host takes the first one for silent")
	}
}

// metric returns the value of one of the host's metrics.
func (f *fixture) metric(t *testing.T, name string) float64 {
	t.Helper()
	_, text, _ := strings.Cut("\n"+f.metrics(), "\n"+name+" ")
	var value float64
	if _, err := fmt.Sscan(text, &value); err != nil {
		t.Fatalf("metric %s: %v", name, err)
	}
	return value
}
