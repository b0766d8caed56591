// Package quarantine finds the requests and the parts of prompts that crash endpoints, and
// keeps them from further endpoints.
//
// # Usage
//
//	ledger := quarantine.New()
//	changes = ledger.RecordCrash(now, crash)
//	changes = ledger.RecordAnswer(now, startedAt, request, parts)
//	if left, ok := ledger.Held(now, request, parts); ok {
//		// refuse the call for that time
//	}
//	findings := ledger.Take(now, complete)
//	changes = other.Apply(now, findings)
//
// A request that crashes endpoints comes again, to any host, and is never answered. It is
// quarantined after three crashes, if each time it was sent after the crash before. A request
// that was only in flight at the same endpoints is answered elsewhere, or has fewer crashes.
//
// A part that crashes endpoints is in a call whose answer had just begun, or was due, at
// each of several crashes, and no answer to a prompt with it has begun since and gone on. A
// sound part that shares a prompt with it, or was in flight at the same endpoint, is cleared by
// the answers to other prompts. Crashes within a short time count once, as endpoints that fail
// together break all their calls. Parts that have been answered before need more evidence, and
// if several parts are in all the same calls, only prompts with all of them are kept away.
//
// Each host judges by itself from what all hosts have seen: they exchange their findings, which
// are facts with an age, in any order and more than once. A quarantine ends by an answer, or
// after its term; then a single crash is enough to renew it for twice as long.
//
// A Ledger reads no clock and is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"
)

const (
	// beganWeight and waitingWeight are the weights of a crash as evidence against the parts
	// of a call whose answer had begun, and of one for which no byte of it had arrived.
	beganWeight   = 1.5
	waitingWeight = 0.6
	// newPartWeight is the weight at which a part is quarantined of which no answer is
	// known, and provenPartWeight that of other parts.
	newPartWeight    = 3.0
	provenPartWeight = 6.0
	// maxRequestWeight bounds the weight against a part of all crashes under one request, which
	// may crash endpoints by something that no other prompt holds.
	maxRequestWeight = 1.8
	// requestCrashes is the number of crashes after which a request is quarantined, and
	// reportJitter the difference between the delays of two reports.
	requestCrashes = 3
	reportJitter   = 25 * time.Millisecond
	// crashSpread is the time within which calls that break at an endpoint belong to the
	// same crash, and separation the time between two crashes that both count.
	crashSpread = time.Second
	separation  = 300 * time.Millisecond
	// firstTerm and maxTerm bound the duration of a quarantine.
	firstTerm = 30 * time.Minute
	maxTerm   = 8 * time.Hour
	// minAdoptedTerm is the time that a quarantine of another host must have left to be taken
	// over. Clocks and delays let the hosts end a quarantine at slightly different times.
	minAdoptedTerm = 5 * time.Second
	// evidenceMemory is how long a crash counts.
	evidenceMemory = 30 * time.Minute
	// MaxParts bounds the parts of a call. Of a prompt with more, the first ones count.
	MaxParts = 32
	// maxCrashes, maxCallsOfCrash and maxRules bound the memory of a ledger.
	maxCrashes      = 256
	maxCallsOfCrash = 256
	maxRules        = 64
)

// Change is a change of the quarantines: an Imposed or a Lifted.
type Change interface {
	isChange()
}

// Imposed reports that a request, or prompts that hold all the parts, are kept from the
// endpoints.
type Imposed struct {
	// Request is zero if the quarantine is one of parts.
	Request uint64
	Parts   []uint64
	// Crashes is the number of crashes known with the request or these parts, or zero if
	// another host reported the quarantine.
	Crashes int
	For     time.Duration
}

// Lifted reports that a quarantine has ended because the request, or a prompt with some of its
// parts, was answered. Remaining are the parts of the quarantine that replaces it, if there is
// one.
type Lifted struct {
	Request   uint64
	Parts     []uint64
	Remaining []uint64
}

func (Imposed) isChange() {}
func (Lifted) isChange()  {}

// Ledger holds the evidence and the quarantines of one host.
type Ledger struct {
	// crashes are in the order of their times.
	crashes  []*crash
	suspects map[uint64]*suspect
	rules    []*rule
	// answeredParts remembers which parts are proven. answeredRequests only has to cover the
	// time by which the report of a crash may be late.
	answeredParts    answers
	answeredRequests answers
	outbox           Outbox
	changes          []Change
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		suspects:         make(map[uint64]*suspect),
		answeredParts:    newAnswers(maxAnsweredParts),
		answeredRequests: newAnswers(maxAnsweredRequests),
	}
}

// RecordCrash records a call of this host that broke because its endpoint crashed.
func (l *Ledger) RecordCrash(now time.Time, report Crash) []Change {
	l.changes = nil
	if l.addCrash(now, report) {
		l.outbox.Add(now, report)
	}
	return l.changes
}

// RecordAnswer records that an answer of this host to the request, whose prompt holds the
// parts, began at startedAt and went on. The request may be zero.
func (l *Ledger) RecordAnswer(now, startedAt time.Time, request uint64, parts []uint64) []Change {
	l.changes = nil
	for _, part := range parts {
		l.recordAnswer(now, Answer{
			Subject: part,
			Age:     now.Sub(startedAt),
		})
	}
	if request != 0 {
		l.recordAnswer(now, Answer{
			Subject:   request,
			IsRequest: true,
			Age:       now.Sub(startedAt),
		})
	}
	return l.changes
}

func (l *Ledger) recordAnswer(now time.Time, answer Answer) {
	l.addAnswer(now, answer)
	startedAt := now.Add(-answer.Age)
	s := l.suspects[answer.Subject]
	if s != nil && startedAt.After(s.lastCrashAt()) && !s.announcedAt.After(s.lastCrashAt()) {
		l.announce(now, answer)
	}
}

// Apply applies what another host has found.
func (l *Ledger) Apply(now time.Time, findings []Finding) []Change {
	l.changes = nil
	for _, finding := range findings {
		switch finding := finding.(type) {
		case Crash:
			l.addCrash(now, finding)
		case Answer:
			startedAt := now.Add(-finding.Age)
			l.addAnswer(now, finding)
			if s := l.suspects[finding.Subject]; s != nil && startedAt.After(s.announcedAt) {
				s.announcedAt = startedAt
			}
		case Quarantine:
			l.adopt(now, finding)
		}
	}
	return l.changes
}

// Held reports whether the request, or prompts with the parts, are kept from the endpoints, and
// for how long.
func (l *Ledger) Held(now time.Time, request uint64, parts []uint64) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, r := range l.rules {
		if now.Before(r.until) && r.covers(request, parts) {
			longest = max(longest, r.until.Sub(now))
		}
	}
	return longest, longest > 0
}

// HasNews reports whether findings wait to be reported.
func (l *Ledger) HasNews() bool { return !l.outbox.IsEmpty() }

// Take returns the findings for the next report to other hosts. A complete report lists all
// quarantines, so that hosts that have started since learn them.
func (l *Ledger) Take(now time.Time, complete bool) []Finding {
	if complete {
		for _, r := range l.rules {
			if now.Before(r.until) {
				l.outbox.Add(now, r.finding(now))
			}
		}
	}
	return l.outbox.Take(now, complete)
}

// Quarantines returns the quarantines in force.
func (l *Ledger) Quarantines(now time.Time) []Quarantine {
	var quarantines []Quarantine
	for _, r := range l.rules {
		if now.Before(r.until) {
			quarantines = append(quarantines, r.finding(now))
		}
	}
	return quarantines
}

// addCrash adds a broken call to the crash of its endpoint and judges its request and its parts.
// It reports false if the call is known.
func (l *Ledger) addCrash(now time.Time, report Crash) bool {
	if report.Request == 0 && len(report.Parts) == 0 {
		return false
	}
	at := now.Add(-report.Age)
	call := brokenCall{
		id:      report.ID,
		request: report.Request,
		sentAt:  at.Add(-report.Flight),
		began:   report.Began,
		parts:   report.Parts[:min(len(report.Parts), MaxParts)],
	}
	c := l.crashOf(report.Endpoint, at)
	if !c.add(call) {
		return false
	}
	for _, part := range call.parts {
		l.suspect(now, part, false).add(c)
	}
	if call.request != 0 {
		l.suspect(now, call.request, true).add(c)
	}
	l.renewRules(now, c, call)
	l.judge(now, call.parts)
	l.judgeRequest(now, call.request)
	return true
}

// crashOf returns the crash of an endpoint at about the given time.
func (l *Ledger) crashOf(endpoint uint64, at time.Time) *crash {
	for _, c := range l.crashes {
		if c.endpoint == endpoint && at.Sub(c.at).Abs() <= crashSpread {
			return c
		}
	}
	l.prune(at)
	c := &crash{
		endpoint: endpoint,
		at:       at,
	}
	index, _ := slices.BinarySearchFunc(l.crashes, at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	l.crashes = slices.Insert(l.crashes, index, c)
	return c
}

// prune drops the crashes that are too old, and if there are too many, first those that
// no longer count against any part.
func (l *Ledger) prune(now time.Time) {
	before := len(l.crashes)
	l.drop(func(c *crash) bool { return now.Sub(c.at) > evidenceMemory })
	if len(l.crashes) >= maxCrashes {
		l.drop(func(c *crash) bool { return !l.countsAgainstAny(now, c) })
	}
	if len(l.crashes) >= maxCrashes {
		oldest := l.crashes[:len(l.crashes)-maxCrashes*3/4]
		l.drop(func(c *crash) bool { return slices.Contains(oldest, c) })
	}
	if len(l.crashes) == before {
		return
	}
	for part, s := range l.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return c.isDropped })
		if len(s.crashes) == 0 {
			delete(l.suspects, part)
		}
	}
}

// drop removes the crashes for which the function returns true.
func (l *Ledger) drop(isObsolete func(*crash) bool) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		c.isDropped = isObsolete(c)
		return c.isDropped
	})
}

func (l *Ledger) countsAgainstAny(now time.Time, c *crash) bool {
	return slices.ContainsFunc(c.calls, func(call brokenCall) bool {
		if call.request != 0 && !l.isAnsweredSince(c, call.request) {
			return true
		}
		return slices.ContainsFunc(call.parts, func(part uint64) bool { return l.countsAgainst(now, c, part) })
	})
}

// suspect returns the entry of a part or a request of a call that broke. If this host has had
// an answer to it and nobody has reported one yet, it reports its own, so that all hosts weigh
// it alike.
func (l *Ledger) suspect(now time.Time, subject uint64, isRequest bool) *suspect {
	s, ok := l.suspects[subject]
	if !ok {
		s = &suspect{}
		l.suspects[subject] = s
	}
	if answeredAt, isProven := l.answeredAt(subject); isProven && s.announcedAt.IsZero() {
		l.announce(now, Answer{
			Subject:   subject,
			IsRequest: isRequest,
			Age:       now.Sub(answeredAt),
		})
	}
	return s
}

// announce reports an answer to other hosts.
func (l *Ledger) announce(now time.Time, answer Answer) {
	l.suspects[answer.Subject].announcedAt = now.Add(-answer.Age)
	l.outbox.Add(now, answer)
}

// answeredAt returns when the last known answer to a request or to a prompt with the part began.
func (l *Ledger) answeredAt(subject uint64) (time.Time, bool) {
	if at, ok := l.answeredParts.at(subject); ok {
		return at, true
	}
	return l.answeredRequests.at(subject)
}

// isAnsweredSince reports whether an answer is known that began after a crash.
func (l *Ledger) isAnsweredSince(c *crash, subject uint64) bool {
	answeredAt, ok := l.answeredAt(subject)
	return ok && !c.at.After(answeredAt)
}

// addAnswer records an answer and removes its subject from the quarantines that began before it.
func (l *Ledger) addAnswer(now time.Time, answer Answer) {
	startedAt := now.Add(-answer.Age)
	if known, ok := l.answeredAt(answer.Subject); ok && !startedAt.After(known) {
		return
	}
	if answer.IsRequest {
		l.answeredRequests.record(now, answer.Subject, startedAt)
	} else {
		l.answeredParts.record(now, answer.Subject, startedAt)
	}
	for _, r := range l.rules {
		switch {
		case !startedAt.After(r.since):
		case r.request != 0 && r.request == answer.Subject:
			l.clearRequest(now, r)
		case slices.Contains(r.parts, answer.Subject):
			l.clearPart(now, r, answer.Subject)
		}
	}
	l.rules = slices.DeleteFunc(l.rules, func(r *rule) bool { return r.request == 0 && len(r.parts) == 0 })
}

// clearPart removes a part that was answered from a rule.
func (l *Ledger) clearPart(now time.Time, r *rule, part uint64) {
	before := r.parts
	r.parts = slices.DeleteFunc(slices.Clone(r.parts), func(p uint64) bool { return p == part })
	if !now.Before(r.until) {
		return
	}
	l.changes = append(l.changes, Lifted{
		Parts:     before,
		Remaining: r.parts,
	})
}

// adopt takes over a quarantine that another host reports, for maxTerm at most. It ignores one of
// more parts than a ledger has.
func (l *Ledger) adopt(now time.Time, reported Quarantine) {
	if len(reported.Parts) > MaxParts {
		return
	}
	since := now.Add(-reported.Age)
	request := reported.Request
	if request != 0 && l.refutes(now, since, request, true) {
		return
	}
	parts := make([]uint64, 0, len(reported.Parts))
	for _, part := range reported.Parts {
		if !l.refutes(now, since, part, false) {
			parts = append(parts, part)
		}
	}
	until := now.Add(min(reported.Left, maxTerm))
	if request == 0 && len(parts) == 0 || reported.Left < minAdoptedTerm {
		return
	}
	if known := l.ruleFor(request, parts); known != nil {
		if !now.Before(known.until) {
			l.impose(now, known, until, 0)
		}
		return
	}
	l.addRule(now, rule{
		request: request,
		parts:   parts,
		since:   since,
	}, until, 0)
}

// refutes reports whether this host knows an answer to a subject that began after another host
// quarantined it, and tells the others.
func (l *Ledger) refutes(now, since time.Time, subject uint64, isRequest bool) bool {
	answeredAt, ok := l.answeredAt(subject)
	if !ok || !answeredAt.After(since) {
		return false
	}
	l.suspect(now, subject, isRequest)
	l.announce(now, Answer{
		Subject:   subject,
		IsRequest: isRequest,
		Age:       now.Sub(answeredAt),
	})
	return true
}

func (l *Ledger) ruleFor(request uint64, parts []uint64) *rule {
	for _, r := range l.rules {
		if r.request == request && keyOf(r.parts) == keyOf(parts) {
			return r
		}
	}
	return nil
}

// addRule adds a quarantine. The one that ends first is dropped if there are too many.
func (l *Ledger) addRule(now time.Time, added rule, until time.Time, crashes int) {
	if len(l.rules) >= maxRules {
		slices.SortStableFunc(l.rules, func(a, b *rule) int { return a.until.Compare(b.until) })
		l.rules = slices.Delete(l.rules, 0, 1)
	}
	added.term = firstTerm
	l.rules = append(l.rules, &added)
	l.impose(now, &added, until, crashes)
}

// impose puts a rule in force.
func (l *Ledger) impose(now time.Time, r *rule, until time.Time, crashes int) {
	r.until = until
	l.changes = append(l.changes, Imposed{
		Request: r.request,
		Parts:   r.parts,
		Crashes: crashes,
		For:     until.Sub(now),
	})
	l.outbox.Add(now, r.finding(now))
}

// renewRules puts the rules in force again that have ended and are about a call that broke.
func (l *Ledger) renewRules(now time.Time, c *crash, call brokenCall) {
	for _, r := range l.rules {
		if now.Before(r.until) || !c.at.After(r.until) || !r.covers(call.request, call.parts) {
			continue
		}
		r.since = c.at
		r.term = min(2*r.term, maxTerm)
		l.impose(now, r, now.Add(r.term), 1)
	}
}

// judge quarantines those of the parts that the evidence is strong enough against, beginning
// with the most suspect. What a quarantine explains counts no longer for other parts.
func (l *Ledger) judge(now time.Time, parts []uint64) {
	for {
		accused, ok := l.mostSuspect(now, parts)
		if !ok {
			return
		}
		l.addRule(now, rule{
			parts: accused.parts,
			since: now,
		}, now.Add(firstTerm), accused.crashes)
	}
}

// accusation is the evidence against a part.
type accusation struct {
	isProven bool
	// isInRule is set if the part is quarantined together with others.
	isInRule bool
	weight   float64
	crashes  int
	// parts are the part and those that are in all the same calls and equally suspect.
	parts []uint64
}

// mostSuspect returns the strongest accusation against one of the parts that is strong enough
// for a new quarantine. It reports false if there is none.
func (l *Ledger) mostSuspect(now time.Time, parts []uint64) (accusation, bool) {
	var strongest accusation
	for _, part := range parts {
		a := l.weigh(now, part)
		if !a.isSufficient() || strongest.parts != nil && !a.isStrongerThan(strongest) {
			continue
		}
		if a.parts = l.inseparableParts(now, part); l.ruleFor(0, a.parts) == nil {
			strongest = a
		}
	}
	return strongest, strongest.parts != nil
}

func (a accusation) isSufficient() bool {
	switch {
	case a.isInRule:
		return a.weight >= beganWeight
	case a.isProven:
		return a.weight >= provenPartWeight
	}
	return a.weight >= newPartWeight
}

func (a accusation) isStrongerThan(b accusation) bool {
	if a.isProven != b.isProven {
		return !a.isProven
	}
	return a.weight > b.weight
}

// weigh adds up the evidence against a part.
func (l *Ledger) weigh(now time.Time, part uint64) accusation {
	a := accusation{isInRule: l.isInRule(now, part)}
	_, a.isProven = l.answeredAt(part)
	var last time.Time
	requestWeights := make(map[uint64]float64)
	for _, c := range l.suspects[part].crashes {
		if a.crashes > 0 && c.at.Sub(last) < separation || !l.countsAgainst(now, c, part) {
			continue
		}
		weight := c.weight()
		if request := c.onlySuspect(part); request != 0 {
			weight = min(weight, maxRequestWeight-requestWeights[request])
			requestWeights[request] += weight
		}
		if weight <= 0 {
			continue
		}
		last = c.at
		a.weight += weight
		a.crashes++
	}
	return a
}

// inseparableParts returns a part and those that are in all the same calls, unless an answer
// is known of them and of the part itself is not.
func (l *Ledger) inseparableParts(now time.Time, part uint64) []uint64 {
	var common []uint64
	for _, c := range l.suspects[part].crashes {
		if !l.countsAgainst(now, c, part) {
			continue
		}
		for _, call := range c.calls {
			if !c.isSuspect(call, part) {
				continue
			}
			if common == nil {
				common = slices.Clone(call.parts)
			}
			common = slices.DeleteFunc(common, func(other uint64) bool { return !slices.Contains(call.parts, other) })
		}
	}
	return slices.DeleteFunc(common, func(other uint64) bool { return l.isLessSuspect(other, part) })
}

// isLessSuspect reports whether an answer is known of a part but none of the other one.
func (l *Ledger) isLessSuspect(part, other uint64) bool {
	_, isProven := l.answeredAt(part)
	_, isOtherProven := l.answeredAt(other)
	return isProven && !isOtherProven
}

// countsAgainst reports whether a crash is evidence against a part.
func (l *Ledger) countsAgainst(now time.Time, c *crash, part uint64) bool {
	if l.isAnsweredSince(c, part) {
		return false
	}
	return slices.ContainsFunc(c.calls, func(call brokenCall) bool { return c.isSuspect(call, part) }) &&
		!l.isExplained(now, c)
}

// isExplained reports whether a quarantined prompt was at the endpoint when it crashed.
func (l *Ledger) isExplained(now time.Time, c *crash) bool {
	return slices.ContainsFunc(l.rules, func(r *rule) bool {
		return now.Before(r.until) && r.request == 0 && r.isAnyCovered(c)
	})
}

// isInRule reports whether a part is quarantined together with others. One crash under a prompt
// without the others, whose answer had begun, is enough to quarantine it alone.
func (l *Ledger) isInRule(now time.Time, part uint64) bool {
	return slices.ContainsFunc(l.rules, func(r *rule) bool {
		return now.Before(r.until) && slices.Contains(r.parts, part)
	})
}

func containsAll(parts, wanted []uint64) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(wanted) > 0
}
