package fleet_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The program that the tests build is not seen by the test cache. This import
	// makes a change of the program a change of the tests.
	_ "cactuswell/cmd"
	"cactuswell/deployment"
	"cactuswell/fleet"
)

// longVariable asks for the long form, whose figures are printed.
const longVariable = "CACTUSWELL_FLEET_LONG"

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cactuswell")
	command := exec.Command("go", "build", "-o", program, "cactuswell")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

func run(t *testing.T, config fleet.Config, course fleet.Course) {
	t.Helper()
	config.Program = build(t)
	config.Log = t.Logf
	f, err := fleet.New(config)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	report, err := f.Execute(context.Background(), course)
	if err != nil {
		t.Fatalf("%v\n%s", err, f.Output())
	}
	var text bytes.Buffer
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", text.String())
	for _, promise := range report.Unchecked() {
		t.Errorf("not checked: %s", promise)
	}
	if report.Breaches() > 0 {
		t.Errorf("%d breaches\n%s", report.Breaches(), f.Output())
	}
}

// TestShortCourse checks the promises only, not the speed.
func TestShortCourse(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	run(t, fleet.Config{
		Firm:  deployment.Kelisim(),
		Hosts: 3,
		Speed: 2,
	}, fleet.ShortCourse())
}

// TestLongCourse runs nine hosts through every fault.
func TestLongCourse(t *testing.T) {
	if os.Getenv(longVariable) == "" {
		t.Skip("set " + longVariable + " for the long course")
	}
	run(t, fleet.Config{
		Firm:  deployment.Kelisim(),
		Hosts: 9,
	}, fleet.LongCourse())
}
