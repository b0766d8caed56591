// Package control is a stand-in for the platform's control API. It checks from the calls that it
// receives whether the hosts perform their duties one at a time, and can be set to fail.
//
// # Usage
//
//	api := control.New(control.Settings{
//		Now:            time.Now,
//		Lease:          3 * time.Second,
//		RequireFencing: true,
//		CallsPerSecond: 50,
//	})
//	server := httptest.NewServer(api)
//	api.SetFaults(control.Faults{Lose: true})
//	api.ExecuteLost()
//	violations := api.Violations()
//
// A call that is lost gets no response and is executed by ExecuteLost, after newer calls.
package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 1 << 20
	// rateWindow is the time over which calls are counted.
	rateWindow = time.Second
	// usageSubject is the subject of all usage reports.
	usageSubject = "usage"
)

// Settings configures an API.
type Settings struct {
	Now func() time.Time
	// Lease is the time within which holders must not act in the order A, B, A.
	Lease time.Duration
	// RequireFencing makes the API reject calls with a lower token than one that it has seen.
	RequireFencing bool
	// CallsPerSecond is the number of calls that the API accepts within a second; zero means no
	// limit.
	CallsPerSecond int
	// ThawTime is the time after RecordThaw within which calls of a holder are not judged, if the
	// API requires no fencing.
	ThawTime time.Duration
}

// Faults are the faults injected into calls. The zero value means no faults.
type Faults struct {
	// Down rejects calls with status 503.
	Down bool
	// Delay is the time before a call is executed.
	Delay time.Duration
	// Lose cuts the connection of each call, which is executed by ExecuteLost.
	Lose bool
	// LoseResponse executes each call and then cuts its connection.
	LoseResponse bool
	// IsExhausted reports whether no more endpoints are available. It may be nil.
	IsExhausted func(Order) bool
}

// Order is an order for endpoints, as received.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Usage is a usage report, as received.
type Usage struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Call is a call that was received.
type Call struct {
	At     time.Time
	Holder string
	Token  int64
	// Order or Usage is set.
	Order *Order
	Usage *Usage
	// Status is the status with which the call was executed, or zero if it was not.
	Status int
}

// subject returns what the call is about. The capacity types of a service in a zone are one.
func (c *Call) subject() string {
	if c.Usage != nil {
		return usageSubject
	}
	return c.Order.Service + "\x00" + c.Order.Zone
}

// Kind is an invariant.
type Kind string

// The invariants that calls can violate.
const (
	// DifferentReport is that two reports of a window with different counts were accepted.
	DifferentReport Kind = "differentReport"
	// SharedToken is that two holders sent the same token for a subject.
	SharedToken Kind = "sharedToken"
	// LowerToken is that a call had a lower token than one sent before, without fencing.
	LowerToken Kind = "lowerToken"
	// Alternation is that holders acted in the order A, B, A within the lease time.
	Alternation Kind = "alternation"
	// CallAfterConflict is that a holder called again with a token that was rejected because of a
	// higher one, later than the lease time after that.
	CallAfterConflict Kind = "callAfterConflict"
)

// Violation is a call that violated an invariant.
type Violation struct {
	Kind Kind
	Call Call
}

// API is the stand-in. It is safe for concurrent use.
type API struct {
	settings Settings

	mu         sync.Mutex
	faults     Faults
	calls      []*Call
	lost       []*Call
	violations []Violation
	subjects   map[string]*subject
	reports    map[int64]map[string]int64
	desired    map[Order]int
	accepted   []time.Time
	thawedAt   map[string]time.Time
}

// subject is what is known of the calls on a subject.
type subject struct {
	// highestSent is the highest token that was sent, and highestSeen that was executed.
	highestSent int64
	highestSeen int64
	holders     map[int64]string
	lastHolder  string
	actedAt     map[string]time.Time
	conflictAt  map[int64]time.Time
}

// New returns an API without faults.
func New(settings Settings) *API {
	return &API{
		settings: settings,
		subjects: make(map[string]*subject),
		reports:  make(map[int64]map[string]int64),
		desired:  make(map[Order]int),
		thawedAt: make(map[string]time.Time),
	}
}

// SetFaults sets the faults of later calls.
func (a *API) SetFaults(faults Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// RecordThaw records that a holder was resumed, or that its link was restored.
func (a *API) RecordThaw(holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.thawedAt[holder] = a.settings.Now()
}

// Violations returns the violations so far.
func (a *API) Violations() []Violation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}

// Calls returns all calls so far, in the order of their arrival.
func (a *API) Calls() []Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := make([]Call, 0, len(a.calls))
	for _, call := range a.calls {
		calls = append(calls, *call)
	}
	return calls
}

// Desired returns the number of endpoints that is ordered, and false if none was.
func (a *API) Desired(service, zone string, spot bool) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	desired, ok := a.desired[Order{Service: service, Zone: zone, Spot: spot}]
	return desired, ok
}

// ExecuteLost executes the calls that were lost, the oldest first.
func (a *API) ExecuteLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, call := range a.lost {
		a.execute(call)
	}
	a.lost = nil
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := parse(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := a.receive(call)
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Lose {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay > 0 {
		// The call is executed also if its sender does not wait.
		<-time.After(faults.Delay)
	}
	a.mu.Lock()
	status := a.execute(call)
	a.mu.Unlock()
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// CallError reports a call that is malformed.
type CallError struct {
	Reason string
}

// Error gives the reason.
func (e *CallError) Error() string { return "malformed call: " + e.Reason }

// parse returns the call of a request. The error is a *CallError.
func parse(r *http.Request) (*Call, error) {
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	call := &Call{
		Holder: r.Header.Get("X-Duty-Holder"),
		Token:  token,
	}
	if err != nil || call.Holder == "" || r.Method != http.MethodPost {
		return nil, &CallError{Reason: fmt.Sprintf("%s, holder %q, token %v", r.Method, call.Holder, err)}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, &CallError{Reason: err.Error()}
	}
	var content any
	switch r.URL.Path {
	case "/usage":
		call.Usage = &Usage{}
		content = call.Usage
	case "/scale":
		call.Order = &Order{}
		content = call.Order
	default:
		return nil, &CallError{Reason: "path " + r.URL.Path}
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(content); err != nil {
		return nil, &CallError{Reason: err.Error()}
	}
	if call.Usage != nil && call.Usage.Counts == nil {
		return nil, &CallError{Reason: "no counts"}
	}
	if call.Order != nil && (call.Order.Service == "" || call.Order.Zone == "" || call.Order.Desired < 0) {
		return nil, &CallError{Reason: fmt.Sprintf("order %+v", *call.Order)}
	}
	return call, nil
}

// receive records a call and judges its sender.
func (a *API) receive(call *Call) Faults {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	call.At = now
	a.calls = append(a.calls, call)
	if a.faults.Lose && !a.faults.Down {
		a.lost = append(a.lost, call)
	}
	s := a.subject(call)
	if holder, ok := s.holders[call.Token]; ok && holder != call.Holder {
		a.violate(SharedToken, call)
	}
	s.holders[call.Token] = call.Holder
	if !a.settings.RequireFencing && call.Token < s.highestSent && !a.isThawing(call.Holder) {
		a.violate(LowerToken, call)
	}
	s.highestSent = max(s.highestSent, call.Token)
	actedAt, hasActed := s.actedAt[call.Holder]
	isAlternation := hasActed && s.lastHolder != call.Holder && now.Sub(actedAt) <= a.settings.Lease
	if isAlternation && (a.settings.RequireFencing || !a.isThawing(call.Holder)) {
		a.violate(Alternation, call)
	}
	s.lastHolder = call.Holder
	s.actedAt[call.Holder] = now
	if conflictAt, ok := s.conflictAt[call.Token]; ok && now.Sub(conflictAt) > a.settings.Lease {
		a.violate(CallAfterConflict, call)
	}
	return a.faults
}

func (a *API) subject(call *Call) *subject {
	s, ok := a.subjects[call.subject()]
	if !ok {
		s = &subject{
			holders:    make(map[int64]string),
			actedAt:    make(map[string]time.Time),
			conflictAt: make(map[int64]time.Time),
		}
		a.subjects[call.subject()] = s
	}
	return s
}

func (a *API) isThawing(holder string) bool {
	thawedAt, ok := a.thawedAt[holder]
	return ok && a.settings.Now().Sub(thawedAt) <= a.settings.ThawTime
}

func (a *API) violate(kind Kind, call *Call) {
	a.violations = append(a.violations, Violation{
		Kind: kind,
		Call: *call,
	})
}

// execute executes a call and returns its status.
func (a *API) execute(call *Call) int {
	call.Status = a.statusOf(call)
	return call.Status
}

func (a *API) statusOf(call *Call) int {
	now := a.settings.Now()
	a.accepted = slices.DeleteFunc(a.accepted, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
	if a.settings.CallsPerSecond > 0 && len(a.accepted) >= a.settings.CallsPerSecond {
		return http.StatusTooManyRequests
	}
	a.accepted = append(a.accepted, now)
	s := a.subject(call)
	if a.settings.RequireFencing && call.Token < s.highestSeen {
		if _, ok := s.conflictAt[call.Token]; !ok {
			s.conflictAt[call.Token] = now
		}
		return http.StatusConflict
	}
	s.highestSeen = max(s.highestSeen, call.Token)
	if call.Usage != nil {
		a.report(call)
		return http.StatusOK
	}
	if a.faults.IsExhausted != nil && a.faults.IsExhausted(*call.Order) {
		return http.StatusConflict
	}
	a.desired[Order{Service: call.Order.Service, Zone: call.Order.Zone, Spot: call.Order.Spot}] = call.Order.Desired
	return http.StatusOK
}

func (a *API) report(call *Call) {
	counts, ok := a.reports[call.Usage.Window]
	if ok && !maps.Equal(counts, call.Usage.Counts) {
		a.violate(DifferentReport, call)
	}
	if !ok {
		a.reports[call.Usage.Window] = call.Usage.Counts
	}
}
