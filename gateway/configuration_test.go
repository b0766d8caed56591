package gateway_test

import (
	"strings"
	"testing"

	"cactuswell/standin/keyedlog"
)

// TestKnownConfigurationIsNotDecodedAgain guards against processor time for a configuration that comes
// a second time, as after the store has come back from an older copy.
func TestKnownConfigurationIsNotDecodedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.publishRoutes(10)
	f.awaitVersion(2)
	before := f.decoded.Load()
	f.log.Append(configurationTopic, "other", []byte("x"))
	f.log.RewindTopics(map[string]int{configurationTopic: 1})
	f.awaitLine(`"event":"storeRewound"`, `"topic":"configuration"`)
	// The next version comes after the listing of the new era.
	f.publishRoutes(11)
	f.awaitVersion(3)
	if got := f.decoded.Load() - before; got != 1 {
		t.Errorf("%d configurations were decoded for one change", got)
	}
}

// TestStartingHostIsNotReadyWithOlderConfiguration guards against a host that a stale answer of the
// store has given an older configuration, and that accepts calls although it knows of the newer one.
func TestStartingHostIsNotReadyWithOlderConfiguration(t *testing.T) {
	link := newThinLink()
	first := newFixtureBehind(t, &fixture{wrapPeerListener: link.listen}, 1)
	first.publishRoutes(10)
	first.awaitVersion(2)
	link.hold()
	t.Cleanup(link.release)
	log := first.log.NewClient()
	log.SetFault(keyedlog.StaleReads{Missing: 1})
	second := first.startSecondHost(log)
	second.awaitVersion(1)
	eventually(t, "the host knows that it is behind", func() bool {
		return !strings.Contains(second.metrics(), "\ncactuswell_configuration_behind_seconds 0\n")
	})
	if second.isReady() {
		t.Error("the host is ready with an older configuration")
	}
	link.release()
	second.awaitVersion(2)
	eventually(t, "the host is ready", second.isReady)
}
