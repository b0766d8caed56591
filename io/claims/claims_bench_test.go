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

// load is a number of callers at each host that claim keys one after another.
type load struct {
	hosts   int
	callers int
}

const (
	loadPeriod = 10 * time.Second
	// logRate is the log's limit in appends a second.
	logRate = 300
	// claimBound is the latency target of a room hold, of which a claim is only
	// a part.
	claimBound = time.Second
)

// BenchmarkClaims measures claims over a log of 300 appends a second whose
// answers take 5 ms, in virtual time.
func BenchmarkClaims(b *testing.B) {
	for _, l := range []load{
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

func measureLoad(b *testing.B, l load) {
	var latencies []time.Duration
	var appends uint64
	var refused int
	testingT(b, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stop()
		fleet.settings.MaxTeamKeys = fleet.settings.MaxKeys
		fleet.store.SetFaults(standin.Faults{
			DelayMs:          5,
			AppendsPerSecond: logRate,
		})
		latencies, refused = runLoad(fleet, l)
		appends, _ = fleet.store.Counts()
	})
	slices.Sort(latencies)
	claims := float64(len(latencies))
	if refused > 0 {
		b.Errorf("%d claims were refused though the log was up", refused)
	}
	if rate := float64(appends) / loadPeriod.Seconds(); rate > logRate {
		b.Errorf("%.0f appends a second, the log takes %d", rate, logRate)
	}
	if worst := latencies[len(latencies)-1]; worst > claimBound {
		b.Errorf("a claim took %v, a room hold has %v in all", worst, claimBound)
	}
	b.ReportMetric(claims/loadPeriod.Seconds(), "claims/s")
	b.ReportMetric(float64(appends)/claims, "appends/claim")
	b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1])/1e6, "worst-ms")
	b.ReportMetric(float64(refused), "refused")
}

// runLoad returns how long each granted claim took.
func runLoad(fleet *testFleet, l load) (latencies []time.Duration, refused int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(loadPeriod)
	for h := range l.hosts {
		host := fleet.start(fmt.Sprintf("host-%d", h))
		host.claims.SetHostCount(l.hosts)
		for c := range l.callers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					began := time.Now()
					decision := host.begin(fmt.Sprintf("%d-%d-%d", h, c, n), "a", 5*time.Second)
					mu.Lock()
					if run, ok := decision.(Run); ok {
						latencies = append(latencies, time.Since(began))
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

// testingT runs body in a bubble of virtual time.
func testingT(b *testing.B, body func(t *testing.T)) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{
			Name: "bubble",
			F:    func(t *testing.T) { synctest.Test(t, body) },
		},
	})
	if !ok {
		b.Fatal("the measured run failed")
	}
}

// BenchmarkRememberedKey measures the memory of one settled key with its answer.
func BenchmarkRememberedKey(b *testing.B) {
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
	settler := newKeySettler(keys)
	for key := range keys {
		settler.settle(b, key)
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
	b.ReportMetric(float64(settler.machine.Table().KeyCount()), "keys")
	runtime.KeepAlive(settler)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// keySettler runs one machine over a log that always answers.
type keySettler struct {
	machine *claim.Machine
	now     time.Time
	next    record.Offset
	grant   claim.Grant
}

func newKeySettler(keys int) *keySettler {
	settings := claim.DefaultSettings()
	settings.MaxTeamKeys = keys
	return &keySettler{
		machine: claim.New(claim.Issuer{Host: "host-1"}, settings),
		now:     time.Unix(0, 0),
	}
}

func (k *keySettler) settle(b *testing.B, key int) {
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

func (k *keySettler) step(event claim.Event) {
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

func (k *keySettler) read(records [][]byte) {
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
