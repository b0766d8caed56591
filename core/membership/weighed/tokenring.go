package weighed

import (
	"slices"
	"time"
)

const (
	tokenRingPeriod  = 2 * time.Second
	tokenRingTimeout = 2 * time.Second
	tokenBytes       = 40
)

// departure is the state of a departure that is not committed yet.
type departure int

const (
	departureAgreed departure = iota + 1
	departurePending
)

// token is an agreement or commit token.
type token struct {
	commit    bool
	initiator int
	subject   int
}

// tokenRing is a host of the scheme of Shukla and Raghuram (1992): each member
// monitors its counter-clockwise neighbor on one logical ring, and each change
// is agreed on and then committed by a token that goes around the ring
// clockwise. Departures are here as in the paper's figures 3, 4, 6, 7 and 8;
// joins are left out, as all hosts are known from the start.
type tokenRing struct {
	environment Environment
	inView      []bool
	status      map[int]departure
	pool        []token
	seen        map[token]bool
	// monitor is the member that queried this one last: its clockwise neighbor.
	monitor   int
	queried   int
	queryAt   time.Time
	timeoutAt time.Time
	removals  int
}

type tokenRingQuery struct{}

type tokenRingStatus struct{}

// tokenMessage carries a token over a reliable channel, as the paper assumes.
type tokenMessage struct {
	token token
}

func (tokenMessage) reliable() {}

// NewTokenRing returns a host of the logical ring scheme.
func NewTokenRing(environment Environment) Scheme {
	s := &tokenRing{
		environment: environment,
		inView:      make([]bool, environment.Hosts),
		status:      make(map[int]departure),
		seen:        make(map[token]bool),
		monitor:     (environment.Index + 1) % environment.Hosts,
	}
	for i := range s.inView {
		s.inView[i] = true
	}
	return s
}

// Start implements Scheme.
func (s *tokenRing) Start(now time.Time) {
	s.queryAt = now.Add(time.Duration(s.environment.Random.Int64N(int64(tokenRingPeriod))))
}

// Wake implements Scheme.
func (s *tokenRing) Wake(now time.Time) {
	if !s.timeoutAt.IsZero() && !s.timeoutAt.After(now) {
		s.timeoutAt = time.Time{}
		s.perceiveDeparture(s.queried)
		s.queryAt = now
	}
	if s.timeoutAt.IsZero() && !s.queryAt.After(now) {
		s.query(now)
	}
}

func (s *tokenRing) query(now time.Time) {
	s.queryAt = now.Add(tokenRingPeriod)
	neighbor, ok := s.counterClockwise()
	if !ok {
		return
	}
	s.queried = neighbor
	s.timeoutAt = now.Add(tokenRingTimeout)
	s.environment.Sender.Send(neighbor, callBytes+tokenBytes, tokenRingQuery{})
}

// counterClockwise returns the next member that is not perceived as departed.
func (s *tokenRing) counterClockwise() (int, bool) {
	n := s.environment.Hosts
	for step := 1; step < n; step++ {
		i := (s.environment.Index - step + n) % n
		if s.inView[i] && s.status[i] == 0 {
			return i, true
		}
	}
	return 0, false
}

func (s *tokenRing) perceiveDeparture(host int) {
	if !s.inView[host] || s.status[host] != 0 {
		return
	}
	s.status[host] = departureAgreed
	agreement := token{
		initiator: s.environment.Index,
		subject:   host,
	}
	s.seen[agreement] = true
	s.pool = append(s.pool, agreement)
	s.pass(agreement)
}

func (s *tokenRing) pass(t token) {
	if s.monitor == s.environment.Index {
		return
	}
	s.environment.Sender.Send(s.monitor, oneWayBytes+tokenBytes, tokenMessage{
		token: t,
	})
}

// Receive implements Scheme. A member perceived as departed is not listened to.
func (s *tokenRing) Receive(now time.Time, from int, payload any) {
	if !s.inView[from] || s.status[from] != 0 {
		return
	}
	switch payload := payload.(type) {
	case tokenRingQuery:
		s.onQuery(from)
	case tokenRingStatus:
		if from == s.queried {
			s.timeoutAt = time.Time{}
		}
	case tokenMessage:
		if payload.token.commit {
			s.onCommit(payload.token)
		} else {
			s.onAgreement(payload.token)
		}
	}
	_ = now
}

func (s *tokenRing) onQuery(from int) {
	if from != s.monitor {
		s.monitor = from
		for _, t := range s.pool {
			s.pass(t)
		}
	}
	s.environment.Sender.Send(from, answerBytes+tokenBytes, tokenRingStatus{})
}

func (s *tokenRing) onAgreement(t token) {
	if !s.inView[t.subject] {
		return
	}
	duplicate := s.seen[t]
	if t.initiator == s.environment.Index || duplicate && s.departed(t.initiator) {
		s.commitInOrder(t.subject)
		return
	}
	if duplicate {
		return
	}
	s.seen[t] = true
	s.pool = append(s.pool, t)
	if s.status[t.subject] == 0 {
		s.status[t.subject] = departureAgreed
	}
	s.pass(t)
}

func (s *tokenRing) departed(host int) bool {
	return !s.inView[host] || s.status[host] != 0
}

// commitInOrder commits the departure if its rank is the lowest of those agreed
// on, and leaves it pending otherwise. Ranks count from host 0, which stands at
// the ring's marker.
func (s *tokenRing) commitInOrder(subject int) {
	for other := range s.status {
		if other < subject {
			s.status[subject] = departurePending
			return
		}
	}
	s.commitChange(token{
		commit:    true,
		initiator: s.environment.Index,
		subject:   subject,
	})
	s.commitPending()
}

func (s *tokenRing) onCommit(t token) {
	if t.initiator == s.environment.Index || s.seen[t] || !s.inView[t.subject] {
		return
	}
	s.commitChange(t)
	s.commitPending()
}

// commitPending commits what waited for a departure of lower rank.
func (s *tokenRing) commitPending() {
	for {
		lowest := -1
		for host := range s.status {
			if lowest < 0 || host < lowest {
				lowest = host
			}
		}
		if lowest < 0 || s.status[lowest] != departurePending {
			return
		}
		s.commitChange(token{
			commit:    true,
			initiator: s.environment.Index,
			subject:   lowest,
		})
	}
}

func (s *tokenRing) commitChange(t token) {
	s.seen[t] = true
	s.inView[t.subject] = false
	s.removals++
	delete(s.status, t.subject)
	s.pass(t)
	s.prune(t)
	s.pool = append(s.pool, t)
}

// prune drops the commit tokens received before the agreement on this change,
// and the agreement itself.
func (s *tokenRing) prune(t token) {
	at := slices.IndexFunc(s.pool, func(other token) bool {
		return !other.commit && other.subject == t.subject
	})
	var kept []token
	for i, other := range s.pool {
		if other.commit && i < at || !other.commit && other.subject == t.subject {
			continue
		}
		kept = append(kept, other)
	}
	s.pool = kept
}

// NextWake implements Scheme.
func (s *tokenRing) NextWake() (time.Time, bool) {
	if !s.timeoutAt.IsZero() {
		return s.timeoutAt, true
	}
	return s.queryAt, true
}

// Live implements Scheme.
func (s *tokenRing) Live(host int) bool {
	return s.inView[host]
}

// Removals implements Scheme.
func (s *tokenRing) Removals() int {
	return s.removals
}
