package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"cactuswell/deployment"
	"cactuswell/fleet"
)

// capacityVariable asks for the measurements behind docs/CAPACITY.md.
const capacityVariable = "CACTUSWELL_CAPACITY"

// TestControlCost measures what hosts use without callers at several sizes.
func TestControlCost(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	program := build(t)
	for _, hosts := range []int{3, 9, 30, 90} {
		f, err := fleet.New(fleet.Config{
			Program: program,
			Firm:    deployment.Kelisim(),
			Hosts:   hosts,
		})
		if err != nil {
			t.Fatal(err)
		}
		sample, err := f.MeasureControl(context.Background(), 30*time.Second)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", sample)
	}
}

// TestPathCost measures what one host uses to serve requests and tokens.
func TestPathCost(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	f, err := fleet.New(fleet.Config{
		Program: build(t),
		Firm:    fleet.PathDeployment(),
		Hosts:   1,
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
		sample, err := f.MeasurePath(context.Background(), point.profile, point.rate, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s at %v/s: %+v", point.profile, point.rate, sample)
	}
}

// TestReportCost measures what reading the endpoints' load costs a host.
func TestReportCost(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skip("set " + capacityVariable + " for the measurement")
	}
	program := build(t)
	for _, reads := range []string{"1", "16", "32"} {
		f, err := fleet.New(fleet.Config{
			Program:       program,
			Firm:          deployment.Kelisim(),
			Hosts:         3,
			HostArguments: []string{"--report-reads", reads},
		})
		if err != nil {
			t.Fatal(err)
		}
		sample, err := f.MeasureControl(context.Background(), 30*time.Second)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s reads a second at most: %+v", reads, sample)
	}
}
