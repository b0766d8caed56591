package host

import "runtime"

// publishCounters adds the variables that are read at each look.
func (h *Host) publishCounters() {
	h.counters.Func("goroutines", func() any { return runtime.NumGoroutine() })
	h.counters.Func("mallocs", func() any { return memory().Mallocs })
	h.counters.Func("heapBytes", func() any { return memory().HeapAlloc })
	h.counters.Func("node", func() any { return h.node.Counters() })
	h.counters.Var("configuration", h.configuration.Vars())
	h.counters.Func("claims", func() any { return h.claims.Dump() })
	h.counters.Func("hosts", func() any { return h.node.LiveCount() })
	h.counters.Func("openRequests", func() any { return h.openCalls() })
	h.counters.Func("dutyRestarts", func() any { return h.tree.Restarts() })
}

func memory() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
