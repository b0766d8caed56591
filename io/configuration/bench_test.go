package configuration_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	standin "cactuswell/standin/logservice"
)

// benchmarkChanges is the number of changes that one benchmark measures.
const benchmarkChanges = 40

// inVirtualTime runs body as a test, because virtual time is available to tests
// only.
func inVirtualTime(b *testing.B, body func(*testing.T)) {
	b.Helper()
	matchAll := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(matchAll, []testing.InternalTest{
		{
			Name: b.Name(),
			F:    body,
		},
	})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}

// benchmarkCondition is a condition under which changes are measured.
type benchmarkCondition struct {
	name   string
	faults standin.Faults
	// restartingHosts is how many hosts restart at each change. They stop right
	// before it and start again a second after its acceptance.
	restartingHosts int
	// silentConnections makes all open connections silent right before each
	// change.
	silentConnections bool
	// everyHostReadsLog gives each host a zone of its own, so that all hosts
	// long-poll the log: the alternative to the tree, for comparison.
	everyHostReadsLog bool
}

// BenchmarkInForce measures the virtual time from a change's acceptance until
// the last host has applied it, the time until it is accepted, and the load on
// the log and the hosts.
func BenchmarkInForce(b *testing.B) {
	for _, condition := range []benchmarkCondition{
		{name: "calm"},
		{name: "restarts", restartingHosts: 2},
		{name: "logSlow", faults: standin.Faults{DelayMs: 500}},
		{name: "silent", silentConnections: true},
		{name: "allRead", everyHostReadsLog: true},
	} {
		for _, hosts := range []int{3, 9, 30, 100} {
			b.Run(fmt.Sprintf("%s/hosts=%d", condition.name, hosts), func(b *testing.B) {
				for b.Loop() {
					measureInForce(b, condition, hosts)
				}
			})
		}
	}
}

// BenchmarkInForceAtScale is BenchmarkInForce for the planned fleet sizes. It
// takes minutes of real time.
func BenchmarkInForceAtScale(b *testing.B) {
	for _, condition := range []benchmarkCondition{
		{name: "restarts", restartingHosts: 2},
		{name: "silent", silentConnections: true},
	} {
		for _, hosts := range []int{300, 2400} {
			b.Run(fmt.Sprintf("%s/hosts=%d", condition.name, hosts), func(b *testing.B) {
				if testing.Short() {
					b.Skip("takes minutes")
				}
				for b.Loop() {
					measureInForce(b, condition, hosts)
				}
			})
		}
	}
}

func measureInForce(b *testing.B, condition benchmarkCondition, hosts int) {
	var delays, acceptances []time.Duration
	var appends, reads uint64
	var elapsed time.Duration
	var calls, busiest int
	inVirtualTime(b, func(t *testing.T) {
		store := newStore(1)
		runFleet(t, store, 0, func(_ *testing.T, f *fleet) {
			if condition.everyHostReadsLog {
				f.zones = hosts
			}
			for i := range hosts {
				f.start(fmt.Sprintf("host-%d", i))
			}
			time.Sleep(5 * time.Second)
			f.awaitInForce(time.Minute, f.mustChange(0, "first", 1).Offset)
			store.SetFaults(condition.faults)
			time.Sleep(5 * time.Second)
			appendsBefore, readsBefore := store.Counts()
			callsBefore, busiestBefore := f.countServedCalls()
			start := time.Now()
			for round := range benchmarkChanges {
				accepted, inForce := measureChange(f, condition, hosts, round)
				acceptances = append(acceptances, accepted)
				delays = append(delays, inForce)
				time.Sleep(3*time.Second + time.Duration(round)*37*time.Millisecond)
			}
			elapsed = time.Since(start)
			appendsAfter, readsAfter := store.Counts()
			appends, reads = appendsAfter-appendsBefore, readsAfter-readsBefore
			calls, busiest = f.countServedCalls()
			calls -= callsBefore
			busiest -= busiestBefore
		})
	})
	reportTimes(b, delays, "")
	reportTimes(b, acceptances, "accepted-")
	b.ReportMetric(float64(appends)/benchmarkChanges, "appends/change")
	b.ReportMetric(float64(reads)/elapsed.Seconds(), "reads/s")
	b.ReportMetric(float64(calls)/elapsed.Seconds()/float64(hosts), "calls/host/s")
	b.ReportMetric(float64(busiest)/elapsed.Seconds(), "busiest-calls/s")
	if worst := slices.Max(delays); worst > appliedLimit {
		b.Errorf("in force after %v, the limit is %v", worst, appliedLimit)
	}
}

func reportTimes(b *testing.B, times []time.Duration, prefix string) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), prefix+"p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), prefix+"worst-ms")
}

// measureChange returns the time from the call to the acceptance of a change,
// and from there until the last host has applied it.
func measureChange(f *fleet, condition benchmarkCondition, hosts, round int) (accepted, inForce time.Duration) {
	publisher := round % hosts
	restarting := min(condition.restartingHosts, hosts-1)
	name := func(i int) string { return fmt.Sprintf("host-%d", (publisher+1+i)%hosts) }
	for i := range restarting {
		f.stop(name(i))
	}
	if condition.silentConnections {
		f.silenceConnections()
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	outcome := f.mustChange(publisher, fmt.Sprintf("round-%d", round), int64(round+1))
	acceptedAt := time.Now()
	if restarting > 0 {
		time.Sleep(time.Second)
	}
	for i := range restarting {
		f.start(name(i))
	}
	f.awaitInForce(time.Minute, outcome.Offset)
	return acceptedAt.Sub(start), time.Since(acceptedAt)
}

// BenchmarkHostStart measures the virtual time from a host's start until it is
// ready, and the appends per start.
func BenchmarkHostStart(b *testing.B) {
	for _, logDown := range []bool{false, true} {
		b.Run(fmt.Sprintf("logDown=%v", logDown), func(b *testing.B) {
			for b.Loop() {
				measureStart(b, logDown)
			}
		})
	}
}

func measureStart(b *testing.B, logDown bool) {
	const hosts = 9
	var delays []time.Duration
	var appends uint64
	inVirtualTime(b, func(t *testing.T) {
		store := newStore(1)
		runFleet(t, store, hosts, func(_ *testing.T, f *fleet) {
			time.Sleep(5 * time.Second)
			f.awaitInForce(time.Minute, f.mustChange(0, "first", 1).Offset)
			store.SetFaults(standin.Faults{Down: logDown})
			before, _ := store.Counts()
			for i := range hosts {
				time.Sleep(10 * time.Second)
				f.restart(i, 2*time.Second)
				start := time.Now()
				f.awaitReady(time.Minute)
				delays = append(delays, time.Since(start))
			}
			after, _ := store.Counts()
			appends = after - before
		})
	})
	reportTimes(b, delays, "")
	b.ReportMetric(float64(appends)/hosts, "appends/start")
}

// BenchmarkSnapshots counts the snapshot appends per retention period in a fleet
// without changes.
func BenchmarkSnapshots(b *testing.B) {
	const (
		retention = time.Hour
		periods   = 6
	)
	for _, hosts := range []int{3, 9} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				var appends uint64
				inVirtualTime(b, func(t *testing.T) {
					store := newStore(1)
					store.SetFaults(standin.Faults{RetentionMs: retention.Milliseconds()})
					runFleet(t, store, 0, func(_ *testing.T, f *fleet) {
						f.settings.Retention = retention
						for i := range hosts {
							f.start(fmt.Sprintf("host-%d", i))
						}
						time.Sleep(5 * time.Second)
						f.mustChange(0, "first", 1)
						before, _ := store.Counts()
						time.Sleep(periods * retention)
						after, _ := store.Counts()
						appends = after - before
					})
				})
				b.ReportMetric(float64(appends)/periods, "appends/retention")
			}
		})
	}
}
