package simulation

import (
	"cmp"
	"slices"
	"time"
)

// ClassResult is the result of one class of calls.
type ClassResult struct {
	Offered int
	// OnTime counts complete answers that met the latency target and the limit on
	// event gaps. Late counts the other complete answers.
	OnTime  int
	Late    int
	Refused int
	Failed  int
	// Value is the total value of the answers.
	Value float64
	// RecomputedTokens counts the prefilled tokens of shared prefixes that this or another
	// engine had used shortly before.
	RecomputedTokens int
	// TimesToFirstEvent and LongestGaps hold the time to the first event and the longest
	// event gap of each complete answer.
	TimesToFirstEvent []time.Duration
	LongestGaps       []time.Duration
	Calls             []*CallResult
}

// CallResult is the outcome of one call.
type CallResult struct {
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// Arrived is the time from the start of the run to the call's arrival.
	Arrived time.Duration
	// Zone is the index of the zone of the host to which the call was first submitted.
	Zone int
	// Served reports whether the caller got a complete answer.
	Served bool
}

// ServedShareOfZone returns the share of a zone's calls that got a complete answer.
func (r ClassResult) ServedShareOfZone(zone int) float64 {
	var calls []*CallResult
	for _, call := range r.Calls {
		if call.Zone == zone {
			calls = append(calls, call)
		}
	}
	return servedShare(calls)
}

// ServedShareOfSizes returns the share of calls that got a complete answer, among the
// calls whose prompt size lies between two quantiles, from 0 to 1.
func (r ClassResult) ServedShareOfSizes(from, to float64) float64 {
	sorted := slices.Clone(r.Calls)
	slices.SortStableFunc(sorted, func(a, b *CallResult) int { return cmp.Compare(a.PromptTokens, b.PromptTokens) })
	count := float64(len(sorted))
	return servedShare(sorted[int(from*count):int(to*count)])
}

func servedShare(calls []*CallResult) float64 {
	served := 0
	for _, call := range calls {
		if call.Served {
			served++
		}
	}
	return ratio(served, len(calls))
}

// WorstUnservedShare returns the greatest share of calls without a complete answer among
// the calls that arrived in a window of the given length. Windows start every second.
func (r ClassResult) WorstUnservedShare(window time.Duration) float64 {
	offered := make(map[time.Duration]int)
	unserved := make(map[time.Duration]int)
	last := time.Duration(0)
	for _, call := range r.Calls {
		second := call.Arrived.Truncate(time.Second)
		last = max(last, second)
		offered[second]++
		if !call.Served {
			unserved[second]++
		}
	}
	worst := 0.0
	for start := time.Duration(0); start+window <= last+time.Second; start += time.Second {
		windowOffered, windowUnserved := 0, 0
		for second := start; second < start+window; second += time.Second {
			windowOffered += offered[second]
			windowUnserved += unserved[second]
		}
		worst = max(worst, ratio(windowUnserved, windowOffered))
	}
	return worst
}

// OnTimeShare returns the share of calls that were answered on time.
func (r ClassResult) OnTimeShare() float64 { return ratio(r.OnTime, r.Offered) }

// ServedShareBetween returns the share of calls that got a complete answer, among those that
// arrived in a span of the run.
func (r ClassResult) ServedShareBetween(from, to time.Duration) float64 {
	var calls []*CallResult
	for _, call := range r.Calls {
		if call.Arrived >= from && call.Arrived < to {
			calls = append(calls, call)
		}
	}
	return servedShare(calls)
}

// ServedShare returns the share of calls that got a complete answer.
func (r ClassResult) ServedShare() float64 { return ratio(r.OnTime+r.Late, r.Offered) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// TimeToFirstEvent returns a quantile, from 0 to 1, of the time to the first event.
func (r ClassResult) TimeToFirstEvent(quantile float64) time.Duration {
	return quantileOf(r.TimesToFirstEvent, quantile)
}

// LongestGap returns a quantile, from 0 to 1, of the longest event gap of an answer.
func (r ClassResult) LongestGap(quantile float64) time.Duration {
	return quantileOf(r.LongestGaps, quantile)
}

func quantileOf(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(quantile*float64(len(sorted))), len(sorted)-1)]
}

// Result is the outcome of a run.
type Result struct {
	classes map[string]ClassResult
	// PrefilledTokens is the number of prompt tokens that engines prefilled.
	// RecomputedTokens counts the tokens of shared prefixes among them that this or another
	// engine had used shortly before.
	PrefilledTokens  int
	RecomputedTokens int
	// FetchedTokens is the number of cached tokens that engines fetched from each
	// other.
	FetchedTokens int
	// Arrivals is the number of attempts that reached an engine, and DeclinedArrivals the
	// number of those that an engine with a full queue declined.
	Arrivals         int
	DeclinedArrivals int
	// PeakToMeanBusyTime is the busy time of the busiest engine divided by the mean busy time of
	// all engines.
	PeakToMeanBusyTime float64
	// Preemptions counts the requests that engines preempted. MisorderedPreemptions is
	// the number of those at a single engine that were preempted while a less urgent
	// request was running there, for the engine with the most.
	Preemptions           int
	MisorderedPreemptions int
	// Crashes holds the times at which endpoints crashed under a call, and CrashingArrivals
	// those at which such calls reached endpoints, from the start of the run.
	Crashes          []time.Duration
	CrashingArrivals []time.Duration
	// Quarantines counts the quarantines of prompt parts that hosts found by themselves.
	Quarantines int
	// Limited holds the endpoints that named a limit.
	Limited []LimitedEndpoint
	// OfferedValue is the value that all calls would have if answered on time, and Value
	// the value of the answers given.
	OfferedValue float64
	Value        float64
}

// Class returns the result of a class.
func (r Result) Class(name string) ClassResult { return r.classes[name] }

// ValueShare returns the value of the answers as a share of the offered value.
func (r Result) ValueShare() float64 { return r.Value / r.OfferedValue }

func (f *fleet) collectResult() Result {
	result := Result{
		classes:          make(map[string]ClassResult),
		PrefilledTokens:  f.prefilledTokens,
		RecomputedTokens: f.recomputedTokens,
		FetchedTokens:    f.fetchedTokens,
		Arrivals:         f.arrivals,
		DeclinedArrivals: f.declinedArrivals,
		Crashes:          f.crashes,
		CrashingArrivals: f.crashingArrivals,
		Quarantines:      f.quarantines,
		Limited:          f.limited,
	}
	for _, class := range f.classes {
		result.classes[class.Name] = class.result
		result.OfferedValue += float64(class.result.Offered) * class.Value
		result.Value += class.result.Value
	}
	total, longest := time.Duration(0), time.Duration(0)
	for _, e := range f.engines {
		result.Preemptions += e.preemptions
		result.MisorderedPreemptions = max(result.MisorderedPreemptions, e.misorderedPreemptions)
		total += e.busyTime
		longest = max(longest, e.busyTime)
	}
	if total > 0 {
		result.PeakToMeanBusyTime = float64(longest) * float64(len(f.engines)) / float64(total)
	}
	return result
}
