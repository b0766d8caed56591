package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/lease"
)

const (
	term = 3 * time.Second
	// callTime is the longest time of a call to the control API.
	callTime = time.Second
	step     = 50 * time.Millisecond
)

// store is a topic with conditional appends.
type store struct {
	era     int64
	records []*lease.Record
	reads   int
	appends int
}

func (s *store) end() int64 { return int64(len(s.records)) }

func (s *store) append(command lease.Append) lease.AppendDone {
	s.appends++
	done := lease.AppendDone{
		Outcome: lease.Rejected,
		Era:     s.era,
	}
	if command.At == s.end() {
		done.Outcome = lease.Executed
		s.records = append(s.records, &command.Record)
		for range command.Extras {
			s.records = append(s.records, nil)
		}
	}
	done.End = s.end()
	return done
}

func (s *store) read() lease.ReadDone {
	s.reads++
	done := lease.ReadDone{
		Era: s.era,
		End: s.end(),
	}
	for i, record := range s.records {
		if record != nil {
			done.Lease = &lease.Found{
				Offset: int64(i),
				Record: *record,
			}
		}
	}
	return done
}

// host is a host of a simulated fleet.
type host struct {
	name    string
	machine *lease.Machine
	// suspended is how long the monotonic clock has stood still.
	suspended time.Duration
	paused    bool
	// cutFromStore and mute are faults: calls have no response, announcements are lost.
	cutFromStore bool
	mute         bool
	outstanding  lease.Command
	lost         int
}

// act is a call to the control API.
type act struct {
	at    time.Duration
	host  string
	token int64
}

// fleet is a simulation in steps of a fixed length.
type fleet struct {
	store  store
	hosts  []*host
	now    time.Duration
	acts   []act
	late   []lateAppend
	starts int
	fail   func(format string, args ...any)
	// executesLate is set if appends without a response are executed.
	executesLate bool
}

type lateAppend struct {
	at      time.Duration
	command lease.Append
}

func newFleet(size int, fail func(string, ...any)) *fleet {
	f := &fleet{fail: fail}
	for i := range size {
		h := &host{name: fmt.Sprintf("host-%d", i)}
		f.hosts = append(f.hosts, h)
		f.restart(h)
	}
	return f
}

// restart starts a host anew, as another process.
func (f *fleet) restart(h *host) {
	f.starts++
	h.outstanding, h.paused = nil, false
	h.machine = lease.New(lease.Settings{
		Host:        h.name,
		Address:     h.name,
		Incarnation: int64(f.starts),
		Term:        term,
		Nonce:       uint64(f.starts),
	})
}

func (f *fleet) instant(h *host) lease.Instant {
	return lease.Instant{
		Mono: f.now - h.suspended,
		Wall: f.now,
	}
}

// handle passes an event to a host and keeps the call that it makes.
func (f *fleet) handle(h *host, event lease.Event) {
	for _, command := range h.machine.Handle(f.instant(h), event) {
		switch command := command.(type) {
		case lease.Read, lease.Append:
			if h.outstanding != nil {
				f.fail("%s has two calls outstanding", h.name)
			}
			h.outstanding = command
		case lease.Lost:
			h.lost++
		}
	}
}

// finish ends the call of a host.
func (f *fleet) finish(h *host, unknown bool) {
	command := h.outstanding
	h.outstanding = nil
	switch command := command.(type) {
	case lease.Read:
		done := lease.ReadDone{Failed: true}
		if !unknown {
			done = f.store.read()
		}
		f.handle(h, done)
	case lease.Append:
		if !unknown {
			f.handle(h, f.store.append(command))
			return
		}
		if f.executesLate {
			f.late = append(f.late, lateAppend{
				at:      f.now + 2*time.Second,
				command: command,
			})
		}
		f.handle(h, lease.AppendDone{})
	}
}

// act makes a call to the control API, if a host may, and checks the invariants.
func (f *fleet) act(h *host) {
	token, ok := h.machine.Fence(f.instant(h), callTime)
	if !ok {
		return
	}
	next := act{
		at:    f.now,
		host:  h.name,
		token: token,
	}
	between := false
	for i := len(f.acts) - 1; i >= 0; i-- {
		past := f.acts[i]
		if past.token > token || past.token == token && past.host != h.name {
			f.fail("%+v after %+v", next, past)
		}
		if f.now-past.at >= term {
			break
		}
		if past.host == h.name && between {
			f.fail("%+v after %+v with another holder between them", next, past)
		}
		between = between || past.host != h.name
	}
	f.acts = append(f.acts, next)
}

// advance lets one step pass. Each host that is not paused gets a tick, then what the holder
// announces; calls end at once, and a host that may act does.
func (f *fleet) advance() {
	f.now += step
	for len(f.late) > 0 && f.late[0].at <= f.now {
		f.store.append(f.late[0].command)
		f.late = f.late[1:]
	}
	for i, h := range f.hosts {
		if h.paused {
			h.suspended += step
			continue
		}
		f.handle(h, lease.Tick{View: lease.View{
			IsComplete: true,
			Rank:       i,
			Others:     len(f.hosts) - 1,
		}})
		f.settle(h)
		f.act(h)
		if heard, ok := h.machine.Announcement(f.instant(h)); ok && !h.mute {
			f.announce(h, heard)
		}
	}
}

// settle ends the calls of a host until it makes none.
func (f *fleet) settle(h *host) {
	for h.outstanding != nil {
		f.finish(h, h.cutFromStore)
	}
}

func (f *fleet) announce(from *host, heard lease.Heard) {
	for _, h := range f.hosts {
		if h != from && !h.paused {
			f.handle(h, heard)
		}
	}
}

func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.advance()
	}
}

// holder returns the host that acted last, which must have done so lately.
func (f *fleet) holder(within time.Duration) *host {
	if len(f.acts) == 0 || f.now-f.acts[len(f.acts)-1].at > within {
		f.fail("nobody has acted within %s at %s", within, f.now)
		return f.hosts[0]
	}
	for _, h := range f.hosts {
		if h.name == f.acts[len(f.acts)-1].host {
			return h
		}
	}
	return nil
}

// TestFailures guards against duties that nobody performs, or two hosts do, after each single fault.
func TestFailures(t *testing.T) {
	tests := map[string]func(f *fleet, holder *host){
		"holder killed and restarted at once": func(f *fleet, holder *host) {
			f.restart(holder)
		},
		"holder paused": func(f *fleet, holder *host) {
			holder.paused = true
			f.run(2 * term)
			holder.paused = false
		},
		"holder cut off from the store": func(f *fleet, holder *host) {
			holder.cutFromStore = true
			f.run(4 * term)
			if holder.machine.Remaining(f.instant(holder)) > 0 {
				f.fail("the lease of a holder without store has not ended")
			}
			holder.cutFromStore = false
		},
		"appends are executed late": func(f *fleet, holder *host) {
			f.executesLate = true
			for _, h := range f.hosts {
				h.cutFromStore = true
			}
			f.run(4 * term)
			for _, h := range f.hosts {
				h.cutFromStore = false
			}
		},
		"announcements are lost": func(f *fleet, holder *host) { holder.mute = true },
		"store restored from an older copy": func(f *fleet, _ *host) {
			f.store.era++
			f.store.records = f.store.records[:1]
		},
		"store emptied": func(f *fleet, _ *host) {
			f.store.era++
			f.store.records = nil
		},
		"holder gives up": func(f *fleet, holder *host) {
			f.handle(holder, lease.GiveUp{Cause: lease.CauseControl})
			f.settle(holder)
			f.run(time.Second)
			if f.holder(time.Second) == holder {
				f.fail("the host that gave up holds the lease again")
			}
		},
		"token rejected": func(f *fleet, holder *host) {
			before := holder.machine.Token()
			f.handle(holder, lease.Conflict{Fresh: true})
			f.settle(holder)
			if holder.machine.Token() <= before {
				f.fail("no new token")
			}
		},
		"suspended": func(f *fleet, holder *host) {
			holder.suspended += 2 * time.Second
			f.handle(holder, lease.Tick{})
			if _, ok := holder.machine.Fence(f.instant(holder), 0); ok {
				f.fail("a host that was suspended acts before it has renewed")
			}
			f.settle(holder)
		},
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4, t.Fatalf)
			f.run(2 * term)
			inject(f, f.holder(time.Second))
			f.run(4 * term)
			f.holder(time.Second)
		})
	}
}

// TestRollingRestart guards against a hand-over that waits for the end of the lease, and against a
// restarted host that holds the lease again too soon.
func TestRollingRestart(t *testing.T) {
	f := newFleet(3, t.Fatalf)
	f.run(2 * term)
	for i := range 9 {
		holder := f.holder(time.Second)
		f.handle(holder, lease.Stop{})
		f.settle(holder)
		if heard, ok := holder.machine.Announcement(f.instant(holder)); ok && heard.Released {
			f.announce(holder, heard)
		}
		holder.paused = true
		f.run(time.Second / 2)
		if i == 0 && f.holder(time.Second/2) == holder {
			t.Error("the duties were not handed over at once")
		}
		f.restart(holder)
		f.run(term / 2)
	}
	f.run(2 * term)
	f.holder(time.Second)
}

// TestFailover guards against a hand-over that takes longer than usage reports may be late.
func TestFailover(t *testing.T) {
	f := newFleet(4, t.Fatalf)
	f.run(2 * term)
	holder := f.holder(time.Second)
	holder.paused = true
	f.run(term + lease.Margin + time.Second)
	if f.holder(time.Second) == holder {
		t.Error("the paused host still holds the lease")
	}
}

// TestInterleavings searches random interleavings of claims, renewals, calls and faults for one in
// which two hosts act at once, with one token, with a lower one, or in the order A, B, A.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3, t.Fatalf)
		f.executesLate = rapid.Bool().Draw(t, "late")
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			h := f.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				h.paused = !h.paused
			case 1:
				h.cutFromStore = !h.cutFromStore
			case 2:
				h.mute = !h.mute
			case 3:
				f.restart(h)
			case 4:
				f.handle(h, lease.Stop{})
				f.settle(h)
			case 5:
				f.store.era++
				f.store.records = f.store.records[:rapid.IntRange(0, len(f.store.records)).Draw(t, "kept")]
			case 6:
				f.handle(h, lease.GiveUp{Cause: lease.CauseControl})
				f.settle(h)
			case 7:
				f.handle(h, lease.Conflict{Fresh: true})
				f.settle(h)
			case 8:
				f.handle(h, lease.Write{Extras: []lease.Extra{{Key: "usage/1"}}})
				f.settle(h)
			default:
				f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * step)
			}
		}
	})
}

// TestAllInterleavingsOfTwoClaims tries all orders in which the calls of two hosts that claim at once
// end, with each response lost or not, and executed late or not.
func TestAllInterleavingsOfTwoClaims(t *testing.T) {
	const choices = 6
	for code := range choices * choices * choices * choices * choices {
		f := newFleet(2, func(format string, args ...any) { t.Fatalf("case %d: "+format, append([]any{code}, args...)...) })
		view := lease.View{IsComplete: true}
		f.handle(f.hosts[0], lease.Tick{View: view})
		f.handle(f.hosts[1], lease.Tick{View: view})
		f.now += 2 * time.Second
		for rest, i := code, 0; i < 5; i++ {
			choice := rest % choices
			rest /= choices
			h := f.hosts[choice%2]
			f.executesLate = choice >= 4
			f.handle(h, lease.Tick{View: view})
			if h.outstanding != nil {
				f.finish(h, choice >= 2)
			}
			f.act(h)
			f.now += 300 * time.Millisecond
		}
		f.executesLate = false
		f.run(3 * term)
		f.holder(time.Second)
	}
}

// TestStoreCalls guards against a cost of standby that grows with the number of hosts. It reports
// the calls to the store of the whole fleet, with a holder that is heard of and with one that nobody
// hears of. The bounds are below a fiftieth of what the store accepts, 1,200 and 6,000 a second.
func TestStoreCalls(t *testing.T) {
	const seconds = 30
	for _, size := range []int{6, 83, 195, 2400} {
		f := newFleet(size, t.Fatalf)
		f.run(2 * term)
		reads, appends := f.store.reads, f.store.appends
		f.run(seconds * time.Second)
		heldReads := float64(f.store.reads-reads) / seconds
		heldAppends := float64(f.store.appends-appends) / seconds
		// Without announcements no host knows of the holder.
		for _, h := range f.hosts {
			h.mute = true
		}
		reads = f.store.reads
		f.run(seconds * time.Second)
		muteReads := float64(f.store.reads-reads) / seconds
		t.Logf("%d hosts: %.2f appends/s and %.2f reads/s with a holder, %.1f reads/s if nobody hears of it", size, heldAppends, heldReads, muteReads)
		if heldReads > 0 || heldAppends > 1.2 || muteReads > 100 {
			t.Errorf("%d hosts: too many calls", size)
		}
	}
}

// TestNoteOutlivesHolders guards against a note that is lost if a holder ends right after its claim:
// the next one would take it that the duties were never performed.
func TestNoteOutlivesHolders(t *testing.T) {
	f := newFleet(3, t.Fatalf)
	f.run(term)
	first := f.holder(time.Second)
	first.machine.SetNote(7)
	f.run(term)
	first.paused = true
	for f.now < 10*term && f.acts[len(f.acts)-1].host == first.name {
		f.advance()
	}
	if note := f.store.read().Lease.Record.Note; note != 7 {
		t.Errorf("note %d in the claim of the next holder, want 7", note)
	}
}
