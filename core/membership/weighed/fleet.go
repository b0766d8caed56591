// Package weighed runs a membership scheme in virtual time. The schemes that the
// product's was weighed against are gone; docs/measurements-membership.md keeps
// their figures. Only tests and benchmarks import it.
//
// # Usage
//
//	fleet := weighed.New(weighed.Network{
//		Hosts: 300,
//		Zones: 3,
//		Delay: time.Millisecond,
//		Seed:  1,
//	}, weighed.NewChosen)
//	fleet.Run(30 * time.Second)
//	fleet.Crash(7)
//	fleet.Run(30 * time.Second)
//	agreed := fleet.Agreed()
//
// A fleet is driven by one goroutine; the same seed gives the same run. Bytes
// are counted as if each message were a call over HTTP/2, which is what the
// product uses, so that the schemes differ only in what they send.
package weighed

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Network says what runs and over what.
type Network struct {
	// Hosts is the number of hosts that start.
	Hosts int
	// Zones is over how many zones they are spread, in turn.
	Zones int
	// Delay is the mean one-way delay; a message takes between half of it and
	// one and a half times it.
	Delay time.Duration
	// Loss is the share of messages, from 0 to 1, that are lost.
	Loss float64
	// Seed seeds all randomness.
	Seed uint64
}

// SchemeInstance is one host's part in a membership scheme.
type SchemeInstance interface {
	// Start begins the host's life.
	Start(now time.Time)
	// Receive takes in a message from another host.
	Receive(now time.Time, from int, payload any)
	// Wake is called at the time that NextWake named.
	Wake(now time.Time)
	// NextWake returns when the scheme wants to be woken.
	NextWake() (time.Time, bool)
	// Live reports whether the host believes another one live.
	Live(host int) bool
	// Removals counts how often the host removed another one from its view.
	Removals() int
}

// reliable marks the messages of a channel that loses nothing and keeps their
// order: a loss only delays them.
type reliable interface {
	reliable()
}

// resendDelay is by how much a loss delays a reliable message.
const resendDelay = 500 * time.Millisecond

// Sender sends messages for one host.
type Sender interface {
	// Send sends a payload that takes the given number of bytes.
	Send(to int, bytes int, payload any)
}

// Environment is what a scheme is made from.
type Environment struct {
	Sender Sender
	Random *rand.Rand
	Index  int
	Hosts  int
	Zones  int
	// Incarnation counts the lives of the host from 1.
	Incarnation uint64
	// Seeds are hosts to join through.
	Seeds []int
}

// Traffic counts what one host sent and received.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// Fleet is a set of hosts in virtual time.
type Fleet struct {
	network  Network
	newPart  func(Environment) SchemeInstance
	random   *rand.Rand
	now      time.Time
	sequence uint64
	events   eventHeap
	hosts    []*host
	cut      func(from, to int) bool
	silent   map[[2]int]struct{}
	arrivals map[[2]int]time.Time
}

type host struct {
	fleet       *Fleet
	index       int
	part        SchemeInstance
	up          bool
	incarnation uint64
	pausedUntil time.Time
	wakeAt      time.Time
	traffic     Traffic
}

// New starts a fleet whose hosts all join through the first ones.
func New(network Network, newPart func(Environment) SchemeInstance) *Fleet {
	f := &Fleet{
		network:  network,
		newPart:  newPart,
		random:   rand.New(rand.NewPCG(network.Seed, 0)),
		now:      time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		silent:   make(map[[2]int]struct{}),
		arrivals: make(map[[2]int]time.Time),
	}
	for i := range network.Hosts {
		f.hosts = append(f.hosts, &host{
			fleet: f,
			index: i,
		})
	}
	for i := range network.Hosts {
		f.Start(i)
	}
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time {
	return f.now
}

// Instance returns a host's part in the scheme.
func (f *Fleet) Instance(index int) SchemeInstance {
	return f.hosts[index].part
}

// Start starts a host, or starts it anew with a higher incarnation.
func (f *Fleet) Start(index int) {
	h := f.hosts[index]
	h.incarnation++
	h.up = true
	h.pausedUntil = time.Time{}
	h.part = f.newPart(Environment{
		Sender:      h,
		Random:      rand.New(rand.NewPCG(f.network.Seed, uint64(index)<<16+h.incarnation)),
		Index:       index,
		Hosts:       f.network.Hosts,
		Zones:       f.network.Zones,
		Incarnation: h.incarnation,
		Seeds:       f.seeds(index),
	})
	h.part.Start(f.now)
	h.plan()
}

func (f *Fleet) seeds(index int) []int {
	var seeds []int
	for i := range min(3, f.network.Hosts) {
		if i != index {
			seeds = append(seeds, i)
		}
	}
	return seeds
}

// Crash stops hosts without a word; messages to them are lost in silence.
func (f *Fleet) Crash(indexes ...int) {
	for _, index := range indexes {
		f.hosts[index].up = false
	}
}

// Pause makes a host stand still for a time; what is sent to it meanwhile waits.
func (f *Fleet) Pause(index int, length time.Duration) {
	f.hosts[index].pausedUntil = f.now.Add(length)
}

// SetDropRule loses all messages for which cut returns true. Nil heals the network.
func (f *Fleet) SetDropRule(cut func(from, to int) bool) {
	f.cut = cut
}

// SilenceConnection makes the open connection from one host to another lose everything
// until the sender dials anew.
func (f *Fleet) SilenceConnection(from, to int) {
	f.silent[[2]int{from, to}] = struct{}{}
}

// Run lets time pass.
func (f *Fleet) Run(length time.Duration) {
	f.RunUntil(length, func() bool { return false })
}

// RunUntil lets time pass until done returns true, which is asked after each
// tenth of a second, or until the limit. It returns the time that passed and
// whether done returned true.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	const step = 100 * time.Millisecond
	start := f.now
	for f.now.Sub(start) < limit {
		f.runTo(f.now.Add(min(step, limit-f.now.Sub(start))))
		if done() {
			return f.now.Sub(start), true
		}
	}
	return f.now.Sub(start), false
}

func (f *Fleet) runTo(end time.Time) {
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		e.host.take(e)
	}
	f.now = end
}

// Agreed reports whether every host that is up believes exactly the hosts that
// are up to be live.
func (f *Fleet) Agreed() bool {
	return f.AgreedWithin(func(int) bool { return true })
}

// AgreedWithin reports whether the hosts for which in returns true believe
// exactly these to be live, as far as they are up.
func (f *Fleet) AgreedWithin(in func(int) bool) bool {
	for _, h := range f.hosts {
		if !h.up || !in(h.index) {
			continue
		}
		for _, other := range f.hosts {
			if other != h && h.part.Live(other.index) != (other.up && in(other.index)) {
				return false
			}
		}
	}
	return true
}

// BelieverCount counts the hosts that are up and believe the given one live.
func (f *Fleet) BelieverCount(index int) int {
	count := 0
	for _, h := range f.hosts {
		if h.up && h.index != index && h.part.Live(index) {
			count++
		}
	}
	return count
}

// FalselyRemoved counts the pairs of hosts that are up of which the first does not
// believe the second live.
func (f *Fleet) FalselyRemoved() int {
	count := 0
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h != other && h.up && other.up && !h.part.Live(other.index) {
				count++
			}
		}
	}
	return count
}

// Removals counts how often any host removed another one from its view.
func (f *Fleet) Removals() int {
	count := 0
	for _, h := range f.hosts {
		count += h.part.Removals()
	}
	return count
}

// Traffic returns what all hosts together sent and received.
func (f *Fleet) Traffic() Traffic {
	var sum Traffic
	for _, h := range f.hosts {
		sum.Messages += h.traffic.Messages
		sum.Bytes += h.traffic.Bytes
	}
	return sum
}

// MaxTraffic returns the largest byte count of any one host.
func (f *Fleet) MaxTraffic() uint64 {
	most := uint64(0)
	for _, h := range f.hosts {
		most = max(most, h.traffic.Bytes)
	}
	return most
}

// ResetTraffic sets all counts to zero.
func (f *Fleet) ResetTraffic() {
	for _, h := range f.hosts {
		h.traffic = Traffic{}
	}
}

// Call hands a host something from outside the scheme and plans its next wake.
func (f *Fleet) Call(index int, act func(now time.Time, part SchemeInstance)) {
	h := f.hosts[index]
	act(f.now, h.part)
	h.plan()
}

// Send implements Sender.
func (h *host) Send(to int, bytes int, payload any) {
	f := h.fleet
	target := f.hosts[to]
	h.traffic.Messages++
	h.traffic.Bytes += uint64(bytes)
	delay := time.Duration(float64(f.network.Delay) * (0.5 + f.random.Float64()))
	_, isReliable := payload.(reliable)
	lost := f.random.Float64() < f.network.Loss
	if lost && !isReliable || f.cut != nil && f.cut(h.index, to) || !target.up {
		return
	}
	if isReliable {
		delay = f.orderedDelay(h.index, to, delay, lost)
	}
	target.traffic.Bytes += uint64(bytes)
	f.push(&event{
		at:          f.now.Add(delay),
		host:        target,
		incarnation: target.incarnation,
		from:        h.index,
		payload:     payload,
	})
}

// orderedDelay returns the delay of a reliable message, which arrives after
// those sent before it.
func (f *Fleet) orderedDelay(from, to int, delay time.Duration, lost bool) time.Duration {
	if lost {
		delay += resendDelay
	}
	pair := [2]int{from, to}
	at := f.now.Add(delay)
	if last := f.arrivals[pair]; at.Before(last) {
		at = last
	}
	f.arrivals[pair] = at
	return at.Sub(f.now)
}

// take handles one event, or puts it off until the host runs again.
func (h *host) take(e *event) {
	if !h.up || e.incarnation != h.incarnation {
		return
	}
	if h.pausedUntil.After(h.fleet.now) {
		e.at = h.pausedUntil
		h.fleet.push(e)
		return
	}
	if e.payload != nil {
		h.part.Receive(h.fleet.now, e.from, e.payload)
		h.plan()
		return
	}
	if !e.planned.Equal(h.wakeAt) {
		return
	}
	h.wakeAt = time.Time{}
	h.part.Wake(h.fleet.now)
	h.plan()
}

// plan schedules the next wake, unless it is scheduled already.
func (h *host) plan() {
	at, ok := h.part.NextWake()
	if !ok {
		return
	}
	if at.Before(h.fleet.now) {
		at = h.fleet.now
	}
	if h.wakeAt.Equal(at) {
		return
	}
	h.wakeAt = at
	h.fleet.push(&event{
		at:          at,
		planned:     at,
		host:        h,
		incarnation: h.incarnation,
	})
}

func (f *Fleet) push(e *event) {
	f.sequence++
	e.sequence = f.sequence
	heap.Push(&f.events, e)
}

// event is a message that arrives at a host, or without payload a wake.
type event struct {
	at          time.Time
	planned     time.Time
	sequence    uint64
	host        *host
	incarnation uint64
	from        int
	payload     any
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(value any) { *h = append(*h, value.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
