package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/gateway"
	"cactuswell/io/control"
	"cactuswell/platform"
	standin "cactuswell/standin/control"
)

// scaledFixture is a host that orders endpoints of the service models, of which there are six in
// each of three zones.
type scaledFixture struct {
	*fixture
	api        *standin.API
	autoscaler gateway.Autoscaler
	now        time.Time
}

var scaledZones = []string{"z0", "z1", "z2"}

func newScaledFixture(t *testing.T) *scaledFixture {
	t.Helper()
	f := &scaledFixture{
		fixture: newFixture(t, 0),
		now:     time.Now(),
	}
	f.api = standin.New(standin.Settings{
		Now:            time.Now,
		Lease:          3 * time.Second,
		RequireFencing: true,
	})
	server := httptest.NewServer(f.api)
	t.Cleanup(server.Close)
	f.stopAndWait()
	f.spec.Version++
	f.spec.Services[1].Scale = &route.Scale{
		Max:        20,
		Boot:       4 * time.Second,
		SpotPrice:  0.18,
		ZonePrices: map[string]float64{"z0": 1, "z1": 0.8, "z2": 1.25},
	}
	f.publishConfiguration()
	f.publishCapacity(false, 6)
	current := testSettings("host-1")
	current.ControlRate = 50
	f.startHost(current, f.log)
	f.autoscaler = gateway.NewAutoscaler(f.gateway, platform.NewControl(server.Listener.Addr().String()))
	return f
}

// publishCapacity adds endpoints in each zone.
func (f *scaledFixture) publishCapacity(spot bool, count int) {
	for _, zone := range scaledZones {
		for i := range count {
			f.publishEntry(fmt.Sprintf("%s-%t-%d", zone, spot, i), directory.Entry{
				Born:    1,
				Service: models,
				Address: "127.0.0.1:1",
				Zone:    zone,
				Slots:   4,
				Spot:    spot,
			})
		}
	}
}

// step makes steps for some time, until one fails.
func (f *scaledFixture) step(token int64, duration time.Duration) error {
	fence := control.Fence{
		Holder: "host-1",
		Token:  token,
	}
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		if err := f.autoscaler.Step(context.Background(), fence, f.now); err != nil {
			return err
		}
	}
	return nil
}

func (f *scaledFixture) desired(spot bool) []int {
	var desired []int
	for _, zone := range scaledZones {
		count, ok := f.api.Desired(models, zone, spot)
		if !ok {
			count = -1
		}
		desired = append(desired, count)
	}
	return desired
}

// TestAutoscalerReplacesOnDemandEndpoints guards against a host that does not see its endpoints'
// capacity types, or releases on-demand endpoints before the spot ones serve, and against services
// without a scale for which it orders any.
func TestAutoscalerReplacesOnDemandEndpoints(t *testing.T) {
	f := newScaledFixture(t)
	if err := f.step(1, 15*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(f.desired(true), f.desired(false)); got != "[6 6 6] [-1 -1 -1]" {
		t.Errorf("orders before the spot endpoints serve: %s", got)
	}
	f.publishCapacity(true, 6)
	eventually(t, "the host knows the spot endpoints", func() bool { return strings.Contains(f.metrics(), "cactuswell_endpoints 36") })
	if err := f.step(1, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(f.desired(true), f.desired(false)); got != "[6 6 6] [2 2 2]" {
		t.Errorf("orders when the spot endpoints serve: %s", got)
	}
	for _, call := range f.api.Calls() {
		if call.Order.Service != models || call.Token != 1 || call.Holder != "host-1" {
			t.Errorf("call %+v", call)
		}
	}
	metrics := f.metrics()
	for _, want := range []string{
		`cactuswell_autoscale_desired{service="models",zone="z1",type="spot"} 6`,
		`cactuswell_autoscale_ordered{service="models",zone="z1",type="onDemand"} 2`,
		`cactuswell_autoscale_observed{service="models",zone="z1",type="onDemand"} 6`,
		`cactuswell_autoscale_orders_total{reason="shrink",outcome="accepted"} 3`,
	} {
		if !strings.Contains(metrics, want) {
			t.Errorf("no metric %s", want)
		}
	}
	if dump := f.dump(); len(dump.Autoscale) != 1 || len(dump.Autoscale[0].Subjects) != 6 {
		t.Errorf("dump %+v", dump.Autoscale)
	}
	eventually(t, "the orders are logged", func() bool {
		return strings.Count(f.logLines.String(), `"event":"endpointsOrdered"`) == len(f.api.Calls())
	})
}

// TestAutoscalerReportsConflicts guards against a holder that continues after a conflict without a
// check of its lease, and against one that gives up its lease because the API takes no more calls.
func TestAutoscalerReportsConflicts(t *testing.T) {
	f := newScaledFixture(t)
	f.api.SetFaults(standin.Faults{IsExhausted: func(standin.Order) bool { return true }})
	err := f.step(1, time.Second)
	var conflict *control.ConflictError
	if !errors.As(err, &conflict) || len(f.api.Calls()) != 1 {
		t.Errorf("error %v after %d calls", err, len(f.api.Calls()))
	}
	eventually(t, "the shortage is logged", func() bool {
		return strings.Contains(f.logLines.String(), `"event":"capacityShort"`) && strings.Contains(f.logLines.String(), `"cause":"conflict"`)
	})
	f.api.SetFaults(standin.Faults{Down: true})
	if err := f.step(1, time.Second); err == nil || errors.As(err, &conflict) {
		t.Errorf("error %v while the API is down", err)
	}
	f.api.SetFaults(standin.Faults{})
	// The same orders are made by the holder of another token, which knows nothing of the others.
	if err := f.step(2, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(f.desired(true)); got != "[6 6 6]" {
		t.Errorf("spot orders %s", got)
	}
}
