// Package node speaks to the other hosts of the fleet: it holds the connections
// to peers, keeps the view of which hosts are live, and spreads news among them.
//
// # Usage
//
//	peers := node.New(node.Dependencies{
//		Self: membership.Member{
//			Name:        "host-1",
//			Incarnation: uint64(time.Now().UnixMilli()),
//			Address:     "10.0.0.1:7100",
//			Zone:        "alm-a",
//		},
//		Settings: settings,
//		Timers:   timers,
//		Log:      log,
//		Logger:   logger,
//		Seed:     seed,
//	})
//	peers.OnEndpointLeaving(func(key endpoint.Key) { ... })
//	for _, duty := range peers.Duties() {
//		tree.Add(duty)
//	}
//	mux.Handle(peers.Handler())
//	server := peers.Server(mux)
//	go server.Serve(peers.Listener(listener))
//
// Other clients of peers use the same connections:
//
//	client := nodev1connect.NewRecordsServiceClient(
//		peers.Transport().Client(), peers.Transport().BaseURL(member.Address))
//
// Each call must have a deadline. The decisions are those of core/membership.
package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	"cactuswell/ring"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// inboxSize bounds the membership events that wait.
	inboxSize = 4096
	// queryTimeout bounds a question to the membership duty.
	queryTimeout = time.Second
)

// Dependencies are what a node needs. All fields but TLS are required.
type Dependencies struct {
	Self     membership.Member
	Settings membership.Settings
	Timers   *timer.Service
	Log      logservice.Log
	Logger   log.Logger
	// Seed seeds the node's randomness.
	Seed uint64
	// TLS secures the connections in both directions; without it they are in
	// cleartext.
	TLS *tls.Config
}

// Node is one host's part in the fleet. Its methods are safe for concurrent
// use, but those that begin with On must be called before the duties run.
type Node struct {
	deps      Dependencies
	machine   *membership.Machine
	commands  []membership.Command
	inbox     *ring.Ring[envelope]
	replies   map[membership.ReplyID]chan membership.Command
	nextReply membership.ReplyID
	callers   []*caller
	started   bool

	transport *Transport
	client    *http.Client
	traffic   traffic

	live       atomic.Pointer[[]membership.Member]
	self       atomic.Pointer[membership.Member]
	superseded atomic.Bool
	left       chan struct{}

	onEndpointLeaving []func(endpoint.Key)
	onHeadReported    []func(membership.HeadReported)
	onMembersChanged  []func()

	malformed        atomic.Uint64
	callsRefused     atomic.Uint64
	eventsDropped    atomic.Uint64
	announceFailures atomic.Uint64
	pollFailures     atomic.Uint64
}

// envelope is an event on its way to the membership duty, with the channel for
// its answer if it has one. An envelope with a query has no event.
type envelope struct {
	event  membership.Event
	answer chan membership.Command
	query  func(*membership.Machine)
}

// UnresponsiveError says that the membership duty did not answer in time.
type UnresponsiveError struct{}

// Error describes the fault.
func (*UnresponsiveError) Error() string { return "membership duty does not answer" }

// New returns a node whose duties have yet to be run.
func New(deps Dependencies) *Node {
	n := &Node{
		deps:    deps,
		machine: membership.New(deps.Settings, deps.Self, rand.New(rand.NewPCG(deps.Seed, 1))),
		inbox:   ring.New[envelope](inboxSize),
		replies: make(map[membership.ReplyID]chan membership.Command),
		left:    make(chan struct{}),
	}
	n.transport = newTransport(deps.TLS, &n.traffic)
	n.client = n.transport.Client()
	for range callerCount {
		n.callers = append(n.callers, newCaller(n))
	}
	n.publish()
	return n
}

// Duties returns the node's duties, for the host's supervisor.
func (n *Node) Duties() []supervisor.Duty {
	followers := &announcer{
		node:   n,
		random: rand.New(rand.NewPCG(n.deps.Seed, 2)),
	}
	duties := []supervisor.Duty{
		{
			Name:          "membership",
			Run:           n.run,
			BeforeRestart: n.dropReplies,
		},
		{
			Name: "announcer",
			Run:  followers.run,
		},
	}
	for i, c := range n.callers {
		duties = append(duties, supervisor.Duty{
			Name: "peerCaller" + strconv.Itoa(i),
			Run:  c.run,
		})
	}
	return duties
}

// Transport returns the connections to peers, for other clients of peers.
func (n *Node) Transport() *Transport {
	return n.transport
}

// Live returns the live hosts, this one among them, in order of name. The slice
// must not be changed.
func (n *Node) Live() []membership.Member {
	return *n.live.Load()
}

// LiveCount returns the number of live hosts, at least one.
func (n *Node) LiveCount() int {
	return max(1, len(*n.live.Load()))
}

// Self returns this host as its peers see it.
func (n *Node) Self() membership.Member {
	return *n.self.Load()
}

// Superseded reports whether a newer process runs under this host's name; the
// host should then stop.
func (n *Node) Superseded() bool {
	return n.superseded.Load()
}

// OnEndpointLeaving adds a function that is called once for each endpoint that
// is heard to be leaving. It is called on the membership duty and must not
// block.
func (n *Node) OnEndpointLeaving(call func(endpoint.Key)) {
	n.onEndpointLeaving = append(n.onEndpointLeaving, call)
}

// OnHeadReported adds a function that is called for each stream head that a peer
// reports. It is called on the membership duty and must not block.
func (n *Node) OnHeadReported(call func(membership.HeadReported)) {
	n.onHeadReported = append(n.onHeadReported, call)
}

// OnMembersChanged adds a function that is called after Live has changed. It is
// called on the membership duty and must not block.
func (n *Node) OnMembersChanged(call func()) {
	n.onMembersChanged = append(n.onMembersChanged, call)
}

// AnnounceEndpointLeaving tells the fleet that an endpoint is leaving.
func (n *Node) AnnounceEndpointLeaving(key endpoint.Key) {
	n.report(membership.EndpointLeaving{
		Key: key,
	})
}

// SetHead tells the fleet up to which offset this host has applied a stream.
func (n *Node) SetHead(stream record.Stream, next record.Offset) {
	n.report(membership.HeadAdvanced{
		Stream:     stream,
		NextOffset: next,
	})
}

// Leave tells the fleet that this host leaves, through its neighbors and the
// log, and returns when that is done or ctx ends. The host still answers peers
// afterwards, until its duties are stopped.
func (n *Node) Leave(ctx context.Context) error {
	n.report(membership.LeaveRequested{})
	select {
	case <-n.left:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(n.appendAnnouncement(ctx, record.KindHostStopped))
}

// report hands an event to the membership duty.
func (n *Node) report(event membership.Event) {
	if !n.inbox.TryPush(envelope{event: event}) {
		n.eventsDropped.Add(1)
	}
}

// run is the membership duty: it owns the machine.
func (n *Node) run(ctx context.Context) error {
	wake := n.deps.Timers.After(0)
	defer wake.Stop()
	if !n.started {
		n.started = true
		n.step(envelope{event: membership.Started{}})
	}
	for {
		if at, ok := n.machine.NextWake(); ok {
			wake.Reset(at)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake.C():
			n.step(envelope{event: membership.Tick{}})
		case <-n.inbox.Ready():
			n.drain(ctx)
		}
	}
}

func (n *Node) drain(ctx context.Context) {
	for item, ok := n.inbox.Pop(); ok && ctx.Err() == nil; item, ok = n.inbox.Pop() {
		n.step(item)
	}
}

func (n *Node) step(item envelope) {
	if item.query != nil {
		item.query(n.machine)
		return
	}
	event := n.withReply(item)
	n.commands = n.machine.Step(n.deps.Timers.Now(), event, n.commands[:0])
	changed := false
	for _, command := range n.commands {
		changed = n.carryOut(command) || changed
	}
	if !changed {
		return
	}
	n.publish()
	for _, call := range n.onMembersChanged {
		call()
	}
}

// withReply gives a peer's call the number by which its answer is found.
func (n *Node) withReply(item envelope) membership.Event {
	if item.answer == nil {
		return item.event
	}
	n.nextReply++
	n.replies[n.nextReply] = item.answer
	switch event := item.event.(type) {
	case membership.ProbeReceived:
		event.Reply = n.nextReply
		return event
	case membership.IndirectProbeReceived:
		event.Reply = n.nextReply
		return event
	case membership.ExchangeReceived:
		event.Reply = n.nextReply
		return event
	}
	return item.event
}

// carryOut does what the machine wants, and reports whether the live members
// changed.
func (n *Node) carryOut(command membership.Command) bool {
	switch command := command.(type) {
	case membership.SendProbe, membership.SendIndirectProbe, membership.SendExchange:
		n.hand(command)
	case membership.AnswerProbe:
		n.answer(command.Reply, command)
	case membership.AnswerIndirectProbe:
		n.answer(command.Reply, command)
	case membership.AnswerExchange:
		n.answer(command.Reply, command)
	case membership.EndpointLeavingLearned:
		for _, call := range n.onEndpointLeaving {
			call(command.Key)
		}
	case membership.HeadReported:
		for _, call := range n.onHeadReported {
			call(command)
		}
	case membership.LeaveCompleted:
		close(n.left)
	default:
		n.logChange(command)
		return true
	}
	return false
}

// hand gives a call to the caller with the least before it.
func (n *Node) hand(command membership.Command) {
	best := n.callers[0]
	for _, c := range n.callers[1:] {
		if c.load() < best.load() {
			best = c
		}
	}
	if !best.calls.TryPush(command) {
		n.callsRefused.Add(1)
	}
}

func (n *Node) answer(reply membership.ReplyID, command membership.Command) {
	if answer, ok := n.replies[reply]; ok {
		answer <- command
		delete(n.replies, reply)
	}
}

// dropReplies forgets the calls that a failed step left without an answer;
// their handlers run into their deadlines.
func (n *Node) dropReplies() {
	clear(n.replies)
}

func (n *Node) publish() {
	live := n.machine.Live()
	self := n.machine.Self()
	n.live.Store(&live)
	n.self.Store(&self)
	n.superseded.Store(n.machine.Superseded())
}

func (n *Node) logChange(command membership.Command) {
	switch command := command.(type) {
	case membership.MemberJoined:
		n.logMember("info", "hostJoined", command.Member)
	case membership.MemberSuspected:
		n.logMember("warn", "hostSuspected", command.Member)
	case membership.MemberRemoved:
		n.logMember("warn", "hostGone", command.Member, "reason", command.Reason.String())
	case membership.IncarnationRaised:
		_ = n.deps.Logger.Log("level", "warn", "event", "incarnationRaised", "incarnation", command.Incarnation)
	case membership.Superseded:
		_ = n.deps.Logger.Log("level", "error", "event", "hostSuperseded", "incarnation", command.Incarnation)
	}
}

func (n *Node) logMember(level, event string, member membership.Member, more ...any) {
	_ = n.deps.Logger.Log(append([]any{
		"level", level, "event", event,
		"host", member.Name, "incarnation", member.Incarnation,
		"address", member.Address, "zone", member.Zone,
	}, more...)...)
}
