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
	// benchLimit is the time in which a fleet must agree.
	benchLimit = 10 * time.Minute
)

type namedScheme struct {
	name        string
	newInstance func(Environment) SchemeInstance
}

var schemes = []namedScheme{
	{
		name:        "chosen",
		newInstance: NewProductHost,
	},
}

// experiment is a sequence of events with the metrics to report.
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
			reportHostLoss(b, fleet, hosts, []int{hosts / 2})
		},
	},
	{
		name: "rack",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			reportHostLoss(b, fleet, hosts, rackIndexes(hosts))
		},
	},
	{
		name: "zone",
		run: func(b *testing.B, fleet *Fleet, hosts int) {
			reportHostLoss(b, fleet, hosts, zoneIndexes(hosts))
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

// rackIndexes returns a fifteenth of the hosts, at least two, with consecutive
// indexes.
func rackIndexes(hosts int) []int {
	var rack []int
	for i := range max(2, hosts/15) {
		rack = append(rack, 10%hosts+i)
	}
	return rack
}

func zoneIndexes(hosts int) []int {
	var zone []int
	for i := 1; i < hosts; i += benchZones {
		zone = append(zone, i)
	}
	return zone
}

// reportHostLoss crashes hosts and reports the time until any host has removed
// another one, the time until all views agree, and the traffic.
func reportHostLoss(b *testing.B, fleet *Fleet, hosts int, crashed []int) {
	b.Helper()
	before := fleet.Removals()
	fleet.ResetTraffic()
	fleet.Crash(crashed...)
	detected, _ := fleet.RunUntil(benchLimit, func() bool { return fleet.Removals() > before })
	agreed, ok := fleet.RunUntil(benchLimit, fleet.Agreed)
	b.ReportMetric(detected.Seconds(), "detected-s")
	if !ok {
		b.ReportMetric(float64(fleet.countWrongPairs()), "wrongPairs")
	}
	took := detected + agreed
	b.ReportMetric(took.Seconds(), "agreed-s")
	b.ReportMetric(float64(fleet.MaxTraffic())/took.Seconds(), "maxBytes/s/host")
	b.ReportMetric(float64(fleet.Traffic().Bytes)/took.Seconds()/float64(hosts-len(crashed)), "bytes/s/host")
}

func reportAgreement(b *testing.B, fleet *Fleet) {
	b.Helper()
	took, ok := fleet.RunUntil(benchLimit, fleet.Agreed)
	if !ok {
		b.ReportMetric(float64(fleet.countWrongPairs()), "wrongPairs")
	}
	b.ReportMetric(took.Seconds(), "agreed-s")
}

// countWrongPairs counts the pairs of hosts of which the first is up and has a
// wrong belief about the second.
func (f *Fleet) countWrongPairs() int {
	count := 0
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h != other && h.up && h.instance.Live(other.index) != other.up {
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
		}, scheme.newInstance)
		if _, ok := fleet.RunUntil(2*time.Minute, fleet.Agreed); !ok {
			b.Fatal("views do not agree after the start")
		}
		fleet.Run(30 * time.Second)
		experiment.run(b, fleet, hosts)
	}
}

// BenchmarkSchemes measures a scheme in the same experiments in virtual time.
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

// BenchmarkLarge measures an undisturbed fleet, a crash and the loss of a rack with
// 2,400 hosts.
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
