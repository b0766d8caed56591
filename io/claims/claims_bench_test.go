package claims

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/record"
	standin "cactuswell/standin/logservice"
)

// loadCase is the number of hosts and of callers at each host. Each caller
// claims keys one after another.
type loadCase struct {
	hosts   int
	callers int
}

const (
	loadDuration = 10 * time.Second
	// logAppendRate is the log's limit in appends per second.
	logAppendRate = 300
	// claimLatencyLimit is the latency target of a room hold, which includes
	// its claim.
	claimLatencyLimit = time.Second
)

// BenchmarkClaims measures claims over a log that takes 300 appends per second
// and responds after 5 ms, in virtual time.
func BenchmarkClaims(b *testing.B) {
	for _, l := range []loadCase{
		{
			hosts:   1,
			callers: 1,
		},
		{
			hosts:   1,
			callers: 20,
		},
		{
			hosts:   9,
			callers: 1,
		},
		{
			hosts:   9,
			callers: 20,
		},
	} {
		b.Run(fmt.Sprintf("hosts=%d/callers=%d", l.hosts, l.callers), func(b *testing.B) {
			for b.Loop() {
				measureLoad(b, l)
			}
		})
	}
}

func measureLoad(b *testing.B, l loadCase) {
	var latencies []time.Duration
	var appends uint64
	var refused int
	runInBubble(b, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.settings.MaxTeamKeys = fleet.settings.MaxKeys
		fleet.store.SetFaults(standin.Faults{
			DelayMs:          5,
			AppendsPerSecond: logAppendRate,
		})
		latencies, refused = runLoad(fleet, l)
		appends, _ = fleet.store.Counts()
	})
	slices.Sort(latencies)
	claims := float64(len(latencies))
	if refused > 0 {
		b.Errorf("%d claims were refused although the log was available", refused)
	}
	if rate := float64(appends) / loadDuration.Seconds(); rate > logAppendRate {
		b.Errorf("%.0f appends per second, limit of the log is %d", rate, logAppendRate)
	}
	if worst := latencies[len(latencies)-1]; worst > claimLatencyLimit {
		b.Errorf("a claim took %v, the latency target of a room hold is %v", worst, claimLatencyLimit)
	}
	b.ReportMetric(claims/loadDuration.Seconds(), "claims/s")
	b.ReportMetric(float64(appends)/claims, "appends/claim")
	b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1])/1e6, "worst-ms")
	b.ReportMetric(float64(refused), "refused")
}

// runLoad returns the latency of each granted claim and the number of calls
// that were not granted.
func runLoad(fleet *testFleet, l loadCase) (latencies []time.Duration, refused int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(loadDuration)
	for h := range l.hosts {
		host := fleet.start(fmt.Sprintf("host-%d", h))
		host.claims.SetHostCount(l.hosts)
		for c := range l.callers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					start := time.Now()
					decision := host.decide(fmt.Sprintf("%d-%d-%d", h, c, n), "a", 5*time.Second)
					mu.Lock()
					if run, ok := decision.(Run); ok {
						latencies = append(latencies, time.Since(start))
						_ = run.Ticket.MarkStarted()
						_ = run.Ticket.Finish(booked)
					} else {
						refused++
					}
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	return latencies, refused
}

// runInBubble runs body with virtual time in a synctest bubble.
func runInBubble(b *testing.B, body func(t *testing.T)) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{
			Name: "bubble",
			F:    func(t *testing.T) { synctest.Test(t, body) },
		},
	})
	if !ok {
		b.Fatal("measured run failed")
	}
}

// BenchmarkMemoryPerKey measures the memory used by one key with its outcome.
func BenchmarkMemoryPerKey(b *testing.B) {
	for _, keys := range []int{5000, 50000, 200000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				measureKeys(b, keys)
			}
		})
	}
}

func measureKeys(b *testing.B, keys int) {
	before := heapBytes()
	runner := newKeyRunner(keys)
	for key := range keys {
		runner.completeCall(b, key)
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
	b.ReportMetric(float64(runner.machine.Table().KeyCount()), "keys")
	runtime.KeepAlive(runner)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// keyRunner runs one machine over a log that answers every append and read.
type keyRunner struct {
	machine *claim.Machine
	now     time.Time
	next    record.Offset
	grant   claim.Grant
}

func newKeyRunner(keys int) *keyRunner {
	settings := claim.DefaultSettings()
	settings.MaxTeamKeys = keys
	return &keyRunner{
		machine: claim.New(claim.Issuer{Host: "host-1"}, settings),
		now:     time.Unix(0, 0),
	}
}

func (k *keyRunner) completeCall(b *testing.B, key int) {
	k.step(claim.DecisionRequested{
		Call:     claim.CallID(key + 1),
		Team:     testTeam,
		Key:      fmt.Sprintf("00dc6acf-ac00-7000-8000-%012d", key),
		Deadline: k.now.Add(time.Minute),
	})
	k.step(claim.Tick{})
	if k.grant.ID == "" {
		b.Fatal("no grant")
	}
	k.step(claim.CallFinished{
		Grant:   k.grant,
		Outcome: booked,
	})
	k.step(claim.Tick{})
	k.grant = claim.Grant{}
}

func (k *keyRunner) step(event claim.Event) {
	k.now = k.now.Add(10 * time.Millisecond)
	for _, command := range k.machine.Step(k.now, event, nil) {
		switch command := command.(type) {
		case claim.Append:
			k.step(claim.AppendSucceeded{})
			k.read(command.Records)
		case claim.Decide:
			if run, ok := command.Decision.(claim.Run); ok {
				k.grant = run.Grant
			}
		}
	}
}

func (k *keyRunner) read(records [][]byte) {
	var stored []claim.StoredRecord
	for _, data := range records {
		stored = append(stored, claim.StoredRecord{
			Offset: k.next,
			Data:   slices.Clone(data),
		})
		k.next++
	}
	k.step(claim.RecordsRead{
		StartedAt:  k.now,
		Records:    stored,
		NextOffset: k.next,
	})
}
