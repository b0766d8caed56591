package configuration_test

import (
	"runtime"
	"testing"

	"go.uber.org/goleak"
)

// TestMain runs the package on one processor. All timers of a synctest bubble
// share one race detector context (runtime.timer.unlockAndRun). If two
// processors poll expired timer channels of a bubble concurrently, the race
// detector crashes ("CHECK failed: tsan_rtl.cpp" or a segmentation fault). On
// one processor it still orders the accesses and detects races.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	goleak.VerifyTestMain(m)
}
