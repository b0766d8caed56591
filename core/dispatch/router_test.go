package dispatch_test

import (
	"slices"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

const testStallTimeout = 2 * time.Second

// fakeEndpoint is an endpoint with a fixed number of slots.
type fakeEndpoint struct {
	key     endpoint.Key
	slots   int
	running int
	leaving bool
	drained bool
}

// fakeRouter picks the least loaded endpoint and reserves one slot of each
// endpoint for the top tier.
type fakeRouter struct {
	endpoints []*fakeEndpoint
	slots     int
	expected  time.Duration
	sent      int
	ended     int
	// tokenTime is the time per token of the last progress.
	tokenTime time.Duration
	// firstTokens counts the attempts whose first token was reported.
	firstTokens int
}

func newFakeRouter(slots int) *fakeRouter {
	return &fakeRouter{
		slots:    slots,
		expected: 100 * time.Millisecond,
	}
}

func (f *fakeRouter) find(key endpoint.Key) *fakeEndpoint {
	for _, e := range f.endpoints {
		if e.key == key {
			return e
		}
	}
	return nil
}

func (f *fakeRouter) AddEndpoint(_ time.Time, descriptor endpoint.Descriptor) {
	if f.find(descriptor.Key) == nil {
		f.endpoints = append(f.endpoints, &fakeEndpoint{
			key:   descriptor.Key,
			slots: f.slots,
		})
	}
}

func (f *fakeRouter) MarkLeaving(_ time.Time, key endpoint.Key) {
	if e := f.find(key); e != nil {
		e.leaving = true
	}
}

func (f *fakeRouter) SetDrained(_ time.Time, key endpoint.Key, drained bool) {
	if e := f.find(key); e != nil {
		e.drained = drained
	}
}

func (f *fakeRouter) RemoveEndpoint(_ time.Time, key endpoint.Key) {
	f.endpoints = slices.DeleteFunc(f.endpoints, func(e *fakeEndpoint) bool {
		return e.key == key
	})
}

func (f *fakeRouter) ReportLoad(time.Time, endpoint.Report) {}

func (f *fakeRouter) ApplyCache(time.Time, endpoint.CacheUpdate) {}

func (f *fakeRouter) SetHostCount(time.Time, int) {}

func (f *fakeRouter) Pick(_ time.Time, request *routing.Request) (routing.Choice, bool) {
	var best *fakeEndpoint
	for _, e := range f.endpoints {
		room := e.slots - e.running
		if request.Tier != profile.TierUrgent {
			room--
		}
		if e.leaving || e.drained || room < 1 {
			continue
		}
		if best == nil || f.isBetter(e, best, request) {
			best = e
		}
	}
	if best == nil {
		return routing.Choice{}, false
	}
	return routing.Choice{
		Key:              best.key,
		TimeToFirstToken: f.expected,
		TimeToCompletion: f.expected,
		Candidates:       len(f.endpoints),
	}, true
}

func (f *fakeRouter) isBetter(a, b *fakeEndpoint, request *routing.Request) bool {
	avoidA, avoidB := slices.Contains(request.Avoid, a.key), slices.Contains(request.Avoid, b.key)
	if avoidA != avoidB {
		return avoidB
	}
	return a.running < b.running
}

func (f *fakeRouter) RecordSent(_ time.Time, work routing.Attempt) {
	f.sent++
	f.find(work.Key).running++
}

func (f *fakeRouter) RecordProgress(_ time.Time, _ endpoint.Key, tokens, newTokens int, _, sinceLast time.Duration) {
	if tokens == 1 {
		f.firstTokens++
	}
	f.tokenTime = sinceLast / time.Duration(newTokens)
}

func (f *fakeRouter) RecordEnd(_ time.Time, work routing.Attempt, _ routing.Outcome, _ int) {
	f.ended++
	if e := f.find(work.Key); e != nil {
		e.running--
	}
}

func (f *fakeRouter) StallTimeout(endpoint.Key) time.Duration { return testStallTimeout }

func (f *fakeRouter) Tick(time.Time) {}

func (f *fakeRouter) NextWake() (time.Time, bool) { return time.Time{}, false }

func (f *fakeRouter) UsableEndpoints() int {
	usable := 0
	for _, e := range f.endpoints {
		if !e.leaving && !e.drained {
			usable++
		}
	}
	return usable
}

func (f *fakeRouter) Capacity() (int, float64) {
	return f.UsableEndpoints() * f.slots, 0
}
