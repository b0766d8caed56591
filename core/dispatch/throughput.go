package dispatch

import "time"

const (
	// throughputWindow is the time over which service is summed for one sample.
	throughputWindow = 500 * time.Millisecond
	// throughputWeight is the weight of the newest sample.
	throughputWeight = 0.2
)

// throughput measures the service that a pool gives in a second while requests
// wait, which is what it can give at most.
type throughput struct {
	rate    float64
	cost    float64
	began   time.Time
	waiting bool
}

// observe counts the cost of a started attempt; waiting says whether other
// requests found no room.
func (t *throughput) observe(now time.Time, cost float64, waiting bool) {
	if !waiting {
		t.waiting = false
		return
	}
	if !t.waiting {
		t.waiting = true
		t.began = now
		t.cost = 0
		return
	}
	t.cost += cost
	elapsed := now.Sub(t.began)
	if elapsed < throughputWindow {
		return
	}
	sample := t.cost / elapsed.Seconds()
	if t.rate == 0 {
		t.rate = sample
	}
	t.rate += throughputWeight * (sample - t.rate)
	t.began = now
	t.cost = 0
}
