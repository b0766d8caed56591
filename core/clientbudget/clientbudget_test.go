package clientbudget_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/clientbudget"
)

// TestDivide guards against a host whose clients may take all of its memory or all of its
// descriptors, and against a small host that serves no operators.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := clientbudget.Resources{
			MemoryBytes: int64(rapid.IntRange(32, 4096).Draw(t, "memoryMB")) << 20,
			Descriptors: rapid.IntRange(256, 1<<20).Draw(t, "descriptors"),
		}
		limits := clientbudget.Divide(resources)
		total := limits.Connections + limits.OperatorConnections
		if total < 32 || limits.OperatorConnections < 16 {
			t.Errorf("limits are %+v", limits)
		}
		if resources.Descriptors >= 500 && total > resources.Descriptors/2 {
			t.Errorf("%d connections for %d descriptors", total, resources.Descriptors)
		}
		held := limits.HeaderBytes + limits.BodyBytes + limits.ResponseBytes + int64(total)*(16<<10)
		if held > resources.MemoryBytes*6/10 {
			t.Errorf("clients hold %d of %d bytes", held, resources.MemoryBytes)
		}
	})
	if limits := clientbudget.Divide(clientbudget.Resources{}); limits != (clientbudget.Limits{}) {
		t.Errorf("limits without resources: %+v", limits)
	}
}

// TestSelectConns guards against ordinary callers who are disconnected before clients that
// make no progress, and against requests that may have run and get no answer.
func TestSelectConns(t *testing.T) {
	conns := []clientbudget.Conn{
		{Phase: clientbudget.Serving, Lag: time.Hour, AddressConns: 1},
		{Phase: clientbudget.Idle, Lag: time.Second, AddressConns: 1},
		{Phase: clientbudget.Idle, Lag: 2 * time.Second, AddressConns: 1},
		{Phase: clientbudget.Body, Lag: 10 * time.Millisecond, AddressConns: 1},
		{Phase: clientbudget.Body, Lag: time.Second, AddressConns: 1},
		{Phase: clientbudget.Header, Lag: time.Second, AddressConns: 1},
		{Phase: clientbudget.Silent, Lag: time.Millisecond, AddressConns: 1},
		{Phase: clientbudget.Silent, Lag: time.Second, AddressConns: 1},
		{Phase: clientbudget.Writing, Lag: 3 * time.Second, AddressConns: 1},
		{Phase: clientbudget.Writing, Lag: 0, AddressConns: 1},
		{Phase: clientbudget.Idle, Lag: 0, AddressConns: 50},
	}
	if got, want := clientbudget.SelectConns(conns, 10, 100), []int{7, 6, 5, 4, 10, 2, 1, 8}; !slices.Equal(got, want) {
		t.Errorf("selected %v, want %v", got, want)
	}
	if got, want := clientbudget.SelectConns(conns, 10, 2), []int{7, 6}; !slices.Equal(got, want) {
		t.Errorf("selected %v, want %v", got, want)
	}
	// All behind one balancer: the address decides nothing.
	if got, want := clientbudget.SelectConns(conns[:3], 1, 1), []int{2}; !slices.Equal(got, want) {
		t.Errorf("selected %v, want %v", got, want)
	}
}

// TestExpired guards against timeouts that end calls in progress, and against clients that
// hold a connection without end.
func TestExpired(t *testing.T) {
	timeouts := clientbudget.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}
	for _, test := range []struct {
		phase        clientbudget.Phase
		inPhase, lag time.Duration
		want         clientbudget.Cause
	}{
		{clientbudget.Silent, 4 * time.Second, 0, clientbudget.CauseHeaderTimeout},
		{clientbudget.Header, 4 * time.Second, 0, clientbudget.CauseHeaderTimeout},
		{clientbudget.Header, 2 * time.Second, 0, ""},
		{clientbudget.Idle, 12 * time.Second, 0, ""},
		{clientbudget.Idle, 16 * time.Second, 0, clientbudget.CauseIdleTimeout},
		{clientbudget.Body, time.Minute, time.Minute, ""},
		{clientbudget.Serving, time.Minute, time.Minute, ""},
		{clientbudget.Writing, time.Minute, time.Second, ""},
		{clientbudget.Writing, time.Minute, 11 * time.Second, clientbudget.CauseUnreadResponse},
	} {
		if got := timeouts.Expired(test.phase, test.inPhase, test.lag); got != test.want {
			t.Errorf("phase %d after %v, lag %v: %q, want %q", test.phase, test.inPhase, test.lag, got, test.want)
		}
	}
}

// TestSelectArrivals guards against bodies that hold memory although they stopped one byte
// before their end, and against steady ones that are evicted.
func TestSelectArrivals(t *testing.T) {
	bodies := []clientbudget.Arrival{
		{Taken: 4 << 20, Elapsed: time.Second, Received: 4 << 20, Silent: 900 * time.Millisecond},
		{Taken: 1 << 20, Elapsed: time.Second, Received: 1 << 20},
		{Taken: 1 << 20, Elapsed: 3 * time.Second, Received: 100, Silent: time.Millisecond},
	}
	for need, want := range map[int64][]int{
		1000:     {2},
		3 << 20:  {2, 0},
		20 << 20: nil,
	} {
		if got := clientbudget.SelectArrivals(bodies, need); !slices.Equal(got, want) {
			t.Errorf("for %d bytes: %v, want %v", need, got, want)
		}
	}
}

// TestBodyCeiling guards against large bodies that leave no memory to small ones, and
// against a large body that is refused although it is alone.
func TestBodyCeiling(t *testing.T) {
	const limit = 20 << 20
	large, small := clientbudget.BodyCeiling(limit, 4<<20, false), clientbudget.BodyCeiling(limit, 70_000, false)
	if small != limit || limit-large < 5<<20 {
		t.Errorf("ceilings are %d and %d", large, small)
	}
	if alone := clientbudget.BodyCeiling(limit, 4<<20, true); alone != limit {
		t.Errorf("the ceiling of a body that is alone is %d", alone)
	}
}
