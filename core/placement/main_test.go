package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the properties, so that every run gives the same
// verdict; -rapid.seed on the command line still overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	flag.Parse()
	os.Exit(m.Run())
}
