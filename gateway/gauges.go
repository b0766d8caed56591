package gateway

import (
	"runtime"
	"time"
)

// addGauges registers the metrics that are read at each scrape.
func (g *Gateway) addGauges() {
	g.meter.addGauge("cactuswell_open_calls", func() float64 { return float64(g.callHandler.OpenCalls()) })
	g.meter.addGauge(`cactuswell_client_connections{listener="callers"}`, func() float64 { return float64(g.callerClients.OpenCount()) })
	g.meter.addGauge(`cactuswell_client_connections{listener="operators"}`, func() float64 { return float64(g.operatorClients.OpenCount()) })
	g.meter.addGauge(`cactuswell_client_accept_wait_seconds{listener="callers"}`, func() float64 { return g.callerClients.AcceptWait().Seconds() })
	g.meter.addGauge(`cactuswell_client_accept_wait_seconds{listener="operators"}`, func() float64 { return g.operatorClients.AcceptWait().Seconds() })
	g.meter.addGauge("cactuswell_header_bytes", func() float64 { return float64(g.callerClients.HeaderBytes()) })
	g.meter.addGauge("cactuswell_body_bytes", func() float64 { return float64(g.callHandler.BodyBytes()) })
	g.meter.addGauge("cactuswell_response_bytes", func() float64 { return float64(g.callHandler.ResponseBytes()) })
	g.meter.addGauge("cactuswell_waiting_calls", func() float64 { return float64(g.decisions.waitingCount.Load()) })
	g.meter.addGauge("cactuswell_silent_calls", func() float64 { return float64(g.decisions.silentCount.Load()) })
	g.meter.addGauge("cactuswell_endpoints", func() float64 { return float64(g.decisions.endpointCount.Load()) })
	g.meter.addGauge("cactuswell_cached_prefixes", func() float64 { return float64(g.decisions.prefixCount.Load()) })
	g.meter.addGauge("cactuswell_in_step", func() float64 {
		if g.mesh == nil || g.mesh.IsInStep(g.Topics.Endpoints) {
			return 1
		}
		return 0
	})
	g.meter.addGauge("cactuswell_versions_unsettled", func() float64 { return float64(g.decisions.unsettledCount.Load()) })
	g.meter.addGauge("cactuswell_endpoints_ramping", func() float64 { return float64(g.decisions.rampingCount.Load()) })
	g.meter.addGauge("cactuswell_services_uneven", func() float64 { return float64(g.decisions.unevenCount.Load()) })
	g.meter.addGauge("cactuswell_endpoints_withheld", func() float64 { return float64(g.decisions.withheldCount.Load()) })
	g.meter.addGauge("cactuswell_quarantines", func() float64 { return float64(g.decisions.quarantineCount.Load()) })
	g.meter.addGauge("cactuswell_hosts", func() float64 { return float64(g.decisions.hostCount.Load()) })
	g.meter.addGauge("cactuswell_endpoint_connections", func() float64 { return float64(g.pool.OpenCount()) })
	g.meter.addGauge("cactuswell_endpoint_dials_total", func() float64 { return float64(g.pool.DialCount()) })
	g.meter.addGauge("cactuswell_endpoint_reuses_total", func() float64 { return float64(g.pool.ReuseCount()) })
	g.meter.addGauge("cactuswell_endpoint_passed_over_total", func() float64 { return float64(g.pool.PassedOverCount()) })
	g.meter.addGauge("cactuswell_endpoint_unsolicited_total", func() float64 { return float64(g.pool.UnsolicitedCount()) })
	g.meter.addGauge("cactuswell_endpoint_dials_through_total", func() float64 { return float64(g.pool.ThroughCount()) })
	g.meter.addGauge("cactuswell_paths_lost", func() float64 { return float64(g.pool.LostPathCount()) })
	if g.Settings.PeerListen != "" {
		g.meter.addGauge("cactuswell_tunnels", func() float64 { return float64(g.tunnels.OpenTunnels()) })
		g.meter.addGauge("cactuswell_tunnels_total", func() float64 { return float64(g.tunnels.ServedTunnels()) })
		g.meter.addGauge("cactuswell_stream_records_overdue", func() float64 {
			if g.streams.state(g.timers.Now()).isOverdue {
				return 1
			}
			return 0
		})
		g.meter.addGauge("cactuswell_stream_bases", func() float64 {
			return float64(len(g.streams.state(g.timers.Now()).bases))
		})
		for name, topic := range map[string]string{
			"configuration": g.Topics.Configuration,
			"endpoints":     g.Topics.Endpoints,
		} {
			g.meter.addGauge(`cactuswell_copy_behind_seconds{topic="`+name+`"}`, func() float64 {
				return g.followers[topic].BehindFor().Seconds()
			})
		}
		g.meter.addGauge("cactuswell_peer_datagrams_total", func() float64 { return float64(g.mesh.SentDatagrams()) })
		g.meter.addGauge("cactuswell_peer_bytes_total", func() float64 { return float64(g.mesh.SentBytes()) })
		g.meter.addGauge("cactuswell_relay", func() float64 {
			if g.mesh.IsRelay() {
				return 1
			}
			return 0
		})
	}
	if g.singleton != nil {
		g.singleton.addGauges()
	}
	g.meter.addGauge("cactuswell_log_lines_dropped_total", func() float64 { return float64(g.trail.DroppedCount()) })
	g.meter.addGauge("cactuswell_log_lines_total", func() float64 { return float64(g.trail.LineCount()) })
	g.meter.addGauge("cactuswell_store_rewinds_total", func() float64 { return float64(g.endpoints.rewinds.Load()) })
	g.meter.addGauge("cactuswell_configuration_version", func() float64 {
		return float64(g.configuration.version())
	})
	g.meter.addGauge("cactuswell_configuration_behind_seconds", func() float64 {
		return g.configuration.aheadFor(time.Now()).Seconds()
	})
	g.meter.addGauge("cactuswell_configuration_age_seconds", func() float64 {
		if active := g.configuration.active.Load(); active != nil {
			return time.Since(active.appliedAt).Seconds()
		}
		return -1
	})
	g.meter.addGauge("cactuswell_memory_bytes", func() float64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.Sys)
	})
}
