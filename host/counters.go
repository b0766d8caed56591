package host

import "runtime"

// publishCounters registers the variables that are computed on each read.
func (h *Host) publishCounters() {
	h.counters.Func("goroutines", func() any { return runtime.NumGoroutine() })
	h.counters.Func("mallocs", func() any { return memoryStats().Mallocs })
	h.counters.Func("heapBytes", func() any { return memoryStats().HeapAlloc })
	h.counters.Func("node", func() any { return h.node.Counters() })
	h.counters.Var("configuration", h.configuration.Vars())
	h.counters.Func("claims", func() any { return h.claims.Dump() })
	h.counters.Func("hosts", func() any { return h.node.Hosts() })
	h.counters.Func("openRequests", func() any { return h.openCalls() })
	h.counters.Func("dutyRestarts", func() any { return h.tree.Restarts() })
}

func memoryStats() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
