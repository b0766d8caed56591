package lineage_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/lineage"
)

// outboxFixture is an outbox with a clock.
type outboxFixture struct {
	*lineage.Outbox
	now time.Time
}

func newOutboxFixture() *outboxFixture {
	return &outboxFixture{
		Outbox: lineage.NewOutbox(),
		now:    time.Unix(1000, 0),
	}
}

func (f *outboxFixture) add(key, version string, replaces *lineage.Entry) *lineage.Entry {
	return f.Add(f.now, key, version, lifetime, replaces)
}

// write writes the waiting records and returns their keys.
func (f *outboxFixture) write(isAcknowledged bool) []string {
	var keys []string
	for _, e := range f.Begin(f.now).Entries {
		keys = append(keys, e.Key())
	}
	if isAcknowledged {
		f.Acknowledge(f.now)
	} else {
		f.Fail()
	}
	return keys
}

// TestFailedWritesAreRepeated guards against records that are given up after one write, and
// against a store that counts as sound meanwhile.
func TestFailedWritesAreRepeated(t *testing.T) {
	f := newOutboxFixture()
	first := f.add("a", "v2", nil)
	if f.IsOverdue(f.now) {
		t.Error("overdue at once")
	}
	for range 3 {
		f.now = f.now.Add(time.Second)
		if got := fmt.Sprint(f.write(false)); got != "[a]" || first.IsKept() || !f.IsOverdue(f.now) {
			t.Errorf("wrote %s, kept %v, overdue %v", got, first.IsKept(), f.IsOverdue(f.now))
		}
	}
	f.add("b", "v2", nil)
	if got := fmt.Sprint(f.write(true)); got != "[a b]" || !first.IsKept() || f.IsOverdue(f.now) {
		t.Errorf("wrote %s, kept %v, overdue %v", got, first.IsKept(), f.IsOverdue(f.now))
	}
	f.WriteAgain()
	if got := fmt.Sprint(f.write(true)); got != "[a b]" {
		t.Errorf("wrote %s after a loss", got)
	}
}

// TestRecordsOfEndedStreamsAreGivenUp guards against records that pile up while the store takes
// none, and against a store that is then never found to be back.
func TestRecordsOfEndedStreamsAreGivenUp(t *testing.T) {
	f := newOutboxFixture()
	for i := range 4 {
		f.add(fmt.Sprint(i), "v2", nil)
	}
	f.write(false)
	f.now = f.now.Add(lifetime)
	if got := fmt.Sprint(f.write(false)); got != "[3]" || !f.IsOverdue(f.now) {
		t.Errorf("wrote %s, overdue %v", got, f.IsOverdue(f.now))
	}
	f.write(true)
	f.now = f.now.Add(2 * lifetime)
	f.add("4", "v2", nil)
	for range 2 {
		if got := fmt.Sprint(f.Begin(f.now).Expired); got != "[3]" {
			t.Errorf("dropped %s", got)
		}
		f.Fail()
	}
}

// TestLateWriteMayHideRecord guards against a stream that is taken for one of the version that was
// tried first, as the write of that record is done late.
func TestLateWriteMayHideRecord(t *testing.T) {
	f := newOutboxFixture()
	sound := f.add("a", "v2", nil)
	f.write(true)
	if after := f.add("a", "v1", sound); !f.writeKeeps(after) {
		t.Error("a record after an acknowledged one is not kept")
	}
	doubtful := f.add("b", "v2", nil)
	f.write(false)
	f.write(true)
	if after := f.add("b", "v1", doubtful); f.writeKeeps(after) {
		t.Error("a record after one in doubt counts as kept")
	}
	if after := f.add("b", "v2", doubtful); !f.writeKeeps(after) {
		t.Error("a record of the same version as one in doubt does not count as kept")
	}
}

func (f *outboxFixture) writeKeeps(e *lineage.Entry) bool {
	f.write(true)
	return e.IsKept()
}

// TestRefusedWritesLeaveRateOfStore guards against fleets whose repeated writes use up the rate of a
// store that refuses them.
func TestRefusedWritesLeaveRateOfStore(t *testing.T) {
	const writesPerSecond = 400
	for _, hosts := range []int{6, 195, 2400} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			f := newOutboxFixture()
			f.add("a", "v2", nil)
			var delay time.Duration
			for range 20 {
				f.write(false)
				delay = f.RetryDelay(hosts)
			}
			// Hosts wait for three quarters of the delay on average.
			if rate := float64(hosts) / (0.75 * delay.Seconds()); rate > writesPerSecond {
				t.Errorf("the fleet writes %.0f times a second, %d allowed", rate, writesPerSecond)
			}
			f.write(true)
			f.add("b", "v2", nil)
			f.write(false)
			if got := f.RetryDelay(hosts); got != 50*time.Millisecond {
				t.Errorf("delay %v after a write that was taken", got)
			}
		})
	}
}
