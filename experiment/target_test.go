package experiment_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"cactuswell/experiment"
)

// The limits of the checks, from the product's targets.
const (
	minUrgentAttainment = 0.99
	urgentDemandLimit   = 0.7
	minCompletionShare  = 0.9
	wasteLimitCalm      = 0.02
	wasteLimitOtherwise = 0.05
	maxExtraPerFirst    = 0.1
	stragglerShareLimit = 0.25
	comparisonTolerance = 1e-9
)

// check is one target on the runs of one scenario.
type check struct {
	name string
	// violations returns one message for each violation of the target.
	violations func(r *scenarioRuns) []string
}

// scenarioRuns holds the metrics of one scenario under all policies.
type scenarioRuns struct {
	scenario  experiment.Scenario
	product   *experiment.RunMetrics
	baselines []experiment.RunMetrics
}

func TestTargets(t *testing.T) {
	knownRed := readKnownRed(t)
	for _, deployment := range experiment.Deployments() {
		for _, scenario := range experiment.Scenarios() {
			t.Run(deployment.Name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				metrics := experiment.Compare(deployment, scenario, experiment.DefaultSeed)
				r := &scenarioRuns{
					scenario:  scenario,
					product:   &metrics[0],
					baselines: metrics[1:],
				}
				for _, check := range checks() {
					t.Run(check.name, func(t *testing.T) {
						reportViolations(t, check.violations(r), knownRed[t.Name()])
					})
				}
			})
		}
	}
}

// reportViolations fails the test if there are violations. A test case that is listed
// in KNOWN-RED.txt only logs them, and fails if there are none, so that the list stays
// up to date.
func reportViolations(t *testing.T, violations []string, isListed bool) {
	t.Helper()
	switch {
	case isListed && len(violations) == 0:
		t.Error("test is listed in KNOWN-RED.txt but passes; remove the entry")
	case isListed:
		t.Logf("KNOWN RED: %s", strings.Join(violations, "; "))
	default:
		for _, violation := range violations {
			t.Error(violation)
		}
	}
}

// readKnownRed returns the names of the tests listed in KNOWN-RED.txt, which are the
// first words of the lines that begin with "Test".
func readKnownRed(t *testing.T) map[string]bool {
	t.Helper()
	listed := make(map[string]bool)
	file, err := os.Open("../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return listed
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if name, _, _ := strings.Cut(lines.Text(), " "); strings.HasPrefix(name, "Test") {
			listed[name] = true
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return listed
}
