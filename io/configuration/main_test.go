package configuration_test

import (
	"runtime"
	"testing"

	"go.uber.org/goleak"
)

// TestMain runs the package on one processor. All timers of a synctest bubble
// share one context of the race detector (runtime.timer.unlockAndRun); if two
// processors poll expired timer channels of a bubble at once, the detector
// crashes ("CHECK failed: tsan_rtl.cpp" or a segmentation fault). On one
// processor it still orders the accesses and finds races.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	goleak.VerifyTestMain(m)
}
