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
	// Worth is the sum of what the answers are worth.
	Worth float64
	// Reread is the number of shared prompt tokens that were read again.
	Reread int
	First  []time.Duration
	Gaps   []time.Duration
	Calls  []*CallResult
}

// CallResult is what one caller got.
type CallResult struct {
	// Tokens is the size of the prompt, and Zone that of the host that took the
	// call first.
	Tokens int
	Zone   int
	Served bool
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
	slices.SortStableFunc(sorted, func(a, b *CallResult) int { return cmp.Compare(a.Tokens, b.Tokens) })
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

// FirstAt returns a quantile, from 0 to 1, of the time to the first event.
func (r ClassResult) FirstAt(quantile float64) time.Duration {
	return quantileOf(r.First, quantile)
}

// GapAt returns a quantile, from 0 to 1, of the longest pause.
func (r ClassResult) GapAt(quantile float64) time.Duration {
	return quantileOf(r.Gaps, quantile)
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
	// ReadTokens is the number of prompt tokens that engines read, and
	// RereadTokens the part of them that another engine, or the same, had read
	// shortly before.
	ReadTokens   int
	RereadTokens int
	// FetchedTokens is the number that engines fetched from each other.
	FetchedTokens int
	// Busiest is the engine time of the busiest engine against the mean.
	Busiest float64
	// Offered and Worth sum up what all calls and all answers are worth.
	Offered float64
	Worth   float64
}

// Class returns what the callers of a class got.
func (r Result) Class(name string) ClassResult { return r.classes[name] }

// WorthShare returns the worth of the answers against that of all calls.
func (r Result) WorthShare() float64 { return r.Worth / r.Offered }

func (f *fleet) result() Result {
	result := Result{
		classes:       make(map[string]ClassResult),
		ReadTokens:    f.read,
		RereadTokens:  f.reread,
		FetchedTokens: f.fetched,
	}
	for _, class := range f.classes {
		result.classes[class.Name] = class.counts
		result.Offered += float64(class.counts.Offered) * class.Worth
		result.Worth += class.counts.Worth
	}
	total, most := time.Duration(0), time.Duration(0)
	for _, e := range f.engines {
		total += e.busy
		most = max(most, e.busy)
	}
	if total > 0 {
		result.Busiest = float64(most) * float64(len(f.engines)) / float64(total)
	}
	return result
}
