package fleet_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The tests run an executable that they build, which the test cache does not track.
	// This import invalidates cached results when the program's source changes.
	_ "cactuswell/cmd"
	"cactuswell/deployment"
	"cactuswell/fleet"
)

// longScenarioVariable is the environment variable that enables the long scenario.
const longScenarioVariable = "CACTUSWELL_FLEET_LONG"

// build builds the executable and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cactuswell")
	command := exec.Command("go", "build", "-o", program, "cactuswell")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

func runScenario(t *testing.T, config fleet.Config, scenario fleet.Scenario) {
	t.Helper()
	config.Program = build(t)
	config.Log = t.Logf
	f, err := fleet.New(config)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	report, err := f.Execute(context.Background(), scenario)
	if err != nil {
		t.Fatalf("%v\n%s", err, f.Output())
	}
	var text bytes.Buffer
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", text.String())
	for _, guarantee := range report.Unchecked() {
		t.Errorf("not checked: %s", guarantee)
	}
	if report.Breaches() > 0 {
		t.Errorf("%d breaches\n%s", report.Breaches(), f.Output())
	}
}

// TestShortScenario runs three hosts through a part of the faults. It checks the
// guarantees only, not the speed.
func TestShortScenario(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	runScenario(t, fleet.Config{
		Deployment: deployment.Kelisim(),
		Hosts:      3,
		Speed:      2,
	}, fleet.ShortScenario())
}

// TestLongScenario runs nine hosts through all faults.
func TestLongScenario(t *testing.T) {
	if os.Getenv(longScenarioVariable) == "" {
		t.Skip("set " + longScenarioVariable + " for the long scenario")
	}
	runScenario(t, fleet.Config{
		Deployment: deployment.Kelisim(),
		Hosts:      9,
	}, fleet.LongScenario())
}
