package host

import "runtime"

// publishCounters adds the variables that are read at each look.
func (h *Host) publishCounters() {
	h.counters.SetFunc("goroutines", func() any { return runtime.NumGoroutine() })
	h.counters.SetFunc("mallocs", func() any { return memory().Mallocs })
	h.counters.SetFunc("heapBytes", func() any { return memory().HeapAlloc })
	h.counters.SetFunc("node", func() any { return h.node.Counters() })
	h.counters.SetVar("configuration", h.configuration.Vars())
	h.counters.SetFunc("claims", func() any { return h.claims.Dump() })
	h.counters.SetFunc("hosts", func() any { return h.node.LiveCount() })
	h.counters.SetFunc("openRequests", func() any { return h.openCalls() })
	h.counters.SetFunc("dutyRestarts", func() any { return h.tree.Restarts() })
}

func memory() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
