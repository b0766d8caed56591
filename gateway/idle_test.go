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
			newFleet(b, size)
			// The hosts' limits on memory are meant for one process each.
			debug.SetMemoryLimit(math.MaxInt64)
			debug.SetGCPercent(400)
			const duration = 5 * time.Second
			for b.Loop() {
				before := processorTime(b)
				time.Sleep(duration)
				used := processorTime(b) - before
				b.ReportMetric(float64(used.Milliseconds())/duration.Seconds()/float64(size), "ms/host-s")
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
			debug.SetMemoryLimit(math.MaxInt64)
			debug.SetGCPercent(400)
			const duration = 5 * time.Second
			interval := time.Duration(float64(time.Second) / 2.4 / float64(size))
			for b.Loop() {
				before := processorTime(b)
				tick := time.NewTicker(interval)
				var wait sync.WaitGroup
				for i := range int(duration / interval) {
					<-tick.C
					wait.Add(1)
					go func() {
						defer wait.Done()
						f.hosts[i%size].post(fmt.Sprintf("/draft/%d/stream", i), "x")
					}()
				}
				wait.Wait()
				tick.Stop()
				used := processorTime(b) - before
				b.ReportMetric(float64(used.Milliseconds())/duration.Seconds()/float64(size), "ms/host-s")
			}
		})
	}
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
