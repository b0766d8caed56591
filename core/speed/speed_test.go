package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/speed"
)

// fleet is a service whose endpoints have the given factors and a noise on each measured time.
type fleet struct {
	service   *speed.Service
	endpoints []*speed.Endpoint
	factors   []float64
	now       time.Time
	random    *rand.Rand
}

func newFleet(factors ...float64) *fleet {
	f := &fleet{
		service: speed.NewService(),
		factors: factors,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for range factors {
		f.endpoints = append(f.endpoints, f.service.Add())
	}
	return f
}

// run observes each endpoint four times a second, with one outlier of ten times in twenty.
func (f *fleet) run(duration time.Duration, each func(i int)) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for i, e := range f.endpoints {
			if each != nil {
				each(i)
			}
			measured := 0.7 * f.factors[i] * math.Exp(0.15*f.random.NormFloat64())
			if f.random.IntN(20) == 0 {
				measured *= 10
			}
			e.Observe(f.now, speed.EventGap, time.Duration(measured*float64(10*time.Millisecond)), 10*time.Millisecond)
		}
	}
}

func (f *fleet) check(t *testing.T, i int, low, high float64) {
	t.Helper()
	if got := f.endpoints[i].Factor(f.now); got < low || got > high {
		t.Errorf("factor of endpoint %d is %.2f, want %.2f to %.2f", i, got, low, high)
	}
}

// TestPermanentAndTemporaryDifferences guards against estimates that follow outliers, that do not
// find a slow phase while it lasts, or that hold it against an endpoint afterwards.
func TestPermanentAndTemporaryDifferences(t *testing.T) {
	f := newFleet(0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2)
	f.run(15*time.Second, nil)
	if !f.service.IsUneven(f.now) {
		t.Error("the service counts as even")
	}
	f.check(t, 0, 0.3, 0.8)
	f.check(t, 1, 0.75, 1.5)
	f.factors[2] *= 4.5
	f.run(2*time.Second, nil)
	f.check(t, 2, 2, 8)
	f.run(5*time.Second, nil)
	f.factors[2] /= 4.5
	// An endpoint that is avoided is not observed.
	f.now = f.now.Add(4 * time.Second)
	f.check(t, 2, 0.7, 2)
	f.run(3*time.Second, nil)
	f.check(t, 2, 0.7, 1.6)
}

// TestAlikeEndpointsAreEven guards against decisions that change where endpoints are alike.
func TestAlikeEndpointsAreEven(t *testing.T) {
	f := newFleet(1, 1, 1.2, 1, 1, 1.2, 1, 1)
	for range 60 {
		f.run(time.Second, nil)
		if f.service.IsUneven(f.now) {
			t.Fatalf("the service counts as uneven at %v", f.now)
		}
	}
}

// TestFalsePaceGainsNothing guards against endpoints that get more calls, or fewer, because they
// report a pace that their times do not follow; a true one is followed.
func TestFalsePaceGainsNothing(t *testing.T) {
	f := newFleet(1, 1, 1, 1, 1, 1, 1, 1)
	usual := f.factors[3]
	f.run(30*time.Second, func(i int) {
		swing := math.Exp(0.5 * f.random.NormFloat64())
		switch i {
		case 0:
			f.endpoints[i].ReportPace(f.now, 0.1)
		case 1:
			f.endpoints[i].ReportPace(f.now, swing)
		case 3:
			f.factors[i] = usual * swing
			f.endpoints[i].ReportPace(f.now, swing)
		}
	})
	for _, i := range []int{0, 1} {
		f.endpoints[i].ReportPace(f.now, 0.2)
		if gain := f.endpoints[i].FactorNow(f.now) / f.endpoints[i].Factor(f.now); gain < 0.95 || gain > 1.05 {
			t.Errorf("the pace of endpoint %d changes its factor by %.2f", i, gain)
		}
	}
	f.endpoints[3].ReportPace(f.now, 2)
	if change := f.endpoints[3].FactorNow(f.now) / f.endpoints[3].Factor(f.now); change < 1.3 {
		t.Errorf("a confirmed pace of 2 changes the factor by %.2f", change)
	}
}
