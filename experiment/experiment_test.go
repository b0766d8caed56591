package experiment_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cactuswell/experiment"
)

// TestRunsAreRepeatable compares two runs of the scenarios with the most
// randomness.
func TestRunsAreRepeatable(t *testing.T) {
	for _, scenario := range experiment.Scenarios() {
		if scenario.Name != "silent" && scenario.Name != "zoneLost" {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			first := experiment.Run(experiment.Kelisim(), scenario, experiment.Product(), 7)
			second := experiment.Run(experiment.Kelisim(), scenario, experiment.Product(), 7)
			if diff := cmp.Diff(first, second); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestResultsAsTableAndJSON(t *testing.T) {
	results := experiment.Results{
		Seed: 3,
		Runs: []experiment.RunMetrics{
			{
				Deployment:       "kelisim",
				Scenario:         "calm",
				Policy:           experiment.PolicyProduct,
				GoodputPerSecond: 12.5,
				Classes: []experiment.ClassMetrics{
					{
						Class:      "roomHold",
						Offered:    4,
						Attainment: 0.75,
					},
				},
			},
		},
	}
	var table bytes.Buffer
	if err := results.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"kelisim", "roomHold 0.750", "12.5"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, table.String())
		}
	}
	data, err := results.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(data, []byte(`"goodputPerSecond": 12.5`)) {
		t.Errorf("JSON lacks the goodput:\n%s", data)
	}
	if got := results.Runs[0].UrgentAttainment(); got != 0.75 {
		t.Errorf("urgent attainment %v, want 0.75", got)
	}
}
