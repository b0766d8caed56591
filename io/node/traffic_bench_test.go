package node

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cactuswell/core/membership"
	"cactuswell/core/record"
)

// trafficPeriod is how long BenchmarkControlTraffic counts, on the real clock.
var trafficPeriod = flag.Duration("trafficPeriod", time.Second, "how long to count control traffic")

// BenchmarkControlTraffic counts the bytes that one host sends and receives in a
// second for membership, above TCP, in a calm fleet over loopback. Each byte is
// counted at its sender and at its receiver.
func BenchmarkControlTraffic(b *testing.B) {
	for _, hosts := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				benchmarkTraffic(b, hosts)
			}
		})
	}
}

func benchmarkTraffic(b *testing.B, count int) {
	store := emptyLog()
	settings := membership.DefaultSettings()
	var hosts []*testHost
	for i := range count {
		h := startHost(b, fmt.Sprintf("host-%02d", i), store, settings)
		settings.Seeds = []string{hosts0(hosts, h).node.Self().Address}
		h.node.SetHead(record.StreamConfiguration, 1000)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		for h.node.LiveCount() != count {
			<-h.changed
		}
	}
	<-time.After(20 * time.Second)
	before := traffics(hosts)
	<-time.After(*trafficPeriod)
	after := traffics(hosts)
	seconds := trafficPeriod.Seconds() * float64(count)
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds, "bytes/s/host")
	b.ReportMetric(float64(after.probes-before.probes)/seconds, "probes/s/host")
	b.ReportMetric(float64(after.bytes-before.bytes)/float64(after.probes-before.probes)/2, "bytes/probe")
	for _, h := range hosts {
		h.stop()
	}
}

func hosts0(hosts []*testHost, first *testHost) *testHost {
	if len(hosts) > 0 {
		return hosts[0]
	}
	return first
}

type trafficSum struct {
	bytes  uint64
	probes uint64
}

func traffics(hosts []*testHost) trafficSum {
	var sum trafficSum
	for _, h := range hosts {
		counters := h.node.Counters()
		sum.bytes += counters.BytesSent + counters.BytesReceived
		answer := make(chan uint64, 1)
		h.node.inbox.TryPush(envelope{
			query: func(machine *membership.Machine) {
				answer <- machine.Counters().ProbesSent
			},
		})
		sum.probes += <-answer
	}
	return sum
}
