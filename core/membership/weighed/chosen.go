package weighed

import (
	"fmt"
	"strconv"
	"time"

	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
)

// The sizes of a call and its answer over HTTP/2 without their content, with the
// TCP and IP headers of two packets in each direction.
const (
	callBytes   = 160
	answerBytes = 140
)

// hostEpoch is the incarnation of a host's first life.
const hostEpoch = 1_760_000_000_000

// ProductHost is a host of the scheme that the product uses.
type ProductHost struct {
	environment Environment
	machine     *membership.Machine
	commands    []membership.Command
	nextReply   membership.ReplyID
	replies     map[membership.ReplyID]call
	live        []bool
	gone        map[string]membership.RemovalReason

	// LeavingReports holds the leaving endpoints heard of, and how often.
	LeavingReports map[endpoint.Key]int
	// LatestHeads holds the latest stream head heard from each host.
	LatestHeads map[string]membership.HeadReported
	// SuspicionCount counts the suspicions.
	SuspicionCount int
	// LeaveCompleted is set when the host's leave is over.
	LeaveCompleted bool
	// Superseded is set when the host has been told to stop.
	Superseded bool
	// ImmediateWakeCount counts the steps after which the machine wanted to be woken at
	// once, which would make its owner spin.
	ImmediateWakeCount int
}

// call names a call at the host that made it.
type call struct {
	from int
	id   membership.CallID
}

// callMessage and answerMessage carry the machine's calls.
type callMessage struct {
	id    membership.CallID
	fresh bool
	event membership.Event
}

type answerMessage struct {
	event membership.Event
}

// NewProductHost returns a host of the product's scheme with its default settings.
func NewProductHost(environment Environment) SchemeInstance {
	return NewProductHostWith(membership.DefaultSettings())(environment)
}

// NewProductHostWith returns a constructor for hosts with the given settings.
func NewProductHostWith(settings membership.Settings) func(Environment) SchemeInstance {
	return func(environment Environment) SchemeInstance {
		own := settings
		own.Seeds = nil
		for _, seed := range environment.Seeds {
			own.Seeds = append(own.Seeds, addressOf(seed))
		}
		c := &ProductHost{
			environment:    environment,
			machine:        membership.New(own, ProductMember(environment.Index, environment), environment.Random),
			replies:        make(map[membership.ReplyID]call),
			live:           make([]bool, environment.Hosts),
			gone:           make(map[string]membership.RemovalReason),
			LeavingReports: make(map[endpoint.Key]int),
			LatestHeads:    make(map[string]membership.HeadReported),
		}
		return c
	}
}

// ProductMember returns the member that stands for a host.
func ProductMember(index int, environment Environment) membership.Member {
	return membership.Member{
		Name:        nameOf(index),
		Incarnation: hostEpoch + environment.Incarnation,
		Address:     addressOf(index),
		Zone:        fmt.Sprintf("zone-%d", index%max(1, environment.Zones)),
	}
}

func nameOf(index int) string {
	return fmt.Sprintf("host-%04d", index)
}

func indexOf(name string) int {
	index, _ := strconv.Atoi(name[len("host-"):])
	return index
}

// addressOf is as long as an address of production; its port is the index.
func addressOf(index int) string {
	return addressPrefix + strconv.Itoa(10000+index)
}

const addressPrefix = "10.10.100.1:"

func indexOfAddress(address string) int {
	port, _ := strconv.Atoi(address[len(addressPrefix):])
	return port - 10000
}

// Start implements Scheme.
func (c *ProductHost) Start(now time.Time) {
	c.Step(now, membership.Started{})
}

// Wake implements Scheme.
func (c *ProductHost) Wake(now time.Time) {
	c.Step(now, membership.Tick{})
}

// NextWake implements Scheme.
func (c *ProductHost) NextWake() (time.Time, bool) {
	return c.machine.NextWake()
}

// Live implements Scheme.
func (c *ProductHost) Live(host int) bool {
	return c.live[host]
}

// Removals implements Scheme.
func (c *ProductHost) Removals() int {
	counters := c.machine.Counters()
	return int(counters.MembersDead + counters.MembersReplaced)
}

// Machine returns the host's state machine.
func (c *ProductHost) Machine() *membership.Machine {
	return c.machine
}

// RemovalReason returns why a host was last removed, or zero.
func (c *ProductHost) RemovalReason(host int) membership.RemovalReason {
	return c.gone[nameOf(host)]
}

// Step feeds the machine one event and carries out what follows.
func (c *ProductHost) Step(now time.Time, event membership.Event) {
	c.commands = c.machine.Step(now, event, c.commands[:0])
	for _, command := range c.commands {
		c.carryOut(command)
	}
	if wake, ok := c.machine.NextWake(); ok && !wake.After(now) {
		c.ImmediateWakeCount++
	}
}

// Receive implements Scheme.
func (c *ProductHost) Receive(now time.Time, from int, payload any) {
	switch payload := payload.(type) {
	case callMessage:
		c.nextReply++
		c.replies[c.nextReply] = call{
			from: from,
			id:   payload.id,
		}
		c.Step(now, withReply(payload.event, c.nextReply))
	case answerMessage:
		c.Step(now, payload.event)
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

func (c *ProductHost) carryOut(command membership.Command) {
	switch command := command.(type) {
	case membership.SendProbe:
		c.call(command.To.Address, command.Call, command.FreshConnection, messageBytes(command.Message),
			membership.ProbeReceived{Message: command.Message})
	case membership.SendIndirectProbe:
		c.call(command.Helper.Address, command.Call, false, 60,
			membership.IndirectProbeReceived{Target: command.Target})
	case membership.SendExchange:
		c.call(command.Address, command.Call, command.FreshConnection, messageBytes(command.Message)+64*8+40,
			membership.ExchangeReceived{
				Message: command.Message,
				Self:    command.Self,
				Buckets: command.Buckets,
			})
	case membership.AnswerProbe, membership.AnswerIndirectProbe, membership.AnswerExchange:
		c.answer(command)
	default:
		c.note(command)
	}
}

func (c *ProductHost) call(address string, id membership.CallID, fresh bool, bytes int, event membership.Event) {
	to := indexOfAddress(address)
	h, ok := c.environment.Sender.(*host)
	if ok && h.fleet.connectionSilent(h.index, to, fresh) {
		return
	}
	c.environment.Sender.Send(to, callBytes+bytes, callMessage{
		id:    id,
		fresh: fresh,
		event: event,
	})
}

func (f *Fleet) connectionSilent(from, to int, fresh bool) bool {
	pair := [2]int{from, to}
	if fresh {
		delete(f.silent, pair)
	}
	_, silent := f.silent[pair]
	return silent
}

func (c *ProductHost) answer(command membership.Command) {
	switch command := command.(type) {
	case membership.AnswerProbe:
		to := c.reply(command.Reply)
		c.environment.Sender.Send(to.from, answerBytes+messageBytes(command.Message), answerMessage{
			event: membership.ProbeAnswered{
				Call:    to.id,
				Message: command.Message,
			},
		})
	case membership.AnswerIndirectProbe:
		to := c.reply(command.Reply)
		c.environment.Sender.Send(to.from, answerBytes+2, answerMessage{
			event: membership.IndirectProbeAnswered{
				Call:  to.id,
				Alive: command.Alive,
			},
		})
	case membership.AnswerExchange:
		to := c.reply(command.Reply)
		c.environment.Sender.Send(to.from, answerBytes+messageBytes(command.Message)+60, answerMessage{
			event: membership.ExchangeAnswered{
				Call:         to.id,
				Message:      command.Message,
				Self:         command.Self,
				WholeBuckets: command.WholeBuckets,
			},
		})
	}
}

func (c *ProductHost) reply(id membership.ReplyID) call {
	to := c.replies[id]
	delete(c.replies, id)
	return to
}

func (c *ProductHost) note(command membership.Command) {
	switch command := command.(type) {
	case membership.MemberJoined:
		c.live[indexOfAddress(command.Member.Address)] = true
	case membership.MemberSuspected:
		c.SuspicionCount++
	case membership.MemberRemoved:
		c.live[indexOf(command.Member.Name)] = false
		c.gone[command.Member.Name] = command.Reason
	case membership.EndpointLeavingLearned:
		c.LeavingReports[command.Key]++
	case membership.HeadReported:
		c.LatestHeads[command.Name] = command
	case membership.LeaveCompleted:
		c.LeaveCompleted = true
	case membership.Superseded:
		c.Superseded = true
	}
}

// messageBytes returns about what a message takes on the wire.
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
