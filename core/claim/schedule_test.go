package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the size of the property tests.
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

// schedule drives machines over one log in any order of events. A host that
// gets no event for a while is a paused one.
type schedule struct {
	now      time.Time
	log      [][]byte
	late     [][][]byte
	hosts    []*scheduledHost
	lives    uint64
	requests int
	runs     map[string]int
	ran      map[int]bool
	notRun   map[int]bool
}

type scheduledHost struct {
	name    string
	machine *Machine
	append  [][]byte
	calls   map[CallID]*scheduledCall
	granted []*scheduledCall
	next    CallID
}

type scheduledCall struct {
	request int
	key     string
	grant   Grant
	started bool
	ran     bool
}

func newSchedule() *schedule {
	s := &schedule{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		runs:   make(map[string]int),
		ran:    make(map[int]bool),
		notRun: make(map[int]bool),
	}
	for i := range 3 {
		s.hosts = append(s.hosts, &scheduledHost{
			name: fmt.Sprintf("host-%d", i),
		})
		s.boot(s.hosts[i])
	}
	return s
}

func (s *schedule) boot(host *scheduledHost) {
	s.lives++
	host.machine = New(Issuer{
		Host:     host.name,
		Instance: s.lives,
	}, DefaultSettings())
	host.append = nil
	host.calls = make(map[CallID]*scheduledCall)
	host.granted = nil
}

func (s *schedule) step(t *rapid.T, host *scheduledHost, event Event) {
	for _, command := range host.machine.Step(s.now, event, nil) {
		switch command := command.(type) {
		case Append:
			if host.append != nil {
				t.Fatal("two appends at once")
			}
			host.append = command.Records
		case Decide:
			s.decided(t, host, command)
		}
	}
}

func (s *schedule) decided(t *rapid.T, host *scheduledHost, command Decide) {
	call, ok := host.calls[command.Call]
	if !ok {
		t.Fatal("a call was decided twice")
	}
	delete(host.calls, command.Call)
	switch decision := command.Decision.(type) {
	case Run:
		call.grant = decision.Grant
		host.granted = append(host.granted, call)
	case Refused:
		s.notRun[call.request] = true
		if !decision.KeyUnchecked && s.runs[call.key] > 0 {
			t.Fatalf("%s was run, and a caller was told that it was not", call.key)
		}
	}
}

func (s *schedule) pickHost(t *rapid.T) *scheduledHost {
	return rapid.SampledFrom(s.hosts).Draw(t, "host")
}

// pickWhere picks one of the hosts of which that is true.
func (s *schedule) pickWhere(t *rapid.T, where func(*scheduledHost) bool) *scheduledHost {
	var hosts []*scheduledHost
	for _, host := range s.hosts {
		if where(host) {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		t.Skip("no such host")
	}
	return rapid.SampledFrom(hosts).Draw(t, "host")
}

func (s *schedule) pickGrant(t *rapid.T) (*scheduledHost, *scheduledCall) {
	host := s.pickWhere(t, func(host *scheduledHost) bool { return len(host.granted) > 0 })
	return host, rapid.SampledFrom(host.granted).Draw(t, "grant")
}

func (h *scheduledHost) close(call *scheduledCall) {
	for i, other := range h.granted {
		if other == call {
			h.granted = append(h.granted[:i:i], h.granted[i+1:]...)
			return
		}
	}
}

func (s *schedule) begin(t *rapid.T) {
	host := s.pickHost(t)
	host.next++
	s.requests++
	key := rapid.SampledFrom([]string{"hold-1", "hold-1", "hold-2"}).Draw(t, "key")
	host.calls[host.next] = &scheduledCall{
		request: s.requests,
		key:     key,
	}
	s.step(t, host, DecisionRequested{
		Call:     host.next,
		Team:     "team",
		Key:      key,
		Deadline: s.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "waitMs")) * time.Millisecond),
	})
}

func (s *schedule) endAppend(t *rapid.T) {
	host := s.pickWhere(t, func(host *scheduledHost) bool { return host.append != nil })
	records := host.append
	host.append = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "failed", "late", "refused"}).Draw(t, "append") {
	case "ok":
		s.log = append(s.log, records...)
		s.step(t, host, AppendSucceeded{})
	case "lost":
		s.log = append(s.log, records...)
		s.step(t, host, AppendUncertain{})
	case "failed":
		s.step(t, host, AppendUncertain{})
	case "late":
		s.late = append(s.late, records)
		s.step(t, host, AppendUncertain{})
	case "refused":
		s.step(t, host, AppendRefused{})
	}
}

func (s *schedule) landLate(t *rapid.T) {
	if len(s.late) == 0 {
		t.Skip("no late append")
	}
	s.log = append(s.log, s.late[0]...)
	s.late = s.late[1:]
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
	if !call.started || call.ran {
		t.Skip("not to be executed")
	}
	call.ran = true
	s.ran[call.request] = true
	s.runs[call.key]++
}

func (s *schedule) finish(t *rapid.T) {
	host, call := s.pickGrant(t)
	if !call.ran {
		t.Skip("not executed")
	}
	host.close(call)
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
	host.close(call)
	s.notRun[call.request] = true
	if s.runs[call.key] > 0 {
		t.Fatalf("%s was run, and its grant was given to another call", call.key)
	}
	s.step(t, host, CallAbandoned{Grant: call.grant})
}

func (s *schedule) pass(t *rapid.T) {
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
	if host.append != nil && rapid.Bool().Draw(t, "lands") {
		s.late = append(s.late, host.append)
	}
	s.boot(host)
}

func (s *schedule) check(t *rapid.T) {
	for key, runs := range s.runs {
		if runs > 1 {
			t.Fatalf("%s was executed %d times", key, runs)
		}
	}
	for request := range s.notRun {
		if s.ran[request] {
			t.Fatalf("request %d was told that it was not run, and was", request)
		}
	}
}

func TestAnyScheduleRunsAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		t.Repeat(map[string]func(*rapid.T){
			"begin":     s.begin,
			"beginMore": s.begin,
			"endAppend": s.endAppend,
			"landLate":  s.landLate,
			"read":      s.read,
			"readMore":  s.read,
			"start":     s.start,
			"execute":   s.execute,
			"finish":    s.finish,
			"abandon":   s.abandon,
			"pass":      s.pass,
			"crash":     s.crash,
			"":          s.check,
		})
	})
}
