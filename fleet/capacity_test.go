package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"cactuswell/deployment"
	"cactuswell/fleet"
)

// capacityVariable is the environment variable that enables the measurements for
// docs/CAPACITY.md.
const capacityVariable = "CACTUSWELL_CAPACITY"

// TestIdleHostUsage measures what hosts use without callers, for several fleet sizes.
func TestIdleHostUsage(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	program := build(t)
	for _, hosts := range []int{3, 9, 30, 90} {
		f, err := fleet.New(fleet.Config{
			Program:    program,
			Deployment: deployment.Kelisim(),
			Hosts:      hosts,
		})
		if err != nil {
			t.Fatal(err)
		}
		sample, err := f.MeasureIdleUsage(context.Background(), 30*time.Second)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", sample)
	}
}

// TestServingHostUsage measures what one host uses at several rates of requests with
// short and with long answers.
func TestServingHostUsage(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	f, err := fleet.New(fleet.Config{
		Program:    build(t),
		Deployment: fleet.ServingDeployment(),
		Hosts:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, point := range []struct {
		profile string
		rate    float64
	}{
		{profile: "short", rate: 25},
		{profile: "short", rate: 100},
		{profile: "short", rate: 400},
		{profile: "long", rate: 25},
		{profile: "long", rate: 75},
		{profile: "long", rate: 150},
	} {
		sample, err := f.MeasureServingUsage(context.Background(), point.profile, point.rate, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s at %v/s: %+v", point.profile, point.rate, sample)
	}
}

// TestLoadReportPollingCost measures what hosts without callers use to poll the load
// reports of endpoints, for several limits of the polling rate.
func TestLoadReportPollingCost(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	program := build(t)
	for _, reads := range []string{"1", "16", "32"} {
		f, err := fleet.New(fleet.Config{
			Program:       program,
			Deployment:    deployment.Kelisim(),
			Hosts:         3,
			HostArguments: []string{"--report-reads", reads},
		})
		if err != nil {
			t.Fatal(err)
		}
		sample, err := f.MeasureIdleUsage(context.Background(), 30*time.Second)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("at most %s reads per second: %+v", reads, sample)
	}
}
