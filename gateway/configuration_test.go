package gateway_test

import "testing"

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
