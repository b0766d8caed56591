package weighed

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchSeed  = 1
	benchZones = 3
	benchDelay = time.Millisecond
	// benchLimit is how long a fleet may take to agree before it is given up.
	benchLimit = 10 * time.Minute
)

type namedScheme struct {
	name    string
	newPart func(Environment) SchemeInstance
}

var schemes = []namedScheme{
	{
		name:    "chosen",
		newPart: NewProductHost,
	},
}

// experiment is a course of events whose outcome is measured.
type experiment struct {
	name string
	loss float64
	run  func(b *testing.B, fleet *Fleet, hosts int)
}

var experiments = []experiment{
	{
		name: "calm",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			const length = time.Minute
			fleet.ResetTraffic()
			fleet.Run(length)
			traffic := fleet.Traffic()
			perHost := length.Seconds() * float64(hosts)
			b.ReportMetric(float64(traffic.Messages)/perHost, "sent/s/host")
			b.ReportMetric(float64(traffic.Bytes)/perHost, "bytes/s/host")
		},
	},
	{
		name: "crash",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			reportLoss(b, fleet, hosts, []int{hosts / 2})
		},
	},
	{
		name: "rack",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			reportLoss(b, fleet, hosts, rackOf(hosts))
		},
	},
	{
		name: "zone",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			reportLoss(b, fleet, hosts, zoneOf(hosts))
		},
	},
	{
		name: "healed",
		run: func(b *testing.B, fleet *Fleet, _ int) {
			inZone := func(i int) bool { return i%benchZones == 1 }
			fleet.SetDropRule(func(from, to int) bool { return inZone(from) != inZone(to) })
			fleet.Run(2 * time.Minute)
			fleet.SetDropRule(nil)
			reportAgreement(b, fleet)
		},
	},
	{
		name: "lossy",
		loss: 0.05,
		run: func(b *testing.B, fleet *Fleet, _ int) {
			before := fleet.Removals()
			fleet.Run(10 * time.Minute)
			b.ReportMetric(float64(fleet.Removals()-before), "falseRemovals")
		},
	},
	{
		name: "pauses",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			before := fleet.Removals()
			for i := range 30 {
				fleet.Pause(i*7%hosts, 3*time.Second)
				fleet.Run(10 * time.Second)
			}
			b.ReportMetric(float64(fleet.Removals()-before), "falseRemovals")
		},
	},
}

// rackOf returns a fifteenth of the hosts, at least two, that stand side by side
// on the token ring.
func rackOf(hosts int) []int {
	var rack []int
	for i := range max(2, hosts/15) {
		rack = append(rack, 10%hosts+i)
	}
	return rack
}

func zoneOf(hosts int) []int {
	var zone []int
	for i := 1; i < hosts; i += benchZones {
		zone = append(zone, i)
	}
	return zone
}

// reportLoss crashes hosts and reports the time until the first other host has
// removed one of them, the time until all views agree, and the traffic.
func reportLoss(b *testing.B, fleet *Fleet, hosts int, lost []int) {
	b.Helper()
	before := fleet.Removals()
	fleet.ResetTraffic()
	fleet.Crash(lost...)
	detected, _ := fleet.RunUntil(benchLimit, func() bool { return fleet.Removals() > before })
	agreed, ok := fleet.RunUntil(benchLimit, fleet.Agreed)
	b.ReportMetric(detected.Seconds(), "detected-s")
	if !ok {
		b.ReportMetric(float64(fleet.wrongPairs()), "wrongPairs")
	}
	took := detected + agreed
	b.ReportMetric(took.Seconds(), "agreed-s")
	b.ReportMetric(float64(fleet.MaxTraffic())/took.Seconds(), "maxBytes/s/host")
	b.ReportMetric(float64(fleet.Traffic().Bytes)/took.Seconds()/float64(hosts-len(lost)), "bytes/s/host")
}

func reportAgreement(b *testing.B, fleet *Fleet) {
	b.Helper()
	took, ok := fleet.RunUntil(benchLimit, fleet.Agreed)
	if !ok {
		b.ReportMetric(float64(fleet.wrongPairs()), "wrongPairs")
	}
	b.ReportMetric(took.Seconds(), "agreed-s")
}

// wrongPairs counts the pairs of hosts of which the first, being up, is wrong
// about the second.
func (f *Fleet) wrongPairs() int {
	count := 0
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h != other && h.up && h.part.Live(other.index) != other.up {
				count++
			}
		}
	}
	return count
}

func runExperiment(b *testing.B, scheme namedScheme, experiment experiment, hosts int) {
	b.Helper()
	for range b.N {
		fleet := New(Network{
			Hosts: hosts,
			Zones: benchZones,
			Delay: benchDelay,
			Loss:  experiment.loss,
			Seed:  benchSeed,
		}, scheme.newPart)
		if _, ok := fleet.RunUntil(2*time.Minute, fleet.Agreed); !ok {
			b.Fatal("fleet does not agree at first")
		}
		fleet.Run(30 * time.Second)
		experiment.run(b, fleet, hosts)
	}
}

// BenchmarkSchemes measures a scheme by the same courses of events in virtual
// time.
func BenchmarkSchemes(b *testing.B) {
	for _, hosts := range []int{9, 300} {
		for _, scheme := range schemes {
			for _, experiment := range experiments {
				b.Run(fmt.Sprintf("hosts=%d/%s/%s", hosts, scheme.name, experiment.name), func(b *testing.B) {
					runExperiment(b, scheme, experiment, hosts)
				})
			}
		}
	}
}

// BenchmarkLarge loses a rack at 2,400 hosts.
func BenchmarkLarge(b *testing.B) {
	const hosts = 2400
	for _, scheme := range schemes {
		for _, experiment := range experiments {
			if experiment.name != "calm" && experiment.name != "crash" && experiment.name != "rack" {
				continue
			}
			b.Run(fmt.Sprintf("hosts=%d/%s/%s", hosts, scheme.name, experiment.name), func(b *testing.B) {
				runExperiment(b, scheme, experiment, hosts)
			})
		}
	}
}
