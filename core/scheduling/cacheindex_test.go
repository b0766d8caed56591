package scheduling_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/scheduling"
)

// newPrefixHarness returns a harness whose host remembers at most limit prefixes.
func newPrefixHarness(t testing.TB, endpoints, limit int) *harness {
	t.Helper()
	h := newHarnessWith(t, 0, func(settings *scheduling.Settings) { settings.MaxCachedPrefixes = limit })
	for i := range endpoints {
		h.addEndpoint(models, i)
	}
	return h
}

// place reports prompts of one-token parts at all endpoints, of which none has come before.
func (h *harness) place(endpoints, first, prompts int) {
	report := scheduling.PeerReported{Peer: "host-2"}
	for i := range prompts {
		key := scheduling.Key{
			ID:          entry(models, i%endpoints).ID,
			Incarnation: 1,
		}
		report.Placements = append(report.Placements, scheduling.Placement{
			Endpoint:   key.Hash(),
			PrefixHash: uint64(first + i),
			Tokens:     1,
		})
	}
	h.step(report)
	h.now = h.now.Add(time.Millisecond)
}

// cachedTokens returns the tokens in the indexes of all endpoints together, and those of the last one.
func (h *harness) cachedTokens() (total, last int) {
	for _, service := range h.scheduler.Snapshot(h.now).Services {
		if service.Name == models {
			for _, endpoint := range service.Endpoints {
				total += endpoint.CachedTokens
				last = endpoint.CachedTokens
			}
		}
	}
	return total, last
}

// TestPrefixesOfAllEndpointsShareMemory guards against a host that runs out of memory as its callers send
// prompts of very many short parts: the index of each endpoint was bounded by the tokens that
// its engine holds, and nothing bounded them by the memory of the host.
func TestPrefixesOfAllEndpointsShareMemory(t *testing.T) {
	const endpoints, limit = 18, 5000
	h := newPrefixHarness(t, endpoints, limit)
	h.place(endpoints, 0, 20*limit)
	if total, _ := h.cachedTokens(); total != limit {
		t.Errorf("the host remembers %d prefixes, want %d", total, limit)
	}
	_, last := h.cachedTokens()
	h.step(scheduling.EndpointChanged{Change: directory.Removed{Entry: entry(models, 0)}})
	h.place(endpoints, 20*limit, 20*limit)
	if total, after := h.cachedTokens(); total != limit || after <= last {
		t.Errorf("without an endpoint the host remembers %d prefixes, %d of them at the last one, which had %d", total, after, last)
	}
}

// TestCachedPrefixMemory guards against an index whose entries take more memory than their bound assumes.
func TestCachedPrefixMemory(t *testing.T) {
	const endpoints, limit = 18, 40_000
	h := newPrefixHarness(t, endpoints, limit)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 20 {
		h.place(endpoints, i*limit, limit)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(h)
	each := float64(after.HeapAlloc-before.HeapAlloc) / limit
	t.Logf("%.0f bytes each", each)
	if each > scheduling.CachedPrefixBytes {
		t.Errorf("a prefix takes %.0f bytes, %d are assumed", each, scheduling.CachedPrefixBytes)
	}
}

// TestPromptsWithManyPartsShareBeginning guards against prompts of many parts that are sent to other endpoints
// than those with the same beginning, as their parts beyond the bound are merged.
func TestPromptsWithManyPartsShareBeginning(t *testing.T) {
	prompt := func(parts int, tail uint64) []scheduling.PromptPart {
		var prompt []scheduling.PromptPart
		for i := range parts {
			prompt = scheduling.AppendPart(prompt, scheduling.PromptPart{
				ID:     uint64(i),
				Tokens: 1,
			})
		}
		return scheduling.AppendPart(prompt, scheduling.PromptPart{
			ID:     tail,
			Tokens: 1,
		})
	}
	first, second := prompt(2500, 1), prompt(2500, 2)
	if len(first) != scheduling.MaxPromptParts {
		t.Fatalf("a prompt has %d parts, want %d", len(first), scheduling.MaxPromptParts)
	}
	tokens := 0
	for _, part := range first {
		tokens += part.Tokens
	}
	if tokens != 2501 {
		t.Errorf("the parts have %d tokens, want 2501", tokens)
	}
	last := scheduling.MaxPromptParts - 1
	a, b := scheduling.PrefixHashes(first), scheduling.PrefixHashes(second)
	if a[last-1] != b[last-1] {
		t.Error("equal parts have different hashes")
	}
	if a[last] == b[last] {
		t.Error("different ends have the same hash")
	}
	if c := scheduling.PrefixHashes(prompt(2500, 1)); c[last] != a[last] {
		t.Error("equal prompts have different hashes")
	}
}

// BenchmarkManyParts shows the time of a call whose prompt has 3,701 parts before they are bounded, by the number of
// endpoints of its service.
func BenchmarkManyParts(b *testing.B) {
	for _, endpoints := range []int{18, 120, 340} {
		for _, parts := range []int{4, 3701} {
			b.Run(fmt.Sprintf("%d endpoints %d parts", endpoints, parts), func(b *testing.B) {
				h := newPrefixHarness(b, endpoints, 40_000)
				n := 0
				for b.Loop() {
					n++
					prompt := []scheduling.PromptPart{{ID: uint64(n) << 32, Tokens: 1}}
					for i := range parts - 1 {
						prompt = scheduling.AppendPart(prompt, scheduling.PromptPart{
							ID:     uint64(i),
							Tokens: 1,
						})
					}
					id := scheduling.CallID(n)
					h.step(scheduling.CallArrived{Call: scheduling.Call{
						ID:           id,
						Route:        h.table.Routes()[2],
						Service:      models,
						PromptTokens: parts,
						Prompt:       prompt,
						Deadline:     h.now.Add(time.Second),
					}})
					h.step(scheduling.CallCanceled{Call: id})
					h.now = h.now.Add(10 * time.Millisecond)
				}
			})
		}
	}
}
