package incident_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cactuswell/core/incident"
)

// lines are log lines of two hosts, one of which ejected the endpoint before the
// request.
const lines = `
{"time":"2026-08-30T05:50:16.100Z","level":"info","event":"endpointEjected","host":"front-b","endpoint":"i-1","born":7,"service":"booking","reason":"brokenConnections","failures":2,"forMs":400.0}
{"time":"2026-08-30T05:50:16.150Z","level":"info","event":"endpointEjected","host":"front-b","endpoint":"i-9","born":7,"service":"booking","reason":"errors","failures":2,"forMs":400.0}
{"time":"2026-08-30T05:50:10.000Z","level":"warn","event":"storeLost","host":"front-a","topic":"endpoints","error":"long ago"}
{"time":"2026-08-30T05:50:16.000Z","level":"warn","event":"storeLost","host":"front-a","topic":"endpoints","error":"dial tcp: i/o timeout"}
{"time":"2026-08-30T05:50:16.000Z","level":"warn","event":"storeLost","host":"front-b","topic":"endpoints","error":"dial tcp: i/o timeout"}
front-a | {"time":"2026-08-30T05:50:17.000Z","level":"info","event":"callTaken","host":"front-a","request":"hold","version":4,"route":"hold","service":"booking","timeLeftMs":2500.0}
{"time":"2026-08-30T05:50:17.100Z","level":"warn","event":"callRefused","host":"front-a","request":"hold","reason":"outcomeUnknown","cause":"brokenConnections","mayHaveRun":true,"attempts":1,"result":"failed"}
{"time":"2026-08-30T05:50:17.001Z","level":"info","event":"callSent","host":"front-a","request":"hold","endpoint":"i-1","attempt":1,"predictedFirstMs":23.7}
{"time":"2026-08-30T05:50:17.099Z","level":"warn","event":"attemptEnded","host":"front-a","request":"hold","endpoint":"i-1","attempt":1,"outcome":"Broken","events":0,"afterMs":98.2,"error":"connection reset by peer"}
{"time":"2026-08-30T05:50:17.101Z","level":"info","event":"callEnded","host":"front-a","request":"hold","result":"failed","status":502,"totalMs":101.0}
{"time":"2026-08-30T05:50:17.500Z","level":"info","event":"callTaken","host":"front-a","request":"other","version":4}
panic: not a line
{"time":"2026-08-30T05:50:18.000Z","level":"info","event":"endpointGone","host":"front-a","endpoint":"i-1","born":7,"reason":"lapsed"}
`

func collectLines(request string) *incident.Collector {
	collector := incident.New(request)
	for _, line := range strings.Split(lines, "\n") {
		collector.Add([]byte(line))
	}
	return collector
}

// TestReport checks that a report contains the lines that concern the request in
// chronological order, and names the cause.
func TestReport(t *testing.T) {
	report, err := collectLines("hold").Report()
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", []byte(report.String()))
}

func TestReportOfUnknownRequest(t *testing.T) {
	_, err := collectLines("nothing").Report()
	var notFound *incident.NotFoundError
	if !errors.As(err, &notFound) || notFound.Lines != 13 || notFound.UnreadableLines != 1 {
		t.Errorf("error is %v", err)
	}
}

func TestCause(t *testing.T) {
	line := func(event, fields string) string {
		return `{"time":"2026-08-30T05:50:17.000Z","event":"` + event + `","host":"front-a","request":"r","endpoint":"i-1",` + fields + `}`
	}
	for _, c := range []struct {
		name  string
		lines []string
		want  string
	}{
		{"served", []string{line("callEnded", `"result":"served","status":200,"totalMs":12.5`)}, "served with status 200 after 12.5 ms"},
		{"denied", []string{line("callDenied", `"reason":"unknownKey","status":401`)}, "denied with status 401: no team of the configuration has that key"},
		{"overloaded", []string{line("callRefused", `"reason":"overloaded","cause":"","mayHaveRun":false,"result":"refused"`)}, "refused, and has not run: every engine's queue was too long for it, or for more urgent calls behind it"},
		{"refused", []string{line("callRefused", `"reason":"allFull","cause":"","mayHaveRun":false,"result":"refused"`)}, "refused, and has not run: no endpoint could have begun it in time"},
		{"cut", []string{
			line("attemptEnded", `"attempt":1,"outcome":"Broken","events":10,"afterMs":3793.4`),
			line("callRefused", `"reason":"outcomeUnknown","cause":"brokenConnections","mayHaveRun":true,"result":"cut"`),
		}, "cut in the middle of its answer: an endpoint may have run it, so that it could not be sent again; the endpoints closed their connections before the end; attempt 1 at i-1 ended as Broken after 3793.4 ms and 10 events"},
		{"left", []string{line("callEnded", `"result":"callerLeft","totalMs":400.0`)}, "the caller left after 400.0 ms"},
		{"noEnd", []string{line("callTaken", `"version":4`)}, "no end is told: front-a has not ended it, lost the line (linesDropped) or was killed"},
		{"lost", []string{line("callLost", `"version":4`)}, "failed: a fault of the program restarted the part of the host that decides"},
		{"unknownReason", []string{line("callRefused", `"reason":"new","mayHaveRun":false`)}, "refused, and has not run: new"},
	} {
		t.Run(c.name, func(t *testing.T) {
			collector := incident.New("r")
			for _, line := range c.lines {
				collector.Add([]byte(line))
			}
			report, err := collector.Report()
			if err != nil {
				t.Fatal(err)
			}
			if report.Cause != c.want {
				t.Errorf("cause is %q, want %q", report.Cause, c.want)
			}
		})
	}
}
