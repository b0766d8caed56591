package replica_test

import (
	"fmt"
	"testing"
	"time"

	"cactuswell/core/replica"
)

const (
	tick = 10 * time.Millisecond
	// reportDelay is the delay of the reports that readers and relays send at once, a
	// relay's interval and the network; heartbeat is the interval of all reports, and
	// silence the time after which a silent relay or host of a small fleet is taken for
	// dead.
	reportDelay = 30 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	silence     = 1700 * time.Millisecond
	readerAge   = 1200 * time.Millisecond
	// newsTime is how long after a change of a report hosts look at the reports in each
	// tick: until they have acted on it.
	newsTime = 400 * time.Millisecond
	// maxDirect is the size up to which hosts send reports to all others.
	maxDirect = 17
	// fetchTime and callTime are the durations of a fetch and of a call to the log, and
	// timeout that of one that is not answered.
	fetchTime = 10 * time.Millisecond
	callTime  = 5 * time.Millisecond
	timeout   = 600 * time.Millisecond
	// changeBound is the time within which a change must be in force.
	changeBound = 2 * time.Second
)

// fault is what happens to a host at the time of the change.
type fault int

const (
	healthy fault = iota
	killed
	// cutOff hosts do not reach the log, whose calls hang. heldPoll hosts have a read
	// that stays open to its end although there is a record.
	cutOff
	heldPoll
)

// copyReport is what others know of a host's copy.
type copyReport struct {
	end    replica.Position
	reads  bool
	readAt time.Time
	sentAt time.Time
}

type simulatedHost struct {
	member  replica.Member
	planner *replica.Planner
	fault   fault
	end     replica.Position
	reads   bool
	// readAt is when the log last answered this host, and confirmedAt when it last answered
	// any other host whose report this one has got.
	readAt      time.Time
	confirmedAt time.Time
	// reports holds the copy as sent, the newest last.
	reports  []copyReport
	lastSent time.Time
	// busyUntil is the end of the step in progress, and finish completes it.
	busyUntil time.Time
	finish    func()
	isWaiting bool
	polls     bool
	// isUnanswered is set once the log does not answer the read in progress.
	isUnanswered bool
}

// simulatedFleet plays the planners of a fleet against a log, with the delays of its
// reports. Reports reach hosts through their zone's relay unless the fleet is small.
type simulatedFleet struct {
	now    time.Time
	end    replica.Position
	hosts  []*simulatedHost
	byZone map[string][]*simulatedHost
	// relays and byAddress are kept so that a step does not walk all hosts for each host.
	relays    map[string]*simulatedHost
	byAddress map[string]*simulatedHost
	// newsAt is the time of the last report of a speaker that changed.
	newsAt  time.Time
	faultAt time.Time
	calls   int
	fetches map[string]int
}

func newFleet(hosts, zones int) *simulatedFleet {
	f := &simulatedFleet{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		end:     replica.Position{Offset: 100},
		byZone:  make(map[string][]*simulatedHost),
		fetches: make(map[string]int),

		relays:    make(map[string]*simulatedHost),
		byAddress: make(map[string]*simulatedHost),
	}
	for _, member := range fleetOf(hosts, zones) {
		h := &simulatedHost{
			member:  member,
			planner: replica.NewPlanner(f.now),
			end:     replica.Unknown(),
		}
		f.hosts = append(f.hosts, h)
		f.byZone[member.Zone] = append(f.byZone[member.Zone], h)
		f.byAddress[member.Address] = h
	}
	return f
}

// relayOf returns the relay of a zone as others see it: a dead one is replaced after
// silence.
func (f *simulatedFleet) relayOf(zone string) *simulatedHost {
	var relay *simulatedHost
	for _, h := range f.byZone[zone] {
		if f.isAlive(h) && (relay == nil || h.member.Compare(relay.member) < 0) {
			relay = h
		}
	}
	return relay
}

func (f *simulatedFleet) isAlive(h *simulatedHost) bool {
	return h.fault != killed || f.now.Sub(f.faultAt) < silence
}

// known returns the copy of a host as others know it now.
func (f *simulatedFleet) known(h *simulatedHost) (copyReport, bool) {
	for i := len(h.reports) - 1; i >= 0; i-- {
		if f.now.Sub(h.reports[i].sentAt) >= reportDelay {
			return h.reports[i], true
		}
	}
	return copyReport{}, false
}

// speakers returns the hosts whose reports a host gets.
func (f *simulatedFleet) speakers() []*simulatedHost {
	if len(f.hosts) <= maxDirect {
		return f.hosts
	}
	var relays []*simulatedHost
	for zone := range f.byZone {
		f.relays[zone] = f.relayOf(zone)
		relays = append(relays, f.relays[zone])
	}
	return relays
}

func (f *simulatedFleet) viewOf(h *simulatedHost, speakers []*simulatedHost) replica.View {
	view := replica.View{
		IsComplete: true,
		IsHeard:    len(f.hosts) <= maxDirect || f.relays[h.member.Zone] == h,
		Others:     len(f.hosts) - 1,
	}
	members := make([]replica.Member, 0, len(speakers))
	relay := f.relays[h.member.Zone]
	for _, other := range speakers {
		if other == h || !f.isAlive(other) {
			continue
		}
		members = append(members, other.member)
		if other.member.Compare(h.member) < 0 {
			view.Rank++
		}
		report, ok := f.known(other)
		if !ok {
			continue
		}
		if report.readAt.After(h.confirmedAt) {
			h.confirmedAt = report.readAt
		}
		if report.reads && f.now.Sub(report.sentAt) <= readerAge {
			view.Readers++
		}
		if report.end.After(h.end) {
			isPreferred := len(f.hosts) <= maxDirect || relay == h || relay == other
			source := replica.Source{Address: other.member.Address, IsPreferred: isPreferred}
			if isPreferred {
				view.Sources = append([]replica.Source{source}, view.Sources...)
			} else {
				view.Sources = append(view.Sources, source)
			}
		}
	}
	view.ConfirmedAt = h.confirmedAt
	view.Reader = replica.ReaderOf(h.member, members)
	return view
}

// step advances the fleet by one tick.
func (f *simulatedFleet) step() {
	f.now = f.now.Add(tick)
	speakers := f.speakers()
	for _, h := range f.hosts {
		if h.fault == killed {
			continue
		}
		isSpeaker := len(f.hosts) <= maxDirect || f.relays[h.member.Zone] == h
		changed := len(h.reports) == 0 || h.reports[len(h.reports)-1].end != h.end || h.reports[len(h.reports)-1].reads != h.reads ||
			h.reports[len(h.reports)-1].readAt != h.readAt
		if changed && isSpeaker {
			f.newsAt = f.now
		}
		if f.now.Sub(h.lastSent) >= heartbeat || changed && isSpeaker {
			h.lastSent = f.now
			h.reports = append(h.reports[max(len(h.reports)-8, 0):], copyReport{end: h.end, reads: h.reads, readAt: h.readAt, sentAt: f.now})
		}
		f.advance(h, speakers)
	}
}

// advance completes the step that a host has in progress, or starts the next one.
func (f *simulatedFleet) advance(h *simulatedHost, speakers []*simulatedHost) {
	if h.polls && h.fault == healthy && f.end.After(h.end) {
		h.busyUntil = f.now
	}
	if h.polls && h.fault == cutOff && !h.isUnanswered && !f.now.Before(h.busyUntil) {
		// The answer at the end of the wait does not come.
		h.isUnanswered = true
		h.busyUntil = f.now.Add(timeout)
		h.finish = func() { f.failRead(h) }
	}
	if f.now.Before(h.busyUntil) {
		isIdle := h.isWaiting || h.polls
		if !isIdle || f.now.Sub(f.newsAt) > newsTime {
			return
		}
		view := f.viewOf(h, speakers)
		if len(view.Sources) == 0 {
			return
		}
		if grace, isBehind := h.planner.PollGrace(f.now, view); h.polls && (!isBehind || grace > 0) {
			return
		}
		h.finish = nil
	}
	h.isWaiting, h.polls, h.isUnanswered = false, false, false
	if h.finish != nil {
		finish := h.finish
		h.finish = nil
		finish()
	}
	view := f.viewOf(h, speakers)
	switch step := h.planner.Next(f.now, view).(type) {
	case replica.Wait:
		h.isWaiting = true
		h.busyUntil = f.now.Add(step.For)
		h.reads = h.reads && view.Reader.IsReader()
	case replica.Fetch:
		f.fetch(h, f.byAddress[step.Address])
	case replica.Read:
		f.read(h, step)
	}
}

func (f *simulatedFleet) fetch(h, source *simulatedHost) {
	f.fetches[source.member.Address]++
	if source.fault == killed {
		h.busyUntil = f.now.Add(timeout)
		h.finish = func() { h.planner.RecordFetchFailure(f.now) }
		return
	}
	end := source.end
	h.busyUntil = f.now.Add(fetchTime)
	h.finish = func() { f.deliver(h, end) }
}

func (f *simulatedFleet) read(h *simulatedHost, step replica.Read) {
	f.calls++
	switch {
	case h.fault == cutOff:
		h.polls, h.isUnanswered = true, true
		h.busyUntil = f.now.Add(step.PollWait + timeout)
		h.finish = func() { f.failRead(h) }
	case step.PollWait > 0 && !f.end.After(h.end):
		h.polls = true
		h.busyUntil = f.now.Add(step.PollWait)
		h.finish = func() { f.finishRead(h) }
	default:
		h.busyUntil = f.now.Add(callTime)
		h.finish = func() { f.finishRead(h) }
	}
}

func (f *simulatedFleet) failRead(h *simulatedHost) {
	h.reads = false
	h.planner.RecordReadFailure(f.now, f.viewOf(h, f.speakers()), 0.5)
}

func (f *simulatedFleet) finishRead(h *simulatedHost) {
	h.reads = true
	h.readAt = f.now
	h.planner.RecordRead(f.now)
	f.deliver(h, f.end)
}

func (f *simulatedFleet) deliver(h *simulatedHost, end replica.Position) {
	if end.After(h.end) {
		h.end = end
		h.planner.RecordCopy()
	}
}

func (f *simulatedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.step()
	}
}

// lagging returns the number of live hosts that lack the newest record.
func (f *simulatedFleet) lagging() int {
	lagging := 0
	for _, h := range f.hosts {
		if h.fault != killed && f.end.After(h.end) {
			lagging++
		}
	}
	return lagging
}

// readers returns the readers, in the order of the hosts.
func (f *simulatedFleet) readers() []*simulatedHost {
	var readers []*simulatedHost
	for _, h := range f.hosts {
		if h.reads {
			readers = append(readers, h)
		}
	}
	return readers
}

// TestChangeReachesFleet checks that a change reaches every live host within half of the
// bound for changes, 2 s, in a fleet of any size, although something happens to one of
// the readers at the same moment, or to all but one. A host with a read that stays open
// although there are newer records once learned of leaving endpoints seconds too late.
func TestChangeReachesFleet(t *testing.T) {
	for _, size := range []struct{ hosts, zones int }{{6, 4}, {9, 3}, {90, 4}, {195, 6}, {2400, 6}} {
		for name, c := range map[string]struct {
			fault fault
			// spared is the number of readers without the fault.
			spared int
		}{
			"healthy":           {healthy, 0},
			"readerKilled":      {killed, 2},
			"readersKilled":     {killed, 1},
			"readerCutOff":      {cutOff, 2},
			"readersCutOff":     {cutOff, 1},
			"readerPollHeld":    {heldPoll, 2},
			"readersPollsHeld":  {heldPoll, 1},
			"noReaderIsHealthy": {cutOff, 0},
		} {
			t.Run(fmt.Sprintf("%dHosts/%s", size.hosts, name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(size.hosts, size.zones)
				f.run(2500 * time.Millisecond)
				if lagging := f.lagging(); lagging > 0 {
					t.Fatalf("%d hosts have no copy 2.5 s after the start", lagging)
				}
				f.faultAt = f.now
				readers := f.readers()
				for _, reader := range readers[min(c.spared, len(readers)):] {
					reader.fault = c.fault
				}
				f.end.Offset++
				bound := time.Second
				if c.spared == 0 && c.fault == cutOff {
					// The others find out as they hear of no answer of the log.
					bound = changeBound
				}
				f.run(bound)
				if lagging := f.lagging(); lagging > 0 {
					t.Errorf("%d hosts lack the change after %s", lagging, bound)
				}
			})
		}
	}
}

// TestChangeReachesFleetThatLogServesInPart guards against a change that is not in force in time
// as the log answers one host alone, and not the readers, whose reads stay open.
func TestChangeReachesFleetThatLogServesInPart(t *testing.T) {
	for _, size := range []struct{ hosts, zones int }{{6, 4}, {9, 3}, {12, 1}} {
		for after := range 10 {
			f := newFleet(size.hosts, size.zones)
			f.run(2500*time.Millisecond + time.Duration(after)*200*time.Millisecond)
			var spared *simulatedHost
			for _, h := range f.hosts {
				if !h.reads && (spared == nil || spared.member.Compare(h.member) < 0) {
					spared = h
				}
			}
			f.faultAt = f.now
			for _, h := range f.hosts {
				if h != spared {
					h.fault = cutOff
				}
			}
			for range 5 {
				f.end.Offset++
				f.run(changeBound)
				if lagging := f.lagging(); lagging > 0 {
					t.Errorf("%d hosts, cut off %d ms later: %d lack the change after %s", size.hosts, 200*after, lagging, changeBound)
				}
			}
		}
	}
}

// TestLogCallsDoNotGrowWithFleet checks that a fleet without changes needs as many calls
// to the log however large it is, and that no host is asked by all others when there is a
// change.
func TestLogCallsDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []struct{ hosts, zones int }{{6, 4}, {90, 4}, {195, 6}, {2400, 6}} {
		t.Run(fmt.Sprintf("%dHosts", size.hosts), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size.hosts, size.zones)
			f.run(5 * time.Second)
			started := f.calls
			if started > 40 {
				t.Errorf("%d calls in the first 5 s", started)
			}
			f.run(20 * time.Second)
			if perSecond := float64(f.calls-started) / 20; perSecond > 2 {
				t.Errorf("%.1f calls a second", perSecond)
			}
			clear(f.fetches)
			f.end.Offset++
			f.run(2 * time.Second)
			for address, fetches := range f.fetches {
				if most := size.hosts/size.zones + size.zones; fetches > most {
					t.Errorf("%d fetches from %s, want at most %d", fetches, address, most)
				}
			}
		})
	}
}
