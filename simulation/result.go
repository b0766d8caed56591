package simulation

import (
	"cmp"
	"slices"
	"time"
)

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Offered int
	// OnTime answers met the latency target and had no long pause; Late ones
	// were whole.
	OnTime  int
	Late    int
	Refused int
	Failed  int
	// Value is the sum of what the answers are worth.
	Value float64
	// RecomputedTokens is the number of shared prompt tokens that were read again.
	RecomputedTokens  int
	TimesToFirstEvent []time.Duration
	LongestGaps       []time.Duration
	Calls             []*CallResult
}

// CallResult is what one caller got.
type CallResult struct {
	// PromptTokens is the size of the prompt, and Zone that of the host that took the
	// call first.
	PromptTokens int
	Zone         int
	Served       bool
}

// ServedShareOfZone returns the part of a zone's calls that got a whole answer.
func (r ClassResult) ServedShareOfZone(zone int) float64 {
	var calls []*CallResult
	for _, call := range r.Calls {
		if call.Zone == zone {
			calls = append(calls, call)
		}
	}
	return servedShare(calls)
}

// ServedShareOfSizes returns the part that got a whole answer of the calls whose
// prompts lie between two quantiles of size, from 0 to 1.
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
	return share(served, len(calls))
}

// OnTimeShare returns the part of the calls that were answered in time.
func (r ClassResult) OnTimeShare() float64 { return share(r.OnTime, r.Offered) }

// ServedShare returns the part of the calls that got a whole answer.
func (r ClassResult) ServedShare() float64 { return share(r.OnTime+r.Late, r.Offered) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// TimeToFirstEvent returns a quantile, from 0 to 1, of the time to the first event.
func (r ClassResult) TimeToFirstEvent(quantile float64) time.Duration {
	return quantileOf(r.TimesToFirstEvent, quantile)
}

// LongestGap returns a quantile, from 0 to 1, of the longest pause.
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

// Result is what a run came to.
type Result struct {
	classes map[string]ClassResult
	// PrefilledTokens is the number of prompt tokens that engines read, and
	// RereadTokens the part of them that another engine, or the same, had read
	// shortly before.
	PrefilledTokens  int
	RecomputedTokens int
	// FetchedTokens is the number that engines fetched from each other.
	FetchedTokens int
	// PeakToMeanBusyTime is the engine time of the busiest engine against the mean.
	PeakToMeanBusyTime float64
	// OfferedValue and Worth sum up what all calls and all answers are worth.
	OfferedValue float64
	Value        float64
}

// Class returns what the callers of a class got.
func (r Result) Class(name string) ClassResult { return r.classes[name] }

// ValueShare returns the worth of the answers against that of all calls.
func (r Result) ValueShare() float64 { return r.Value / r.OfferedValue }

func (f *fleet) result() Result {
	result := Result{
		classes:          make(map[string]ClassResult),
		PrefilledTokens:  f.read,
		RecomputedTokens: f.reread,
		FetchedTokens:    f.fetched,
	}
	for _, class := range f.classes {
		result.classes[class.Name] = class.counts
		result.OfferedValue += float64(class.counts.Offered) * class.Value
		result.Value += class.counts.Value
	}
	total, most := time.Duration(0), time.Duration(0)
	for _, e := range f.engines {
		total += e.busy
		most = max(most, e.busy)
	}
	if total > 0 {
		result.PeakToMeanBusyTime = float64(most) * float64(len(f.engines)) / float64(total)
	}
	return result
}
