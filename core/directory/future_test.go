package directory_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEntryFromFutureYieldsToLaterOne guards against an endpoint that is lost for ever, because its own entries count as older than another writer's.
func TestEntryFromFutureYieldsToLaterOne(t *testing.T) {
	const hour = int64(time.Hour / time.Millisecond)
	now := newHarness().now.UnixMilli()
	for name, test := range map[string]struct {
		odd int64
		// changes is the number of changes, of which the first is that the endpoint appears.
		changes int
	}{
		"largest":          {odd: math.MaxInt64, changes: 3},
		"an hour ahead":    {odd: now + hour, changes: 3},
		"just started":     {odd: now, changes: 1},
		"clock runs ahead": {odd: now + 5000, changes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.observe("i-1", test.odd, false)
			h.observe("i-1", now-hour, false)
			if len(h.changes) != test.changes {
				t.Errorf("changes %v", h.changes)
			}
		})
		t.Run(name+", removed", func(t *testing.T) {
			h := newHarness()
			h.observe("i-1", test.odd, false)
			h.expire("i-1")
			h.observe("i-1", now-hour, false)
			if got, want := len(h.directory.Entries()) > 0, test.changes > 1; got != want {
				t.Errorf("the endpoint is known: %v, want %v", got, want)
			}
		})
	}
}

// TestEntryFromPastYields guards against an endpoint that another writer's older entry replaces.
func TestEntryFromPastYields(t *testing.T) {
	h := newHarness()
	h.observe("i-1", 1, false)
	before := len(h.changes)
	h.observe("i-1", math.MinInt64, true)
	h.observe("i-1", -1, true)
	if diff := cmp.Diff(before, len(h.changes)); diff != "" {
		t.Errorf("changes %v", h.changes)
	}
}
