package gateway_test

import (
	"fmt"
	"math"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"
)

// BenchmarkIdleFleet measures the processor time that a host of a large fleet without
// calls takes, in milliseconds a second. The hosts run in one process.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{6, 60, 195} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			shareMemory(b)
			const duration = 5 * time.Second
			for b.Loop() {
				reportUse(b, f, duration, func() { time.Sleep(duration) })
			}
		})
	}
}

// BenchmarkBusyFleet is like BenchmarkIdleFleet, with 2.4 calls a second at each host. The
// time includes that of the callers and of the endpoints.
func BenchmarkBusyFleet(b *testing.B) {
	for _, size := range []int{6, 60, 195} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			shareMemory(b)
			const duration = 5 * time.Second
			interval := time.Duration(float64(time.Second) / 2.4 / float64(size))
			for b.Loop() {
				reportUse(b, f, duration, func() { f.callAll(duration, interval) })
			}
		})
	}
}

// shareMemory lifts the hosts' limits on memory, which are meant for one process each: with
// them the garbage collector would take most of the time.
func shareMemory(b *testing.B) {
	b.Helper()
	limit, percent := debug.SetMemoryLimit(math.MaxInt64), debug.SetGCPercent(400)
	b.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
}

// callAll makes a call in each interval, at one host after the other.
func (f *hostFleet) callAll(duration, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wait sync.WaitGroup
	for i := range int(duration / interval) {
		<-tick.C
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.hosts[i%len(f.hosts)].post(fmt.Sprintf("/draft/%d/stream", i), "x")
		}()
	}
	wait.Wait()
}

// reportUse reports the processor time and the datagrams of a host, for a second.
func reportUse(b *testing.B, f *hostFleet, duration time.Duration, measure func()) {
	b.Helper()
	processor, datagrams := processorTime(b), f.sentDatagrams()
	measure()
	hostSeconds := duration.Seconds() * float64(len(f.hosts))
	b.ReportMetric(float64((processorTime(b)-processor).Milliseconds())/hostSeconds, "ms/host-s")
	b.ReportMetric(float64(f.sentDatagrams()-datagrams)/hostSeconds, "datagrams/host-s")
}

// sentDatagrams returns the number of datagrams that the hosts have sent to each other.
func (f *hostFleet) sentDatagrams() int64 {
	total := int64(0)
	for _, host := range f.hosts {
		total += host.gateway.SentDatagrams()
	}
	return total
}

// processorTime returns the processor time that the process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
