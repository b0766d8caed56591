package load

import (
	"bytes"
	"strings"
	"testing"
)

// TestReportNamesWhatWasNotChecked checks that the text contains no figure that
// would need a query to stand-ins that were not configured.
func TestReportNamesWhatWasNotChecked(t *testing.T) {
	for _, test := range []struct {
		name   string
		report Report
		want   []string
		not    []string
	}{
		{
			name:   "nothing queried",
			report: Report{TokensDelivered: 7},
			want:   []string{"wasted share not measured (7 tokens delivered)", "lost bookings not checked"},
			not:    []string{"0.0000", "duplicates 0", "lost bookings 0"},
		},
		{
			name:   "everything queried",
			report: Report{TokensDelivered: 7, TokensGenerated: 8, WastedShare: 0.125, executionsChecked: true},
			want:   []string{"wasted share 0.1250 (7 of 8 tokens delivered)", `duplicates 0, false "not run" 0, lost bookings 0`},
			not:    []string{"not measured", "not checked"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var text bytes.Buffer
			if err := test.report.WriteText(&text); err != nil {
				t.Fatal(err)
			}
			for _, want := range test.want {
				if !strings.Contains(text.String(), want) {
					t.Errorf("%q is missing in\n%s", want, text.String())
				}
			}
			for _, not := range test.not {
				if strings.Contains(text.String(), not) {
					t.Errorf("unexpected %q in\n%s", not, text.String())
				}
			}
		})
	}
}
