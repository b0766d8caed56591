// Package node communicates with the other hosts of the fleet: it manages the
// connections to peers, runs the membership protocol and disseminates updates.
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
// Clients of other services of peers use the same connections:
//
//	client := nodev1connect.NewRecordsServiceClient(
//		peers.Transport().Client(), peers.Transport().BaseURL(member.Address))
//
// Each call must have a deadline. The protocol is implemented by core/membership.
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
	// inboxSize limits the membership events that wait.
	inboxSize = 4096
	// queryTimeout is the timeout of a query to the membership duty.
	queryTimeout = time.Second
)

// Dependencies are what a Node needs. All fields but TLS are required.
type Dependencies struct {
	Self     membership.Member
	Settings membership.Settings
	Timers   *timer.Service
	Log      logservice.Log
	Logger   log.Logger
	// Seed seeds the random sources of the node.
	Seed uint64
	// TLS is the configuration of connections in both directions; without it
	// they are in cleartext.
	TLS *tls.Config
}

// Node runs the membership protocol of one host and manages its connections to
// peers. Its methods are safe for concurrent use, but those that begin with On
// must be called before the duties run.
type Node struct {
	deps           Dependencies
	machine        *membership.Machine
	commands       []membership.Command
	inbox          *ring.Ring[inboxItem]
	replies        map[membership.ReplyID]chan membership.Command
	lastReply      membership.ReplyID
	peerCallers    []*peerCaller
	machineStarted bool

	transport *Transport
	client    *http.Client
	traffic   traffic

	live           atomic.Pointer[[]membership.Member]
	self           atomic.Pointer[membership.Member]
	superseded     atomic.Bool
	leaveCompleted chan struct{}

	onEndpointLeaving []func(endpoint.Key)
	onHeadAdvertised  []func(membership.HeadAdvertised)
	onMembersChanged  []func()

	malformed        atomic.Uint64
	callsRefused     atomic.Uint64
	eventsDropped    atomic.Uint64
	announceFailures atomic.Uint64
	pollFailures     atomic.Uint64
}

// inboxItem is an item of the membership duty's inbox: either a query, or an
// event with the channel for its answer if it needs one.
type inboxItem struct {
	event  membership.Event
	answer chan membership.Command
	query  func(*membership.Machine)
}

// UnresponsiveError reports that the membership duty did not answer in time.
type UnresponsiveError struct{}

// Error implements error.
func (*UnresponsiveError) Error() string { return "membership duty does not answer" }

// New returns a node whose duties do not run yet.
func New(deps Dependencies) *Node {
	n := &Node{
		deps:           deps,
		machine:        membership.New(deps.Settings, deps.Self, rand.New(rand.NewPCG(deps.Seed, 1))),
		inbox:          ring.New[inboxItem](inboxSize),
		replies:        make(map[membership.ReplyID]chan membership.Command),
		leaveCompleted: make(chan struct{}),
	}
	n.transport = newTransport(deps.TLS, &n.traffic)
	n.client = n.transport.Client()
	for range peerCallerCount {
		n.peerCallers = append(n.peerCallers, newPeerCaller(n))
	}
	n.publishView()
	return n
}

// Duties returns the node's duties for the host's supervisor.
func (n *Node) Duties() []supervisor.Duty {
	hostAnnouncer := &announcer{
		node:   n,
		random: rand.New(rand.NewPCG(n.deps.Seed, 2)),
	}
	duties := []supervisor.Duty{
		{
			Name:          "membership",
			Run:           n.runMembership,
			BeforeRestart: n.dropReplies,
		},
		{
			Name: "announcer",
			Run:  hostAnnouncer.run,
		},
	}
	for i, c := range n.peerCallers {
		duties = append(duties, supervisor.Duty{
			Name: "peerCaller" + strconv.Itoa(i),
			Run:  c.run,
		})
	}
	return duties
}

// Transport returns the connections to peers, for other clients.
func (n *Node) Transport() *Transport {
	return n.transport
}

// Live returns the live hosts, this one among them, sorted by name. The slice
// must not be modified.
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

// OnEndpointLeaving registers a function that is called once for each endpoint
// that is known to be leaving. It is called by the membership duty and must not
// block.
func (n *Node) OnEndpointLeaving(callback func(endpoint.Key)) {
	n.onEndpointLeaving = append(n.onEndpointLeaving, callback)
}

// OnHeadAdvertised registers a function that is called for each stream head that
// a peer advertises. It is called by the membership duty and must not block.
func (n *Node) OnHeadAdvertised(callback func(membership.HeadAdvertised)) {
	n.onHeadAdvertised = append(n.onHeadAdvertised, callback)
}

// OnMembersChanged registers a function that is called after Live has changed.
// It is called by the membership duty and must not block.
func (n *Node) OnMembersChanged(callback func()) {
	n.onMembersChanged = append(n.onMembersChanged, callback)
}

// AnnounceEndpointLeaving announces to the fleet that an endpoint is leaving.
func (n *Node) AnnounceEndpointLeaving(key endpoint.Key) {
	n.enqueueEvent(membership.EndpointLeaving{
		Key: key,
	})
}

// SetHead announces to the fleet the offset up to which this host has applied a
// stream.
func (n *Node) SetHead(stream record.Stream, next record.Offset) {
	n.enqueueEvent(membership.HeadAdvanced{
		Stream:     stream,
		NextOffset: next,
	})
}

// Leave announces the leave of this host to its neighbors and in the log. It
// returns when both are done or ctx ends. The host still answers peers
// afterwards, until its duties are stopped.
func (n *Node) Leave(ctx context.Context) error {
	n.enqueueEvent(membership.LeaveRequested{})
	select {
	case <-n.leaveCompleted:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(n.appendAnnouncement(ctx, record.KindHostStopped))
}

// enqueueEvent queues an event for the membership duty.
func (n *Node) enqueueEvent(event membership.Event) {
	if !n.inbox.TryPush(inboxItem{event: event}) {
		n.eventsDropped.Add(1)
	}
}

// runMembership is the membership duty. It alone uses the machine.
func (n *Node) runMembership(ctx context.Context) error {
	wake := n.deps.Timers.After(0)
	defer wake.Stop()
	if !n.machineStarted {
		n.machineStarted = true
		n.step(inboxItem{event: membership.Started{}})
	}
	for {
		if at, ok := n.machine.NextWake(); ok {
			wake.Reset(at)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake.C():
			n.step(inboxItem{event: membership.Tick{}})
		case <-n.inbox.Ready():
			n.drainInbox(ctx)
		}
	}
}

func (n *Node) drainInbox(ctx context.Context) {
	for item, ok := n.inbox.Pop(); ok && ctx.Err() == nil; item, ok = n.inbox.Pop() {
		n.step(item)
	}
}

func (n *Node) step(item inboxItem) {
	if item.query != nil {
		item.query(n.machine)
		return
	}
	event := n.assignReplyID(item)
	n.commands = n.machine.Step(n.deps.Timers.Now(), event, n.commands[:0])
	viewChanged := false
	for _, command := range n.commands {
		viewChanged = n.execute(command) || viewChanged
	}
	if !viewChanged {
		return
	}
	n.publishView()
	for _, callback := range n.onMembersChanged {
		callback()
	}
}

// assignReplyID assigns the ID by which the answer to a peer's call is found.
func (n *Node) assignReplyID(item inboxItem) membership.Event {
	if item.answer == nil {
		return item.event
	}
	n.lastReply++
	n.replies[n.lastReply] = item.answer
	switch event := item.event.(type) {
	case membership.ProbeReceived:
		event.Reply = n.lastReply
		return event
	case membership.IndirectProbeReceived:
		event.Reply = n.lastReply
		return event
	case membership.ExchangeReceived:
		event.Reply = n.lastReply
		return event
	}
	return item.event
}

// execute executes a command of the machine and reports whether the view may
// have changed.
func (n *Node) execute(command membership.Command) bool {
	switch command := command.(type) {
	case membership.SendProbe, membership.SendIndirectProbe, membership.SendExchange:
		n.assignCall(command)
	case membership.AnswerProbe:
		n.sendAnswer(command.Reply, command)
	case membership.AnswerIndirectProbe:
		n.sendAnswer(command.Reply, command)
	case membership.AnswerExchange:
		n.sendAnswer(command.Reply, command)
	case membership.EndpointLeavingLearned:
		for _, callback := range n.onEndpointLeaving {
			callback(command.Key)
		}
	case membership.HeadAdvertised:
		for _, callback := range n.onHeadAdvertised {
			callback(command)
		}
	case membership.LeaveCompleted:
		close(n.leaveCompleted)
	default:
		n.logMembershipChange(command)
		return true
	}
	return false
}

// assignCall queues a call at the peerCaller with the fewest calls.
func (n *Node) assignCall(command membership.Command) {
	leastLoaded := n.peerCallers[0]
	for _, c := range n.peerCallers[1:] {
		if c.callCount() < leastLoaded.callCount() {
			leastLoaded = c
		}
	}
	if !leastLoaded.calls.TryPush(command) {
		n.callsRefused.Add(1)
	}
}

func (n *Node) sendAnswer(reply membership.ReplyID, command membership.Command) {
	if answer, ok := n.replies[reply]; ok {
		answer <- command
		delete(n.replies, reply)
	}
}

// dropReplies discards the calls that a failed step left without an answer;
// their handlers run into their deadlines.
func (n *Node) dropReplies() {
	clear(n.replies)
}

func (n *Node) publishView() {
	live := n.machine.Live()
	self := n.machine.Self()
	n.live.Store(&live)
	n.self.Store(&self)
	n.superseded.Store(n.machine.Superseded())
}

func (n *Node) logMembershipChange(command membership.Command) {
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

func (n *Node) logMember(level, event string, member membership.Member, fields ...any) {
	_ = n.deps.Logger.Log(append([]any{
		"level", level, "event", event,
		"host", member.Name, "incarnation", member.Incarnation,
		"address", member.Address, "zone", member.Zone,
	}, fields...)...)
}
