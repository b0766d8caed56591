package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"cactuswell/core/autoscale"
	"cactuswell/core/scheduling"
)

// DumpPath is the path on the ready listener that serves a host's state.
const DumpPath = "/dump"

// Dump is a host's state, with its view of endpoints and other hosts. It contains
// no key, prompt or answer.
type Dump struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Incarnation is the time of the host's start, in Unix milliseconds.
	Incarnation int64 `json:"born"`
	// Ready reports whether the host accepts new connections. If it does not,
	// Reason is the cause.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Version is the version of the configuration, or negative if there is none.
	// VersionAgeMs is the time since it took effect.
	Version      int64   `json:"version"`
	VersionAgeMs float64 `json:"versionAgeMs"`
	// ConfigurationUnavailable and EndpointsUnavailable report whether the store does
	// not answer for the respective topic.
	ConfigurationUnavailable bool   `json:"configurationLost"`
	EndpointsUnavailable     bool   `json:"endpointsLost"`
	OpenCalls                int64  `json:"openCalls"`
	LinesDropped             uint64 `json:"linesDropped"`

	// SingletonDuties is what the host knows of the singleton duties, if the fleet has any.
	SingletonDuties *DutiesDump `json:"singletonDuties,omitempty"`

	scheduling.Snapshot

	// Autoscale holds the services whose endpoints this host orders.
	Autoscale []autoscale.Snapshot `json:"autoscale,omitempty"`
}

// dump returns the host's state.
func (g *Gateway) dump() Dump {
	ready, reason := g.ready()
	dump := Dump{
		Host:                     g.Settings.Name,
		Zone:                     g.Settings.Zone,
		Incarnation:              g.incarnation,
		Ready:                    ready,
		Reason:                   reason,
		Version:                  g.configuration.version(),
		ConfigurationUnavailable: g.configuration.unavailable.Load(),
		EndpointsUnavailable:     g.endpoints.unavailable.Load(),
		OpenCalls:                g.callHandler.OpenCalls(),
		LinesDropped:             g.trail.DroppedCount(),
	}
	if active := g.configuration.active.Load(); active != nil {
		dump.VersionAgeMs = float64(time.Since(active.appliedAt)) / float64(time.Millisecond)
	}
	if g.singleton != nil {
		dump.SingletonDuties = g.singleton.dump()
	}
	g.inspect(func() { dump.Snapshot = g.decisions.scheduler.Snapshot(g.timers.Now()) })
	if a := g.autoscaler.Load(); a != nil {
		dump.Autoscale = a.snapshots(g.timers.Now())
	}
	return dump
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(g.dump()); err != nil {
		g.trail.Failure("dumpFailed").Err(err).End()
	}
}
