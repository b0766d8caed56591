// Package weighed simulates a membership scheme in virtual time. The schemes that
// were compared with the one in use have been removed; their results are in
// docs/measurements-membership.md. Only tests and benchmarks import the package.
//
// # Usage
//
//	fleet := weighed.New(weighed.Network{
//		Hosts: 300,
//		Zones: 3,
//		Delay: time.Millisecond,
//		Seed:  1,
//	}, weighed.NewProductHost)
//	fleet.Run(30 * time.Second)
//	fleet.Crash(7)
//	fleet.Run(30 * time.Second)
//	agreed := fleet.Agreed()
//
// A fleet must be used by one goroutine; the same seed gives the same run. Bytes
// are counted as if each message were a call over HTTP/2, as in production, so
// that schemes differ only in what they send.
package weighed

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Network configures the hosts and the network between them.
type Network struct {
	// Hosts is the number of hosts.
	Hosts int
	// Zones is the number of zones, to which the hosts belong in turn.
	Zones int
	// Delay is the mean one-way delay; that of a message is between half of it
	// and one and a half times it.
	Delay time.Duration
	// Loss is the share of messages, from 0 to 1, that are dropped.
	Loss float64
	// Seed seeds all randomness.
	Seed uint64
}

// SchemeInstance is one host's instance of a membership scheme.
type SchemeInstance interface {
	// Start starts the host.
	Start(now time.Time)
	// Receive handles a message from another host.
	Receive(now time.Time, from int, payload any)
	// Wake is called at the time that NextWake returned.
	Wake(now time.Time)
	// NextWake returns when the scheme needs to be woken.
	NextWake() (time.Time, bool)
	// Live reports whether the host considers another one live.
	Live(host int) bool
	// Removals returns how often the host has removed another one from its
	// view.
	Removals() int
}

// reliable marks the messages of a channel that delivers all of them in order:
// a loss only delays them.
type reliable interface {
	reliable()
}

// resendDelay is the additional delay of a reliable message that was lost once.
const resendDelay = 500 * time.Millisecond

// Sender sends messages for one host.
type Sender interface {
	// Send sends a payload that takes the given number of bytes on the wire.
	Send(to int, bytes int, payload any)
}

// Environment holds the parameters of one host.
type Environment struct {
	Sender Sender
	Random *rand.Rand
	Index  int
	Hosts  int
	Zones  int
	// Incarnation counts the starts of the host from 1.
	Incarnation uint64
	// Seeds are the hosts to join through.
	Seeds []int
}

// Traffic counts what one host sent and received.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// Fleet is a set of hosts in virtual time.
type Fleet struct {
	network           Network
	newInstance       func(Environment) SchemeInstance
	random            *rand.Rand
	now               time.Time
	sequence          uint64
	events            eventHeap
	hosts             []*host
	dropRule          func(from, to int) bool
	silentConnections map[[2]int]struct{}
	lastArrivals      map[[2]int]time.Time
}

type host struct {
	fleet         *Fleet
	index         int
	instance      SchemeInstance
	up            bool
	incarnation   uint64
	pausedUntil   time.Time
	scheduledWake time.Time
	traffic       Traffic
}

// New starts a fleet whose hosts join through the first three.
func New(network Network, newInstance func(Environment) SchemeInstance) *Fleet {
	f := &Fleet{
		network:           network,
		newInstance:       newInstance,
		random:            rand.New(rand.NewPCG(network.Seed, 0)),
		now:               time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		silentConnections: make(map[[2]int]struct{}),
		lastArrivals:      make(map[[2]int]time.Time),
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

// Instance returns a host's instance of the scheme.
func (f *Fleet) Instance(index int) SchemeInstance {
	return f.hosts[index].instance
}

// Start starts a host, or restarts it with a higher incarnation.
func (f *Fleet) Start(index int) {
	h := f.hosts[index]
	h.incarnation++
	h.up = true
	h.pausedUntil = time.Time{}
	h.instance = f.newInstance(Environment{
		Sender:      h,
		Random:      rand.New(rand.NewPCG(f.network.Seed, uint64(index)<<16+h.incarnation)),
		Index:       index,
		Hosts:       f.network.Hosts,
		Zones:       f.network.Zones,
		Incarnation: h.incarnation,
		Seeds:       f.seeds(index),
	})
	h.instance.Start(f.now)
	h.scheduleWake()
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

// Crash stops hosts without notice; messages to them are dropped.
func (f *Fleet) Crash(indexes ...int) {
	for _, index := range indexes {
		f.hosts[index].up = false
	}
}

// Pause pauses a host for a time; messages to it are delivered afterwards.
func (f *Fleet) Pause(index int, length time.Duration) {
	f.hosts[index].pausedUntil = f.now.Add(length)
}

// SetDropRule drops all messages for which rule returns true. nil heals the
// network.
func (f *Fleet) SetDropRule(rule func(from, to int) bool) {
	f.dropRule = rule
}

// SilenceConnection makes the open connection from one host to another drop
// everything until the sender dials again.
func (f *Fleet) SilenceConnection(from, to int) {
	f.silentConnections[[2]int{from, to}] = struct{}{}
}

// Run advances the virtual time.
func (f *Fleet) Run(length time.Duration) {
	f.RunUntil(length, func() bool { return false })
}

// RunUntil advances the virtual time until done returns true, or up to the
// limit. done is called after each 100 ms. RunUntil returns the time that
// passed and whether done returned true.
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
		e.host.handleEvent(e)
	}
	f.now = end
}

// Agreed reports whether every host that is up considers exactly the hosts that
// are up live.
func (f *Fleet) Agreed() bool {
	return f.AgreedWithin(func(int) bool { return true })
}

// AgreedWithin reports whether those hosts that are up and for which included
// returns true believe exactly these to be live.
func (f *Fleet) AgreedWithin(included func(int) bool) bool {
	for _, h := range f.hosts {
		if !h.up || !included(h.index) {
			continue
		}
		for _, other := range f.hosts {
			if other != h && h.instance.Live(other.index) != (other.up && included(other.index)) {
				return false
			}
		}
	}
	return true
}

// BelieverCount returns the number of hosts that are up and believe the given
// one to be live.
func (f *Fleet) BelieverCount(index int) int {
	count := 0
	for _, h := range f.hosts {
		if h.up && h.index != index && h.instance.Live(index) {
			count++
		}
	}
	return count
}

// FalselyRemoved returns the number of pairs of hosts that are up of which the
// first does not believe the second to be live.
func (f *Fleet) FalselyRemoved() int {
	count := 0
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h != other && h.up && other.up && !h.instance.Live(other.index) {
				count++
			}
		}
	}
	return count
}

// Removals returns how often any host has removed another one from its view.
func (f *Fleet) Removals() int {
	count := 0
	for _, h := range f.hosts {
		count += h.instance.Removals()
	}
	return count
}

// Traffic returns the total of all hosts.
func (f *Fleet) Traffic() Traffic {
	var sum Traffic
	for _, h := range f.hosts {
		sum.Messages += h.traffic.Messages
		sum.Bytes += h.traffic.Bytes
	}
	return sum
}

// MaxTraffic returns the byte count of the host with the most bytes.
func (f *Fleet) MaxTraffic() uint64 {
	most := uint64(0)
	for _, h := range f.hosts {
		most = max(most, h.traffic.Bytes)
	}
	return most
}

// ResetTraffic sets all traffic counts to zero.
func (f *Fleet) ResetTraffic() {
	for _, h := range f.hosts {
		h.traffic = Traffic{}
	}
}

// Call calls a function with a host's instance and schedules its next wake-up.
func (f *Fleet) Call(index int, call func(now time.Time, instance SchemeInstance)) {
	h := f.hosts[index]
	call(f.now, h.instance)
	h.scheduleWake()
}

// Send implements Sender.
func (h *host) Send(to int, bytes int, payload any) {
	f := h.fleet
	target := f.hosts[to]
	h.traffic.Messages++
	h.traffic.Bytes += uint64(bytes)
	delay := time.Duration(float64(f.network.Delay) * (0.5 + f.random.Float64()))
	_, isReliable := payload.(reliable)
	isLost := f.random.Float64() < f.network.Loss
	if isLost && !isReliable || f.dropRule != nil && f.dropRule(h.index, to) || !target.up {
		return
	}
	if isReliable {
		delay = f.orderedDelay(h.index, to, delay, isLost)
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
func (f *Fleet) orderedDelay(from, to int, delay time.Duration, isLost bool) time.Duration {
	if isLost {
		delay += resendDelay
	}
	connection := [2]int{from, to}
	at := f.now.Add(delay)
	if last := f.lastArrivals[connection]; at.Before(last) {
		at = last
	}
	f.lastArrivals[connection] = at
	return at.Sub(f.now)
}

// handleEvent handles an event, or postpones it until the end of the host's
// pause.
func (h *host) handleEvent(e *event) {
	if !h.up || e.incarnation != h.incarnation {
		return
	}
	if h.pausedUntil.After(h.fleet.now) {
		e.at = h.pausedUntil
		h.fleet.push(e)
		return
	}
	if e.payload != nil {
		h.instance.Receive(h.fleet.now, e.from, e.payload)
		h.scheduleWake()
		return
	}
	if !e.wakeAt.Equal(h.scheduledWake) {
		return
	}
	h.scheduledWake = time.Time{}
	h.instance.Wake(h.fleet.now)
	h.scheduleWake()
}

// scheduleWake schedules the next wake-up, unless it is scheduled already.
func (h *host) scheduleWake() {
	at, ok := h.instance.NextWake()
	if !ok {
		return
	}
	if at.Before(h.fleet.now) {
		at = h.fleet.now
	}
	if h.scheduledWake.Equal(at) {
		return
	}
	h.scheduledWake = at
	h.fleet.push(&event{
		at:          at,
		wakeAt:      at,
		host:        h,
		incarnation: h.incarnation,
	})
}

func (f *Fleet) push(e *event) {
	f.sequence++
	e.sequence = f.sequence
	heap.Push(&f.events, e)
}

// event is a message that arrives at a host or, without a payload, a wake-up.
type event struct {
	at          time.Time
	wakeAt      time.Time
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
