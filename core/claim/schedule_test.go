package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets the seed and the size of the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "20261203",
		"rapid.checks": "1000",
		"rapid.steps":  "120",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// schedule drives the machines of several hosts over one log with events in
// random order. A host that gets no event for a while acts as a paused one.
type schedule struct {
	now            time.Time
	log            [][]byte
	lateAppends    [][][]byte
	hosts          []*scheduledHost
	instances      uint64
	requests       int
	runsByKey      map[string]int
	executed       map[int]bool
	reportedNotRun map[int]bool
}

type scheduledHost struct {
	name           string
	machine        *Machine
	appendInFlight [][]byte
	calls          map[CallID]*scheduledCall
	granted        []*scheduledCall
	lastCall       CallID
}

type scheduledCall struct {
	request  int
	key      string
	grant    Grant
	started  bool
	executed bool
}

func newSchedule() *schedule {
	s := &schedule{
		now:            time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		runsByKey:      make(map[string]int),
		executed:       make(map[int]bool),
		reportedNotRun: make(map[int]bool),
	}
	for i := range 3 {
		s.hosts = append(s.hosts, &scheduledHost{
			name: fmt.Sprintf("host-%d", i),
		})
		s.startInstance(s.hosts[i])
	}
	return s
}

func (s *schedule) startInstance(host *scheduledHost) {
	s.instances++
	host.machine = New(Issuer{
		Host:     host.name,
		Instance: s.instances,
	}, DefaultSettings())
	host.appendInFlight = nil
	host.calls = make(map[CallID]*scheduledCall)
	host.granted = nil
}

func (s *schedule) step(t *rapid.T, host *scheduledHost, event Event) {
	for _, command := range host.machine.Step(s.now, event, nil) {
		switch command := command.(type) {
		case Append:
			if host.appendInFlight != nil {
				t.Fatal("second append while one is in flight")
			}
			host.appendInFlight = command.Records
		case Decide:
			s.handleDecision(t, host, command)
		}
	}
}

func (s *schedule) handleDecision(t *rapid.T, host *scheduledHost, command Decide) {
	call, ok := host.calls[command.Call]
	if !ok {
		t.Fatal("call was decided twice")
	}
	delete(host.calls, command.Call)
	switch decision := command.Decision.(type) {
	case Run:
		call.grant = decision.Grant
		host.granted = append(host.granted, call)
	case Refused:
		s.reportedNotRun[call.request] = true
		if !decision.KeyUnchecked && s.runsByKey[call.key] > 0 {
			t.Fatalf("%s was run, but a caller was refused as if it was not", call.key)
		}
	}
}

func (s *schedule) pickHost(t *rapid.T) *scheduledHost {
	return rapid.SampledFrom(s.hosts).Draw(t, "host")
}

// pickWhere picks one of the hosts for which the condition holds.
func (s *schedule) pickWhere(t *rapid.T, where func(*scheduledHost) bool) *scheduledHost {
	var hosts []*scheduledHost
	for _, host := range s.hosts {
		if where(host) {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		t.Skip("no host meets the condition")
	}
	return rapid.SampledFrom(hosts).Draw(t, "host")
}

func (s *schedule) pickGrant(t *rapid.T) (*scheduledHost, *scheduledCall) {
	host := s.pickWhere(t, func(host *scheduledHost) bool { return len(host.granted) > 0 })
	return host, rapid.SampledFrom(host.granted).Draw(t, "grant")
}

func (h *scheduledHost) removeGrant(call *scheduledCall) {
	for i, other := range h.granted {
		if other == call {
			h.granted = append(h.granted[:i:i], h.granted[i+1:]...)
			return
		}
	}
}

func (s *schedule) requestDecision(t *rapid.T) {
	host := s.pickHost(t)
	host.lastCall++
	s.requests++
	key := rapid.SampledFrom([]string{"hold-1", "hold-1", "hold-2"}).Draw(t, "key")
	host.calls[host.lastCall] = &scheduledCall{
		request: s.requests,
		key:     key,
	}
	s.step(t, host, DecisionRequested{
		Call:     host.lastCall,
		Team:     "team",
		Key:      key,
		Deadline: s.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "waitMs")) * time.Millisecond),
	})
}

func (s *schedule) completeAppend(t *rapid.T) {
	host := s.pickWhere(t, func(host *scheduledHost) bool { return host.appendInFlight != nil })
	records := host.appendInFlight
	host.appendInFlight = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "failed", "late", "refused"}).Draw(t, "append") {
	case "ok":
		s.log = append(s.log, records...)
		s.step(t, host, AppendSucceeded{})
	case "lost":
		s.log = append(s.log, records...)
		s.step(t, host, AppendResultUnknown{})
	case "failed":
		s.step(t, host, AppendResultUnknown{})
	case "late":
		s.lateAppends = append(s.lateAppends, records)
		s.step(t, host, AppendResultUnknown{})
	case "refused":
		s.step(t, host, AppendRefused{})
	}
}

func (s *schedule) deliverLateAppend(t *rapid.T) {
	if len(s.lateAppends) == 0 {
		t.Skip("no late append")
	}
	s.log = append(s.log, s.lateAppends[0]...)
	s.lateAppends = s.lateAppends[1:]
}

func (s *schedule) read(t *rapid.T) {
	host := s.pickWhere(t, func(host *scheduledHost) bool {
		return int(host.machine.Position()) < len(s.log) || host.machine.UnwrittenRecords() > 0
	})
	from := int(host.machine.Position())
	limit := rapid.IntRange(1, 20).Draw(t, "records")
	var records []StoredRecord
	for offset := from; offset < len(s.log) && len(records) < limit; offset++ {
		records = append(records, StoredRecord{
			Offset: offsetOf(offset),
			Data:   s.log[offset],
		})
	}
	s.step(t, host, RecordsRead{
		StartedAt:  s.now,
		Records:    records,
		NextOffset: offsetOf(len(s.log)),
	})
}

func (s *schedule) start(t *rapid.T) {
	_, call := s.pickGrant(t)
	call.started = true
}

func (s *schedule) execute(t *rapid.T) {
	_, call := s.pickGrant(t)
	if !call.started || call.executed {
		t.Skip("not started or already executed")
	}
	call.executed = true
	s.executed[call.request] = true
	s.runsByKey[call.key]++
}

func (s *schedule) finish(t *rapid.T) {
	host, call := s.pickGrant(t)
	if !call.executed {
		t.Skip("not executed")
	}
	host.removeGrant(call)
	s.step(t, host, CallFinished{
		Grant:   call.grant,
		Outcome: Outcome{Status: 201},
	})
}

func (s *schedule) abandon(t *rapid.T) {
	host, call := s.pickGrant(t)
	if call.started {
		t.Skip("started")
	}
	host.removeGrant(call)
	s.reportedNotRun[call.request] = true
	if s.runsByKey[call.key] > 0 {
		t.Fatalf("%s was run, but another call was granted it", call.key)
	}
	s.step(t, host, CallAbandoned{Grant: call.grant})
}

func (s *schedule) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for _, host := range s.hosts {
		if rapid.IntRange(0, 3).Draw(t, "paused") > 0 {
			s.step(t, host, Tick{})
		}
	}
}

func (s *schedule) crash(t *rapid.T) {
	host := s.pickHost(t)
	if rapid.IntRange(0, 3).Draw(t, "survives") > 0 {
		t.Skip("survives")
	}
	if host.appendInFlight != nil && rapid.Bool().Draw(t, "lands") {
		s.lateAppends = append(s.lateAppends, host.appendInFlight)
	}
	s.startInstance(host)
}

func (s *schedule) checkInvariants(t *rapid.T) {
	for key, runs := range s.runsByKey {
		if runs > 1 {
			t.Fatalf("%s was executed %d times", key, runs)
		}
	}
	for request := range s.reportedNotRun {
		if s.executed[request] {
			t.Fatalf("request %d was reported as not run, but was executed", request)
		}
	}
}

// TestAnyScheduleRunsAKeyAtMostOnce checks that a key is executed at most once
// and that no request reported as not run was executed, under any order of
// events, with pauses, crashes and appends that fail, arrive late or have an
// unknown result.
func TestAnyScheduleRunsAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		t.Repeat(map[string]func(*rapid.T){
			"begin":     s.requestDecision,
			"beginMore": s.requestDecision,
			"endAppend": s.completeAppend,
			"landLate":  s.deliverLateAppend,
			"read":      s.read,
			"readMore":  s.read,
			"start":     s.start,
			"execute":   s.execute,
			"finish":    s.finish,
			"abandon":   s.abandon,
			"pass":      s.advanceTime,
			"crash":     s.crash,
			"":          s.checkInvariants,
		})
	})
}
