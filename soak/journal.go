package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactuswell/standin/worker"
)

// EventKind is what an Event tells.
type EventKind string

// The kinds of events. Those of an attempt name its request, and those of an endpoint both.
const (
	// AttemptSent means that a caller begins to send a request.
	AttemptSent EventKind = "attemptSent"
	// AttemptAnswered means that the caller got a whole response.
	AttemptAnswered EventKind = "attemptAnswered"
	// AttemptUnread means that the connection was reset before the first byte of a response:
	// the operating system resets a connection whose bytes nobody has read.
	AttemptUnread EventKind = "attemptUnread"
	// AttemptBroken means that the connection ended in another way, which promises nothing.
	AttemptBroken EventKind = "attemptBroken"
	// AttemptAbandoned means that the caller has closed the connection.
	AttemptAbandoned EventKind = "attemptAbandoned"
	// RequestRun and RequestDeclined mean that an endpoint began to run a request or declined it.
	RequestRun      EventKind = "requestRun"
	RequestDeclined EventKind = "requestDeclined"
	// AnswerFault means that an endpoint did not send an answer as it should.
	AnswerFault EventKind = "answerFault"
	// StreamFault means that a caller got an event of a stream that does not belong there.
	StreamFault EventKind = "streamFault"
	// AnswerMixed means that a caller got a whole answer that is not one endpoint's whole body, and AnswerCutShort
	// that it is the beginning of one whose end is that of the connection. EventMixed means that an event in a stream that
	// is broken off is not one endpoint's.
	AnswerMixed    EventKind = "answerMixed"
	AnswerCutShort EventKind = "answerCutShort"
	EventMixed     EventKind = "eventMixed"
	// ConfigurationFault means that a host handled a request by an older configuration than it may.
	ConfigurationFault EventKind = "configurationFault"
	// DisturbanceBegun and DisturbanceEnded tell what was done to the fleet.
	DisturbanceBegun EventKind = "disturbanceBegun"
	DisturbanceEnded EventKind = "disturbanceEnded"
)

// Event is something that a caller, an endpoint or the soak saw or did.
type Event struct {
	// At is the time since the start of the soak.
	At   time.Duration `json:"at"`
	Kind EventKind     `json:"kind"`
	// Operation names what a caller wants done, in one request or several, and Request is the
	// request ID of one of its attempts.
	Operation string `json:"operation,omitempty"`
	Request   string `json:"request,omitempty"`
	// IsRepeatable is set in AttemptSent if the request may run more than once.
	IsRepeatable bool   `json:"isRepeatable,omitempty"`
	Host         string `json:"host,omitempty"`
	Endpoint     string `json:"endpoint,omitempty"`
	Status       int    `json:"status,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Rule is a rule that the judge checks.
type Rule string

// The rules. The first three hold for requests that are not repeatable.
const (
	// RanTwice means that a request began to run more than once.
	RanTwice Rule = "ranTwice"
	// RanThoughRefused means that a request was run although its caller got a status that
	// promises that it was not and never will be.
	RanThoughRefused Rule = "ranThoughRefused"
	// RanThoughUnread means that a request was run although the host has reset the
	// connection, from which callers conclude that it was not read.
	RanThoughUnread Rule = "ranThoughUnread"
	// AnswerLost means that a request was run whose caller got no whole response though it waited.
	// It is checked if nothing but planned work disturbs the fleet.
	AnswerLost Rule = "answerLost"
	// BrokenStream means that events of a stream were missing, came twice, or were of two
	// software versions.
	BrokenStream Rule = "brokenStream"
	// MixedAnswer means that a whole answer was not one endpoint's whole body.
	MixedAnswer Rule = "answerMixed"
	// OldConfiguration means that a host handled a request by an older version of the configuration
	// than one by which the same process had handled requests before, or than one that must be in
	// force by then.
	OldConfiguration Rule = "oldConfiguration"
)

// Violation is a rule that was broken for a request, with all events of the request.
type Violation struct {
	Rule    Rule
	Request string
	Events  []Event
}

// Counts are the numbers of what happened in a soak.
type Counts struct {
	Operations   int
	Requests     int
	Statuses     map[int]int
	Unread       int
	Broken       int
	Abandoned    int
	Runs         int
	Declines     int
	StreamFaults int
	Mixed        int
	CutShort     int
	MixedEvents  int
	Disturbances int
	// Served, Refused and Failed are the numbers of operations by the end of their last request: with
	// 200, with a promise, or with another status or none.
	Served  int
	Refused int
	Failed  int

	ConfigurationFaults int
}

// Journal records what happens in a soak. It is safe for concurrent use.
type Journal struct {
	startedAt time.Time

	mu     sync.Mutex
	events []Event
}

var _ worker.Observer = (*Journal)(nil)

// NewJournal returns an empty journal that starts now.
func NewJournal() *Journal {
	return &Journal{startedAt: time.Now()}
}

// Record adds an event with the current time.
func (j *Journal) Record(event Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	event.At = time.Since(j.startedAt)
	j.events = append(j.events, event)
}

// ObserveRun implements worker.Observer.
func (j *Journal) ObserveRun(endpointID, requestID string) {
	j.Record(Event{
		Kind:     RequestRun,
		Request:  requestID,
		Endpoint: endpointID,
	})
}

// ObserveDecline implements worker.Observer.
func (j *Journal) ObserveDecline(endpointID, requestID string, status int) {
	j.Record(Event{
		Kind:     RequestDeclined,
		Request:  requestID,
		Endpoint: endpointID,
		Status:   status,
	})
}

// ObserveFault implements worker.Observer.
func (j *Journal) ObserveFault(endpointID, requestID, detail string) {
	j.Record(Event{
		Kind:     AnswerFault,
		Request:  requestID,
		Endpoint: endpointID,
		Detail:   detail,
	})
}

// Events returns the events in their order.
func (j *Journal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.events)
}

// WriteTo writes the events, one JSON document a line.
func (j *Journal) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for _, event := range j.Events() {
		line, err := json.Marshal(event)
		if err != nil {
			return total, err
		}
		n, err := fmt.Fprintf(w, "%s\n", line)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Count returns the numbers of what happened.
func (j *Journal) Count() Counts {
	counts := Counts{Statuses: make(map[int]int)}
	operations := make(map[string]Event)
	for _, event := range j.Events() {
		if event.Operation != "" {
			operations[event.Operation] = event
		}
		switch event.Kind {
		case AttemptSent:
			counts.Requests++
		case AttemptAnswered:
			counts.Statuses[event.Status]++
		case AttemptUnread:
			counts.Unread++
		case AttemptBroken:
			counts.Broken++
		case AttemptAbandoned:
			counts.Abandoned++
		case RequestRun:
			counts.Runs++
		case RequestDeclined:
			counts.Declines++
		case DisturbanceBegun:
			counts.Disturbances++
		case StreamFault:
			counts.StreamFaults++
		case AnswerMixed:
			counts.Mixed++
		case AnswerCutShort:
			counts.CutShort++
		case EventMixed:
			counts.MixedEvents++
		case ConfigurationFault:
			counts.ConfigurationFaults++
		case AnswerFault, DisturbanceEnded:
		}
	}
	counts.Operations = len(operations)
	for _, last := range operations {
		switch {
		case last.Kind == AttemptAnswered && last.Status == http.StatusOK:
			counts.Served++
		case last.Kind == AttemptAnswered && isPromise(last.Status):
			counts.Refused++
		default:
			counts.Failed++
		}
	}
	return counts
}

// Judge returns the violations, in the order of their first events. If mustAnswer is set, each
// request that ran must be answered.
func (j *Journal) Judge(mustAnswer bool) []Violation {
	histories := make(map[string][]Event)
	for _, event := range j.Events() {
		if event.Request != "" {
			histories[event.Request] = append(histories[event.Request], event)
		}
	}
	var violations []Violation
	for request, events := range histories {
		for _, rule := range brokenRules(events, mustAnswer) {
			violations = append(violations, Violation{
				Rule:    rule,
				Request: request,
				Events:  events,
			})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Events[0].At, b.Events[0].At) })
	return violations
}

// brokenRules returns the rules that are broken for one request.
func brokenRules(events []Event, mustAnswer bool) []Rule {
	runs := 0
	var isRepeatable, isRefused, isUnread, isBroken, isFaulty, isMixed, isOld bool
	for _, event := range events {
		isRepeatable = isRepeatable || event.IsRepeatable
		switch event.Kind {
		case RequestRun:
			runs++
		case AttemptUnread:
			isUnread = true
		case AttemptBroken:
			isBroken = true
		case AttemptAnswered:
			isRefused = isRefused || isPromise(event.Status)
		case StreamFault:
			isFaulty = true
		case AnswerMixed:
			isMixed = true
		case ConfigurationFault:
			isOld = true
		}
	}
	var rules []Rule
	for _, rule := range []struct {
		name     Rule
		isBroken bool
	}{
		{RanTwice, !isRepeatable && runs > 1},
		{RanThoughRefused, !isRepeatable && runs > 0 && isRefused},
		{RanThoughUnread, !isRepeatable && runs > 0 && isUnread},
		{AnswerLost, mustAnswer && runs > 0 && (isBroken || isUnread)},
		{BrokenStream, isFaulty},
		{MixedAnswer, isMixed},
		{OldConfiguration, isOld},
	} {
		if rule.isBroken {
			rules = append(rules, rule.name)
		}
	}
	return rules
}

// isPromise reports whether a status promises that the request was not run and never will be.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
