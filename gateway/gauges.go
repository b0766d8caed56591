package gateway

import (
	"runtime"
	"time"
)

// addGauges adds the values that are read when they are asked for.
func (g *Gateway) addGauges() {
	g.meter.gauge("cactuswell_open_calls", func() float64 { return float64(g.server.OpenCalls()) })
	g.meter.gauge("cactuswell_waiting_calls", func() float64 { return float64(g.decided.waiting.Load()) })
	g.meter.gauge("cactuswell_endpoints", func() float64 { return float64(g.decided.endpoints.Load()) })
	g.meter.gauge("cactuswell_hosts", func() float64 { return float64(g.decided.hosts.Load()) })
	g.meter.gauge("cactuswell_endpoint_connections", func() float64 { return float64(g.pool.OpenCount()) })
	g.meter.gauge("cactuswell_endpoint_dials_total", func() float64 { return float64(g.pool.DialCount()) })
	g.meter.gauge("cactuswell_endpoint_reuses_total", func() float64 { return float64(g.pool.ReuseCount()) })
	g.meter.gauge("cactuswell_log_lines_dropped_total", func() float64 { return float64(g.trail.DroppedCount()) })
	g.meter.gauge("cactuswell_log_lines_total", func() float64 { return float64(g.trail.LineCount()) })
	g.meter.gauge("cactuswell_configuration_version", func() float64 {
		return float64(g.configuration.version())
	})
	g.meter.gauge("cactuswell_configuration_age_seconds", func() float64 {
		if known := g.configuration.inForce.Load(); known != nil {
			return time.Since(known.takenAt).Seconds()
		}
		return -1
	})
	g.meter.gauge("cactuswell_memory_bytes", func() float64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.Sys)
	})
}
