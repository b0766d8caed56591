package weighed

import (
	"fmt"
	"strconv"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
)

// The sizes of a call and its answer over HTTP/2 without their content,
// including the TCP and IP headers of two packets in each direction.
const (
	callBytes   = 160
	answerBytes = 140
)

// baseIncarnation plus the number of starts is a host's incarnation.
const baseIncarnation = 1_760_000_000_000

// ProductHost is a host that runs the membership protocol of the product.
type ProductHost struct {
	environment    Environment
	machine        *membership.Machine
	commands       []membership.Command
	nextReply      membership.ReplyID
	pendingCalls   map[membership.ReplyID]callOrigin
	live           []bool
	removalReasons map[string]membership.RemovalReason

	// LeavingReports counts how often each leaving endpoint was reported.
	LeavingReports map[endpoint.Key]int
	// LatestHeads holds the latest stream head reported by each host.
	LatestHeads map[string]membership.HeadAdvertised
	// SuspicionCount counts the suspicions.
	SuspicionCount int
	// LeaveCompleted is set when the host's leave is complete.
	LeaveCompleted bool
	// Superseded is set when the machine has reported a newer process of the
	// host's name.
	Superseded bool
	// ImmediateWakeCount counts the steps after which the machine needed to be
	// woken immediately, which would make its caller spin.
	ImmediateWakeCount int
}

// callOrigin identifies a call at the host that made it.
type callOrigin struct {
	from int
	id   membership.CallID
}

// callMessage and answerMessage transport the machine's calls.
type callMessage struct {
	id            membership.CallID
	newConnection bool
	event         membership.Event
}

type answerMessage struct {
	event membership.Event
}

// NewProductHost returns a host with the default settings.
func NewProductHost(environment Environment) SchemeInstance {
	return NewProductHostWith(membership.DefaultSettings())(environment)
}

// NewProductHostWith returns a constructor of hosts with the given settings.
func NewProductHostWith(settings membership.Settings) func(Environment) SchemeInstance {
	return func(environment Environment) SchemeInstance {
		hostSettings := settings
		hostSettings.Seeds = nil
		for _, seed := range environment.Seeds {
			hostSettings.Seeds = append(hostSettings.Seeds, hostAddress(seed))
		}
		p := &ProductHost{
			environment:    environment,
			machine:        membership.New(hostSettings, ProductMember(environment.Index, environment), environment.Random),
			pendingCalls:   make(map[membership.ReplyID]callOrigin),
			live:           make([]bool, environment.Hosts),
			removalReasons: make(map[string]membership.RemovalReason),
			LeavingReports: make(map[endpoint.Key]int),
			LatestHeads:    make(map[string]membership.HeadAdvertised),
		}
		return p
	}
}

// ProductMember returns the member of a host.
func ProductMember(index int, environment Environment) membership.Member {
	return membership.Member{
		Name:        hostName(index),
		Incarnation: baseIncarnation + environment.Incarnation,
		Address:     hostAddress(index),
		Zone:        fmt.Sprintf("zone-%d", index%max(1, environment.Zones)),
	}
}

func hostName(index int) string {
	return fmt.Sprintf("host-%04d", index)
}

func indexOfName(name string) int {
	index, _ := strconv.Atoi(name[len("host-"):])
	return index
}

// hostAddress returns an address of the same length as in production; its port
// is derived from the index.
func hostAddress(index int) string {
	return addressPrefix + strconv.Itoa(10000+index)
}

const addressPrefix = "10.10.100.1:"

func indexOfAddress(address string) int {
	port, _ := strconv.Atoi(address[len(addressPrefix):])
	return port - 10000
}

// Start implements SchemeInstance.
func (p *ProductHost) Start(now time.Time) {
	p.Step(now, membership.Started{})
}

// Wake implements SchemeInstance.
func (p *ProductHost) Wake(now time.Time) {
	p.Step(now, membership.Tick{})
}

// NextWake implements SchemeInstance.
func (p *ProductHost) NextWake() (time.Time, bool) {
	return p.machine.NextWake()
}

// Live implements SchemeInstance.
func (p *ProductHost) Live(host int) bool {
	return p.live[host]
}

// Removals implements SchemeInstance.
func (p *ProductHost) Removals() int {
	counters := p.machine.Counters()
	return int(counters.MembersDead + counters.MembersReplaced)
}

// Machine returns the host's state machine.
func (p *ProductHost) Machine() *membership.Machine {
	return p.machine
}

// RemovalReason returns why a host was last removed, or zero.
func (p *ProductHost) RemovalReason(host int) membership.RemovalReason {
	return p.removalReasons[hostName(host)]
}

// Step processes an event and executes the resulting commands.
func (p *ProductHost) Step(now time.Time, event membership.Event) {
	p.commands = p.machine.Step(now, event, p.commands[:0])
	for _, command := range p.commands {
		p.execute(command)
	}
	if wake, ok := p.machine.NextWake(); ok && !wake.After(now) {
		p.ImmediateWakeCount++
	}
}

// Receive implements SchemeInstance.
func (p *ProductHost) Receive(now time.Time, from int, payload any) {
	switch payload := payload.(type) {
	case callMessage:
		p.nextReply++
		p.pendingCalls[p.nextReply] = callOrigin{
			from: from,
			id:   payload.id,
		}
		p.Step(now, withReply(payload.event, p.nextReply))
	case answerMessage:
		p.Step(now, payload.event)
	}
}

func withReply(event membership.Event, reply membership.ReplyID) membership.Event {
	switch event := event.(type) {
	case membership.ProbeReceived:
		event.Reply = reply
		return event
	case membership.IndirectProbeReceived:
		event.Reply = reply
		return event
	case membership.ExchangeReceived:
		event.Reply = reply
		return event
	}
	return event
}

func (p *ProductHost) execute(command membership.Command) {
	switch command := command.(type) {
	case membership.SendProbe:
		p.call(command.To.Address, command.Call, command.NewConnection, messageBytes(command.Message),
			membership.ProbeReceived{Message: command.Message})
	case membership.SendIndirectProbe:
		p.call(command.Helper.Address, command.Call, false, 60,
			membership.IndirectProbeReceived{Target: command.Target})
	case membership.SendExchange:
		p.call(command.Address, command.Call, command.NewConnection, messageBytes(command.Message)+64*8+40,
			membership.ExchangeReceived{
				Message: command.Message,
				Self:    command.Self,
				Buckets: command.Buckets,
			})
	case membership.AnswerProbe, membership.AnswerIndirectProbe, membership.AnswerExchange:
		p.answer(command)
	default:
		p.recordNotification(command)
	}
}

func (p *ProductHost) call(address string, id membership.CallID, newConnection bool, bytes int, event membership.Event) {
	to := indexOfAddress(address)
	h, ok := p.environment.Sender.(*host)
	if ok && h.fleet.isConnectionSilent(h.index, to, newConnection) {
		return
	}
	p.environment.Sender.Send(to, callBytes+bytes, callMessage{
		id:            id,
		newConnection: newConnection,
		event:         event,
	})
}

func (f *Fleet) isConnectionSilent(from, to int, newConnection bool) bool {
	connection := [2]int{from, to}
	if newConnection {
		delete(f.silentConnections, connection)
	}
	_, silent := f.silentConnections[connection]
	return silent
}

func (p *ProductHost) answer(command membership.Command) {
	switch command := command.(type) {
	case membership.AnswerProbe:
		origin := p.takePendingCall(command.Reply)
		p.environment.Sender.Send(origin.from, answerBytes+messageBytes(command.Message), answerMessage{
			event: membership.ProbeAnswered{
				Call:    origin.id,
				Message: command.Message,
			},
		})
	case membership.AnswerIndirectProbe:
		origin := p.takePendingCall(command.Reply)
		p.environment.Sender.Send(origin.from, answerBytes+2, answerMessage{
			event: membership.IndirectProbeAnswered{
				Call:  origin.id,
				Alive: command.Alive,
			},
		})
	case membership.AnswerExchange:
		origin := p.takePendingCall(command.Reply)
		p.environment.Sender.Send(origin.from, answerBytes+messageBytes(command.Message)+60, answerMessage{
			event: membership.ExchangeAnswered{
				Call:         origin.id,
				Message:      command.Message,
				Self:         command.Self,
				WholeBuckets: command.WholeBuckets,
			},
		})
	}
}

func (p *ProductHost) takePendingCall(id membership.ReplyID) callOrigin {
	origin := p.pendingCalls[id]
	delete(p.pendingCalls, id)
	return origin
}

func (p *ProductHost) recordNotification(command membership.Command) {
	switch command := command.(type) {
	case membership.MemberJoined:
		p.live[indexOfAddress(command.Member.Address)] = true
	case membership.MemberSuspected:
		p.SuspicionCount++
	case membership.MemberRemoved:
		p.live[indexOfName(command.Member.Name)] = false
		p.removalReasons[command.Member.Name] = command.Reason
	case membership.EndpointLeavingLearned:
		p.LeavingReports[command.Key]++
	case membership.HeadAdvertised:
		p.LatestHeads[command.Name] = command
	case membership.LeaveCompleted:
		p.LeaveCompleted = true
	case membership.Superseded:
		p.Superseded = true
	}
}

// messageBytes returns the approximate size of a message on the wire.
func messageBytes(message membership.Message) int {
	const identity = 2 + 8 + 9
	size := identity + len(message.From)
	for _, state := range message.Updates.Members {
		size += 16 + len(state.Name)
		if state.Address != "" {
			size += 4 + len(state.Address) + len(state.Zone)
		}
	}
	for _, key := range message.Updates.LeavingEndpoints {
		size += 11 + len(key.Name)
	}
	for _, head := range message.Updates.Heads {
		size += 8 + len(head.Stream)
	}
	return size
}
