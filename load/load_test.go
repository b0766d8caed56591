package load

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/deployment"
)

func TestParseStream(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want Stream
		bad  bool
	}{
		{name: "rate", text: "roomHold=2.5", want: Stream{Profile: "roomHold", Rate: 2.5}},
		{
			name: "bursts",
			text: "roomHold=2@10s+5s*3@1m+1s*0.5",
			want: Stream{
				Profile: "roomHold",
				Rate:    2,
				Bursts: []Burst{
					{Start: 10 * time.Second, Length: 5 * time.Second, Factor: 3},
					{Start: time.Minute, Length: time.Second, Factor: 0.5},
				},
			},
		},
		{name: "no rate", text: "roomHold", bad: true},
		{name: "rate is no number", text: "roomHold=x", bad: true},
		{name: "burst without length", text: "roomHold=1@5s*3", bad: true},
		{name: "burst without factor", text: "roomHold=1@5s+3s", bad: true},
		{name: "burst with factor zero", text: "roomHold=1@5s+3s*0", bad: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := ParseStream(test.text)
			var configError *ConfigError
			if errors.As(err, &configError) != test.bad {
				t.Fatalf("error = %v, want a ConfigError: %v", err, test.bad)
			}
			if diff := cmp.Diff(test.want, got); diff != "" && !test.bad {
				t.Error(diff)
			}
		})
	}
}

// TestArrivalsAreReproducible checks that the same config gives the same arrivals,
// that they are sorted by time, and that a burst raises their rate.
func TestArrivalsAreReproducible(t *testing.T) {
	config := &Config{
		Hosts:      []string{"a", "b"},
		Deployment: deployment.Kelisim(),
		Streams: []Stream{
			{
				Profile: "roomHold",
				Rate:    50,
				Bursts:  []Burst{{Start: 10 * time.Second, Length: 10 * time.Second, Factor: 4}},
			},
		},
		Duration: 30 * time.Second,
		Seed:     7,
		KeyShare: 0.5,
	}
	first := generateArrivals(config)
	if diff := cmp.Diff(first, generateArrivals(config), cmp.AllowUnexported(arrival{})); diff != "" {
		t.Error(diff)
	}
	calm, burst, keyed := 0, 0, 0
	for i, a := range first {
		if i > 0 && a.at < first[i-1].at {
			t.Fatalf("arrival %d is out of order", i)
		}
		if a.at < 10*time.Second {
			calm++
		} else if a.at < 20*time.Second {
			burst++
		}
		if a.key != "" {
			keyed++
		}
	}
	if burst < 3*calm || keyed < len(first)/3 || keyed > 2*len(first)/3 {
		t.Errorf("calm %d, burst %d, keyed %d of %d", calm, burst, keyed, len(first))
	}
}

// TestReportCountsBreaches checks that each kind of breach is counted once.
func TestReportCountsBreaches(t *testing.T) {
	spec := profile.Spec{Name: "roomHold", Class: "roomHold", Kind: profile.KindService, TargetMs: 1000, Value: 2}
	booking := func(reference string) arrival {
		return arrival{spec: spec, reference: reference}
	}
	report := newReport(&Config{Services: []string{"booking-1"}})
	report.executions = map[string]int{"twice": 2, "falselyNotRun": 1, "good": 1}
	report.Elapsed = time.Second
	for _, res := range []result{
		{arrival: booking("good"), completed: true, totalTime: time.Millisecond},
		{arrival: booking("twice"), completed: true, totalTime: 2 * time.Second},
		{arrival: booking("falselyNotRun"), problem: "waitLimit", ran: dispatch.NotRun},
		{arrival: booking("lost"), completed: true},
		{arrival: booking("refused"), problem: "waitLimit", ran: dispatch.NotRun},
		{arrival: booking("wrong"), isWrong: true},
		{arrival: booking("untyped"), problem: "untyped", ran: dispatch.MayHaveRun},
	} {
		report.add(res)
	}
	report.finish()
	got := []int{report.Duplicates, report.FalseNotRun, report.LostBookings, report.WrongAnswers, report.Untyped}
	if diff := cmp.Diff([]int{1, 1, 1, 1, 1}, got); diff != "" {
		t.Error(diff)
	}
	class := report.Classes[0]
	if class.Requests != 7 || class.Completed != 3 || class.Met != 2 || report.Goodput != 6 {
		t.Errorf("class %+v, goodput %v", class, report.Goodput)
	}
}
