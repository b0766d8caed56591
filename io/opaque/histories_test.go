package opaque_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"cactuswell/core/route"
)

// history is what happens to the calls of one caller or two: where the endpoints are, which calls are made, and
// what the endpoints do with the requests in the order in which these arrive. The requests beyond the
// steps are run and answered.
type history struct {
	place place
	// calls lists the IDs of the calls. A space separates calls that are made in turn, and answeredInOrder or
	// answeredInReverse those that are made at a time.
	calls string
	// kind is the first part of the calls' path.
	kind string
	// isKept is set if there is a connection to each address that has carried a request.
	isKept bool
	steps  []step
}

// The separators of calls that are made at a time. Their requests are answered in the order in which they arrive,
// or the earlier ones later.
const (
	answeredInOrder   = "|"
	answeredInReverse = "^"
)

// String returns the history in one line.
func (h history) String() string {
	connections := "new"
	if h.isKept {
		connections = "kept"
	}
	steps := make([]string, len(h.steps))
	for i, s := range h.steps {
		steps[i] = s.String()
	}
	return fmt.Sprintf("%s, %s connections, %s %q: %s", h.place, connections, h.kind, h.calls, strings.Join(steps, ", "))
}

// sharesID reports whether the caller gives two calls the same ID. The refusal of one of them proves nothing for
// either.
func (h history) sharesID() bool { return strings.Count(h.calls, "a") > 1 }

// isSound reports whether all endpoints do as they should.
func (h history) isSound() bool {
	return !slices.ContainsFunc(h.steps, func(s step) bool {
		return s.before != "" || s.after != "" || s.act != actOK && s.act.runs()
	})
}

// place is where the endpoints of the service are.
type place string

const (
	oneEndpoint  place = "1 endpoint"
	twoEndpoints place = "2 endpoints"
	// oneAddress is a process that is known under two IDs.
	oneAddress place = "2 endpoints at 1 address"
)

func (p place) addresses() []string {
	switch p {
	case twoEndpoints:
		return []string{"10.0.0.1:80", "10.0.0.2:80"}
	case oneAddress:
		return []string{"10.0.0.1:80", "10.0.0.1:80"}
	}
	return []string{"10.0.0.1:80"}
}

// step is what an endpoint does with a request.
type step struct {
	before before
	act    act
	after  after
}

func (s step) String() string {
	parts := []string{string(s.before), string(s.act), string(s.after)}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), "+")
}

// act is whether an endpoint runs a request, and its own answer.
type act string

const (
	actOK     act = "run200"
	actError  act = "run500"
	actRun503 act = "run503"
	actSilent act = "runSilent"
	actClose  act = "runClose"
	act503    act = "refuse503"
	act421    act = "refuse421"
	act429    act = "refuse429"
	act408    act = "refuse408"
)

// runs reports whether the endpoint runs the request.
func (a act) runs() bool { return strings.HasPrefix(string(a), "run") }

// status returns the status line's end of the answer.
func (a act) status() string {
	switch a {
	case actError:
		return "500 Internal Server Error"
	case actRun503, act503:
		return "503 Service Unavailable"
	case act421:
		return "421 Misdirected Request"
	case act429:
		return "429 Too Many Requests"
	case act408:
		return "408 Request Timeout"
	}
	return "200 OK"
}

// before is what an endpoint sends before its own answer, or in place of it.
type before string

const (
	beforeNothing          before = ""
	beforeOwn              before = "ownEarlierRefusal"
	beforeOther            before = "otherRefusal"
	beforeNameless503      before = "nameless503"
	beforeNameless421      before = "nameless421"
	beforeTorn421          before = "tornIn421Line"
	beforeTorn503          before = "tornIn503Line"
	beforeTornNotRun       before = "tornInNotRun"
	beforeTornLater        before = "tornInLaterValue"
	beforeTornName         before = "tornInLaterName"
	beforeTornID           before = "tornInID"
	beforeTornOwn          before = "tornAfterOwnID"
	beforeTornOther        before = "tornAfterOtherID"
	beforeTornBody         before = "tornInBody"
	beforeTornNamelessBody before = "tornInNamelessBody"
	beforeInterim          before = "interim"
	beforeGarbage          before = "garbage"
)

// after is what an endpoint does after its own answer, or where it cuts it.
type after string

const (
	afterNothing      after = ""
	afterCopy         after = "copy"
	afterLateCopy     after = "lateCopy"
	afterLateNameless after = "lateNameless503"
	afterCutHead      after = "cutHead"
	afterCutBody      after = "cutBody"
	afterEnd          after = "end"
)

var (
	allBefore = []before{
		beforeNothing, beforeOwn, beforeOther, beforeNameless503, beforeNameless421, beforeTorn421, beforeTorn503,
		beforeTornNotRun, beforeTornLater, beforeTornName, beforeTornID, beforeTornOwn, beforeTornOther, beforeTornBody,
		beforeTornNamelessBody, beforeInterim, beforeGarbage,
	}
	allActs  = []act{actOK, actError, actRun503, actSilent, actClose, act503, act421, act429, act408}
	allAfter = []after{afterNothing, afterCopy, afterLateCopy, afterLateNameless, afterCutHead, afterCutBody, afterEnd}
)

// stepsOf returns the steps with each combination of parts. Nothing follows an answer that is not sent.
func stepsOf(befores []before, acts []act, afters []after) []step {
	var steps []step
	for _, b := range befores {
		for _, a := range acts {
			for _, f := range afters {
				if f != afterNothing && (a == actSilent || a == actClose) {
					continue
				}
				steps = append(steps, step{before: b, act: a, after: f})
			}
		}
	}
	return steps
}

// stepSequences are the sequences of steps that are played: for each, the steps that the first request may meet, the second, and
// the third.
var stepSequences = [][][]step{
	// Each thing may happen to the first request.
	{stepsOf(allBefore, allActs, []after{afterNothing})},
	{stepsOf([]before{beforeNothing}, allActs, allAfter[1:])},
	{stepsOf(allBefore[1:], []act{actOK, act503}, []after{afterCopy, afterCutHead, afterCutBody})},
	// Each thing may come before the answer to the second one, whatever became of the first.
	{
		stepsOf([]before{beforeNothing}, []act{actOK, actError, actSilent, actClose, act503, act421}, []after{afterNothing, afterLateCopy, afterLateNameless}),
		stepsOf(allBefore, []act{actOK, actSilent, act503}, []after{afterNothing}),
	},
	// The same with the third, after two refusals.
	{
		stepsOf([]before{beforeNothing}, []act{act503, act421}, []after{afterNothing}),
		stepsOf([]before{beforeNothing, beforeOwn, beforeOther}, []act{act503, act421}, []after{afterNothing}),
		stepsOf(allBefore, []act{actOK, actSilent}, []after{afterNothing}),
	},
}

// callResult is what became of a call.
type callResult struct {
	status int
	runs   int
}

// brokenRule returns the rule that a call breaks, or an empty string.
func (r callResult) brokenRule() string {
	isPromise := slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, r.status)
	switch {
	case r.runs > 1:
		return "ran twice"
	case isPromise && r.runs > 0:
		return "refused with a promise and run"
	}
	return ""
}

// historyCounts sums up histories.
type historyCounts struct {
	histories int
	// statuses counts the calls by their status, and soundStatuses those of histories without any fault.
	statuses      map[int]int
	soundStatuses map[int]int
	// broken holds the histories of the calls that break a rule, by the rule and the fault.
	broken map[string][]string
	// lost holds the sound histories in which a call got an answer that tells nothing.
	lost []string
}

// add adds a history, of which so many requests were received.
func (c *historyCounts) add(h history, received int, results []callResult) {
	c.histories++
	h.steps = h.steps[:min(received, len(h.steps))]
	line := fmt.Sprintf("%s -> %v", h, results)
	isLost := false
	for _, result := range results {
		c.statuses[result.status]++
		if h.isSound() {
			c.soundStatuses[result.status]++
			isLost = isLost || result.status == http.StatusBadGateway || result.status == http.StatusGatewayTimeout
		}
		if rule := result.brokenRule(); rule != "" {
			label := rule + ", " + h.fault()
			c.broken[label] = append(c.broken[label], line)
		}
	}
	if isLost && !h.sharesID() {
		c.lost = append(c.lost, line)
	}
}

// fault names the faults of a history: what comes before answers or, if nothing does, after them.
func (h history) fault() string {
	var befores, afters []string
	for _, s := range h.steps {
		if s.before != "" {
			befores = append(befores, string(s.before))
		}
		if s.after != "" {
			afters = append(afters, string(s.after))
		}
	}
	faults := befores
	if len(faults) == 0 {
		faults = afters
	}
	if h.sharesID() {
		faults = append(faults, "sameID")
	}
	if h.place == oneAddress {
		faults = append(faults, "oneAddress")
	}
	return strings.Join(faults, " ")
}

// playSequences plays all histories that differ in the steps only.
func playSequences(table *route.Table, h history, counts *historyCounts) {
	var extend func(steps []step, rest [][]step) int
	// extend plays the histories that begin with the given steps, and returns how many of these
	// were received. Where a request never comes, its steps make no difference.
	extend = func(steps []step, rest [][]step) int {
		if len(rest) > 0 {
			for _, next := range rest[0] {
				if received := extend(append(slices.Clip(steps), next), rest[1:]); received <= len(steps) {
					return received
				}
			}
			return len(steps) + 1
		}
		h.steps = steps
		p := newPlay(table, h)
		results := p.run()
		if !p.lacksRefusal {
			counts.add(h, p.received, results)
		}
		return p.received
	}
	for _, sequence := range stepSequences {
		extend(nil, sequence)
	}
}

// TestShortHistories guards against each way in which something other than the refusal of a request passes for it, so that
// a call that must run at most once runs twice, or has run and is answered with a promise that it has
// not. It plays every short history of a few requests: one endpoint or two, one call or two, in turn or at a
// time, with IDs of their own or the same, over new connections or kept ones, and each order of refusals (true ones,
// earlier ones, those of other calls, nameless and torn ones), answers, silence and cuts.
func TestShortHistories(t *testing.T) {
	table := historyTable(t)
	for _, calls := range []string{"a", "a b", "a a", "a|b", "a|a", "a^b", "a^a"} {
		for _, kind := range []string{"once", "stream"} {
			t.Run(kind+" "+calls, func(t *testing.T) {
				t.Parallel()
				counts := &historyCounts{
					statuses:      make(map[int]int),
					soundStatuses: make(map[int]int),
					broken:        make(map[string][]string),
				}
				h := history{
					calls: calls,
					kind:  kind,
				}
				synctest.Test(t, func(*testing.T) {
					for _, h.place = range []place{oneEndpoint, twoEndpoints, oneAddress} {
						for _, h.isKept = range []bool{false, true} {
							playSequences(table, h, counts)
						}
					}
				})
				counts.report(t, h)
			})
		}
	}
}

// report reports the histories that break a rule, some of each kind.
func (c *historyCounts) report(t *testing.T, h history) {
	t.Helper()
	t.Logf("%d histories; calls by status: %v; in histories without a fault: %v", c.histories, c.statuses, c.soundStatuses)
	if c.soundStatuses[http.StatusOK] == 0 {
		t.Error("no call is served in the histories without a fault")
	}
	if !h.sharesID() && c.soundStatuses[http.StatusServiceUnavailable] == 0 {
		t.Error("no call is refused in the histories without a fault")
	}
	for _, label := range slices.Sorted(maps.Keys(c.broken)) {
		lines := c.broken[label]
		t.Errorf("%s: %d calls, such as\n\t%s", label, len(lines), strings.Join(lines[:min(len(lines), 2)], "\n\t"))
	}
	if len(c.lost) > 0 {
		t.Errorf("%d histories without a fault lose a call, such as\n\t%s", len(c.lost), strings.Join(c.lost[:min(len(c.lost), 5)], "\n\t"))
	}
}
